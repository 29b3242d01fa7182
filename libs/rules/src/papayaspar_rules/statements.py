"""Parsing of one line into a rule, recording every fault of the line."""

from collections.abc import Sequence

import attrs

from papayaspar_model import identifiers
from papayaspar_rules import faults, kinds, lines


@attrs.frozen
class Statement:
    """A rule and the words of its line that faults refer to.

    :param keyword: the first word, which gives the kind of the rule.
    :param name: the name of the rule.
    :param rule: the rule.
    :param team: the word that names its team, or ``None``.
    """

    keyword: lines.Word
    name: lines.Word
    rule: kinds.Rule
    team: lines.Word | None


class FaultList:
    """Collected faults of one file.

    :param file: name of the file.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._faults: list[faults.Fault] = []

    def __len__(self) -> int:
        return len(self._faults)

    def add(self, word: lines.Word, code: str, detail: str) -> None:
        """Record a fault.

        :param word: the faulty word.
        :param code: code of the fault.
        :param detail: description, one sentence.
        """
        self._faults.append(faults.Fault(self._file, word.line, word.column, code, detail))

    def sorted(self) -> tuple[faults.Fault, ...]:
        """Return the faults in the order of the file."""
        return tuple(sorted(self._faults, key=lambda fault: (fault.line, fault.column)))


def parse(line: lines.Line, fault_list: FaultList) -> Statement | None:
    """Parse a line.

    :param line: the line.
    :param fault_list: receives every fault of the line.
    :return: the statement, or ``None`` if the line has a fault.
    """
    previous_count = len(fault_list)
    asked_by = _parse_comment(line, fault_list)
    kind = kinds.BY_KEYWORD.get(line.words[0].text)
    if kind is None:
        allowed = ", ".join(kinds.BY_KEYWORD)
        fault_list.add(
            line.words[0], "kind_unknown", f"{line.words[0].text!r} is not one of {allowed}"
        )
        return None
    if len(line.words) == 1 or "=" in line.words[1].text:
        fault_list.add(line.end, "name_missing", f"a {kind.keyword} rule requires a name")
        return None
    name = line.words[1]
    _check_name(name, kind.only_name, fault_list)
    pairs = _split_pairs(line.words[2:], fault_list)
    values_by_key = _parse_values(kind.keys, pairs, fault_list)
    _check_required(kind.keys, kind.any_of, pairs, line.end, fault_list)
    if len(fault_list) > previous_count:
        return None
    rule: kinds.Rule = kind.build(name.text, values_by_key, asked_by)
    return Statement(line.words[0], name, rule, _team_word(pairs))


def _parse_comment(line: lines.Line, fault_list: FaultList) -> str:
    try:
        return lines.parse_asked_by(line)
    except faults.InvalidValueError as error:
        fault_list.add(line.comment or line.end, error.fault_code, error.detail)
        return ""


def _check_name(name: lines.Word, only_name: str, fault_list: FaultList) -> None:
    if only_name and name.text != only_name:
        fault_list.add(
            name, "name_invalid", f"{name.text!r} is not allowed, the only name is {only_name!r}"
        )
        return
    if not identifiers.is_name(name.text):
        fault_list.add(name, "name_invalid", f"{name.text!r} is not a name")


def _split_pairs(words: Sequence[lines.Word], fault_list: FaultList) -> dict[str, lines.Pair]:
    pairs: dict[str, lines.Pair] = {}
    for word in words:
        try:
            pair = lines.split_pair(word)
        except faults.InvalidValueError as error:
            fault_list.add(word, error.fault_code, error.detail)
            continue
        if pair.key.text in pairs:
            fault_list.add(pair.key, "key_duplicate", f"{pair.key.text!r} is given twice")
            continue
        pairs[pair.key.text] = pair
    return pairs


def _parse_values(
    keys: Sequence[kinds.AnyKey], pairs: dict[str, lines.Pair], fault_list: FaultList
) -> dict[str, object]:
    key_by_name = {key.name: key for key in keys}
    values_by_key: dict[str, object] = {}
    for name, pair in pairs.items():
        key = key_by_name.get(name)
        if key is None:
            allowed = ", ".join(key_by_name)
            fault_list.add(pair.key, "key_unknown", f"{name!r} is not one of {allowed}")
            continue
        try:
            values_by_key[name] = key.value_type.parse(pair.value.text)
        except faults.InvalidValueError as error:
            fault_list.add(pair.value, error.fault_code, f"{name}: {error.detail}")
    return values_by_key


def _check_required(
    keys: Sequence[kinds.AnyKey],
    any_of: Sequence[str],
    pairs: dict[str, lines.Pair],
    end: lines.Word,
    fault_list: FaultList,
) -> None:
    for key in keys:
        if key.required and key.name not in pairs:
            fault_list.add(end, "key_missing", f"{key.name!r} must be given")
    if any_of and not any(name in pairs for name in any_of):
        fault_list.add(end, "key_missing", f"at least one of {', '.join(any_of)} must be given")


def _team_word(pairs: dict[str, lines.Pair]) -> lines.Word | None:
    pair = pairs.get(kinds.TEAM.name)
    return pair.value if pair is not None else None
