"""Responses of the server itself: requests that it refuses before any of their work has run."""

import http
import json

import attrs

from papayaspar_serving import loads

PROBLEM_TYPE = b"application/problem+json"
RETRY_AFTER_S = 1


@attrs.frozen
class Refusal:
    """Response to a request that is not accepted.

    :param status: HTTP status.
    :param code: error code.
    """

    status: int
    code: str

    @property
    def body(self) -> bytes:
        """Problem document (RFC 9457)."""
        title = http.HTTPStatus(self.status).phrase
        document = {"title": title, "status": self.status, "code": self.code, "ran": "no"}
        return json.dumps(document).encode()

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Header fields; the connection is closed after the response."""
        fields = [
            (b"content-type", PROBLEM_TYPE),
            (b"content-length", str(len(self.body)).encode()),
            (b"papayaspar-ran", b"no"),
            (b"connection", b"close"),
        ]
        if self.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            fields.append((b"retry-after", str(RETRY_AFTER_S).encode()))
        return fields


# Limits without an entry close the connection without a response: no request is waiting for one.
STATUSES = {
    loads.Cause.CONNECTIONS: http.HTTPStatus.SERVICE_UNAVAILABLE,
    loads.Cause.MEMORY: http.HTTPStatus.SERVICE_UNAVAILABLE,
    loads.Cause.HEADER_SIZE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    loads.Cause.BODY_SIZE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    loads.Cause.HEADER_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
    loads.Cause.BODY_TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
}


def of_cause(cause: loads.Cause) -> Refusal | None:
    """Return the response for a limit, or ``None`` to close the connection without one."""
    status = STATUSES.get(cause)
    return Refusal(status.value, cause.value) if status is not None else None
