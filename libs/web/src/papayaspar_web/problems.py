"""Errors as RFC 9457 problem documents."""

import json
import math

import attrs
from starlette import requests, responses

from papayaspar_model import errors

PROBLEM_TYPE = "application/problem+json"


@attrs.frozen
class Problem:
    """A problem document.

    :param title: title of the kind of error.
    :param status: HTTP status.
    :param code: code of the error's type.
    :param detail: one sentence for a person.
    :param ran: whether the work may have started.
    :param field: field at fault, or ``None``.
    :param request_id: the request, or ``None``.
    """

    title: str
    status: int
    code: str
    detail: str
    ran: str
    field: str | None = None
    request_id: str | None = None


def from_error(error: errors.PapayasparError, request_id: str | None = None) -> Problem:
    """Return the document for an error."""
    return Problem(
        title=error.title,
        status=error.status,
        code=error.code,
        detail=error.detail,
        ran=error.ran.value,
        field=error.field,
        request_id=request_id,
    )


def response(error: errors.PapayasparError, request_id: str | None = None) -> responses.Response:
    """Return the HTTP response for an error, with ``Retry-After`` where it helps."""
    document = attrs.asdict(
        from_error(error, request_id), filter=lambda _, value: value is not None
    )
    headers = {"papayaspar-ran": error.ran.value}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after_s)))
    return responses.Response(
        json.dumps(document), status_code=error.status, headers=headers, media_type=PROBLEM_TYPE
    )


async def handle(request: requests.Request, error: Exception) -> responses.Response:
    """Answer an error that a Starlette endpoint raised."""
    if isinstance(error, errors.PapayasparError):
        return response(error)
    return response(
        errors.PapayasparError("an error that should not happen", ran=errors.Ran.UNKNOWN)
    )
