"""Canonical text of rules, which is the same for equal rules from different files."""

from collections.abc import Iterator, Sequence
from typing import TypeVar, cast

import attrs

from papayaspar_model import rulesets
from papayaspar_rules import faults, kinds, lines

R = TypeVar("R", bound=kinds.Rule)


def print_rules(ruleset: rulesets.RuleSet) -> str:
    """Return the canonical text of rules; ``parse`` turns it into the same rules.

    :param ruleset: the rules.
    :return: one line per rule, kinds in a fixed order, names sorted within a kind.
    :raises UnprintableRulesError: if a rule has no valid ``asked_by``.
    """
    return "".join(f"{line}\n" for line in _format_lines(ruleset))


def with_text(ruleset: rulesets.RuleSet) -> rulesets.RuleSet:
    """Return the rules with their canonical text filled in.

    :param ruleset: the rules.
    :return: the same rules.
    :raises UnprintableRulesError: if a rule has no valid ``asked_by``.
    """
    return attrs.evolve(ruleset, text=print_rules(ruleset))


def _format_lines(ruleset: rulesets.RuleSet) -> Iterator[str]:
    yield from _format_kind(kinds.TEAMS, ruleset.teams)
    yield from _format_kind(kinds.GUARANTEES, ruleset.guarantees)
    yield from _format_kind(kinds.SLOT_GUARANTEES, ruleset.slot_guarantees)
    yield from _format_kind(kinds.QUOTAS, ruleset.quotas)
    yield from _format_kind(kinds.QUEUE_LIMITS, ruleset.queue_limits)
    if ruleset.retry_budget != rulesets.RetryBudget():
        yield from _format_kind(kinds.RETRY, (ruleset.retry_budget,))


def format_rule(rule: kinds.Rule) -> str:
    """Return the canonical line of one rule.

    :param rule: the rule.
    :return: the line without its line feed.
    :raises UnprintableRulesError: if the rule has no valid ``asked_by``.
    """
    kind = cast("kinds.Kind[kinds.Rule]", kinds.BY_RULE_CLASS[type(rule)])
    return _format_line(kind, rule)


def _format_kind(kind: kinds.Kind[R], rules: Sequence[R]) -> Iterator[str]:
    for rule in sorted(rules, key=lambda rule: rule.name):
        yield _format_line(kind, rule)


def _format_line(kind: kinds.Kind[R], rule: R) -> str:
    if not lines.is_valid_asked_by(rule.asked_by):
        raise faults.UnprintableRulesError(
            f"{kind.keyword} {rule.name} has no valid asked_by", field=rule.name
        )
    comment = f"{lines.COMMENT_MARKER} {lines.COMMENT_PREFIX}{rule.asked_by}"
    return f"{kind.keyword} {rule.name}{kind.format(rule)} {comment}"
