"""The entry as a whole: its listeners, and a shutdown that cuts no request."""

import random
import socket

import anyio
import anyio.abc
from starlette import applications as starlette_applications

from papayaspar_admission import budgets, queues
from papayaspar_entry import (
    callers,
    claimant,
    config,
    dispatcher,
    entry_links,
    gang_calls,
    gang_runs,
    handovers,
    homekeeper,
    job_board,
    operators,
    rulebook,
    sessions,
    shardkeeper,
)
from papayaspar_events import journal, lines, metrics
from papayaspar_membership import ejection, members
from papayaspar_model import causality, clock
from papayaspar_placement import consolidation, durations, ends, fleet, shape_keeping
from papayaspar_placement import queues as job_queues
from papayaspar_platform import http_logs, logs
from papayaspar_serving import listeners
from papayaspar_settings import daemons
from papayaspar_slots import launches, terms
from papayaspar_wire import transports

SPACING_S = 0.01
SPACING_PER_WORKER_S = 0.0001
FORGET_AFTER_S = 10.0


class Entry(daemons.Daemon):
    """One entry.

    :param settings: checked settings.
    :param log: client of the platform's log; HTTP by the settings when left out.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        settings: config.EntryConfig,
        log: logs.Log | None = None,
        clock_source: clock.Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock_source or clock.BootClock()
        stamps = causality.HybridClock(self._clock)
        self._journal = journal.Journal(
            settings.name, settings.data_centre, stamps, metrics.Metrics()
        )
        self._log = log or http_logs.HttpLog(str(settings.log))
        self._table = members.MemberTable()
        self._view = fleet.FleetView()
        self._book = rulebook.Rulebook(self._log, self._journal, self._clock)
        self._links = entry_links.EntryLinks(self._book, self._journal, settings.stream_tls)
        self._keeper = homekeeper.Homekeeper(
            self._log, self._book, self._view, self._links, self._journal
        )
        self._book.checks.append(self._keeper.check)
        self._shards = shardkeeper.Shardkeeper(self._log, self._table, self._links, self._journal)
        self._sessions = sessions.Sessions(
            settings.name,
            self._table,
            self._view,
            self._book,
            self._links,
            self._keeper,
            self._shards,
            self._journal,
            self._clock,
        )
        self._handovers = handovers.Handovers(self._table, self._sessions, self._shards)
        self._claimant = claimant.Claimant(self._sessions, self._shards, self._clock)
        self._admission = queues.AdmissionQueue(self._clock)
        self._retries = budgets.RetryBudget(self._clock)
        self._outliers = ejection.OutlierDetector(self._clock)
        self._dispatcher = dispatcher.Dispatcher(
            self._table,
            self._sessions,
            self._admission,
            self._retries,
            self._outliers,
            self._journal,
            self._clock,
        )
        self._jobs = self._make_job_board()
        self._callers = callers.CallerApi(
            self._dispatcher, self._claimant, self._jobs, self._journal, self._clock
        )
        self._operators = operators.OperatorApi(
            self._table,
            self._sessions,
            self._book,
            self._keeper,
            self._shards,
            self._jobs,
            self._journal,
        )
        self._stopping = anyio.Event()
        self._closing = anyio.Event()
        self._http_done = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`stop`, then until the requests in progress are answered."""
        self._journal.record(lines.EventKind.PROCESS_STARTED)
        streams = await transports.listen(self._settings.listen, self._settings.stream_tls)
        self._links.own_address = str(self._settings.advertise or streams.address)
        try:
            await self._serve(streams, task_status)
        finally:
            with anyio.CancelScope(shield=True):
                await self._log.close()
        self._journal.record(lines.EventKind.PROCESS_STOPPED)

    async def _serve(
        self, streams: transports.Listener, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(streams.serve, self._sessions.serve)
            group.start_soon(self._serve_http, self._bind())
            group.start_soon(self._links.run, tuple(map(str, self._settings.peers)))
            group.start_soon(self._book.follow)
            group.start_soon(self._book.watch_log)
            group.start_soon(self._book.keep_alive)
            group.start_soon(self._shards.follow)
            group.start_soon(self._shards.propose)
            group.start_soon(self._handovers.run)
            group.start_soon(self._keeper.follow)
            group.start_soon(self._keeper.pack)
            group.start_soon(self._jobs.run)
            group.start_soon(self._apply_rules)
            group.start_soon(self._follow_members)
            group.start_soon(self._follow_capacity)
            self._callers.is_ready = True
            task_status.started()
            await self._stopping.wait()
            self._callers.is_ready = False
            await anyio.sleep(self._settings.unready_s)
            self._closing.set()
            await self._http_done.wait()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Turn unready, stop accepting, finish, leave."""
        self._journal.record(lines.EventKind.PROCESS_STOPPING)
        self._stopping.set()

    def _make_job_board(self) -> job_board.JobBoard:
        times = terms.Terms()
        expected = ends.EndEstimator(durations.DurationEstimator())
        agents = gang_calls.StreamGangAgents(self._sessions, self._table, times)
        launcher = launches.Launcher(self._settings.name, agents, random.Random(), times)
        runs = gang_runs.GangRuns(agents, launcher, expected, self._journal, times)
        consolidator = consolidation.Consolidator(expected)
        policy = shape_keeping.ShapeKeeping(expected, consolidator)
        queue = job_queues.JobQueue(policy, expected)
        return job_board.JobBoard(
            self._log,
            self._book,
            self._keeper,
            self._links,
            self._view,
            queue,
            runs,
            self._journal,
            self._clock,
        )

    async def _follow_members(self) -> None:
        """Keep lost workers out of placement, and forget them after a while."""
        while True:
            for member in self._table.all():
                self._outliers.join(member.name, member.report.identity.incarnation)
            self._view.set_ejected(self._out_of_use())
            self._view.set_avoided(self._on_trial())
            self._forget_lost()
            with anyio.move_on_after(FORGET_AFTER_S):
                await self._table.wait_changed()
            await self._pause()

    async def _pause(self) -> None:
        """Wait a moment, longer in a large fleet: reports come in bursts, a recount serves one."""
        await anyio.sleep(SPACING_S + SPACING_PER_WORKER_S * len(self._table))

    def _out_of_use(self) -> list[str]:
        names = []
        for member in self._table.all():
            is_ejected = self._outliers.standing(member.name) is ejection.Standing.EJECTED
            if is_ejected or not member.is_connected:
                names.append(member.name)
        return names

    def _on_trial(self) -> list[str]:
        names = [member.name for member in self._table.all()]
        return [
            name for name in names if self._outliers.standing(name) is ejection.Standing.ON_TRIAL
        ]

    def _forget_lost(self) -> None:
        now_s = self._clock.now_s()
        for member in self._table.all():
            if member.lost_at_s is None or now_s - member.lost_at_s < FORGET_AFTER_S:
                continue
            self._view.forget(member.name)

    async def _apply_rules(self) -> None:
        seen = 0
        while True:
            seen = await self._book.changes.wait_beyond(seen)
            self._admission.apply(self._book.rules)
            self._retries.apply(self._book.rules.retry_budget)

    async def _follow_capacity(self) -> None:
        while True:
            entries = len(self._links.live)
            fair_slots = self._table.total_slots() // entries
            open_slots = max(fair_slots, self._table.open_slots())
            self._admission.set_capacity(open_slots, 1 / entries)
            await self._table.wait_changed()
            await self._pause()

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
