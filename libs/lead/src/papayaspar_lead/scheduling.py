"""The lead's scheduler: plan, record assignments, send orders and apply what agents report."""

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_jobs import configurations, evacuations, specs
from papayaspar_lead import (
    candidates,
    contention,
    evacuating,
    links,
    listings,
    orders,
    planning_inputs,
    reconciling,
    recording,
    reports,
    restoring,
    room_summaries,
    state,
    workload,
)
from papayaspar_model import causality, clock
from papayaspar_runs import messages
from papayaspar_scheduling import ordering, planner, stops
from papayaspar_store import failures, following, records, stores, views, writing

MILLISECONDS_PER_SECOND = 1000.0
# The lead's lease is valid for this long after its last confirmed write, in seconds: longer than
# most outages of the store, since worker leases expire when no lead confirms its leadership.
LEAD_LEASE_S = 6.0
# Guaranteed work waits at most this long for warm workers, in seconds: it has to begin within some
# seconds of its acceptance, and this leaves time to stop other work.
COLD_WAIT_MAX_S = 1.0
# A planning round runs at each change, and at this interval in seconds for conditions that depend
# on time.
PLAN_INTERVAL_S = 0.25
# Planning rounds use at most this share of the lead's time: an order passes through several
# coroutines, each of which would wait for a whole round if one followed another at once.
PLAN_TIME_SHARE = 0.4
# Maximum number of tasks whose start is in progress: each start takes several steps of its own
# coroutine, and with thousands at once the renewal of the leadership would wait for all of them.
STARTING_TASKS_MAX = 200
# Part of `STARTING_TASKS_MAX` that is kept for jobs that have nothing running.
STARTING_IDLE_JOBS_TASKS = 50
# A start that takes longer than this, in seconds, waits for a worker rather than for the lead, and
# no longer counts towards `STARTING_TASKS_MAX`.
STARTING_COUNTED_S = 1.0
# The fencing token of an attachment is the epoch shifted left by this many bits, plus the number of
# the attachment times the stride; agents raise their own tokens within a stride.
EPOCH_SHIFT_BITS = 24
TOKEN_STRIDE = 64
# Default retention of the records of ended jobs, in seconds.
RETENTION_S = 120.0


@attrs.frozen
class SchedulerLimits:
    """Limits that the installation sets for the scheduler.

    :param lease_max_s: longest lease a worker grants, in seconds.
    :param retention_s: retention of the records of ended jobs, in seconds.
    :param append_bytes_max: largest append that the store accepts, in bytes.
    :param is_learning: whether run times are learned from finished runs; else the declared ones
        hold, and workers count as equal until one is slow.
    :param evacuation_s: time after the acknowledgement of an evacuation from which on nothing may
        start in the data centre, in seconds; ``None`` if there is no bound.
    """

    lease_max_s: float
    retention_s: float = RETENTION_S
    append_bytes_max: int = writing.APPEND_BYTES_MAX
    is_learning: bool = True
    evacuation_s: float | None = None


