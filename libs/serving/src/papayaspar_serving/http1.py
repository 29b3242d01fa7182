"""HTTP/1.1 on one connection: hypercorn's protocol, with limits on each request.

Neither HTTP/2 nor WebSocket is offered, since their buffers have limits of their own.
"""

import abc
import asyncio
from typing import Any

import h11
from hypercorn import events as server_events
from hypercorn.protocol import events as stream_events
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.protocol import http_stream

from papayaspar_serving import limits, load_tables, loads, refusals

# Headers from this size on are decoded in turn: many short fields take many times their size.
LARGE_HEADER_BYTES = 2 * limits.KIBIBYTE
# Chunks of a body that one connection may decode before the other connections get their turn.
CHUNKS_PER_TURN = 32
FIELD_SEPARATOR_BYTES = len(": \r\n")
REQUEST_LINE_SEPARATOR_BYTES = len("  HTTP/1.1\r\n")


class Turns:
    """Turns of the connections that send large headers or bodies in very many chunks.

    Decoding a chunk costs about the same time whatever its size, and a header field about the same
    memory. Only one such connection decodes at a time, so that others are served in between.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def take(self) -> None:
        """Wait for the next turn."""
        await self._lock.acquire()
        # Without this iteration of the event loop, connections that wait in the same iteration
        # would find the lock free one after another, and all decode before anything else runs.
        try:
            await asyncio.sleep(0)
        except BaseException:
            self._lock.release()
            raise

    def leave(self) -> None:
        """End a turn."""
        self._lock.release()


class RequestObserver(abc.ABC):
    """Observer of the requests on one connection."""

    @abc.abstractmethod
    async def header_complete(self, field_count: int) -> None:
        """Note that a header is complete; return when there is memory for its request."""

    @abc.abstractmethod
    def request_complete(self) -> None:
        """Note that a request is complete and can run."""

    @abc.abstractmethod
    def refused(self, cause: loads.Cause) -> None:
        """Note that the request exceeds a limit."""

    @abc.abstractmethod
    def waited(self, waited_s: float) -> None:
        """Note a time in seconds for which this process did not read from the connection."""


class Resumption:
    """Event that hypercorn's protocol sets when the next request can be read."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    async def clear(self) -> None:
        """Clear the event."""
        self._event.clear()

    async def wait(self) -> None:
        """Wait until the event is set."""
        await self._event.wait()

    async def set(self) -> None:
        """Set the event."""
        self._event.set()

    def is_set(self) -> bool:
        """Return whether the event is set."""
        return self._event.is_set()

    def resume(self) -> None:
        """Set the event from code that is not a coroutine."""
        self._event.set()


