"""Reading one line into a rule, with every fault of the line noted."""

from collections.abc import Sequence

import attrs

from papayaspar_model import identifiers
from papayaspar_rules import faults, kinds, lines


@attrs.frozen
class Statement:
    """A rule and where it stands.

    :param word: its kind.
    :param name: its name.
    :param rule: the rule.
    :param team: the word that names its team, or ``None``.
    """

    word: lines.Word
    name: lines.Word
    rule: kinds.Rule
    team: lines.Word | None


class FaultList:
    """Faults of one file as they are found.

    :param file: name of the file.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._found: list[faults.Fault] = []

    def __len__(self) -> int:
        return len(self._found)

    def add(self, word: lines.Word, code: str, detail: str) -> None:
        """Note a fault.

        :param word: where it is.
        :param code: kind of fault.
        :param detail: one sentence.
        """
        self._found.append(faults.Fault(self._file, word.line, word.column, code, detail))

    def sorted(self) -> tuple[faults.Fault, ...]:
        """Return the faults in the order of the file."""
        return tuple(sorted(self._found, key=lambda fault: (fault.line, fault.column)))


def read(line: lines.Line, found: FaultList) -> Statement | None:
    """Read a line.

    :param line: the line.
    :param found: gets every fault of the line.
    :return: the statement, or ``None`` if the line has a fault.
    """
    faults_before = len(found)
    asked_by = _read_comment(line, found)
    kind = kinds.BY_WORD.get(line.words[0].text)
    if kind is None:
        known = ", ".join(kinds.BY_WORD)
        found.add(line.words[0], "kind_unknown", f"{line.words[0].text!r} is none of {known}")
        return None
    if len(line.words) == 1 or "=" in line.words[1].text:
        found.add(line.end, "name_missing", f"a {kind.word} rule needs a name")
        return None
    name = line.words[1]
    _check_name(name, kind.only_name, found)
    pairs = _read_pairs(line.words[2:], found)
    given = _read_values(kind.keys, pairs, found)
    _check_required(kind.keys, kind.any_of, pairs, line.end, found)
    if len(found) > faults_before:
        return None
    rule: kinds.Rule = kind.build(name.text, given, asked_by)
    return Statement(line.words[0], name, rule, _team_word(pairs))


def _read_comment(line: lines.Line, found: FaultList) -> str:
    try:
        return lines.asked_by(line)
    except faults.InvalidValueError as error:
        found.add(line.comment or line.end, error.fault_code, error.detail)
        return ""


def _check_name(name: lines.Word, only_name: str, found: FaultList) -> None:
    if only_name and name.text != only_name:
        found.add(name, "name_invalid", f"{name.text!r} is not {only_name!r}, the only one")
        return
    if not identifiers.is_name(name.text):
        found.add(name, "name_invalid", f"{name.text!r} is not a name")


def _read_pairs(words: Sequence[lines.Word], found: FaultList) -> dict[str, lines.Pair]:
    pairs: dict[str, lines.Pair] = {}
    for word in words:
        try:
            pair = lines.split_pair(word)
        except faults.InvalidValueError as error:
            found.add(word, error.fault_code, error.detail)
            continue
        if pair.key.text in pairs:
            found.add(pair.key, "key_duplicate", f"{pair.key.text!r} is given twice")
            continue
        pairs[pair.key.text] = pair
    return pairs


def _read_values(
    keys: Sequence[kinds.AnyKey], pairs: dict[str, lines.Pair], found: FaultList
) -> dict[str, object]:
    by_word = {key.word: key for key in keys}
    given: dict[str, object] = {}
    for word, pair in pairs.items():
        key = by_word.get(word)
        if key is None:
            known = ", ".join(by_word)
            found.add(pair.key, "key_unknown", f"{word!r} is none of {known}")
            continue
        try:
            given[word] = key.value.read(pair.value.text)
        except faults.InvalidValueError as error:
            found.add(pair.value, error.fault_code, f"{word}: {error.detail}")
    return given


def _check_required(
    keys: Sequence[kinds.AnyKey],
    any_of: Sequence[str],
    pairs: dict[str, lines.Pair],
    end: lines.Word,
    found: FaultList,
) -> None:
    for key in keys:
        if key.required and key.word not in pairs:
            found.add(end, "key_missing", f"{key.word!r} must be given")
    if any_of and not any(word in pairs for word in any_of):
        found.add(end, "key_missing", f"one of {', '.join(any_of)} must be given")


def _team_word(pairs: dict[str, lines.Pair]) -> lines.Word | None:
    pair = pairs.get(kinds.TEAM.word)
    return pair.value if pair is not None else None
