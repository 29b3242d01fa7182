"""Checks of the rules of one file against each other."""

from collections.abc import Hashable, Sequence

from papayaspar_model import rulesets
from papayaspar_rules import statements


def check(statement_list: Sequence[statements.Statement], fault_list: statements.FaultList) -> None:
    """Record contradictions between rules, apart from duplicate names.

    :param statement_list: the statements.
    :param fault_list: receives the faults.
    """
    _check_teams(statement_list, fault_list)
    _check_scopes(statement_list, fault_list)
    _check_quotas(statement_list, fault_list)


def check_names(
    statement_list: Sequence[statements.Statement], fault_list: statements.FaultList
) -> None:
    """Record names that occur twice within a kind.

    :param statement_list: the statements.
    :param fault_list: receives the faults.
    """
    first_by_name: dict[tuple[str, str], statements.Statement] = {}
    for statement in statement_list:
        keyword_and_name = (statement.keyword.text, statement.name.text)
        first = first_by_name.setdefault(keyword_and_name, statement)
        if first is statement:
            continue
        detail = (
            f"{keyword_and_name[0]} {keyword_and_name[1]!r} is already on line {first.name.line}"
        )
        fault_list.add(statement.name, "name_duplicate", detail)


def _check_teams(
    statement_list: Sequence[statements.Statement], fault_list: statements.FaultList
) -> None:
    team_names = {
        statement.rule.name
        for statement in statement_list
        if isinstance(statement.rule, rulesets.Team)
    }
    for statement in statement_list:
        if statement.team is None or statement.team.text in team_names:
            continue
        detail = f"no line defines a team {statement.team.text!r}"
        fault_list.add(statement.team, "team_unknown", detail)


def _check_scopes(
    statement_list: Sequence[statements.Statement], fault_list: statements.FaultList
) -> None:
    first_by_scope: dict[Hashable, statements.Statement] = {}
    for statement in statement_list:
        if not isinstance(statement.rule, rulesets.Quota | rulesets.QueueLimit):
            continue
        scope = _scope(statement.rule)
        first = first_by_scope.setdefault(scope, statement)
        if first is statement:
            continue
        detail = f"{first.keyword.text} {first.name.text} already sets this limit for the same work"
        fault_list.add(statement.keyword, "rule_duplicate", detail)


def _scope(rule: rulesets.Quota | rulesets.QueueLimit) -> Hashable:
    if isinstance(rule, rulesets.Quota):
        return ("quota", rule.team)
    return ("queue", rule.urgency, rule.team)


def _check_quotas(
    statement_list: Sequence[statements.Statement], fault_list: statements.FaultList
) -> None:
    accelerators_by_team: dict[str, int] = {}
    slots_by_team: dict[str, int] = {}
    quotas: list[statements.Statement] = []
    for statement in statement_list:
        rule = statement.rule
        if isinstance(rule, rulesets.Guarantee):
            guaranteed = rule.shape.accelerators * rule.count
            accelerators_by_team[rule.team] = accelerators_by_team.get(rule.team, 0) + guaranteed
        elif isinstance(rule, rulesets.SlotGuarantee):
            slots_by_team[rule.team] = slots_by_team.get(rule.team, 0) + rule.slots
        elif isinstance(rule, rulesets.Quota):
            quotas.append(statement)
    for statement in quotas:
        rule = statement.rule
        if not isinstance(rule, rulesets.Quota):
            continue
        _check_quota(statement, "accelerators", rule.accelerators, accelerators_by_team, fault_list)
        _check_quota(statement, "slots", rule.slots, slots_by_team, fault_list)


def _check_quota(
    statement: statements.Statement,
    unit: str,
    quota: int | None,
    guaranteed_by_team: dict[str, int],
    fault_list: statements.FaultList,
) -> None:
    team = statement.team
    if quota is None or team is None:
        return
    guaranteed = guaranteed_by_team.get(team.text, 0)
    if guaranteed <= quota:
        return
    detail = f"team {team.text} is guaranteed {guaranteed} {unit}, above the quota of {quota}"
    fault_list.add(statement.keyword, "quota_below_guarantee", detail)
