"""Typed reading of the JSON bodies that the stand-ins take."""

import json
from typing import Protocol

from starlette import requests, responses

from papayaspar_model import errors


class Body:
    """A JSON object whose fields are read by type.

    :param fields: the object.
    """

    def __init__(self, fields: dict[str, object]) -> None:
        self._fields = fields

    def text(self, name: str) -> str:
        """Return a text field."""
        value = self._fields.get(name)
        if not isinstance(value, str):
            raise errors.InvalidRequestError(f"{name} must be text", field=name)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number field, or the default when it is left out."""
        value = self._fields.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise errors.InvalidRequestError(f"{name} must be a number", field=name)
        return float(value)

    def flag(self, name: str, default: bool) -> bool:
        """Return a truth value, or the default when it is left out."""
        value = self._fields.get(name, default)
        if not isinstance(value, bool):
            raise errors.InvalidRequestError(f"{name} must be true or false", field=name)
        return value

    def items(self, name: str) -> list[object]:
        """Return a list field."""
        value = self._fields.get(name)
        if not isinstance(value, list):
            raise errors.InvalidRequestError(f"{name} must be a list", field=name)
        return value


class Handler(Protocol):
    """A handler of one route."""

    async def __call__(self, request: requests.Request) -> responses.Response:
        """Answer one request."""


async def read_body(request: requests.Request) -> Body:
    """Read the JSON object of a request.

    :param request: the request.
    :return: its body.
    """
    return parse_body(await request.body())


def parse_body(data: bytes) -> Body:
    """Parse bytes as a JSON object.

    :param data: JSON text in UTF-8.
    :return: the object, ready for typed reading.
    """
    try:
        fields = json.loads(data)
    except ValueError:
        raise errors.InvalidRequestError("the body is not JSON") from None
    if not isinstance(fields, dict):
        raise errors.InvalidRequestError("the body is not a JSON object")
    return Body(fields)


def guard(handler: Handler) -> Handler:
    """Return a handler whose typed errors become JSON answers.

    :param handler: the handler to wrap.
    """

    async def guarded(request: requests.Request) -> responses.Response:
        try:
            return await handler(request)
        except errors.PapayasparError as error:
            return problem(error)

    return guarded


def problem(error: errors.PapayasparError) -> responses.Response:
    """Return the answer that tells of an error."""
    fields = {
        "code": error.code,
        "detail": error.detail,
        "ran": error.ran.value,
        "retry_after_s": error.retry_after_s,
    }
    return responses.JSONResponse(fields, status_code=error.status)
