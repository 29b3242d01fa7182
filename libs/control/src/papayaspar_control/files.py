"""Rules files on the operator's machine."""

import pathlib

from papayaspar_control import failures
from papayaspar_rules import parsing, rule_tables


def read_rules(path: pathlib.Path) -> rule_tables.RuleTable:
    """Read and check a rules file.

    :param path: its path.
    :return: the rules.
    :raises UnreadableFileError: if there is no such file.
    :raises InvalidRulesError: naming every fault.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise failures.UnreadableFileError(f"{path}: {error.strerror}") from error
    return parsing.parse_bytes(data, str(path))
