"""Checks between the rules of one file."""

from collections.abc import Hashable, Sequence

from papayaspar_model import rulesets
from papayaspar_rules import statements


def check(found: Sequence[statements.Statement], faults: statements.FaultList) -> None:
    """Note what is wrong between rules whose names are unique.

    :param found: the statements.
    :param faults: gets the faults.
    """
    _check_teams(found, faults)
    _check_scopes(found, faults)
    _check_ceilings(found, faults)


def check_names(found: Sequence[statements.Statement], faults: statements.FaultList) -> None:
    """Note names that are given twice within a kind.

    :param found: the statements.
    :param faults: gets the faults.
    """
    first_by_name: dict[tuple[str, str], statements.Statement] = {}
    for statement in found:
        name = (statement.word.text, statement.name.text)
        first = first_by_name.setdefault(name, statement)
        if first is statement:
            continue
        detail = f"{name[0]} {name[1]!r} is already on line {first.name.line}"
        faults.add(statement.name, "name_duplicate", detail)


def _check_teams(found: Sequence[statements.Statement], faults: statements.FaultList) -> None:
    known = {item.rule.name for item in found if isinstance(item.rule, rulesets.Team)}
    for statement in found:
        if statement.team is None or statement.team.text in known:
            continue
        detail = f"no line names a team {statement.team.text!r}"
        faults.add(statement.team, "team_unknown", detail)


def _check_scopes(found: Sequence[statements.Statement], faults: statements.FaultList) -> None:
    first_by_scope: dict[Hashable, statements.Statement] = {}
    for statement in found:
        if not isinstance(statement.rule, rulesets.Quota | rulesets.QueueLimit):
            continue
        scope = _scope(statement.rule)
        first = first_by_scope.setdefault(scope, statement)
        if first is statement:
            continue
        detail = f"{first.word.text} {first.name.text} already sets this for the same work"
        faults.add(statement.word, "rule_duplicate", detail)


def _scope(rule: rulesets.Quota | rulesets.QueueLimit) -> Hashable:
    if isinstance(rule, rulesets.Quota):
        return ("quota", rule.team)
    return ("queue", rule.urgency, rule.team)


def _check_ceilings(found: Sequence[statements.Statement], faults: statements.FaultList) -> None:
    accelerators: dict[str, int] = {}
    slots: dict[str, int] = {}
    quotas: list[statements.Statement] = []
    for statement in found:
        rule = statement.rule
        if isinstance(rule, rulesets.Guarantee):
            guaranteed = rule.shape.accelerators * rule.count
            accelerators[rule.team] = accelerators.get(rule.team, 0) + guaranteed
        elif isinstance(rule, rulesets.SlotGuarantee):
            slots[rule.team] = slots.get(rule.team, 0) + rule.slots
        elif isinstance(rule, rulesets.Quota):
            quotas.append(statement)
    for statement in quotas:
        rule = statement.rule
        if not isinstance(rule, rulesets.Quota):
            continue
        _check_ceiling(statement, "accelerators", rule.accelerators, accelerators, faults)
        _check_ceiling(statement, "slots", rule.slots, slots, faults)


def _check_ceiling(
    statement: statements.Statement,
    unit: str,
    ceiling: int | None,
    guaranteed: dict[str, int],
    faults: statements.FaultList,
) -> None:
    team = statement.team
    if ceiling is None or team is None:
        return
    floor = guaranteed.get(team.text, 0)
    if floor <= ceiling:
        return
    detail = f"team {team.text} is guaranteed {floor} {unit}, above the quota of {ceiling}"
    faults.add(statement.word, "quota_below_guarantee", detail)
