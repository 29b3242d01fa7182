"""Faults found in a rules file, and the errors that report them."""

from collections.abc import Sequence

import attrs

from papayaspar_model import errors

DETAIL_MAX_FAULTS = 5


@attrs.frozen
class Fault:
    """One fault in a rules file.

    :param file: name of the file.
    :param line: line, from 1.
    :param column: column of the first faulty character, from 1.
    :param code: code of the fault, such as ``key_unknown``.
    :param detail: description, one sentence.
    """

    file: str
    line: int
    column: int
    code: str
    detail: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.code}: {self.detail}"


class InvalidRulesError(errors.RulesError):
    """A rules file is rejected.

    :param faults: all faults, in the order of the file.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        detail_parts = [str(fault) for fault in faults[:DETAIL_MAX_FAULTS]]
        if len(faults) > DETAIL_MAX_FAULTS:
            detail_parts.append(f"and {len(faults) - DETAIL_MAX_FAULTS} more")
        super().__init__("; ".join(detail_parts))
        self.faults = tuple(faults)


class InvalidValueError(errors.RulesError):
    """A part of a line does not have the expected form.

    :param fault_code: code of the fault.
    :param detail: description, one sentence.
    """

    def __init__(self, fault_code: str, detail: str) -> None:
        super().__init__(detail)
        self.fault_code = fault_code


class UnprintableRulesError(errors.RulesError):
    """Rules built in memory can't be represented as a file."""

    title = "The rules can't be written as a file"


class InvalidRecordError(errors.RulesError):
    """A record of the log is not a revision."""

    title = "The record is not a revision of the rules"
