"""Differences between two sets of rules, rule by rule."""

import attrs

from papayaspar_model import rulesets


@attrs.frozen
class Change:
    """A rule that differs.

    :param before: its canonical line, or ``None`` if it is new.
    :param after: its canonical line, or ``None`` if it is gone.
    """

    before: str | None
    after: str | None


def changes(before: rulesets.RuleSet, after: rulesets.RuleSet) -> tuple[Change, ...]:
    """Return the rules that differ, sorted by kind and name.

    :param before: one set, with its canonical text.
    :param after: the other.
    :return: the changes.
    """
    old = _by_name(before.text)
    new = _by_name(after.text)
    found: list[Change] = []
    for name in sorted(old.keys() | new.keys()):
        change = Change(old.get(name), new.get(name))
        if change.before != change.after:
            found.append(change)
    return tuple(found)


def _by_name(text: str) -> dict[tuple[str, str], str]:
    rules: dict[tuple[str, str], str] = {}
    for line in text.splitlines():
        kind, name, _ = line.split(" ", 2)
        rules[kind, name] = line
    return rules
