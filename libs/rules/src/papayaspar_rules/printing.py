"""The canonical text of rules: one form for each set, whatever file it came from."""

from collections.abc import Iterator, Sequence
from typing import TypeVar, cast

import attrs

from papayaspar_model import rulesets
from papayaspar_rules import faults, kinds, lines

R = TypeVar("R", bound=kinds.Rule)


def print_rules(ruleset: rulesets.RuleSet) -> str:
    """Return the canonical text of rules; ``parse`` reads the same rules back.

    :param ruleset: the rules.
    :return: one line a rule, kinds in a fixed order, names sorted within a kind.
    :raises UnprintableRulesError: if a rule does not say who asked for it.
    """
    return "".join(f"{line}\n" for line in _lines(ruleset))


def with_text(ruleset: rulesets.RuleSet) -> rulesets.RuleSet:
    """Return the rules with their canonical text filled in.

    :param ruleset: the rules.
    :return: the same rules.
    :raises UnprintableRulesError: if a rule does not say who asked for it.
    """
    return attrs.evolve(ruleset, text=print_rules(ruleset))


def _lines(ruleset: rulesets.RuleSet) -> Iterator[str]:
    yield from _section(kinds.TEAMS, ruleset.teams)
    yield from _section(kinds.GUARANTEES, ruleset.guarantees)
    yield from _section(kinds.SLOT_GUARANTEES, ruleset.slot_guarantees)
    yield from _section(kinds.QUOTAS, ruleset.quotas)
    yield from _section(kinds.QUEUE_LIMITS, ruleset.queue_limits)
    if ruleset.retry_budget != rulesets.RetryBudget():
        yield from _section(kinds.RETRY, (ruleset.retry_budget,))


def line_of(rule: kinds.Rule) -> str:
    """Return the canonical line of one rule.

    :param rule: the rule.
    :return: the line without its line feed.
    :raises UnprintableRulesError: if the rule does not say who asked for it.
    """
    kind = cast("kinds.Kind[kinds.Rule]", kinds.BY_RULE[type(rule)])
    return _line(kind, rule)


def _section(kind: kinds.Kind[R], rules: Sequence[R]) -> Iterator[str]:
    for rule in sorted(rules, key=lambda rule: rule.name):
        yield _line(kind, rule)


def _line(kind: kinds.Kind[R], rule: R) -> str:
    if not lines.is_asker(rule.asked_by):
        raise faults.UnprintableRulesError(
            f"{kind.word} {rule.name} does not say who asked for it", field=rule.name
        )
    comment = f"{lines.COMMENT_START} {lines.COMMENT_PREFIX}{rule.asked_by}"
    return f"{kind.word} {rule.name}{kind.write(rule)} {comment}"
