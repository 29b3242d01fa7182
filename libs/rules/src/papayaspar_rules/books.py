"""Rules by kind and name, which can be changed a few at a time."""

from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

import attrs

from papayaspar_model import rulesets
from papayaspar_rules import checks, faults, kinds, lines, printing, statements

R = TypeVar("R", bound=kinds.Rule)
Key = tuple[int, str]

CHANGES_FILE = "changes"
SET_MARK = "+"
DROP_MARK = "-"
KIND_WORDS = tuple(kinds.BY_WORD)
KIND_ORDER = {word: number for number, word in enumerate(KIND_WORDS)}


@attrs.frozen
class Entry:
    """One rule of a book.

    :param statement: the rule and where it stood in its file.
    :param line: its canonical line.
    """

    statement: statements.Statement
    line: str


@attrs.frozen
class Change:
    """A rule that differs between two books.

    :param word: its kind.
    :param name: its name.
    :param before: its canonical line, or ``None`` if it is new.
    :param after: its canonical line, or ``None`` if it is gone.
    """

    word: str
    name: str
    before: str | None
    after: str | None


class Book:
    """Rules that hold together, by kind and name.

    :param entries: the rules, in canonical order.
    """

    def __init__(self, entries: Mapping[Key, Entry]) -> None:
        self._entries = entries

    def ruleset(self, revision: int = 0, publish_id: str = "") -> rulesets.RuleSet:
        """Return the rules as one immutable set with its canonical text.

        :param revision: number of the revision.
        :param publish_id: the publisher's name for it.
        """
        rules = [entry.statement.rule for entry in self._entries.values()]
        budgets = _of_class(rules, rulesets.RetryBudget)
        return rulesets.RuleSet(
            revision=revision,
            publish_id=publish_id,
            text="".join([f"{entry.line}\n" for entry in self._entries.values()]),
            teams=_of_class(rules, rulesets.Team),
            guarantees=_of_class(rules, rulesets.Guarantee),
            slot_guarantees=_of_class(rules, rulesets.SlotGuarantee),
            quotas=_of_class(rules, rulesets.Quota),
            queue_limits=_of_class(rules, rulesets.QueueLimit),
            retry_budget=budgets[0] if budgets else rulesets.RetryBudget(),
        )

    def differences(self, other: "Book") -> tuple[Change, ...]:
        """Return the rules that differ in another book, in canonical order.

        :param other: the other book.
        """
        found: list[Change] = []
        for key in sorted(self._entries.keys() | other._entries.keys()):
            before = self._entries.get(key)
            after = other._entries.get(key)
            before_line = before.line if before else None
            after_line = after.line if after else None
            if before_line == after_line:
                continue
            found.append(Change(KIND_WORDS[key[0]], key[1], before_line, after_line))
        return tuple(found)

    def changes_to(self, other: "Book") -> str:
        """Return a text that turns this book into another one.

        :param other: the other book.
        :return: a line ``+ RULE`` for each rule that is new or differs, and a line
            ``- KIND NAME`` for each that is gone.
        """
        lines_of_changes: list[str] = []
        for change in self.differences(other):
            if change.after is not None:
                lines_of_changes.append(f"{SET_MARK} {change.after}\n")
                continue
            lines_of_changes.append(f"{DROP_MARK} {change.word} {change.name}\n")
        return "".join(lines_of_changes)

    def changed(self, text: str) -> "Book":
        """Return the book with changes made to it.

        :param text: what :meth:`changes_to` returned.
        :return: the other book.
        :raises InvalidRulesError: if the changes do not fit, or the rules contradict each other.
        """
        found = statements.FaultList(CHANGES_FILE)
        entries = dict(self._entries)
        for number, raw in enumerate(text.split("\n"), 1):
            _change(entries, number, raw, found)
        checks.check([entry.statement for entry in entries.values()], found)
        if len(found):
            raise faults.InvalidRulesError(found.sorted())
        if entries.keys() - self._entries.keys():
            entries = dict(sorted(entries.items()))
        return Book(entries)


EMPTY = Book({})


def of_statements(found: Iterable[statements.Statement]) -> Book:
    """Return a book of statements that were checked together.

    :param found: the statements, in any order.
    """
    entries = {_key(statement): _entry(statement) for statement in found}
    return Book(dict(sorted(entries.items())))


def _of_class(rules: Sequence[kinds.Rule], cls: type[R]) -> tuple[R, ...]:
    return tuple([rule for rule in rules if isinstance(rule, cls)])


def _entry(statement: statements.Statement) -> Entry:
    return Entry(statement, printing.line_of(statement.rule))


def _key(statement: statements.Statement) -> Key:
    return (KIND_ORDER[statement.word.text], statement.name.text)


def _change(entries: dict[Key, Entry], number: int, raw: str, found: statements.FaultList) -> None:
    mark, _, rest = raw.partition(" ")
    line = lines.scan(number, rest)
    if line is None:
        return
    if mark == SET_MARK:
        statement = statements.read(line, found)
        if statement is not None:
            entries[_key(statement)] = _entry(statement)
        return
    order = KIND_ORDER.get(line.words[0].text)
    if mark != DROP_MARK or order is None or len(line.words) != 2:
        found.add(line.words[0], "change_invalid", "neither a rule nor KIND NAME")
        return
    if entries.pop((order, line.words[1].text), None) is None:
        found.add(line.words[1], "change_invalid", "there is no such rule")
