"""Minimal ASGI applications with complete requests and responses, without streaming."""

import abc
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import attrs

from papayaspar_model import errors
from papayaspar_serving import limits

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Body = bytes | bytearray


class BodyTooLongError(errors.InvalidRequestError):
    """The body is longer than the application accepts."""

    code = "body_too_long"
    status = 413
    title = "The body is too long"


@attrs.frozen
class Request:
    """An HTTP request with its complete body.

    :param method: HTTP method.
    :param path: decoded path.
    :param headers: headers by lower-case name.
    :param body: complete body.
    :param query: query string, not decoded.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: Body
    query: str = ""


@attrs.frozen
class Answer:
    """An HTTP response with its complete body.

    :param status: HTTP status.
    :param body: complete body.
    :param headers: headers other than ``content-length``.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Application(limits.RequestLimitsSource):
    """An ASGI application that reads the complete request before it answers."""

    @abc.abstractmethod
    async def answer(self, request: Request) -> Answer:
        """Return the response to a request."""

    def request_limits(self) -> limits.RequestLimits:
        """Return the limits on requests; an application may override them."""
        return limits.DEFAULT_REQUESTS

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Handle one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        try:
            body = await self._read_body(receive)
        except BodyTooLongError as error:
            await _send_answer(send, Answer(error.status, headers=(("connection", "close"),)))
            return
        if body is None:
            return
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]
        }
        query = scope["query_string"].decode("latin-1")
        request = Request(scope["method"], scope["path"], headers, body, query)
        answer = await self.answer(request)
        await _send_answer(send, answer)

    async def _read_body(self, receive: Receive) -> Body | None:
        """Return the body, or ``None`` if the caller disconnects before its end."""
        body_max_bytes = self.request_limits().body_max_bytes
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            body += message.get("body", b"")
            if len(body) > body_max_bytes:
                raise BodyTooLongError(f"the body is longer than {body_max_bytes} bytes")
            if not message.get("more_body", False):
                return body


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_answer(send: Send, answer: Answer) -> None:
    headers = [(name.encode(), value.encode()) for name, value in answer.headers]
    headers.append((b"content-length", str(len(answer.body)).encode()))
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