class Scheduler(links.LinkOwner):
    """Schedule the domain's jobs while this process is lead.

    :param node: name of the lead's VM.
    :param epoch: fencing token of the leadership.
    :param view: in-memory view of the shared partition.
    :param follower: reader that keeps the view up to date.
    :param shared: writer to the shared partition.
    :param tasks_writer: writer to the tasks' partition.
    :param former_confirmed_s: latest time at which a former lead may have confirmed its leadership
        to an agent, on the lead's clock.
    :param limits: limits that the installation sets.
    :param clock_source: the lead's clock.
    :param hybrid_clock: clock of event stamps.
    :param events: journal of decisions.
    :param evacuation_source: the evacuations that the operators have requested, or ``None`` if they
        can't request any.
    """

    def __init__(
        self,
        node: str,
        epoch: int,
        view: views.SharedView,
        follower: following.Follower,
        shared: writing.EpochWriter,
        tasks_writer: writing.EpochWriter,
        former_confirmed_s: float,
        limits: SchedulerLimits,
        clock_source: clock.Clock,
        hybrid_clock: causality.HybridClock,
        events: journal.Journal,
        evacuation_source: evacuations.EvacuationSource | None = None,
    ) -> None:
        self._node = node
        self._epoch = epoch
        self._follower = follower
        self._shared = shared
        self._former_confirmed_s = former_confirmed_s
        self._limits = limits
        self._hybrid_clock = hybrid_clock
        self._token_count = 0
        self._state = state.SchedulerState(
            workload.Workload(events, limits.is_learning), {}, view, clock_source, events
        )
        self._planner = planner.Planner(
            ordering.ByTeamShares(), estimates=self._state.work.durations
        )
        self._inputs = planning_inputs.PlanningInputs(self._state.work)
        self._contention = contention.Contention(self._state)
        # Demands of the newest round that looked at them.
        self._waiting: list[ordering.Demand] = []
        self._room_summary = room_summaries.RoomSummary(
            self._state, epoch, self._state.work.durations
        )
        self._recorder = recording.Recorder(self._state, shared, tasks_writer)
        self._orders = orders.Orders(
            self._state, self._recorder, self.is_lead_lease_valid, self.may_start_on
        )
        self._evacuations = evacuating.EvacuationControl(
            self._state,
            self._orders,
            evacuation_source or evacuations.NoEvacuations(),
            limits.evacuation_s,
        )
        # When the lease of a worker without a link has certainly expired.
        self._unlinked_expiry_s = links.worker_lease_expiry_s(
            former_confirmed_s, limits.lease_max_s
        )
        self._reconciler = reconciling.Reconciler(
            self._state, self._orders, self._recorder, self._unlinked_expiry_s
        )
        self._reports = reports.AgentReports(
            self._state, self._orders, self._recorder, self._reconciler
        )
        self.lost = anyio.Event()

    def configure(self, configuration: configurations.Configuration) -> None:
        """Apply a version of the configuration."""
        self._state.work.configure(configuration)
        self._state.changes.notify()

    async def restore(self, snapshot: stores.Snapshot) -> None:
        """Restore the stored tasks; to be called before :meth:`run`."""
        await restoring.restore_tasks(self._state, self._recorder, snapshot)

    def link(self, node: str) -> links.AgentLink | None:
        """Return the link to the agent on a VM, or ``None`` if there is none."""
        return self._state.links.get(node)

    def attached_nodes(self) -> tuple[str, ...]:
        """Return the VMs whose agents are attached."""
        return tuple(sorted(node for node, link in self._state.links.items() if link.is_attached))

    def resign(self) -> None:
        """Stop sending orders and let the lead's lease end at once."""
        self._state.is_stopped = True

    async def run(self) -> None:
        """Schedule until cancelled."""
        async with anyio.create_task_group() as group:
            self._state.spawner.set_group(group)
            group.start_soon(self._watch_agents)
            group.start_soon(self._evacuations.watch)
            await self._plan_forever()

    async def _watch_agents(self) -> None:
        """Keep a link to each registered agent, and plan again after changes of the view."""
        seen_sequence = 0
        while True:
            for record in list(self._state.view.agents.values()):
                self._update_link(record)
            self._state.changes.notify()
            seen_sequence = await self._follower.changes.wait_for_change(seen_sequence)

    def _update_link(self, record: records.AgentRecord) -> None:
        link = self._state.links.get(record.node)
        if link is not None:
            link.update_record(record)
            return
        link = links.AgentLink(
            record,
            self,
            self._epoch,
            self._node,
            self._limits.lease_max_s,
            self._former_confirmed_s,
            self._state.clock,
            self._hybrid_clock,
            self._state.events,
        )
        self._state.links[record.node] = link
        self._state.spawner.start(link.run)

    # Callbacks of the links.

    def next_token(self) -> int:
        """Return a fencing token above all that this and former leads issued."""
        self._token_count += 1
        return (self._epoch << EPOCH_SHIFT_BITS) + self._token_count * TOKEN_STRIDE

    def is_lead_lease_valid(self) -> bool:
        """Return whether the store confirmed this lead's epoch within ``LEAD_LEASE_S``."""
        confirmed_s = self._shared.confirmed_s
        if self._state.is_stopped or confirmed_s is None:
            return False
        return self._state.clock.now_s() - confirmed_s < LEAD_LEASE_S

    def start_lease_s(self, data_centre: str) -> float | None:
        """Return for how long work may start in a data centre, or ``None`` for no limit."""
        return self._evacuations.start_lease_s(data_centre)

    def may_start_on(self, node: str) -> bool:
        """Return whether work may start on a VM now."""
        return self._evacuations.may_start_on(node)

    def handle_superseded(self, reason: str) -> None:
        """Record that an agent serves a lead with a higher epoch, and end the leadership."""
        self._state.events.record(lines.EventKind.LEAD_LOST, detail=reason)
        self.lost.set()

    def handle_link_lost(self, link: links.AgentLink) -> None:
        """Assign no new work to a worker until its agent is attached again."""
        link.worker.is_open = False
        self._state.changes.notify()

    def handle_state(
        self,
        link: links.AgentLink,
        reported: messages.AgentState,
        previous: messages.AgentState | None = None,
    ) -> None:
        """Apply the state that an agent reports for its worker."""
        self._reports.apply(link, reported, previous)

    # Planning.

    async def _plan_forever(self) -> None:
        while True:
            started_s = self._state.clock.now_s()
            self._plan()
            seen_sequence = self._state.changes.sequence
            round_s = self._state.clock.now_s() - started_s
            self._state.events.metrics.observe_stage("planning_round", round_s)
            await anyio.sleep(planning_pause_s(round_s))
            with anyio.move_on_after(PLAN_INTERVAL_S):
                await self._state.changes.wait_for_change(seen_sequence)

    def _plan(self) -> None:
        now_s, wall_ms = (
            self._state.clock.now_s(),
            self._state.clock.wall_s() * MILLISECONDS_PER_SECOND,
        )
        self._state.work.sync(self._state.view.jobs, now_s)
        self._reconciler.reconcile(now_s)
        self._evacuations.update(now_s)
        self._finish_jobs(now_s)
        if self.is_lead_lease_valid():
            self._start_waiting(now_s, wall_ms)
            self._publish_room(now_s)
        self._recorder.flush()

    def _publish_room(self, now_s: float) -> None:
        room = self._room_summary.updated(self._waiting, now_s)
        if room is None:
            return
        try:
            self._shared.enqueue(records.encode(records.ROOM_KEY, room))
        except failures.RecordError as error:
            # Entries accept every job without a summary; work goes on.
            self._state.events.record(
                lines.EventKind.RECORD_REFUSED, code=error.code, detail=error.detail
            )

    def _start_waiting(self, now_s: float, wall_ms: float) -> None:
        if self._starting_tasks_left(now_s) <= 0:
            return
        unassigned = listings.unassigned_runs(self._state, now_s)
        demands = self._startable(self._inputs.demands(now_s, wall_ms), unassigned, now_s)
        self._waiting = demands
        deferred = [
            self._inputs.restart_demand(unit, now_s, wall_ms)
            for unit in self._reconciler.deferred_units(now_s)
        ]
        excluded_nodes = self._evacuations.excluded_nodes()
        self._planner.release_nodes(excluded_nodes)
        for pool in sorted({self._pool_of(demand) for demand in demands + deferred}):
            self._plan_pool(pool, demands, deferred, unassigned, excluded_nodes, now_s)

    def _startable(
        self,
        demands: list[ordering.Demand],
        unassigned: list[listings.UnassignedRun],
        now_s: float,
    ) -> list[ordering.Demand]:
        """Return the demands of units of which no other run is, or may be, on any worker."""
        work = self._state.work
        for run in unassigned:
            task = work.find_task(run.task)
            if task is not None:
                task.listed_run_max = max(task.listed_run_max, run.run)
        if now_s >= self._unlinked_expiry_s:
            work.release_unreadable()
        running = {run.task for run in unassigned if not run.is_over}
        startable: list[ordering.Demand] = []
        for demand in demands:
            if work.has_unreadable_task(demand.unit):
                continue
            if running and not running.isdisjoint(task.key for task in demand.unit.members):
                continue
            startable.append(demand)
        return startable

    def _starting_tasks_left(self, now_s: float) -> int:
        """Return how many more tasks may be started now."""
        since_s = now_s - STARTING_COUNTED_S
        return STARTING_TASKS_MAX - self._inputs.starting_count(since_s)

    def _pool_of(self, demand: ordering.Demand) -> str:
        return self._state.work.queue_of(demand.unit.job).pool

    def _is_warm_up_counted(self, demands: list[ordering.Demand]) -> bool:
        """Return whether cold workers take less work than warm ones in this round.

        It is for data centres that come back after an evacuation. Guaranteed work is owed its room
        at once: where it has none in time, cold workers are as good as warm ones.
        """
        if self._limits.evacuation_s is None:
            return False
        return not any(
            demand.rank is ordering.Rank.GUARANTEED and demand.waited_s >= COLD_WAIT_MAX_S
            for demand in demands
        )

    def _plan_pool(
        self,
        pool: str,
        demands: list[ordering.Demand],
        deferred: list[ordering.Demand],
        unassigned: list[listings.UnassignedRun],
        excluded_nodes: frozenset[str],
        now_s: float,
    ) -> None:
        pool_demands = [demand for demand in demands if self._pool_of(demand) == pool]
        pool_workers = candidates.in_pool(
            self._state,
            self._inputs,
            pool,
            excluded_nodes,
            self._is_warm_up_counted(pool_demands),
            now_s,
        )
        listed = [(run.node, self._resources_of(run)) for run in unassigned]
        # An agent lists a run that has ended until it polls its worker again.
        running = [(run.node, self._resources_of(run)) for run in unassigned if not run.is_over]
        free = self._inputs.free_capacity(pool_workers, listed, now_s, is_stopping_counted=True)
        plan = self._planner.plan(
            self._contention.assess(pool, pool_demands, free, now_s),
            free,
            self._inputs.free_capacity(pool_workers, running, now_s, is_stopping_counted=False),
            self._inputs.victims(now_s),
            now_s,
            any(link.is_reconnect_expected(now_s) for link in self._state.links.values()),
            [demand for demand in deferred if self._pool_of(demand) == pool],
            planner.StartLimit(self._starting_tasks_left(now_s), STARTING_IDLE_JOBS_TASKS),
        )
        self._orders.preempt(plan, now_s)
        for demand in plan.moves:
            self._orders.stop_unit(
                demand.unit, "its worker is draining, and another has capacity", stops.MOVE
            )
        for start in plan.starts:
            self._orders.assign(start, now_s)

    def _resources_of(self, run: listings.UnassignedRun) -> specs.Resources:
        """Return the resources of a run; those of its whole worker if its job is unknown."""
        accepted_job = self._state.view.jobs.find(run.task.job_id)
        if accepted_job is not None and run.task.step < len(accepted_job.spec.steps):
            return accepted_job.spec.steps[run.task.step].counted_resources
        return self._state.links[run.node].worker.capacity

    def _finish_jobs(self, now_s: float) -> None:
        """Remove ended jobs without runs, and delete their records after the retention time."""
        for active in self._state.work.jobs():
            job_id = active.progress.spec.job_id
            phase = self._recorder.phase_of(active)
            if not phase.is_final:
                continue
            self._recorder.publish_phase(job_id)
            if any(True for _ in active.progress.active_units()):
                continue
            self._state.work.finish(job_id, phase)
        for accepted_job in self._state.view.jobs:
            if (
                accepted_job.ended_s is None
                or now_s - accepted_job.ended_s < self._limits.retention_s
            ):
                continue
            self._recorder.delete_job(accepted_job)


def planning_pause_s(round_s: float) -> float:
    """Return the pause after a planning round, in seconds.

    :param round_s: duration of the round, in seconds.
    """
    return min(PLAN_INTERVAL_S, round_s * (1.0 / PLAN_TIME_SHARE - 1.0))
