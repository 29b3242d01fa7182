"""Small ASGI applications: a whole request in, a whole answer out."""

import abc
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import attrs

from papayaspar_model import errors

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
# Longest body unless an application says otherwise.
BODY_MAX_BYTES = 4 * 1024 * 1024


class BodyTooLongError(errors.InvalidRequestError):
    """The body is longer than the application takes."""

    code = "body_too_long"
    status = 413
    title = "The body is too long"


@attrs.frozen
class Request:
    """A request with its whole body.

    :param method: its method.
    :param path: its path, decoded.
    :param headers: its headers by lower-case name.
    :param body: its body.
    :param query: its query, undecoded.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    query: str = ""


@attrs.frozen
class Answer:
    """An answer.

    :param status: HTTP status.
    :param body: its body.
    :param headers: its headers besides the length.
    """

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Application(abc.ABC):
    """An ASGI application that reads each request whole before it answers."""

    @abc.abstractmethod
    async def answer(self, request: Request) -> Answer:
        """Answer a request."""

    def body_max_bytes(self) -> int:
        """Return the longest body that is taken."""
        return BODY_MAX_BYTES

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one connection's request, as ASGI calls it."""
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

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Return the body, or ``None`` if the caller left before its end."""
        chunks = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunks += message.get("body", b"")
            if len(chunks) > self.body_max_bytes():
                raise BodyTooLongError(f"a body may have {self.body_max_bytes()} bytes")
            if not message.get("more_body", False):
                return bytes(chunks)


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
