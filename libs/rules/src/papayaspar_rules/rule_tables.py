"""Tables of rules by kind and name, with comparison and partial changes."""

from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

import attrs

from papayaspar_model import rulesets
from papayaspar_rules import checks, faults, kinds, lines, printing, statements

R = TypeVar("R", bound=kinds.Rule)
# Position of the kind in the canonical order, and name of the rule.
Key = tuple[int, str]

CHANGES_FILE = "changes"
SET_PREFIX = "+"
REMOVE_PREFIX = "-"
KEYWORDS = tuple(kinds.BY_KEYWORD)
KIND_POSITIONS = {keyword: position for position, keyword in enumerate(KEYWORDS)}


@attrs.frozen
class Entry:
    """One rule of a table.

    :param statement: the rule with its position in its file.
    :param line: its canonical line.
    """

    statement: statements.Statement
    line: str


@attrs.frozen
class Change:
    """A rule that differs between two tables.

    :param keyword: keyword of its kind.
    :param name: its name.
    :param before: its canonical line in the first table, or ``None`` if it was added.
    :param after: its canonical line in the second table, or ``None`` if it was removed.
    """

    keyword: str
    name: str
    before: str | None
    after: str | None


class RuleTable:
    """Rules that passed the checks against each other, by kind and name.

    :param entries: the rules, in canonical order.
    """

    def __init__(self, entries: Mapping[Key, Entry]) -> None:
        self._entries = entries

    def ruleset(self, revision: int = 0, publish_id: str = "") -> rulesets.RuleSet:
        """Return the rules as one immutable set with its canonical text.

        :param revision: number of the revision.
        :param publish_id: identifier of its publish, chosen by the publisher.
        """
        rules = [entry.statement.rule for entry in self._entries.values()]
        budgets = _select(rules, rulesets.RetryBudget)
        return rulesets.RuleSet(
            revision=revision,
            publish_id=publish_id,
            text="".join([f"{entry.line}\n" for entry in self._entries.values()]),
            teams=_select(rules, rulesets.Team),
            guarantees=_select(rules, rulesets.Guarantee),
            slot_guarantees=_select(rules, rulesets.SlotGuarantee),
            quotas=_select(rules, rulesets.Quota),
            queue_limits=_select(rules, rulesets.QueueLimit),
            retry_budget=budgets[0] if budgets else rulesets.RetryBudget(),
        )

    def diff(self, other: "RuleTable") -> tuple[Change, ...]:
        """Return the rules that differ in another table, in canonical order.

        :param other: the other table.
        """
        changes: list[Change] = []
        for key in sorted(self._entries.keys() | other._entries.keys()):
            before = self._entries.get(key)
            after = other._entries.get(key)
            before_line = before.line if before else None
            after_line = after.line if after else None
            if before_line == after_line:
                continue
            changes.append(Change(KEYWORDS[key[0]], key[1], before_line, after_line))
        return tuple(changes)

    def format_changes_to(self, other: "RuleTable") -> str:
        """Return the changes that turn this table into another one.

        :param other: the other table.
        :return: a line ``+ RULE`` for each rule that was added or differs, and a line
            ``- KIND NAME`` for each that was removed.
        """
        change_lines: list[str] = []
        for change in self.diff(other):
            if change.after is not None:
                change_lines.append(f"{SET_PREFIX} {change.after}\n")
                continue
            change_lines.append(f"{REMOVE_PREFIX} {change.keyword} {change.name}\n")
        return "".join(change_lines)

    def apply_changes(self, text: str) -> "RuleTable":
        """Return the table that results from changes; this table stays as it is.

        :param text: result of :meth:`format_changes_to`.
        :return: the changed table.
        :raises InvalidRulesError: if the changes are malformed or remove a rule that does not
            exist, or if the resulting rules contradict each other.
        """
        fault_list = statements.FaultList(CHANGES_FILE)
        entries = dict(self._entries)
        for number, line_text in enumerate(text.split("\n"), 1):
            _apply_change(entries, number, line_text, fault_list)
        checks.check([entry.statement for entry in entries.values()], fault_list)
        if len(fault_list):
            raise faults.InvalidRulesError(fault_list.sorted())
        # Only added rules are out of the canonical order.
        if entries.keys() - self._entries.keys():
            entries = dict(sorted(entries.items()))
        return RuleTable(entries)


EMPTY = RuleTable({})


def from_statements(statement_list: Iterable[statements.Statement]) -> RuleTable:
    """Return a table of statements that passed the checks against each other.

    :param statement_list: the statements, in any order.
    """
    entries = {_key(statement): _entry(statement) for statement in statement_list}
    return RuleTable(dict(sorted(entries.items())))


def _select(rules: Sequence[kinds.Rule], cls: type[R]) -> tuple[R, ...]:
    return tuple([rule for rule in rules if isinstance(rule, cls)])


def _entry(statement: statements.Statement) -> Entry:
    return Entry(statement, printing.format_rule(statement.rule))


def _key(statement: statements.Statement) -> Key:
    return (KIND_POSITIONS[statement.keyword.text], statement.name.text)


def _apply_change(
    entries: dict[Key, Entry], number: int, line_text: str, fault_list: statements.FaultList
) -> None:
    prefix, _, rest = line_text.partition(" ")
    line = lines.split_line(number, rest)
    if line is None:
        return
    if prefix == SET_PREFIX:
        statement = statements.parse(line, fault_list)
        if statement is not None:
            entries[_key(statement)] = _entry(statement)
        return
    position = KIND_POSITIONS.get(line.words[0].text)
    if prefix != REMOVE_PREFIX or position is None or len(line.words) != 2:
        fault_list.add(
            line.words[0], "change_invalid", "the change is neither '+ RULE' nor '- KIND NAME'"
        )
        return
    if entries.pop((position, line.words[1].text), None) is None:
        fault_list.add(line.words[1], "change_invalid", "the rule to remove does not exist")
