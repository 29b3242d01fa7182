"""Parsing of a rules file."""

from papayaspar_model import rulesets
from papayaspar_rules import checks, faults, lines, rule_tables, statements

TEXT_MAX_CHARS = 1024 * 1024
DEFAULT_FILE = "rules"


def parse(text: str, file: str = DEFAULT_FILE) -> rulesets.RuleSet:
    """Parse a rules file.

    :param text: its text, with LF or CRLF line ends.
    :param file: name of the file, for faults.
    :return: the rules, sorted by name, with revision 0 and the canonical text.
    :raises InvalidRulesError: with every fault of the file.
    """
    return parse_table(text, file).ruleset()


def parse_table(text: str, file: str = DEFAULT_FILE) -> rule_tables.RuleTable:
    """Parse a rules file into a table, which supports comparison and partial changes.

    :param text: its text.
    :param file: name of the file, for faults.
    :return: the rules.
    :raises InvalidRulesError: with every fault of the file.
    """
    fault_list = statements.FaultList(file)
    if len(text) > TEXT_MAX_CHARS:
        fault_list.add(lines.Word("", 1, 1), "too_large", f"more than {TEXT_MAX_CHARS} characters")
        raise faults.InvalidRulesError(fault_list.sorted())
    statement_list: list[statements.Statement] = []
    for number, line_text in enumerate(text.split("\n"), 1):
        line = lines.split_line(number, line_text.removesuffix("\r"))
        if line is None:
            continue
        statement = statements.parse(line, fault_list)
        if statement is not None:
            statement_list.append(statement)
    checks.check_names(statement_list, fault_list)
    checks.check(statement_list, fault_list)
    if len(fault_list):
        raise faults.InvalidRulesError(fault_list.sorted())
    return rule_tables.from_statements(statement_list)


def parse_bytes(data: bytes, file: str = DEFAULT_FILE) -> rule_tables.RuleTable:
    """Parse a rules file in UTF-8.

    :param data: content of the file.
    :param file: name of the file, for faults.
    :return: the rules.
    :raises InvalidRulesError: with every fault of the file.
    """
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        fault = faults.Fault(file, line, column, "encoding_invalid", "the file is not UTF-8")
        raise faults.InvalidRulesError((fault,)) from None
    return parse_table(text, file)
