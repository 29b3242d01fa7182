"""Responses of the server itself: requests that it refuses before any of their work has run."""

import json
import math

from papayaspar_model import errors
from papayaspar_serving import loads

PROBLEM_TYPE = b"application/problem+json"
RETRY_AFTER_S = 1.0


class HeaderTooLargeError(errors.InvalidRequestError):
    """The request line and the header fields exceed the listener's size limit."""

    code = "header_too_large"
    status = 431
    title = "The header is too large"


class HeaderTimeoutError(errors.InvalidRequestError):
    """The client sent its header too slowly."""

    code = "header_timeout"
    status = 408
    title = "The header came too slowly"


class ListenerFullError(errors.UnavailableError):
    """The listener has no memory for the request; ``retry_after_s`` states when to retry."""

    code = "listener_full"
    title = "The listener has no memory left"


# Causes without an entry close the connection without a response: no request is waiting for one.
ERRORS: dict[loads.Cause, type[errors.PapayasparError]] = {
    loads.Cause.MEMORY: ListenerFullError,
    loads.Cause.HEADER_SIZE: HeaderTooLargeError,
    loads.Cause.BODY_SIZE: errors.BodyTooLargeError,
    loads.Cause.HEADER_TIMEOUT: HeaderTimeoutError,
    loads.Cause.BODY_TIMEOUT: errors.BodyTimeoutError,
}


def of_cause(cause: loads.Cause) -> errors.PapayasparError | None:
    """Return the error of a request that exceeds a limit.

    :param cause: limit that was reached.
    :return: the error, or ``None`` if the connection is closed without a response.
    """
    error_type = ERRORS.get(cause)
    if error_type is None:
        return None
    if error_type is ListenerFullError:
        return error_type(retry_after_s=RETRY_AFTER_S)
    return error_type()


def body(error: errors.PapayasparError) -> bytes:
    """Return the problem document (RFC 9457) of an error."""
    document = {
        "title": error.title,
        "status": error.status,
        "code": error.code,
        "detail": error.detail,
        "ran": error.ran.value,
    }
    return json.dumps(document).encode()


def headers(error: errors.PapayasparError, body_bytes: int) -> list[tuple[bytes, bytes]]:
    """Return the header fields of a refusal, after which the connection is closed.

    :param error: the error.
    :param body_bytes: length of the body.
    """
    fields = [
        (b"content-type", PROBLEM_TYPE),
        (b"content-length", str(body_bytes).encode()),
        (b"papayaspar-ran", error.ran.value.encode()),
        (b"connection", b"close"),
    ]
    if error.retry_after_s is not None:
        fields.append((b"retry-after", str(math.ceil(error.retry_after_s)).encode()))
    return fields
