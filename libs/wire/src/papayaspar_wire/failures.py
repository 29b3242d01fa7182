"""Errors as they travel between processes."""

import attrs

from papayaspar_model import errors


@attrs.frozen
class Failure:
    """An error of the peer.

    :param code: code of the error's type.
    :param detail: one sentence for a person.
    :param field: field at fault, if any.
    :param ran: whether the work may have started.
    :param retry_after_s: seconds after which trying again may help, if known.
    """

    code: str
    detail: str
    ran: errors.Ran
    field: str | None = None
    retry_after_s: float | None = None


def _types_by_code(root: type[errors.PapayasparError]) -> dict[str, type[errors.PapayasparError]]:
    found = {root.code: root}
    for child in root.__subclasses__():
        found.update(_types_by_code(child))
    return found


def from_error(error: errors.PapayasparError) -> Failure:
    """Return the message for an error."""
    return Failure(error.code, error.detail, error.ran, error.field, error.retry_after_s)


def to_error(failure: Failure) -> errors.PapayasparError:
    """Return the error a message describes; an unknown code gives the base type."""
    error_type = _types_by_code(errors.PapayasparError).get(failure.code, errors.PapayasparError)
    error = error_type(failure.detail)
    error.field = failure.field
    error.ran = failure.ran
    error.retry_after_s = failure.retry_after_s
    return error
