"""The entry process: construction of its parts, its listeners and its graceful shutdown."""

import random
import socket

import anyio
import anyio.abc
from starlette import applications as starlette_applications

from papayaspar_admission import budgets, queues
from papayaspar_entry import (
    callers,
    config,
    deduplication,
    dispatcher,
    entry_links,
    gang_calls,
    gang_runs,
    home_manager,
    job_manager,
    operators,
    rules_manager,
    sessions,
    shard_handovers,
    shard_manager,
)
from papayaspar_estimates import quantiles
from papayaspar_events import journal, lines, metrics
from papayaspar_membership import ejection, members
from papayaspar_model import causality, clock
from papayaspar_placement import completions, consolidation, fleet, shape_keeping
from papayaspar_placement import queues as job_queues
from papayaspar_platform import http_logs, logs
from papayaspar_serving import limits, listeners, load_tables, reports
from papayaspar_settings import daemons
from papayaspar_slots import launches, timings
from papayaspar_web import bodies
from papayaspar_wire import transports

UPDATE_INTERVAL_S = 0.01
UPDATE_INTERVAL_PER_WORKER_S = 0.0001
REMOVE_LOST_AFTER_S = 10.0


class Entry(daemons.Daemon):
    """One entry.

    :param settings: validated configuration.
    :param log: client of the platform's log; defaults to an HTTP client of the configured address.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self,
        settings: config.EntryConfig,
        log: logs.Log | None = None,
        clock_source: clock.Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock_source or clock.BootClock()
        hybrid_clock = causality.HybridClock(self._clock)
        self._journal = journal.Journal(
            settings.name, settings.data_centre, hybrid_clock, metrics.Metrics()
        )
        self._log = log or http_logs.HttpLog(str(settings.log))
        self._table = members.MemberTable()
        self._view = fleet.FleetView()
        self._rules = rules_manager.RulesManager(self._log, self._journal, self._clock)
        self._entry_links = entry_links.EntryLinks(self._rules, self._journal, settings.stream_tls)
        self._homes = home_manager.HomeManager(
            self._log, self._rules, self._view, self._entry_links, self._journal
        )
        self._rules.checks.append(self._homes.check)
        self._shards = shard_manager.ShardManager(
            self._log, self._table, self._entry_links, self._journal
        )
        self._sessions = sessions.Sessions(
            settings.name,
            self._table,
            self._view,
            self._rules,
            self._entry_links,
            self._homes,
            self._shards,
            self._journal,
            self._clock,
        )
        self._shard_handovers = shard_handovers.ShardHandovers(
            self._table, self._sessions, self._shards
        )
        self._deduplicator = deduplication.Deduplicator(
            self._table, self._sessions, self._shards, self._clock
        )
        self._admission = queues.AdmissionQueue(self._clock)
        self._retries = budgets.RetryBudget(self._clock)
        self._outlier_detector = ejection.OutlierDetector(self._clock)
        self._dispatcher = dispatcher.Dispatcher(
            self._table,
            self._sessions,
            self._admission,
            self._retries,
            self._outlier_detector,
            self._journal,
            self._clock,
        )
        self._jobs = self._make_job_manager()
        self._caller_api = callers.CallerApi(
            self._dispatcher, self._deduplicator, self._jobs, self._journal, self._clock
        )
        self._operator_api = operators.OperatorApi(
            self._table,
            self._sessions,
            self._rules,
            self._homes,
            self._shards,
            self._jobs,
            self._journal,
        )
        self._stopping = anyio.Event()
        self._closing = anyio.Event()
        self._http_closed = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until :meth:`stop` is called and the requests in progress are answered."""
        self._journal.record(lines.EventKind.PROCESS_STARTED)
        stream_listener = await transports.listen(self._settings.listen, self._settings.stream_tls)
        self._entry_links.own_address = str(self._settings.advertise or stream_listener.address)
        try:
            await self._serve(stream_listener, task_status)
        finally:
            with anyio.CancelScope(shield=True):
                await self._log.close()
        self._journal.record(lines.EventKind.PROCESS_STOPPED)

    async def _serve(
        self, stream_listener: transports.Listener, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(stream_listener.serve, self._sessions.serve)
            group.start_soon(self._serve_http, self._bind())
            group.start_soon(self._entry_links.run, tuple(map(str, self._settings.peers)))
            group.start_soon(self._rules.follow)
            group.start_soon(self._rules.watch_log)
            group.start_soon(self._rules.repeat_head)
            group.start_soon(self._shards.follow)
            group.start_soon(self._shards.propose)
            group.start_soon(self._shard_handovers.run)
            group.start_soon(self._homes.follow)
            group.start_soon(self._homes.pack)
            group.start_soon(self._jobs.run)
            group.start_soon(self._apply_rules)
            group.start_soon(self._follow_members)
            group.start_soon(self._follow_capacity)
            self._caller_api.is_ready = True
            task_status.started()
            await self._stopping.wait()
            self._caller_api.is_ready = False
            await anyio.sleep(self._settings.unready_s)
            self._closing.set()
            await self._http_closed.wait()
            group.cancel_scope.cancel()

    def stop(self) -> None:
        """Start a graceful shutdown: become unready, close the listeners, finish open requests."""
        self._journal.record(lines.EventKind.PROCESS_STOPPING)
        self._stopping.set()

    def _make_job_manager(self) -> job_manager.JobManager:
        times = timings.Timings()
        estimator = completions.CompletionEstimator(quantiles.DurationEstimator())
        agents = gang_calls.StreamGangAgents(self._sessions, self._table, times)
        launcher = launches.Launcher(self._settings.name, agents, random.Random(), times)
        runs = gang_runs.GangRuns(agents, launcher, estimator, self._journal, times)
        consolidator = consolidation.Consolidator(estimator)
        policy = shape_keeping.ShapeKeeping(estimator, consolidator)
        queue = job_queues.JobQueue(policy, estimator)
        return job_manager.JobManager(
            self._log,
            self._rules,
            self._homes,
            self._entry_links,
            self._view,
            queue,
            runs,
            self._journal,
            self._clock,
        )

    async def _follow_members(self) -> None:
        """Exclude lost and ejected workers from placement, and avoid workers on trial.

        Lost workers are removed from the view of the fleet after a timeout.
        """
        while True:
            for member in self._table.all():
                self._outlier_detector.add(member.name, member.report.identity.incarnation)
            self._view.set_ejected(self._ejected_or_lost_workers())
            self._view.set_avoided(self._trial_workers())
            self._remove_lost_workers()
            with anyio.move_on_after(REMOVE_LOST_AFTER_S):
                await self._table.wait_for_change()
            await self._wait_before_update()

    async def _wait_before_update(self) -> None:
        """Wait before the next update, longer in a large fleet.

        Reports arrive in bursts, so one update covers many of them.
        """
        await anyio.sleep(UPDATE_INTERVAL_S + UPDATE_INTERVAL_PER_WORKER_S * len(self._table))

    def _ejected_or_lost_workers(self) -> list[str]:
        names = []
        for member in self._table.all():
            is_ejected = (
                self._outlier_detector.status(member.name) is ejection.EjectionStatus.EJECTED
            )
            if is_ejected or not member.is_connected:
                names.append(member.name)
        return names

    def _trial_workers(self) -> list[str]:
        names = [member.name for member in self._table.all()]
        return [
            name
            for name in names
            if self._outlier_detector.status(name) is ejection.EjectionStatus.ON_TRIAL
        ]

    def _remove_lost_workers(self) -> None:
        now_s = self._clock.now_s()
        for member in self._table.all():
            if (
                member.disconnected_at_s is None
                or now_s - member.disconnected_at_s < REMOVE_LOST_AFTER_S
            ):
                continue
            self._view.remove_worker(member.name)

    async def _apply_rules(self) -> None:
        seen_sequence = 0
        while True:
            seen_sequence = await self._rules.changes.wait_for_change(seen_sequence)
            self._admission.apply(self._rules.current)
            self._retries.apply(self._rules.current.retry_budget)

    async def _follow_capacity(self) -> None:
        """Set the admission capacity to this entry's share of the slots.

        The capacity is higher if this entry holds or could use more slots than its share.
        """
        while True:
            entries = len(self._entry_links.live_addresses)
            fair_slots = self._table.total_slots() // entries
            open_slots = max(fair_slots, self._table.open_slots())
            self._admission.set_capacity(open_slots, 1 / entries)
            await self._table.wait_for_change()
            await self._wait_before_update()

    def _bind(self) -> tuple[socket.socket, socket.socket]:
        callers_address = self._settings.callers
        operators_address = self._settings.operators
        return (
            listeners.bind(callers_address.host, callers_address.port),
            listeners.bind(operators_address.host, operators_address.port),
        )

    async def _serve_http(self, bound: tuple[socket.socket, socket.socket]) -> None:
        callers_socket, operators_socket = bound
        machine = limits.ListenerLimits.of_machine(self._settings.memory_mb, self._settings.fds_max)
        callers_table = self._make_table(machine, "callers")
        operators_table = self._make_table(limits.OPERATORS_LISTENER, "operators")
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._serve_application,
                self._caller_api.application(),
                callers_socket,
                callers_table,
            )
            group.start_soon(
                self._serve_application,
                self._operator_api.application(),
                operators_socket,
                operators_table,
            )
        self._http_closed.set()

    def _make_table(
        self, listener_limits: limits.ListenerLimits, name: str
    ) -> load_tables.LoadTable:
        request_limits = limits.FixedRequestLimits(
            limits.RequestLimits(body_max_bytes=bodies.BODY_MAX_BYTES)
        )
        return reports.make_table(listener_limits, request_limits, self._journal, name)

    async def _serve_application(
        self,
        application: starlette_applications.Starlette,
        listening: socket.socket,
        table: load_tables.LoadTable,
    ) -> None:
        await listeners.serve(
            application,
            listening,
            self._closing.wait,
            grace_s=self._settings.grace_s,
            tls=self._settings.http_tls,
            table=table,
        )
