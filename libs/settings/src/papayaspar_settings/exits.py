"""Exit codes of all programs."""

import enum

from papayaspar_model import errors


class ExitCode(enum.IntEnum):
    """Exit code of a program."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3


MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "rejected, failed, or a check did not pass",
    ExitCode.USAGE: "invalid usage or settings, nothing done",
    ExitCode.UNAVAILABLE: "service not reachable now",
}


def exit_code_of(error: errors.PapayasparError) -> ExitCode:
    """Return the exit code for an error.

    :param error: the error that terminates the program.
    :return: the exit code.
    """
    if isinstance(error, errors.SettingsError):
        return ExitCode.USAGE
    if isinstance(error, errors.UnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED
