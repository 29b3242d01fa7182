"""The scheduling duty while it is held: plan, record, order, and take in what agents say."""

import anyio
import anyio.abc
import attrs

from papayaspar_events import journal, lines
from papayaspar_jobs import books, configurations, progress, specs, tasks
from papayaspar_lead import links, workload
from papayaspar_model import causality, clock, errors, signals
from papayaspar_runs import messages, workers
from papayaspar_scheduling import fleet, ordering, planner
from papayaspar_store import following, records, stores, views, writing

MILLISECONDS_PER_SECOND = 1000.0
# A lead vouches for agents for so long after its last confirmed write, in seconds: longer than most
# outages of the store, since leases of workers end when nobody vouches.
VOUCH_S = 6.0
# A plan is made at changes, and this often in seconds for what only time brings.
PLAN_INTERVAL_S = 0.25
# A machine whose agent was away for so long, with no task on it, is forgotten, in seconds.
FORGET_AFTER_S = 60.0
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
        self._view = view
        self._follower = follower
        self._shared = shared
        self._tasks_writer = tasks_writer
        self._former_vouched_s = vouched_s
        self._limits = limits
        self._clock = source
        self._stamps = stamps
        self._events = events
        self._links: dict[str, links.AgentLink] = {}
        self._away_since_s: dict[str, float] = {}
        self._tokens = 0
        self._work = workload.Workload(events)
        self._planner = planner.Planner()
        self._changes = signals.ChangeSignal()
        self._group: anyio.abc.TaskGroup | None = None
        self._shown: dict[str, books.JobPhase] = {}
        self._is_over = False
        self.lost = anyio.Event()

    def configure(self, configuration: configurations.Configuration) -> None:
        """Take in a version of the configuration."""
        self._work.configure(configuration)
        self._changes.changed()

    def restore(self, snapshot: stores.Snapshot) -> None:
        """Take in the tasks' records before :meth:`run`."""
        self._work.sync(self._view.book, self._clock.now_s())
        for record in snapshot.records:
            if not record.value or not record.key.startswith(records.TASK):
                continue
            key = tasks.TaskKey.parse(record.key.removeprefix(records.TASK))
            self._work.restore(key, records.decode(record, tasks.TaskRecord))

    def attached_nodes(self) -> tuple[str, ...]:
        """Return the machines whose agents take orders now."""
        return tuple(sorted(node for node, link in self._links.items() if link.is_attached))

    def give_up(self) -> None:
        """Order nothing and vouch for nobody any more."""
        self._is_over = True

    async def run(self) -> None:
        """Schedule until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._watch)
            await self._plan_forever()

    async def _watch(self) -> None:
        seen = 0
        while True:
            for record in list(self._view.agents.values()):
                self._know(record)
            self._changes.changed()
            seen = await self._follower.changes.wait_beyond(seen)

    def _know(self, record: records.AgentRecord) -> None:
        link = self._links.get(record.node)
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
            self._clock,
            self._stamps,
            self._events,
        )
        self._links[record.node] = link
        self._away_since_s[record.node] = self._clock.now_s()
        self._spawn(link.run)

    def _spawn(self, function: object, *arguments: object) -> None:
        if self._group is not None and not self._is_over:
            self._group.start_soon(function, *arguments)  # type: ignore[arg-type]

    # What links tell.

    def next_token(self) -> int:
        """Return a fencing token above all that this and former leads gave."""
        self._tokens += 1
        return (self._epoch << EPOCH_SHIFT_BITS) + self._tokens * TOKEN_STRIDE

    def may_vouch(self) -> bool:
        """Return whether the store confirmed this lead's epoch lately."""
        confirmed_s = self._shared.confirmed_s
        if self._is_over or confirmed_s is None:
            return False
        return self._clock.now_s() - confirmed_s < VOUCH_S

    def deposed(self, reason: str) -> None:
        """Note that a lead with a higher epoch is served."""
        self._events.record(lines.EventKind.LEAD_LOST, detail=reason)
        self.lost.set()

    def link_lost(self, link: links.AgentLink) -> None:
        """Close a worker to new work until its agent is back."""
        link.seat.is_open = False
        self._away_since_s[link.node] = self._clock.now_s()
        self._changes.changed()

    def state_changed(self, link: links.AgentLink, state: messages.AgentState) -> None:
        """Take in ends, losses and progress on one worker."""
        self._away_since_s.pop(link.node, None)
        if state.has_lapsed:
            for task in self._work.on_node(link.node):
                if not task.is_starting:
                    self._work.release(task, "the worker's lease has run out")
        if state.incarnation is not None and state.is_answering:
            self._take_ends(link, state, state.incarnation)
            self._take_runs(link, state, state.incarnation)
        self._flush()
        if state.ends and state.incarnation is not None:
            number = max(end.number for end in state.ends)
            self._spawn(self._acknowledge, link, state.incarnation, number)
        self._changes.changed()

    def _take_ends(
        self, link: links.AgentLink, state: messages.AgentState, incarnation: tasks.Incarnation
    ) -> None:
        for end in state.ends:
            if end.number <= link.acknowledged.get(incarnation, 0):
                continue
            self._work.end(link.node, end, self._clock.now_s())

    def _take_runs(
        self, link: links.AgentLink, state: messages.AgentState, incarnation: tasks.Incarnation
    ) -> None:
        now_s = self._clock.now_s()
        listed = {row.task: row for row in state.runs}
        for task in self._work.on_node(link.node):
            row = listed.get(task.key)
            if task.record.incarnation != incarnation:
                if not task.is_starting:
                    self._work.release(task, "another life of the worker")
                continue
            if row is not None and row.run == task.record.run:
                _note_progress(task, row, now_s)
                continue
            if not task.is_starting:
                self._work.release(task, "not on its worker")
        for row in state.runs:
            known = self._work.find(row.task)
            if known is not None and known.is_assigned and known.record.run == row.run:
                if known.record.node == link.node:
                    continue
            if self._work.is_over(row.task, row.run):
                continue
            self._events.record(
                lines.EventKind.TASK_UNKNOWN,
                worker=link.node,
                job=row.task.job_id,
                attempt=row.run,
                detail=f"task={row.task}",
            )
            self._spawn(self._stop_run, link, row.task, row.run)

    def _flush(self) -> None:
        """Queue the records of tasks that changed, and show the jobs that they change."""
        changed = self._work.take_changed()
        if not changed:
            return
        self._tasks_writer.post(
            *(records.encode(f"{records.TASK}{task.key}", task.record) for task in changed)
        )
        for job_id in {task.key.job_id for task in changed}:
            self._show(job_id)

    async def _acknowledge(
        self, link: links.AgentLink, incarnation: tasks.Incarnation, number: int
    ) -> None:
        """Acknowledge ends once all that they changed is stored."""
        await self._tasks_writer.write()
        try:
            await link.acknowledge(incarnation, number)
        except errors.PeerError as error:
            # The agent lists the ends again when it is attached again.
            self._events.record(lines.EventKind.PEER_LOST, worker=link.node, code=error.code)
            return
        link.acknowledged[incarnation] = max(number, link.acknowledged.get(incarnation, 0))

    def _show(self, job_id: str) -> None:
        """Record a job's phase when it changed, after its tasks are stored."""
        live = self._work.job(job_id)
        if live is None:
            return
        phase = self._phase_of(live)
        if phase is self._shown.get(job_id, books.JobPhase.QUEUED):
            return
        self._shown[job_id] = phase
        self._events.record(
            lines.EventKind.JOB_SHOWN,
            job=job_id,
            code=phase.value,
            duration_ms=(self._clock.now_s() - live.first_ready_s) * MILLISECONDS_PER_SECOND,
        )
        self._spawn(self._record_phase, job_id, phase)

    async def _record_phase(self, job_id: str, phase: books.JobPhase) -> None:
        await self._tasks_writer.write()
        record = records.encode(records.STATE + job_id, records.StateRecord(phase))
        await self._shared.write(record)

    def _phase_of(self, live: workload.LiveJob) -> books.JobPhase:
        if live.progress.is_done:
            return books.JobPhase.SUCCEEDED
        if live.progress.has_failed:
            return books.JobPhase.FAILED
        if live.is_cancelled:
            return books.JobPhase.CANCELLED
        if live.progress.has_started:
            return books.JobPhase.RUNNING
        return books.JobPhase.QUEUED

    # Planning.

    async def _plan_forever(self) -> None:
        while True:
            self._plan()
            seen = self._changes.sequence
            with anyio.move_on_after(PLAN_INTERVAL_S):
                await self._changes.wait_beyond(seen)

    def _plan(self) -> None:
        now_s, wall_ms = self._clock.now_s(), self._clock.wall_s() * MILLISECONDS_PER_SECOND
        self._work.sync(self._view.book, now_s)
        self._lapse(now_s)
        self._stop_unwanted()
        self._evacuate(now_s)
        self._finish_jobs(now_s)
        if self.may_vouch():
            self._start_waiting(now_s, wall_ms)
        self._flush()

    def _start_waiting(self, now_s: float, wall_ms: float) -> None:
        demands = self._work.demands(now_s, wall_ms)
        for pool in sorted({self._pool_of(demand) for demand in demands}):
            self._plan_pool(pool, demands, now_s)

    def _pool_of(self, demand: ordering.Demand) -> str:
        return self._work.queue_of(demand.unit.job).pool

    def _plan_pool(self, pool: str, demands: list[ordering.Demand], now_s: float) -> None:
        seats = []
        for link in self._links.values():
            if link.seat.pool != pool or not link.is_attached:
                continue
            link.seat.is_trusted = not self._work.outcomes(link.node).is_ejected(now_s)
            seats.append(link.seat)
        strays = self._strays()
        plan = self._planner.plan(
            [demand for demand in demands if self._pool_of(demand) == pool],
            self._work.free_room(seats, strays, is_stopping_counted=True),
            self._work.free_room(seats, strays, is_stopping_counted=False),
            self._work.victims(now_s),
            now_s,
        )
        for victim, demand in plan.stops:
            self._events.record(
                lines.EventKind.JOB_RECLAIMED,
                job=victim.unit.job.spec.job_id,
                detail=f"for={demand.unit.job.spec.job_id} rank={demand.rank.name}"
                f" lost_core_s={victim.cost_core_s:.1f}",
            )
            self._stop_unit(victim.unit)
        for start in plan.starts:
            self._assign(start, now_s)

    def _strays(self) -> list[tuple[str, specs.Room]]:
        """Return the runs on workers that no task is assigned to: of cancelled or failed jobs."""
        found: list[tuple[str, specs.Room]] = []
        for link in self._links.values():
            for row in link.state.runs if link.state is not None else ():
                if self._work.is_placed(row.task, row.run, link.node):
                    continue
                booked = self._view.book.find(row.task.job_id)
                room = link.seat.capacity
                if booked is not None and row.task.step < len(booked.spec.steps):
                    room = booked.spec.steps[row.task.step].counted_room
                found.append((link.node, room))
        return found

    def _assign(self, start: planner.Start, now_s: float) -> None:
        incarnations: dict[str, tasks.Incarnation] = {}
        for node in start.nodes:
            incarnation = self._links[node].seat.incarnation
            if incarnation is None:
                return
            incarnations[node] = incarnation
        unit = start.demand.unit
        self._work.assign(unit, start.nodes, incarnations, now_s)
        self._events.record(
            lines.EventKind.TASK_ASSIGNED,
            job=unit.job.spec.job_id,
            team=unit.job.spec.team,
            attempt=unit.members[0].record.run,
            duration_ms=start.demand.waited_s * MILLISECONDS_PER_SECOND,
            detail=f"task={unit.members[0].key} count={len(unit.members)}"
            f" nodes={','.join(sorted(set(start.nodes)))} rank={start.demand.rank.name}",
        )
        self._spawn(self._start_unit, unit, unit.members[0].record.run)

    async def _start_unit(self, unit: progress.Unit, run: int) -> None:
        """Order the starts of a unit once its assignment is stored."""
        # The assignment is posted at the end of the planning that made it, before this task runs.
        await self._tasks_writer.write()
        async with anyio.create_task_group() as group:
            for task in unit.members:
                group.start_soon(self._start_task, unit, task, run)
        if any(task.record.run == run and task.is_waiting for task in unit.members):
            # A gang runs whole or not at all.
            self._stop_unit(unit)
        self._flush()
        self._changes.changed()

    async def _start_task(self, unit: progress.Unit, task: progress.Task, run: int) -> None:
        live = unit.job
        link = self._links[task.record.node]
        if task.record.run != run or not task.is_assigned or task.record.incarnation is None:
            task.is_starting = False
            return
        if self._is_over or not self.may_vouch() or self._is_unwanted(live):
            task.is_starting = False
            self._work.release(task, "no longer wanted")
            return
        order = messages.StartRun(
            task.key,
            run,
            live.spec.payload,
            task.record.checkpoint,
            task.step.counted_room,
            task.record.incarnation,
        )
        try:
            outcome = await link.start(order)
        except errors.PeerError:
            # Whether it began is read from the agent's state when it is attached again.
            task.is_starting = False
            link.drop()
            return
        task.is_starting = False
        if outcome.is_started or task.record.run != run or not task.is_assigned:
            return
        reason = outcome.reason.value if outcome.reason is not None else "unknown"
        self._work.release(task, f"refused: {reason}")
        if outcome.reason in (workers.RefusalReason.UNHEALTHY, workers.RefusalReason.INVALID):
            task.failed_nodes.add(link.node)

    def _is_unwanted(self, job: progress.JobProgress) -> bool:
        booked = job.booked
        return booked.phase is books.JobPhase.CANCELLED or job.has_failed

    def _stop_unit(self, unit: progress.Unit) -> None:
        for task in unit.members:
            if not task.is_assigned or task.is_starting or task.is_stopping:
                continue
            link = self._links.get(task.record.node)
            if link is None or not link.is_attached:
                continue
            task.is_stopping = True
            self._spawn(self._stop_task, link, task)

    async def _stop_task(self, link: links.AgentLink, task: progress.Task) -> None:
        run = task.record.run
        if not await self._stop_run(link, task.key, run) and task.record.run == run:
            task.is_stopping = False

    async def _stop_run(self, link: links.AgentLink, key: tasks.TaskKey, run: int) -> bool:
        try:
            await link.stop(key, run)
        except errors.PapayasparError as error:
            self._events.record(
                lines.EventKind.CALL_REFUSED,
                worker=link.node,
                job=key.job_id,
                code=error.code,
                detail=f"stop task={key} run={run}",
            )
            return False
        return True

    def _stop_unwanted(self) -> None:
        for live in self._work.jobs():
            if not live.is_cancelled and not live.progress.has_failed:
                continue
            for unit in live.progress.active_units():
                self._stop_unit(unit)

    def _lapse(self, now_s: float) -> None:
        """Let tasks wait again whose worker can't have them any more."""
        for node in {
            task.record.node
            for live in self._work.jobs()
            for task in live.progress.all_tasks()
            if task.is_assigned
        }:
            link = self._links.get(node)
            lapse_s = link.lapse_s() if link is not None else self._unknown_lapse_s()
            if (link is not None and link.is_attached) or now_s < lapse_s:
                continue
            for task in self._work.on_node(node):
                if not task.is_starting:
                    self._work.release(task, "its worker's lease has run out")

    def _unknown_lapse_s(self) -> float:
        record = records.AgentRecord("", "", "")
        return links.AgentLink(
            record,
            self,
            self._epoch,
            self._node,
            self._limits.lease_max_s,
            self._former_vouched_s,
            self._clock,
            self._stamps,
            self._events,
        ).lapse_s()

    def _evacuate(self, now_s: float) -> None:
        """Stop in time what can't end before its worker leaves."""
        for link in self._links.values():
            check_in = link.state.check_in if link.state is not None else None
            if check_in is None or check_in.condition is not workers.Condition.DRAINING:
                continue
            for task in self._work.on_node(link.node):
                left_ms = _left_ms(task, now_s)
                if task.step.is_lasting or left_ms > (check_in.remaining_ms or 0):
                    self._stop_unit(self._work.unit_of(task))

    def _finish_jobs(self, now_s: float) -> None:
        """Forget jobs that have ended and run nowhere; drop their records after their time."""
        for live in self._work.jobs():
            job_id = live.progress.spec.job_id
            phase = self._phase_of(live)
            if not phase.is_final:
                continue
            self._show(job_id)
            if any(True for _ in live.progress.active_units()):
                continue
            self._work.finish(job_id)
        for booked in self._view.book:
            if booked.ended_s is None or now_s - booked.ended_s < self._limits.show_s:
                continue
            self._drop_records(booked)

    def _drop_records(self, booked: books.BookedJob) -> None:
        job_id = booked.spec.job_id
        self._view.book.forget(job_id)
        self._work.forget(job_id)
        self._shown.pop(job_id, None)
        self._shared.post(
            stores.KeyedRecord(records.JOB + job_id, b""),
            stores.KeyedRecord(records.STATE + job_id, b""),
            stores.KeyedRecord(records.CANCEL + job_id, b""),
        )
        keys = []
        for occurrence in range(booked.spec.occurrences):
            for number, step in enumerate(booked.spec.steps):
                for index in range(step.task_count):
                    key = tasks.TaskKey(job_id, occurrence, number, index)
                    keys.append(stores.KeyedRecord(f"{records.TASK}{key}", b""))
        self._tasks_writer.post(*keys)


def _note_progress(task: progress.Task, row: workers.RunningRow, now_s: float) -> None:
    task.percent = row.percent
    if row.checkpoint and row.checkpoint != task.checkpoint and task.step.is_checkpointed:
        task.checkpoint = row.checkpoint
        task.checkpoint_s = now_s


def _left_ms(task: progress.Task, now_s: float) -> float:
    """Return the estimated time a task still needs, in milliseconds."""
    return max(0.0, task.step.estimate_ms * (1.0 - task.percent / 100.0))


__all__ = ["Duty", "DutyLimits", "fleet"]
