"""Splitting of lines ``KIND NAME key=value … # asked by WHO`` into words and comment."""

import re

import attrs

from papayaspar_rules import faults

COMMENT_MARKER = "#"
COMMENT_PREFIX = "asked by "
ASKED_BY_MAX_CHARS = 200
WORD_PATTERN = re.compile(r"[^ \t]+")


@attrs.frozen
class Word:
    """A sequence of characters without spaces and tabs.

    :param text: the characters.
    :param line: number of its line, from 1.
    :param column: column of its first character, from 1.
    """

    text: str
    line: int
    column: int


@attrs.frozen
class Line:
    """A line that is neither blank nor only a comment.

    :param words: the words before the comment, at least one.
    :param comment: the comment without its marker, or ``None``.
    :param end: empty word at the position after the last word, for faults about missing parts.
    """

    words: tuple[Word, ...]
    comment: Word | None
    end: Word


@attrs.frozen
class Pair:
    """A word ``key=value``.

    :param key: the part before the equals sign.
    :param value: the part after the equals sign.
    """

    key: Word
    value: Word


def split_line(number: int, text: str) -> Line | None:
    """Split a line into words and its comment.

    :param number: number of the line, from 1.
    :param text: the line without its line feed.
    :return: the line, or ``None`` if it is blank or only a comment.
    """
    body, marker, comment_text = text.partition(COMMENT_MARKER)
    words = tuple(
        Word(match.group(), number, match.start() + 1) for match in WORD_PATTERN.finditer(body)
    )
    if not words:
        return None
    comment = Word(comment_text.strip(" \t"), number, len(body) + 1) if marker else None
    return Line(words, comment, Word("", number, len(body.rstrip(" \t")) + 1))


def parse_asked_by(line: Line) -> str:
    """Return who requested the rule of a line.

    :param line: the line.
    :return: the text after ``# asked by``.
    :raises InvalidValueError: if the comment is missing or malformed.
    """
    if line.comment is None:
        raise faults.InvalidValueError("comment_missing", "the comment '# asked by WHO' is missing")
    text = line.comment.text
    requester = text.removeprefix(COMMENT_PREFIX).strip(" \t")
    if not text.startswith(COMMENT_PREFIX) or not requester:
        raise faults.InvalidValueError("comment_invalid", "the comment is not '# asked by WHO'")
    if not is_valid_asked_by(requester):
        raise faults.InvalidValueError(
            "comment_invalid",
            f"WHO has more than {ASKED_BY_MAX_CHARS} characters or is not printable",
        )
    return requester


def is_valid_asked_by(text: str) -> bool:
    """Return whether a text is valid after ``# asked by``."""
    if not text or text != text.strip(" \t"):
        return False
    return len(text) <= ASKED_BY_MAX_CHARS and text.isprintable()


def split_pair(word: Word) -> Pair:
    """Split a word ``key=value``.

    :param word: the word.
    :return: its key and value.
    :raises InvalidValueError: if the equals sign, the key or the value is missing.
    """
    key, separator, value = word.text.partition("=")
    if not separator or not key or not value:
        raise faults.InvalidValueError("pair_invalid", f"{word.text!r} is not key=value")
    value_column = word.column + len(key) + len(separator)
    return Pair(Word(key, word.line, word.column), Word(value, word.line, value_column))
