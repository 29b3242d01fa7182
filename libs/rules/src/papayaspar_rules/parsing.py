"""Parsing of a rules file."""

from papayaspar_model import rulesets
from papayaspar_rules import books, checks, faults, lines, statements

TEXT_MAX_CHARS = 1024 * 1024
DEFAULT_FILE = "rules"


def parse(text: str, file: str = DEFAULT_FILE) -> rulesets.RuleSet:
    """Read a rules file.

    :param text: its text, with line feeds or carriage returns and line feeds.
    :param file: name of the file, for faults.
    :return: the rules, sorted by name, with revision 0 and the canonical text.
    :raises InvalidRulesError: naming every fault.
    """
    return parse_book(text, file).ruleset()


def parse_book(text: str, file: str = DEFAULT_FILE) -> books.Book:
    """Read a rules file into a book, which can be changed a few rules at a time.

    :param text: its text.
    :param file: name of the file, for faults.
    :return: the rules.
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
    checks.check_names(parsed, found)
    checks.check(parsed, found)
    if len(found):
        raise faults.InvalidRulesError(found.sorted())
    return books.of_statements(parsed)


def parse_bytes(data: bytes, file: str = DEFAULT_FILE) -> books.Book:
    """Read a rules file in UTF-8.

    :param data: its bytes.
    :param file: name of the file, for faults.
    :return: the rules.
    :raises InvalidRulesError: naming every fault.
    """
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        column = error.start - data.rfind(b"\n", 0, error.start)
        fault = faults.Fault(file, line, column, "encoding_invalid", "the file is not UTF-8")
        raise faults.InvalidRulesError((fault,)) from None
    return parse_book(text, file)
