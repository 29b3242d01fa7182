"""Orders to agents: start units once their assignments are stored, and stop runs."""

from collections.abc import Callable

import anyio
import attrs

from papayaspar_events import lines
from papayaspar_jobs import progress, registries, tasks, units
from papayaspar_lead import links, listings, recording, state
from papayaspar_model import errors
from papayaspar_runs import messages, workers
from papayaspar_scheduling import planner, stop_costs, stops

MILLISECONDS_PER_SECOND = 1000.0
# Reasons of refusals that repeat until the state of the agent or its worker changes; the lead may
# not see that state.
PERSISTENT_REFUSALS = (
    workers.RefusalReason.ROOM,
    workers.RefusalReason.NOT_VOUCHED,
    workers.RefusalReason.NO_START_LEASE,
    workers.RefusalReason.UNREACHABLE,
)
# Codes of the stops that free capacity for a unit, in the journal.
FIRST_STOP = "first"
REPEATED_STOP = "repeated"


@attrs.define
class StartStages:
    """Durations of the stages of a unit's start, in seconds.

    :param seen_s: from the job's acceptance until the lead read its record; 0 unless the unit is
        one of the first of its job, in its first run.
    :param room_s: until the unit was assigned, or other units were stopped for it.
    :param stops_s: until those units had ended.
    :param stored_s: until the assignment was stored.
    :param answered_s: until the agents had answered the start orders.
    """

    seen_s: float = 0.0
    room_s: float = 0.0
    stops_s: float = 0.0
    stored_s: float = 0.0
    answered_s: float = 0.0


