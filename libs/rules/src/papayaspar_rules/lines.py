"""The outer form of a line: ``KIND NAME key=value … # asked by WHO``."""

import re

import attrs

from papayaspar_rules import faults

COMMENT_START = "#"
COMMENT_PREFIX = "asked by "
ASKED_BY_MAX_CHARS = 200
WORD_PATTERN = re.compile(r"[^ \t]+")


@attrs.frozen
class Word:
    """A run of characters without blanks.

    :param text: the characters.
    :param line: its line, from 1.
    :param column: column of its first character, from 1.
    """

    text: str
    line: int
    column: int


@attrs.frozen
class Line:
    """A line that is neither blank nor only a comment.

    :param words: the words before the comment, at least one.
    :param comment: the comment without its start, or ``None``.
    :param end: an empty word where the words end, to point at what is missing.
    """

    words: tuple[Word, ...]
    comment: Word | None
    end: Word


@attrs.frozen
class Pair:
    """A word ``key=value``.

    :param key: the part before the sign.
    :param value: the part after it.
    """

    key: Word
    value: Word


def scan(number: int, text: str) -> Line | None:
    """Split a line into words and its comment.

    :param number: number of the line, from 1.
    :param text: the line without its line feed.
    :return: the line, or ``None`` if it is blank or only a comment.
    """
    body, sign, tail = text.partition(COMMENT_START)
    words = tuple(
        Word(match.group(), number, match.start() + 1) for match in WORD_PATTERN.finditer(body)
    )
    if not words:
        return None
    comment = Word(tail.strip(" \t"), number, len(body) + 1) if sign else None
    return Line(words, comment, Word("", number, len(body.rstrip(" \t")) + 1))


def asked_by(line: Line) -> str:
    """Return who asked for the rule of a line.

    :param line: the line.
    :return: the text after ``# asked by``.
    :raises InvalidValueError: if the comment is missing or has another form.
    """
    if line.comment is None:
        raise faults.InvalidValueError(
            "comment_missing", "the line lacks its comment '# asked by WHO'"
        )
    text = line.comment.text
    who = text.removeprefix(COMMENT_PREFIX).strip(" \t")
    if not text.startswith(COMMENT_PREFIX) or not who:
        raise faults.InvalidValueError("comment_invalid", "the comment is not '# asked by WHO'")
    if not is_asker(who):
        raise faults.InvalidValueError(
            "comment_invalid",
            f"who asked is longer than {ASKED_BY_MAX_CHARS} characters or not printable",
        )
    return who


def is_asker(text: str) -> bool:
    """Return whether a text can stand after ``# asked by``."""
    if not text or text != text.strip(" \t"):
        return False
    return len(text) <= ASKED_BY_MAX_CHARS and text.isprintable()


def split_pair(word: Word) -> Pair:
    """Split a word ``key=value``.

    :param word: the word.
    :return: key and value.
    :raises InvalidValueError: if it has no sign, or nothing on one side of it.
    """
    key, sign, value = word.text.partition("=")
    if not sign or not key or not value:
        raise faults.InvalidValueError("pair_invalid", f"{word.text!r} is not key=value")
    value_column = word.column + len(key) + len(sign)
    return Pair(Word(key, word.line, word.column), Word(value, word.line, value_column))