class LimitedProtocol(h11_protocol.H11Protocol):
    """Reads requests one after the other: the next one when the previous one is answered.

    :param request_limits: limits on each request.
    :param observer: observer of the requests.
    :param turns: turns of connections with many chunks, shared by all connections of a listener.
    :param arguments: parameters of hypercorn's protocol.
    """

    def __init__(
        self,
        request_limits: limits.RequestLimits,
        observer: RequestObserver,
        turns: Turns,
        *arguments: Any,
    ) -> None:
        super().__init__(*arguments)
        self._request_limits = request_limits
        self._observer = observer
        self._turns = turns
        self._resumption = Resumption()
        self.can_read = self._resumption
        self.connection = self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=request_limits.header_max_bytes
        )
        self._unsent_body = bytearray()
        self._chunk_count = 0
        self._has_turn = False
        self._method = b""
        self._header_bytes = 0
        self._body_bytes = 0
        self._is_closed = False

    def held_bytes(self) -> int:
        """Return the memory of the current request and of the bytes not parsed yet."""
        return self._header_bytes + self._body_bytes + self.unparsed_bytes()

    def unparsed_bytes(self) -> int:
        """Return the number of received bytes that were not parsed yet."""
        return len(self._parser.trailing_data[0])

    def forget_request(self) -> None:
        """Forget the method and the sizes of a request that was answered."""
        self._method = b""
        self._header_bytes = self._body_bytes = 0

    def close(self) -> None:
        """Read no more requests."""
        self._is_closed = True
        self._unsent_body = bytearray()
        self._resumption.resume()

    def refusal(self, cause: loads.Cause) -> bytes:
        """Return the response to a request that exceeds a limit.

        :return: the response, or nothing if a response was begun or none is due.
        """
        error = refusals.of_cause(cause)
        if error is None or self._parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return b""
        body = refusals.body(error)
        headers = refusals.headers(error, len(body)) + self.config.response_headers("h11")
        response = self._parser.send(h11.Response(status_code=error.status, headers=headers))
        # The response to a HEAD request has no body. The connection is closed after the response,
        # so the parser need not know its end.
        return response if self._method == b"HEAD" else response + body

    async def _handle_events(self) -> None:
        self._chunk_count = 0
        try:
            while not self._is_closed and await self._handle_next_event():
                pass
        finally:
            self._leave_turn()

    async def _handle_next_event(self) -> bool:
        """Handle one event, and return whether there may be another one."""
        if self._parser.they_are_waiting_for_100_continue:
            headers = self.config.response_headers("h11")
            await self._send_h11_event(h11.InformationalResponse(status_code=100, headers=headers))
        is_header = self._parser.their_state is h11.IDLE
        if is_header and self.unparsed_bytes() >= LARGE_HEADER_BYTES:
            await self._next_turn()
            if self._is_closed:
                # Refused while it waited: the parser takes no request after its response.
                return False
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(error)
            return False
        if isinstance(event, h11.Data):
            return await self._take_body(event)
        await self._forward_body()
        if isinstance(event, h11.Request):
            await self._begin_request(event)
            return True
        self._leave_turn()
        if event is h11.PAUSED:
            await self.can_read.clear()
            await self.can_read.wait()
            return True
        if isinstance(event, h11.EndOfMessage) and self.stream is not None:
            self._observer.request_complete()
            await self.stream.handle(stream_events.EndBody(stream_id=h11_protocol.STREAM_ID))
            return True
        return False

    async def _begin_request(self, request: h11.Request) -> None:
        """Begin a request, or refuse one that states that it exceeds a limit."""
        header_bytes = len(request.method) + len(request.target) + REQUEST_LINE_SEPARATOR_BYTES
        body_bytes = 0
        for name, value in request.headers:
            header_bytes += len(name) + len(value) + FIELD_SEPARATOR_BYTES
            if name == b"content-length":
                body_bytes = int(value)
        field_count = len(request.headers)
        self._method = request.method
        self._header_bytes = header_bytes + field_count * load_tables.HEADER_FIELD_BYTES
        self._body_bytes = 0
        await self._observer.header_complete(field_count)
        self._leave_turn()
        if header_bytes > self._request_limits.header_max_bytes:
            self._observer.refused(loads.Cause.HEADER_SIZE)
        elif body_bytes > self._request_limits.body_max_bytes:
            self._observer.refused(loads.Cause.BODY_SIZE)
        if self._is_closed:
            return
        await self.send(server_events.Updated(idle=False))
        await self._create_stream(request)

    async def _create_stream(self, request: h11.Request) -> None:
        self.stream = http_stream.HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            h11_protocol.STREAM_ID,
        )
        begun = stream_events.Request(
            stream_id=h11_protocol.STREAM_ID,
            headers=list(request.headers),
            http_version=request.http_version.decode(),
            method=request.method.decode("ascii").upper(),
            raw_path=request.target,
            state=self.connection_state,
        )
        await self.stream.handle(begun)
        self.keep_alive_requests += 1

    async def _take_body(self, part: h11.Data) -> bool:
        """Take a part of a body; many small parts are passed on together."""
        if self.stream is None:
            return False
        self._unsent_body += part.data
        self._body_bytes += len(part.data)
        if self._body_bytes > self._request_limits.body_max_bytes:
            self._observer.refused(loads.Cause.BODY_SIZE)
            return False
        self._chunk_count += 1
        if self._chunk_count % CHUNKS_PER_TURN == 0:
            await self._forward_body()
            await self._next_turn()
        return True

    async def _forward_body(self) -> None:
        if not self._unsent_body or self.stream is None:
            return
        data, self._unsent_body = self._unsent_body, bytearray()
        await self.stream.handle(
            stream_events.Body(stream_id=h11_protocol.STREAM_ID, data=bytes(data))
        )

    async def _next_turn(self) -> None:
        self._leave_turn()
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await asyncio.sleep(0)
        await self._turns.take()
        self._has_turn = True
        self._observer.waited(loop.time() - start_s)

    def _leave_turn(self) -> None:
        if self._has_turn:
            self._has_turn = False
            self._turns.leave()

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        if error.error_status_hint == refusals.HeaderTooLargeError.status:
            self._observer.refused(loads.Cause.HEADER_SIZE)
            return
        if self._parser.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await self._send_error_response(error.error_status_hint)
        await self.send(server_events.Closed())