class Orders:
    """Send orders to agents.

    :param scheduler_state: state of the scheduler.
    :param recorder: stores assignments.
    :param is_lead_lease_valid: returns whether the lead may still send start orders.
    :param may_start_on: returns whether work may start on a VM.
    """

    def __init__(
        self,
        scheduler_state: state.SchedulerState,
        recorder: recording.Recorder,
        is_lead_lease_valid: Callable[[], bool],
        may_start_on: Callable[[str], bool],
    ) -> None:
        self._state = scheduler_state
        self._recorder = recorder
        self._is_lead_lease_valid = is_lead_lease_valid
        self._may_start_on = may_start_on

    def assign(self, start: planner.Start, now_s: float) -> None:
        """Assign a unit to workers, and start it once the assignment is stored.

        :param start: the unit and the VMs of its members.
        :param now_s: the lead's clock.
        """
        incarnations: dict[str, tasks.Incarnation] = {}
        for node in start.nodes:
            incarnation = self._state.links[node].worker.incarnation
            if incarnation is None:
                return
            incarnations[node] = incarnation
        unit = start.demand.unit
        self._state.work.assign(unit, start.nodes, incarnations, now_s)
        self._state.events.record(
            lines.EventKind.TASK_ASSIGNED,
            job=unit.job.spec.job_id,
            team=unit.job.spec.team,
            attempt=unit.members[0].record.run,
            duration_ms=start.demand.waited_s * MILLISECONDS_PER_SECOND,
            detail=f"task={unit.members[0].key} count={len(unit.members)}"
            f" nodes={','.join(sorted(set(start.nodes)))} rank={start.demand.rank.name}"
            f" {unit.expected.summary if unit.expected is not None else ''}",
        )
        stages = self._stages_until_assignment(start, now_s)
        self._state.spawner.start(self._start_unit, unit, unit.members[0].record.run, stages)

    def _stages_until_assignment(self, start: planner.Start, now_s: float) -> StartStages:
        """Return the stages of a unit's start up to its assignment."""
        unit = start.demand.unit
        stages = StartStages()
        active = self._state.work.job(unit.job.spec.job_id)
        if active is not None and unit.members[0].record.run == 1 and not unit.step.after:
            accepted_s = unit.job.accepted_job.accepted_ms / MILLISECONDS_PER_SECOND
            age_s = self._state.clock.wall_s() - accepted_s
            stages.seen_s = max(0.0, age_s - (now_s - active.first_seen_s))
        if unit.preempting_s is not None:
            stages.stops_s = now_s - unit.preempting_s
        stages.room_s = max(0.0, start.demand.waited_s - stages.stops_s)
        return stages

    def _record_start(self, unit: units.Unit, run: int, stages: StartStages) -> None:
        """Record the stages of the start of a unit."""
        durations_s = {
            field.name.removesuffix("_s"): getattr(stages, field.name)
            for field in attrs.fields(StartStages)
        }
        for stage, duration_s in durations_s.items():
            self._state.events.metrics.observe_stage(f"start_{stage}", duration_s)
        self._state.events.record(
            lines.EventKind.UNIT_STARTED,
            job=unit.job.spec.job_id,
            attempt=run,
            duration_ms=sum(durations_s.values()) * MILLISECONDS_PER_SECOND,
            detail=f"task={unit.members[0].key} count={len(unit.members)} "
            + " ".join(
                f"{stage}_ms={duration_s * MILLISECONDS_PER_SECOND:.0f}"
                for stage, duration_s in durations_s.items()
            ),
        )

    async def _start_unit(self, unit: units.Unit, run: int, stages: StartStages) -> None:
        """Order the start of each member of a unit once the assignment is stored."""
        assigned_s = self._state.clock.now_s()
        # The planning round that made the assignment queues its record before this coroutine runs.
        await self._recorder.wait_written()
        if any(self._recorder.is_refused(task.key) for task in unit.members):
            self._release_unstored(unit, run)
            return
        stored_s = self._state.clock.now_s()
        stages.stored_s = stored_s - assigned_s
        async with anyio.create_task_group() as group:
            for task in unit.members:
                group.start_soon(self._start_task, unit, task, run)
        stages.answered_s = self._state.clock.now_s() - stored_s
        if all(task.record.run == run and task.is_assigned for task in unit.members):
            self._record_start(unit, run, stages)
        if any(task.record.run == run and task.is_waiting for task in unit.members):
            # The members of a gang run all together or not at all.
            self.stop_unit(unit, "a member did not start")
        self._recorder.flush()
        self._state.changes.notify()

    def _release_unstored(self, unit: units.Unit, run: int) -> None:
        """Return a unit to the queue, since a new lead would not know of its run."""
        for task in unit.members:
            if task.record.run != run:
                continue
            task.is_starting = False
            self._state.work.release(task, "not started: its assignment can't be stored")
        self._recorder.flush()

    async def _start_task(self, unit: units.Unit, task: units.Task, run: int) -> None:
        if task.record.run != run:
            # The run has ended already, and the task was assigned again.
            return
        job = unit.job
        link = self._state.links[task.record.node]
        if not task.is_assigned or task.record.incarnation is None:
            task.is_starting = False
            return
        if self._state.is_stopped or not self._is_lead_lease_valid() or self._is_ended(job):
            task.is_starting = False
            self._state.work.release(task, "not started: the lead resigned or the job ended")
            return
        if not self._may_start_on(link.node):
            task.is_starting = False
            self._state.work.release(task, "not started: its data centre is evacuated")
            return
        if task.is_stopping:
            task.is_starting = False
            self._state.work.release(task, "not started: its stop was ordered")
            return
        order = messages.StartRun(
            task.key,
            run,
            job.spec.payload,
            task.record.checkpoint,
            task.step.counted_resources,
            task.record.incarnation,
        )
        try:
            outcome = await link.start(order)
        except errors.PapayasparError:
            # Neither a lost stream nor an error shows whether the run started; the agent's state at
            # the next attachment does.
            if task.record.run == run:
                task.mark_unanswered(self._state.clock.now_s())
            link.disconnect()
            return
        if task.record.run != run:
            # The run ended before the answer to its start order was read: the state of the task
            # is that of its next run.
            return
        now_s = self._state.clock.now_s()
        # The worker's own list shows a run, whatever its agent concluded from an answer.
        if outcome.is_started or listings.is_running(self._state, link, task.key, run, now_s):
            task.mark_started(now_s)
            return
        task.is_starting = False
        if not task.is_assigned:
            return
        if outcome.reason is workers.RefusalReason.OLD_RUN:
            # Another run of the task is, or was, on the worker. The worker's list, which the next
            # attachment reads, shows whether it still is; until then the task stays assigned.
            if len(unit.members) > 1:
                self.stop_unit(unit, "a member did not start")
            link.disconnect()
            return
        reason = outcome.reason.value if outcome.reason is not None else "unknown"
        self._state.work.release(task, f"refused: {reason}")
        if outcome.reason in PERSISTENT_REFUSALS:
            link.record_refusal()
        if outcome.reason in (workers.RefusalReason.UNHEALTHY, workers.RefusalReason.INVALID):
            unit.suspect(task, now_s)

    def _is_ended(self, job: progress.JobProgress) -> bool:
        accepted_job = job.accepted_job
        return accepted_job.phase is registries.JobPhase.CANCELLED or job.has_failed

    def preempt(self, plan: planner.Plan, now_s: float) -> None:
        """Order the stops of a plan that free capacity for waiting units.

        The stops for a unit are recorded as repeated if others were stopped for it before, since it
        became ready: the room of these did not become its own.

        :param plan: the plan.
        :param now_s: the lead's clock.
        """
        repeated = {demand.unit for _, demand in plan.stops if demand.unit.preempting_s is not None}
        for victim, demand in plan.stops:
            unit, beneficiary = demand.unit, demand.unit.job.spec.job_id
            self._state.events.record(
                lines.EventKind.JOB_RECLAIMED,
                job=victim.unit.job.spec.job_id,
                code=REPEATED_STOP if unit in repeated else FIRST_STOP,
                detail=f"for={beneficiary} unit={unit.members[0].key} rank={demand.rank.name}"
                f" lost_core_s={stop_costs.lost_core_s(victim.unit, now_s):.1f}",
            )
            if unit.preempting_s is None:
                unit.preempting_s = now_s
            self.stop_unit(
                victim.unit,
                f"preempted for {beneficiary}",
                planner.stop_purpose(plan, victim, demand),
            )

    def stop_unit(
        self, unit: units.Unit, reason: str, purpose: stops.Purpose = stops.NOT_STARTED
    ) -> None:
        """Order the stop of a unit's members that run or are being started.

        An agent sends a start that got no answer again; the stop ends that, too.

        :param unit: the unit.
        :param reason: reason to record in the journal.
        :param purpose: what the unit is stopped for.
        """
        lost_core_s = stop_costs.lost_core_s(unit, self._state.clock.now_s())
        for task in unit.members:
            if not task.is_assigned or task.is_stopping:
                continue
            link = self._state.links.get(task.record.node)
            if link is None or not link.is_attached:
                continue
            task.is_stopping = True
            self._count_stop(unit, lost_core_s, purpose)
            self._state.events.record(
                lines.EventKind.STOP_ORDERED,
                worker=link.node,
                job=task.key.job_id,
                attempt=task.record.run,
                detail=f"task={task.key} percent={task.percent:.0f} reason={reason}"
                f" cause={purpose.cause.value}"
                f" unit_lost_core_s={lost_core_s:.1f} for={purpose.job_id or '-'}"
                f" gain_core_s={purpose.gain_core_s:.1f}",
            )
            self._state.spawner.start(self._stop_task, link, task)

    def _count_stop(self, unit: units.Unit, lost_core_s: float, purpose: stops.Purpose) -> None:
        """Count the stop of a unit's run once, however many members are stopped, and how often."""
        run = max(task.record.run for task in unit.members)
        if not unit.stops.count(run, lost_core_s):
            return
        self._state.events.metrics.count_stop(purpose.cause.value, lost_core_s, purpose.gain_core_s)

    async def _stop_task(self, link: links.AgentLink, task: units.Task) -> None:
        run = task.record.run
        if not await self.stop_run(link, task.key, run) and task.record.run == run:
            task.is_stopping = False

    async def stop_run(self, link: links.AgentLink, key: tasks.TaskKey, run: int) -> bool:
        """Order the stop of a run, and return whether its worker accepted the order."""
        try:
            await link.stop(key, run)
        except errors.PapayasparError as error:
            self._state.events.record(
                lines.EventKind.CALL_REFUSED,
                worker=link.node,
                job=key.job_id,
                code=error.code,
                detail=f"stop task={key} run={run}",
            )
            return False
        return True
