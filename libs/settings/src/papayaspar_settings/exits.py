"""Exit codes that all programs share."""

import enum

from papayaspar_model import errors


class ExitCode(enum.IntEnum):
    """How a program ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3


MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.FAILED: "refused, failed, or a check did not hold",
    ExitCode.USAGE: "bad usage or settings, nothing done",
    ExitCode.UNAVAILABLE: "what was asked is not reachable now",
}


def exit_code_of(error: errors.PapayasparError) -> ExitCode:
    """Return the exit code for an error.

    :param error: the error that ends the program.
    :return: the documented code.
    """
    if isinstance(error, errors.SettingsError):
        return ExitCode.USAGE
    if isinstance(error, errors.UnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED
