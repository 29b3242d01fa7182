"""One connection of a listener, served by one task: reading, answering, closing."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable
from typing import Any, cast

import attrs
import hypercorn.config
from hypercorn import events as server_events
from hypercorn import typing as hypercorn_typing
from hypercorn import utils as hypercorn_utils
from hypercorn.asyncio import task_group, worker_context

from papayaspar_serving import http1, load_tables, loads

# Largest number of bytes received at once, and the number of buffered bytes above which a
# connection is not read until the task of the connection has taken them.
RECEIVE_BYTES = 16 * 1024
READ_AHEAD_BYTES = 4 * 1024
# Time for which a client that was refused in the middle of its request may go on sending before
# its connection is reset: a reset could overtake the response, in seconds.
LINGER_S = 1.0
HANDSHAKE_TIMEOUT_S = 10.0
# Iterations of the event loop in which a connection that is closed ends the work of its request.
RELEASE_ITERATIONS = 20

Endpoint = tuple[str, int] | None


@attrs.frozen
class Server:
    """What the connections of a listener share.

    :param app: ASGI application.
    :param config: settings of hypercorn's protocol.
    :param context: state of the server, for hypercorn's protocol.
    :param table: loads of the listener's connections.
    :param tls: TLS context, or ``None`` for plain HTTP.
    :param close: closes connections for a cause.
    :param turns: turns of connections with many chunks.
    :param stopping: set when connections are to be closed once their requests are answered.
    :param receive_buffer: buffer into which all connections receive.
    """

    app: hypercorn_typing.AppWrapper
    config: hypercorn.config.Config
    context: worker_context.WorkerContext
    table: load_tables.LoadTable
    tls: ssl.SSLContext | None
    close: Callable[[tuple[loads.Closure, ...]], None]
    turns: http1.Turns = attrs.field(factory=http1.Turns)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    receive_buffer: memoryview = attrs.field(
        factory=lambda: memoryview(bytearray(RECEIVE_BYTES)), repr=False
    )


class _Stream(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Receives into a shared buffer, and reports the number of received bytes."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        receive_buffer: memoryview,
        received: Callable[[int], bool],
    ) -> None:
        super().__init__(reader)
        self._buffer = receive_buffer
        self._received = received
        self._input = reader
        self._is_ended = False
        self._is_discarding = False
        self.lost = asyncio.Event()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on, unless the connection is being closed."""
        if self._received(nbytes):
            self._input.feed_data(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool:
        """Note that the client sends nothing more, and return whether to keep the connection."""
        can_write = super().eof_received()
        self._is_ended = True
        return bool(can_write) and not self._is_discarding

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the connection."""
        super().connection_made(transport)
        self._connected = cast(asyncio.Transport, transport)

    def resume_reading(self) -> None:
        """Receive again if receiving was paused."""
        self._connected.resume_reading()

    def discard(self) -> bool:
        """Discard what is received from now on.

        :return: whether the client may still be sending.
        """
        self._is_discarding = True
        return not self._is_ended

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is closed."""
        super().connection_lost(exc)
        self.lost.set()


class Connection(http1.RequestObserver):
    """A connection from its acceptance to its end.

    :param server: what the connections of the listener share.
    :param accepted: connected socket, of which the connection takes ownership.
    :param address: address of the client.
    """

    def __init__(self, server: Server, accepted: socket.socket, address: str) -> None:
        self._server = server
        self._accepted = accepted
        self._loop = asyncio.get_running_loop()
        self.load = server.table.open(address, self._loop.time())
        self._reader = asyncio.StreamReader(READ_AHEAD_BYTES, self._loop)
        self._stream = _Stream(self._reader, server.receive_buffer, self._receive)
        self._writer: asyncio.StreamWriter | None = None
        self._protocol: http1.LimitedProtocol | None = None
        self._send_lock = asyncio.Lock()
        self._unread_bytes = 0
        self._is_closing = False
        self._is_lingering = False

    async def run(self) -> None:
        """Serve the connection until it is closed.

        :raises OSError: if the TLS handshake fails, or the client has reset the connection.
        """
        try:
            self._writer = await self._connect()
            client, own = self._endpoints(self._writer)
            async with task_group.TaskGroup(self._loop) as tasks:
                self._protocol = self._make_protocol(tasks, client, own)
                await self._read(self._protocol)
                await self._protocol.handle(server_events.Closed())
            self._protocol = None
            self._server.table.begin_closing(self.load, self._loop.time())
            self._server.table.release(self.load)
            await self._finish(self._writer)
        finally:
            self._server.table.close(self.load)
            if self._writer is None:
                self._accepted.close()
            else:
                self._writer.transport.abort()

    def close(self, cause: loads.Cause | None = None) -> None:
        """Close the connection; if a limit is the cause, a request that has not run is refused."""
        if self._is_closing:
            return
        self._is_closing = True
        is_incomplete = self.load.phase in loads.INCOMPLETE_PHASES
        if self._writer is not None and self._protocol is not None:
            if cause is not None and is_incomplete and not self._writer.is_closing():
                self._writer.write(self._protocol.refusal(cause))
            self._protocol.close()
        self._is_lingering = is_incomplete and self._server.tls is None
        self._server.table.begin_closing(self.load, self._loop.time())
        self._reader.feed_eof()

    def abort(self) -> None:
        """Close the connection at once; what was not sent is dropped."""
        self.close()
        self._is_lingering = False
        self._server.table.close(self.load)
        if self._writer is not None:
            self._writer.transport.abort()
            return
        # Ends a TLS handshake in progress, which holds the descriptor until its timeout.
        with contextlib.suppress(OSError):
            self._accepted.shutdown(socket.SHUT_RDWR)

    def close_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.load.phase in (loads.Phase.IDLE, loads.Phase.CLOSING):
            self.close()

    async def header_complete(self, field_count: int) -> None:
        """Charge the header fields of a request; return when there is memory for it."""
        now_s = self._loop.time()
        self._server.close(self._server.table.begin_body(self.load, field_count, now_s))
        await self._wait_released()

    def request_complete(self) -> None:
        """Note that a request can run."""
        self._server.table.begin_answer(self.load, self._loop.time())

    def refused(self, cause: loads.Cause) -> None:
        """Refuse a request that exceeds a limit."""
        self._server.close((loads.Closure(self.load, cause),))

    def waited(self, waited_s: float) -> None:
        """Disregard a time for which this process did not read from the connection."""
        self._server.table.excuse(self.load, waited_s)

    async def _connect(self) -> asyncio.StreamWriter:
        timeout_s = HANDSHAKE_TIMEOUT_S if self._server.tls is not None else None
        transport, _ = await self._loop.connect_accepted_socket(
            lambda: self._stream,
            self._accepted,
            ssl=self._server.tls,
            ssl_handshake_timeout=timeout_s,
        )
        # Answers stay with the operating system until the client reads them; the next request is
        # not read before.
        transport.set_write_buffer_limits(high=0)
        return asyncio.StreamWriter(transport, self._stream, self._reader, self._loop)

    def _endpoints(self, writer: asyncio.StreamWriter) -> tuple[Endpoint, Endpoint]:
        """Return the addresses of the client and of the server."""
        connected: socket.socket = writer.get_extra_info("socket")
        return (
            hypercorn_utils.parse_socket_addr(connected.family, connected.getpeername()),
            hypercorn_utils.parse_socket_addr(connected.family, connected.getsockname()),
        )

    def _make_protocol(
        self, tasks: task_group.TaskGroup, client: Endpoint, own: Endpoint
    ) -> http1.LimitedProtocol:
        server = self._server
        arguments: tuple[Any, ...] = (
            server.app,
            server.config,
            server.context,
            tasks,
            hypercorn_typing.ConnectionState({}),
            server.tls is not None,
            client,
            own,
            self._send,
        )
        return http1.LimitedProtocol(server.table.request_limits, self, server.turns, *arguments)

    def _receive(self, count: int) -> bool:
        """Count received bytes, and return whether they are wanted."""
        if self._is_closing:
            return False
        self._unread_bytes += count
        self._server.close(self._server.table.receive(self.load, count, self._loop.time()))
        return not self._is_closing

    async def _read(self, protocol: http1.LimitedProtocol) -> None:
        while not self._is_closing:
            try:
                data = await self._reader.read(RECEIVE_BYTES)
            except OSError:
                # The client has reset the connection.
                return
            if not data or self._is_closing:
                return
            self._unread_bytes -= len(data)
            await protocol.handle(server_events.RawData(data))
            self._server.table.settle(self.load, protocol.held_bytes() + self._unread_bytes)
            await self._wait_released()

    async def _wait_released(self) -> None:
        """Let connections that are being closed release what they hold."""
        for _ in range(RELEASE_ITERATIONS):
            if self._is_closing or not self._server.table.is_releasing():
                return
            await asyncio.sleep(0)

    async def _send(self, event: server_events.Event) -> None:
        if isinstance(event, server_events.Closed):
            self.close()
        elif isinstance(event, server_events.Updated) and event.idle:
            self._finish_request()
        elif isinstance(event, server_events.RawData) and event.data:
            await self._write(event.data)

    async def _write(self, data: bytes) -> None:
        if self._writer is None or self._protocol is None:
            return
        async with self._send_lock:
            try:
                self._writer.write(data)
                if not self._writer.transport.get_write_buffer_size():
                    return
                self.load.unread_since_s = self._loop.time()
                await self._writer.drain()
            except (OSError, RuntimeError):
                await self._protocol.handle(server_events.Closed())
            finally:
                self.load.unread_since_s = None

    def _finish_request(self) -> None:
        if self._protocol is None:
            return
        unparsed_bytes = self._protocol.unparsed_bytes() + self._unread_bytes
        self._protocol.forget_request()
        self._server.table.finish(self.load, unparsed_bytes, self._loop.time())
        if self._server.stopping.is_set():
            self.close_idle()

    async def _finish(self, writer: asyncio.StreamWriter) -> None:
        """Send what is left; a client that was refused may finish sending first."""
        try:
            self._is_lingering = self._stream.discard() and self._is_lingering
            if self._is_lingering:
                writer.write_eof()
                # A reader whose buffer was full has paused the transport.
                self._stream.resume_reading()
            else:
                writer.close()
            async with asyncio.timeout(
                LINGER_S if self._is_lingering else load_tables.READ_TIMEOUT_S
            ):
                await self._stream.lost.wait()
        except (OSError, RuntimeError, TimeoutError):
            # The connection is broken or the client does not read; it is aborted.
            pass
