"""Parsing of a rules file."""

from collections.abc import Sequence
from typing import TypeVar

from papayaspar_model import rulesets
from papayaspar_rules import checks, faults, kinds, lines, printing, statements

R = TypeVar("R", bound=kinds.Rule)

TEXT_MAX_CHARS = 1024 * 1024
DEFAULT_FILE = "rules"


def parse(text: str, file: str = DEFAULT_FILE) -> rulesets.RuleSet:
    """Read a rules file.

    :param text: its text, with line feeds or carriage returns and line feeds.
    :param file: name of the file, for faults.
    :return: the rules, sorted by name, with revision 0 and the canonical text.
    :raises InvalidRulesError: naming every fault.
    """
    found = statements.FaultList(file)
    if len(text) > TEXT_MAX_CHARS:
        found.add(lines.Word("", 1, 1), "too_large", f"more than {TEXT_MAX_CHARS} characters")
        raise faults.InvalidRulesError(found.sorted())
    parsed: list[statements.Statement] = []
    for number, raw in enumerate(text.split("\n"), 1):
        line = lines.scan(number, raw.removesuffix("\r"))
        if line is None:
            continue
        statement = statements.read(line, found)
        if statement is not None:
            parsed.append(statement)
    checks.check(parsed, found)
    if len(found):
        raise faults.InvalidRulesError(found.sorted())
    return _assemble([statement.rule for statement in parsed])


def parse_bytes(data: bytes, file: str = DEFAULT_FILE) -> rulesets.RuleSet:
    """Read a rules file in UTF-8.

    :param data: its bytes.
    :param file: name of the file, for faults.
    :return: the rules, as :func:`parse` returns them.
    :raises InvalidRulesError: naming every fault.
    """
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        fault = faults.Fault(file, line, column, "encoding_invalid", "the file is not UTF-8")
        raise faults.InvalidRulesError((fault,)) from None
    return parse(text, file)


def _assemble(rules: Sequence[kinds.Rule]) -> rulesets.RuleSet:
    budgets = _sorted(rules, rulesets.RetryBudget)
    ruleset = rulesets.RuleSet(
        teams=_sorted(rules, rulesets.Team),
        guarantees=_sorted(rules, rulesets.Guarantee),
        slot_guarantees=_sorted(rules, rulesets.SlotGuarantee),
        quotas=_sorted(rules, rulesets.Quota),
        queue_limits=_sorted(rules, rulesets.QueueLimit),
        retry_budget=budgets[0] if budgets else rulesets.RetryBudget(),
    )
    return printing.with_text(ruleset)


def _sorted(rules: Sequence[kinds.Rule], cls: type[R]) -> tuple[R, ...]:
    chosen = [rule for rule in rules if isinstance(rule, cls)]
    return tuple(sorted(chosen, key=lambda rule: rule.name))
