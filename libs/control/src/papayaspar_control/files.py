"""Reading of local rules files."""

import pathlib

from papayaspar_control import failures
from papayaspar_rules import parsing, rule_tables


def read_rules(path: pathlib.Path) -> rule_tables.RuleTable:
    """Read and validate a rules file.

    :param path: path of the file.
    :return: the rules.
    :raises UnreadableFileError: if the file can't be read.
    :raises InvalidRulesError: with every fault of the file.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise failures.UnreadableFileError(f"{path}: {error.strerror}") from error
    return parsing.parse_bytes(data, str(path))
