"""Typed access to the JSON request bodies of the stand-ins, and JSON error responses."""

import json
from typing import Protocol

from starlette import requests, responses

from papayaspar_model import errors


class Body:
    """A JSON object whose fields are read by type.

    :param fields: the fields of the object, by name.
    """

    def __init__(self, fields: dict[str, object]) -> None:
        self._fields = fields

    def text(self, name: str) -> str:
        """Return a required text field."""
        value = self._fields.get(name)
        if not isinstance(value, str):
            raise errors.InvalidRequestError(f"{name} must be text", field=name)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number field, or the default if it is missing."""
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise errors.InvalidRequestError(f"{name} must be a number", field=name)
        return float(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a boolean field, or the default if it is missing."""
        value = self._fields.get(name, default)
        if not isinstance(value, bool):
            raise errors.InvalidRequestError(f"{name} must be true or false", field=name)
        return value

    def array(self, name: str) -> list[object]:
        """Return a required array field."""
        value = self._fields.get(name)
        if not isinstance(value, list):
            raise errors.InvalidRequestError(f"{name} must be a list", field=name)
        return value


class Handler(Protocol):
    """The request handler of one route."""

    async def __call__(self, request: requests.Request) -> responses.Response:
        """Answer one request."""


async def read_body(request: requests.Request) -> Body:
    """Read the body of a request as a JSON object.

    :param request: the request to read.
    :return: the parsed body.
    """
    return parse_body(await request.body())


def parse_body(data: bytes) -> Body:
    """Parse bytes as a JSON object.

    :param data: JSON text in UTF-8.
    :return: the object, whose fields are read by type.
    """
    try:
        fields = json.loads(data)
    except ValueError:
        raise errors.InvalidRequestError("the body is not JSON") from None
    if not isinstance(fields, dict):
        raise errors.InvalidRequestError("the body is not a JSON object")
    return Body(fields)


def with_error_responses(handler: Handler) -> Handler:
    """Return a handler that turns typed errors into JSON responses.

    :param handler: the handler to wrap.
    """

    async def handle(request: requests.Request) -> responses.Response:
        try:
            return await handler(request)
        except errors.PapayasparError as error:
            return error_response(error)

    return handle


def error_response(error: errors.PapayasparError) -> responses.Response:
    """Return the JSON response for an error."""
    fields = {
        "code": error.code,
        "detail": error.detail,
        "ran": error.ran.value,
        "retry_after_s": error.retry_after_s,
    }
    return responses.JSONResponse(fields, status_code=error.status)
