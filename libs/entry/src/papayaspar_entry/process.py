"""The entry as a whole: its listeners, and a shutdown that cuts no request."""

import socket

import anyio
import anyio.abc
from starlette import applications as starlette_applications

from papayaspar_entry import callers, config, dispatcher, operators, sessions
from papayaspar_events import journal, lines, metrics
from papayaspar_membership import members
from papayaspar_model import causality, clock
from papayaspar_settings import daemons
from papayaspar_web import listeners
from papayaspar_wire import transports


class Entry(daemons.Daemon):
    """One entry.

    :param settings: checked settings.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self, settings: config.EntryConfig, clock_source: clock.Clock | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock_source or clock.BootClock()
        stamps = causality.HybridClock(self._clock)
        self._journal = journal.Journal(
            settings.name, settings.data_centre, stamps, metrics.Metrics()
        )
        self._table = members.MemberTable()
        self._sessions = sessions.Sessions(settings.name, self._table, self._journal, self._clock)
        self._dispatcher = dispatcher.Dispatcher(
            self._table, self._sessions, self._journal, self._clock
        )
        self._callers = callers.CallerApi(self._dispatcher, self._journal, self._clock)
        self._operators = operators.OperatorApi(self._table, self._sessions, self._journal)
        self._stopping = anyio.Event()
        self._closing = anyio.Event()
        self._http_done = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`stop`, then until the requests in progress are answered."""
        self._journal.record(lines.EventKind.PROCESS_STARTED)
        streams = await transports.listen(self._settings.listen, self._settings.stream_tls)
        self._sessions.entries = (str(streams.address),)
        async with anyio.create_task_group() as group:
            group.start_soon(streams.serve, self._sessions.serve)
            group.start_soon(self._serve_http, self._bind())
            self._callers.is_ready = True
            task_status.started()
            await self._stopping.wait()
            self._callers.is_ready = False
            await anyio.sleep(self._settings.unready_s)
            self._closing.set()
            await self._http_done.wait()
            group.cancel_scope.cancel()
        self._journal.record(lines.EventKind.PROCESS_STOPPED)

    def stop(self) -> None:
        """Turn unready, stop accepting, finish, leave."""
        self._journal.record(lines.EventKind.PROCESS_STOPPING)
        self._stopping.set()

    def _bind(self) -> tuple[socket.socket, socket.socket]:
        callers_at = self._settings.callers
        operators_at = self._settings.operators
        return (
            listeners.bind(callers_at.host, callers_at.port),
            listeners.bind(operators_at.host, operators_at.port),
        )

    async def _serve_http(self, bound: tuple[socket.socket, socket.socket]) -> None:
        applications = (self._callers.application(), self._operators.application())
        async with anyio.create_task_group() as group:
            for application, listening in zip(applications, bound, strict=True):
                group.start_soon(self._serve_application, application, listening)
        self._http_done.set()

    async def _serve_application(
        self, application: starlette_applications.Starlette, listening: socket.socket
    ) -> None:
        await listeners.serve(
            application,
            listening,
            self._closing.wait,
            grace_s=self._settings.grace_s,
            tls=self._settings.http_tls,
        )
