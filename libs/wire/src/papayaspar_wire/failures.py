"""Conversion of errors to messages and back."""

import attrs

from papayaspar_model import errors


@attrs.frozen
class Failure:
    """An error that a peer raised.

    :param code: code of the error type.
    :param detail: human-readable description.
    :param field: name of the field at fault, or ``None``.
    :param ran: whether the work may have started.
    :param retry_after_s: time in seconds after which a retry may succeed, or ``None``.
    """

    code: str
    detail: str
    ran: errors.Ran
    field: str | None = None
    retry_after_s: float | None = None


def _types_by_code(root: type[errors.PapayasparError]) -> dict[str, type[errors.PapayasparError]]:
    types = {root.code: root}
    for child in root.__subclasses__():
        types.update(_types_by_code(child))
    return types


def from_error(error: errors.PapayasparError) -> Failure:
    """Return the message for an error."""
    return Failure(error.code, error.detail, error.ran, error.field, error.retry_after_s)


def to_error(failure: Failure) -> errors.PapayasparError:
    """Return the error that a message describes; an unknown code maps to the base type."""
    error_type = _types_by_code(errors.PapayasparError).get(failure.code, errors.PapayasparError)
    error = error_type(failure.detail)
    error.field = failure.field
    error.ran = failure.ran
    error.retry_after_s = failure.retry_after_s
    return error
