"""HTTP server of one listening socket: accepts connections and closes those beyond the limits."""

import asyncio
import errno
import logging
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import cast

import anyio
import anyio.abc
import anyio.lowlevel
import hypercorn.app_wrappers
import hypercorn.config
from hypercorn import typing as hypercorn_typing
from hypercorn.asyncio import worker_context

from papayaspar_serving import connections, load_tables, loads

# Sizes of the operating system's buffers of each connection; unread bytes count toward a machine's
# memory too.
SOCKET_BUFFER_BYTES = 64 * 1024
# Pause after a connection could not be accepted, in seconds.
ACCEPT_PAUSE_S = 0.1
EXHAUSTED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Iterations of the event loop for reading the requests of the connections accepted last; a server
# that closes regards a connection without a request as idle.
LAST_ACCEPTED_ITERATIONS = 10
LAST_ACCEPTED_INTERVAL_S = 0.001
LOGGER = logging.getLogger("hypercorn.silent")


class HttpServer:
    """Server of one listening socket.

    :param app: ASGI application.
    :param listening: listening socket; the server takes ownership and closes it.
    :param table: loads of the connections, with their limits.
    :param tls: TLS context, or ``None`` for plain HTTP.
    """

    def __init__(
        self,
        app: Callable[..., Awaitable[None]],
        listening: socket.socket,
        table: load_tables.LoadTable,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        framework = cast(hypercorn_typing.ASGIFramework, app)
        # Detached, so that nothing else closes the descriptor; a second close would hit whichever
        # file has reused its number.
        self._listening = socket.socket(fileno=listening.detach())
        self._listening.setblocking(False)
        self._table = table
        self._server = connections.Server(
            app=hypercorn.app_wrappers.ASGIWrapper(framework),
            config=_protocol_config(),
            context=worker_context.WorkerContext(None),
            table=table,
            tls=tls,
            close=self._close,
        )
        self._connections: dict[loads.ConnectionLoad, connections.Connection] = {}
        self._opened = asyncio.Event()
        self._all_closed = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            # Accepted connections inherit the options.
            self._listening.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)

    async def run(self, stop: Callable[[], Awaitable[None]], grace_s: float) -> None:
        """Serve until ``stop`` returns and the requests in progress are answered.

        :param stop: function that returns when no more connections are to be accepted.
        :param grace_s: longest time in seconds that requests in progress may take after that.
        """
        with self._listening:
            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as keepers:
                    keepers.start_soon(self._accept, tasks)
                    keepers.start_soon(self._close_expired)
                    await stop()
                    keepers.cancel_scope.cancel()
                self._accept_waiting(tasks)
                self._listening.close()
                await self._finish(grace_s)
                tasks.cancel_scope.cancel()

    async def _accept(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            # Lets the other tasks run, also while clients connect without a pause.
            await anyio.lowlevel.checkpoint()
            try:
                accepted, address = self._listening.accept()
            except BlockingIOError:
                await anyio.wait_readable(self._listening)
                continue
            except ConnectionAbortedError:
                # The client has closed the connection meanwhile.
                continue
            except OSError as error:
                self._table.observer.accept_failed(error)
                if error.errno in EXHAUSTED_ERRORS:
                    self._close(self._table.make_room(self._loop.time(), is_exhausted=True) or ())
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            closures = self._table.make_room(self._loop.time())
            if closures is None:
                self._table.observer.connection_refused(address[0])
                accepted.close()
                continue
            self._close(closures)
            self._start(accepted, address[0], tasks)

    def _accept_waiting(self, tasks: anyio.abc.TaskGroup) -> None:
        """Accept the connections that the operating system has established already."""
        while self._table.make_room(self._loop.time()) == ():
            try:
                accepted, address = self._listening.accept()
            except OSError:
                return
            self._start(accepted, address[0], tasks)

    def _start(self, accepted: socket.socket, address: str, tasks: anyio.abc.TaskGroup) -> None:
        accepted.setblocking(False)
        connection = connections.Connection(self._server, accepted, address)
        self._connections[connection.load] = connection
        self._opened.set()
        tasks.start_soon(self._serve, connection)

    async def _serve(self, connection: connections.Connection) -> None:
        try:
            await connection.run()
        except OSError:
            # The client has closed the connection, or the TLS handshake failed.
            pass
        except ExceptionGroup as group:
            # An unexpected error ends its connection only.
            self._table.observer.connection_failed(connection.load.address, group.exceptions[0])
        finally:
            del self._connections[connection.load]
            if not self._connections:
                self._all_closed.set()

    async def _close_expired(self) -> None:
        while True:
            if not self._connections:
                self._opened.clear()
                await self._opened.wait()
            await anyio.sleep(self._table.check_delay_s(self._loop.time()))
            self._close(self._table.expired(self._loop.time()))

    def _close(self, closures: tuple[loads.Closure, ...]) -> None:
        for closure in closures:
            connection = self._connections.get(closure.load)
            if connection is None:
                continue
            self._table.observer.connection_closed(closure)
            if closure.cause in loads.ABORTED_CAUSES:
                connection.abort()
                continue
            connection.close(closure.cause)

    async def _finish(self, grace_s: float) -> None:
        """Close the idle connections, and wait until the requests in progress are answered."""
        for _ in range(LAST_ACCEPTED_ITERATIONS):
            await anyio.sleep(LAST_ACCEPTED_INTERVAL_S)
        # Hypercorn's own event would drop requests sent ahead that were received already.
        self._server.stopping.set()
        for connection in tuple(self._connections.values()):
            connection.close_idle()
        with anyio.move_on_after(grace_s):
            while self._connections:
                self._all_closed.clear()
                await self._all_closed.wait()
        # Before their tasks are cancelled: a cancelled request would be answered with 500, although
        # it may have run.
        for connection in tuple(self._connections.values()):
            connection.abort()


def _protocol_config() -> hypercorn.config.Config:
    """Return the settings of hypercorn's protocol."""
    config = hypercorn.config.Config()
    # The protocol limits what it passes on, so the queues to the application need no limit; a
    # limited one could block the task that has to note the end of a connection.
    config.max_app_queue_size = 0
    config.accesslog = None
    config.errorlog = LOGGER
    LOGGER.setLevel(logging.CRITICAL)
    return config
