"""The scheduling duty while it is held: plan, record, order, and take in what agents say."""

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_jobs import configurations, specs, tasks
from papayaspar_lead import links, orders, reconciling, recording, state, workload
from papayaspar_model import causality, clock
from papayaspar_runs import messages
from papayaspar_scheduling import ordering, planner
from papayaspar_store import following, records, stores, views, writing

MILLISECONDS_PER_SECOND = 1000.0
# A lead vouches for agents for so long after its last confirmed write, in seconds: longer than most
# outages of the store, since leases of workers end when nobody vouches.
VOUCH_S = 6.0
# A plan is made at changes, and this often in seconds for what only time brings.
PLAN_INTERVAL_S = 0.25
# Fencing tokens: the epoch is shifted by so many bits, attachments count in strides below it.
EPOCH_SHIFT_BITS = 24
TOKEN_STRIDE = 64
# Ended jobs are shown for this long, in seconds, unless the installation says otherwise.
SHOW_S = 120.0


@attrs.frozen
class DutyLimits:
    """Bounds of the installation.

    :param lease_max_s: longest lease a worker grants.
    :param show_s: how long ended jobs are shown.
    """

    lease_max_s: float
    show_s: float = SHOW_S


class Duty(links.LinkOwner):
    """Schedules while it is held.

    :param node: name of the lead's machine.
    :param epoch: fencing token of the duty.
    :param view: the shared partition.
    :param follower: follows that partition.
    :param shared: writer to it.
    :param tasks_writer: writer to the tasks' partition.
    :param vouched_s: latest time a former lead may have vouched, on this clock.
    """

    def __init__(
        self,
        node: str,
        epoch: int,
        view: views.SharedView,
        follower: following.Follower,
        shared: writing.EpochWriter,
        tasks_writer: writing.EpochWriter,
        vouched_s: float,
        limits: DutyLimits,
        source: clock.Clock,
        stamps: causality.HybridClock,
        events: journal.Journal,
    ) -> None:
        self._node = node
        self._epoch = epoch
        self._follower = follower
        self._shared = shared
        self._former_vouched_s = vouched_s
        self._limits = limits
        self._stamps = stamps
        self._tokens = 0
        self._planner = planner.Planner()
        self._state = state.DutyState(workload.Workload(events), {}, view, source, events)
        self._recorder = recording.Recorder(self._state, shared, tasks_writer)
        self._orders = orders.Orders(self._state, self._recorder, self.may_vouch)
        self._reconciler = reconciling.Reconciler(
            self._state,
            self._orders,
            self._recorder,
            links.lapse_s(vouched_s, limits.lease_max_s),
        )
        self.lost = anyio.Event()

    def configure(self, configuration: configurations.Configuration) -> None:
        """Take in a version of the configuration."""
        self._state.work.configure(configuration)
        self._state.changes.changed()

    def restore(self, snapshot: stores.Snapshot) -> None:
        """Take in the tasks' records before :meth:`run`."""
        self._state.work.sync(self._state.view.book, self._state.clock.now_s())
        for record in snapshot.records:
            if not record.value or not record.key.startswith(records.TASK):
                continue
            key = tasks.TaskKey.parse(record.key.removeprefix(records.TASK))
            stored = records.decode(record, tasks.TaskRecord)
            self._state.work.restore(key, stored, self._state.clock.now_s())

    def link(self, node: str) -> links.AgentLink | None:
        """Return the stream to a machine's agent, or ``None`` if it is not known."""
        return self._state.links.get(node)

    def attached_nodes(self) -> tuple[str, ...]:
        """Return the machines whose agents take orders now."""
        return tuple(sorted(node for node, link in self._state.links.items() if link.is_attached))

    def give_up(self) -> None:
        """Order nothing and vouch for nobody any more."""
        self._state.is_over = True

    async def run(self) -> None:
        """Schedule until cancelled."""
        async with anyio.create_task_group() as group:
            self._state.spawner.join(group)
            group.start_soon(self._watch)
            await self._plan_forever()

    async def _watch(self) -> None:
        seen = 0
        while True:
            for record in list(self._state.view.agents.values()):
                self._know(record)
            self._state.changes.changed()
            seen = await self._follower.changes.wait_beyond(seen)

    def _know(self, record: records.AgentRecord) -> None:
        link = self._state.links.get(record.node)
        if link is not None:
            link.relocate(record)
            return
        link = links.AgentLink(
            record,
            self,
            self._epoch,
            self._node,
            self._limits.lease_max_s,
            self._former_vouched_s,
            self._state.clock,
            self._stamps,
            self._state.events,
        )
        self._state.links[record.node] = link
        self._state.spawner.start(link.run)

    # What links tell.

    def next_token(self) -> int:
        """Return a fencing token above all that this and former leads gave."""
        self._tokens += 1
        return (self._epoch << EPOCH_SHIFT_BITS) + self._tokens * TOKEN_STRIDE

    def may_vouch(self) -> bool:
        """Return whether the store confirmed this lead's epoch lately."""
        confirmed_s = self._shared.confirmed_s
        if self._state.is_over or confirmed_s is None:
            return False
        return self._state.clock.now_s() - confirmed_s < VOUCH_S

    def deposed(self, reason: str) -> None:
        """Note that a lead with a higher epoch is served."""
        self._state.events.record(lines.EventKind.LEAD_LOST, detail=reason)
        self.lost.set()

    def link_lost(self, link: links.AgentLink) -> None:
        """Close a worker to new work until its agent is back."""
        link.seat.is_open = False
        self._state.changes.changed()

    def state_changed(self, link: links.AgentLink, told: messages.AgentState) -> None:
        """Take in ends, losses and progress on one worker."""
        if told.departure is not None:
            self._reconciler.take_departure(link.node, told.departure, self._state.clock.now_s())
        if told.has_lapsed:
            for task in self._state.work.on_node(link.node):
                if not task.is_starting:
                    self._state.work.release(task, "the worker's lease has run out")
        if told.incarnation is not None and told.is_answering:
            self._take_ends(link, told, told.incarnation)
            self._take_runs(link, told, told.incarnation)
        self._recorder.flush()
        self._state.changes.changed()

    def _take_ends(
        self, link: links.AgentLink, told: messages.AgentState, incarnation: tasks.Incarnation
    ) -> None:
        for end in told.ends:
            if end.number <= link.acknowledged.get(incarnation, 0):
                continue
            self._state.work.end(link.node, end, self._state.clock.now_s())
        if told.ends:
            number = max(end.number for end in told.ends)
            # What the ends changed is queued for the store before this task runs.
            self._state.spawner.start(self._recorder.acknowledge, link, incarnation, number)

    def _take_runs(
        self, link: links.AgentLink, told: messages.AgentState, incarnation: tasks.Incarnation
    ) -> None:
        now_s = self._state.clock.now_s()
        listed = {row.task: row for row in told.runs}
        for task in self._state.work.on_node(link.node):
            row = listed.get(task.key)
            is_listed = row is not None and row.run == task.record.run
            if task.record.incarnation != incarnation:
                if is_listed:
                    # Its order reached the new life of a worker that kept its id.
                    self._state.work.adopt(task, incarnation)
                elif not task.is_starting:
                    self._state.work.release(task, "another life of the worker")
                continue
            if is_listed and row is not None:
                self._state.work.observe(task, row, now_s)
                continue
            if not task.is_starting:
                self._state.work.release(task, "not on its worker")
        for row in told.runs:
            known = self._state.work.find(row.task)
            if known is not None and known.is_assigned and known.record.run == row.run:
                if known.record.node == link.node:
                    continue
            if self._state.work.is_over(row.task, row.run):
                continue
            self._state.events.record(
                lines.EventKind.TASK_UNKNOWN,
                worker=link.node,
                job=row.task.job_id,
                attempt=row.run,
                detail=f"task={row.task}",
            )
            self._state.spawner.start(self._orders.stop_run, link, row.task, row.run)

    # Planning.

    async def _plan_forever(self) -> None:
        while True:
            self._plan()
            seen = self._state.changes.sequence
            with anyio.move_on_after(PLAN_INTERVAL_S):
                await self._state.changes.wait_beyond(seen)

    def _plan(self) -> None:
        now_s, wall_ms = (
            self._state.clock.now_s(),
            self._state.clock.wall_s() * MILLISECONDS_PER_SECOND,
        )
        self._state.work.sync(self._state.view.book, now_s)
        self._reconciler.reconcile(now_s)
        self._finish_jobs(now_s)
        if self.may_vouch():
            self._start_waiting(now_s, wall_ms)
        self._recorder.flush()

    def _start_waiting(self, now_s: float, wall_ms: float) -> None:
        work = self._state.work
        demands = work.demands(now_s, wall_ms)
        stayers = [
            work.demand_again(unit, now_s, wall_ms) for unit in self._reconciler.stayers(now_s)
        ]
        for pool in sorted({self._pool_of(demand) for demand in demands + stayers}):
            self._plan_pool(pool, demands, stayers, now_s)

    def _pool_of(self, demand: ordering.Demand) -> str:
        return self._state.work.queue_of(demand.unit.job).pool

    def _plan_pool(
        self,
        pool: str,
        demands: list[ordering.Demand],
        stayers: list[ordering.Demand],
        now_s: float,
    ) -> None:
        seats = []
        for link in self._state.links.values():
            if link.seat.pool != pool or not link.is_attached:
                continue
            if link.has_refused_lately(now_s):
                continue
            outcomes = self._state.work.outcomes(link.node)
            link.seat.is_trusted = not outcomes.is_ejected(now_s)
            link.seat.slowness = outcomes.slowness
            seats.append(link.seat)
        orphans = self._orphans()
        plan = self._planner.plan(
            [demand for demand in demands if self._pool_of(demand) == pool],
            self._state.work.free_room(seats, orphans, is_stopping_counted=True),
            self._state.work.free_room(seats, orphans, is_stopping_counted=False),
            self._state.work.victims(now_s),
            now_s,
            any(link.is_expected_back(now_s) for link in self._state.links.values()),
            [demand for demand in stayers if self._pool_of(demand) == pool],
        )
        for victim, demand in plan.stops:
            self._state.events.record(
                lines.EventKind.JOB_RECLAIMED,
                job=victim.unit.job.spec.job_id,
                detail=f"for={demand.unit.job.spec.job_id} rank={demand.rank.name}"
                f" lost_core_s={victim.cost_core_s:.1f}",
            )
            self._orders.stop_unit(victim.unit, f"room for {demand.unit.job.spec.job_id}")
        for demand in plan.moves:
            self._orders.stop_unit(demand.unit, "its worker leaves, and there is room elsewhere")
        for start in plan.starts:
            self._orders.assign(start, now_s)

    def _orphans(self) -> list[tuple[str, specs.Room]]:
        """Return the runs on workers that no task is assigned to: of cancelled or failed jobs."""
        found: list[tuple[str, specs.Room]] = []
        for link in self._state.links.values():
            for row in link.state.runs if link.state is not None else ():
                if self._state.work.is_placed(row.task, row.run, link.node):
                    continue
                booked = self._state.view.book.find(row.task.job_id)
                room = link.seat.capacity
                if booked is not None and row.task.step < len(booked.spec.steps):
                    room = booked.spec.steps[row.task.step].counted_room
                found.append((link.node, room))
        return found

    def _finish_jobs(self, now_s: float) -> None:
        """Forget jobs that have ended and run nowhere; drop their records after their time."""
        for live in self._state.work.jobs():
            job_id = live.progress.spec.job_id
            phase = self._recorder.phase_of(live)
            if not phase.is_final:
                continue
            self._recorder.show(job_id)
            if any(True for _ in live.progress.active_units()):
                continue
            self._state.work.finish(job_id)
        for booked in self._state.view.book:
            if booked.ended_s is None or now_s - booked.ended_s < self._limits.show_s:
                continue
            self._recorder.drop(booked)
