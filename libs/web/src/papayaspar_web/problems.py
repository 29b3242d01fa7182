"""Errors as RFC 9457 problem documents."""

import math
from collections.abc import Awaitable, Callable, Sequence

import attrs
from starlette import applications, requests, responses, routing
from starlette import exceptions as starlette_exceptions

from papayaspar_model import errors
from papayaspar_web import documents

PROBLEM_TYPE = "application/problem+json"


class MethodNotAllowedError(errors.InvalidRequestError):
    """The path does not support the method."""

    code = "method_not_allowed"
    status = 405
    title = "The path knows no such method"


@attrs.frozen
class Problem:
    """A problem document.

    :param title: title of the error type.
    :param status: HTTP status.
    :param code: code of the error type.
    :param detail: human-readable description.
    :param ran: whether the work may have started.
    :param field: name of the field at fault, or ``None``.
    :param request_id: identifier of the request, or ``None``.
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
    """Return the HTTP response for an error, with ``Retry-After`` if the error has a retry time."""
    http_response = documents.respond(
        from_error(error, request_id), error.status, error.ran, PROBLEM_TYPE
    )
    if error.retry_after_s is not None:
        http_response.headers["retry-after"] = str(max(1, math.ceil(error.retry_after_s)))
    return http_response


def application(routes: Sequence[routing.Route]) -> applications.Starlette:
    """Return an ASGI application that answers every failure with a problem document.

    :param routes: routes whose endpoints may raise ``PapayasparError``.
    """
    handlers: dict[type[Exception], Callable[..., Awaitable[responses.Response]]] = {
        errors.PapayasparError: handle_error,
        starlette_exceptions.HTTPException: _handle_http_exception,
        Exception: _handle_unexpected_error,
    }
    return applications.Starlette(routes=routes, exception_handlers=handlers)


async def handle_error(
    request: requests.Request, error: errors.PapayasparError
) -> responses.Response:
    """Return the response for an error that an endpoint raised."""
    return response(error)


async def _handle_http_exception(
    request: requests.Request, error: starlette_exceptions.HTTPException
) -> responses.Response:
    if error.status_code == MethodNotAllowedError.status:
        return response(
            MethodNotAllowedError(f"method {request.method} is not supported at {request.url.path}")
        )
    return response(errors.NotFoundError(f"path {request.url.path} does not exist"))


async def _handle_unexpected_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    detail = f"unexpected error: {type(error).__name__}"
    return response(errors.PapayasparError(detail, ran=errors.Ran.UNKNOWN))
