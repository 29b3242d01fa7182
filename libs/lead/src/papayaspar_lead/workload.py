"""All unfinished jobs as the lead sees them, and what ends and losses mean for them."""

from collections.abc import Iterable, Iterator

import attrs

from papayaspar_events import journal, lines
from papayaspar_jobs import books, configurations, progress, specs, tasks
from papayaspar_runs import workers
from papayaspar_scheduling import fleet, guarantees, health, ordering, preemption

MILLISECONDS_PER_SECOND = 1000.0
# Late work is worth something up to so many times the objective (rules page, payoff).
LATE_FACTOR = 3.0
# The newest checkpoint of a running task is stored this often, in seconds: work that is done again
# after a loss of all machines. A checkpoint comes with each half second of work (`checkpoint_s`).
CHECKPOINT_INTERVAL_S = 2.0
# Checkpoints stored a second at most, by the whole domain: one append holds as many records
# (`writing.BATCH_RECORDS`), and the store takes several hundred appends a second.
CHECKPOINTS_PER_S = 200.0


@attrs.define(eq=False)
class LiveJob:
    """A job that has not ended.

    :param progress: its tasks.
    :param is_cancelled: whether callers cancelled it.
    :param first_ready_s: when the lead first saw it, on the lead's clock.
    """

    progress: progress.JobProgress
    is_cancelled: bool = False
    first_ready_s: float = 0.0


class Workload:
    """The unfinished jobs of a scheduling domain.

    :param events: where decisions are recorded.
    """

    def __init__(self, events: journal.Journal) -> None:
        self._events = events
        self._jobs: dict[str, LiveJob] = {}
        # Ended jobs stay known until their records go: the book may not show their end yet.
        self._ended: set[str] = set()
        self._by_node: dict[str, set[progress.Task]] = {}
        self._outcomes: dict[str, health.Outcomes] = {}
        self._changed: dict[tasks.TaskKey, progress.Task] = {}
        self._queues: dict[str, configurations.Queue] = {}
        self._guaranteed: dict[str, int] = {}
        self._checkpointed_count = 0

    def configure(self, configuration: configurations.Configuration) -> None:
        """Take in a version of the configuration."""
        for queue in configuration.queues:
            self._queues[queue.name] = queue
        self._guaranteed = {team.name: team.guaranteed_accelerators for team in configuration.teams}

    def jobs(self) -> Iterator[LiveJob]:
        """Return the unfinished jobs."""
        return iter(list(self._jobs.values()))

    def job(self, job_id: str) -> LiveJob | None:
        """Return an unfinished job, or ``None``."""
        return self._jobs.get(job_id)

    def queue_of(self, job: progress.JobProgress) -> configurations.Queue:
        """Return a job's queue as it is now, or as it was when it has gone."""
        return self._queues.get(job.spec.queue, job.booked.queue)

    def sync(self, book: books.JobBook, now_s: float) -> None:
        """Take in jobs and cancellations from the book."""
        for booked in book:
            if booked.spec.job_id in self._ended:
                continue
            live = self._jobs.get(booked.spec.job_id)
            is_cancelled = booked.phase is books.JobPhase.CANCELLED
            if live is None:
                if booked.phase.is_final and not is_cancelled:
                    continue
                if is_cancelled and booked.ended_s is not None:
                    continue
                live = LiveJob(
                    progress.JobProgress(booked, booked.queue.attempts), first_ready_s=now_s
                )
                self._jobs[booked.spec.job_id] = live
            if is_cancelled and not live.is_cancelled:
                live.is_cancelled = True
                self._events.record(lines.EventKind.JOB_CANCELLED, job=booked.spec.job_id)

    def restore(self, key: tasks.TaskKey, record: tasks.TaskRecord, now_s: float) -> None:
        """Take in a stored record; one of a job that has ended is passed over."""
        live = self._jobs.get(key.job_id)
        if live is None:
            return
        live.progress.open_due(0.0, restore_all=True)
        task = live.progress.task(key)
        if task is None:
            return
        task.record = record
        task.checkpoint = record.checkpoint
        if task.is_assigned:
            task.resume(now_s)
            self._place(task)

    def stalled_units(self, now_s: float) -> list[progress.Unit]:
        """Return the units with a member that is stalled on its worker."""
        found: list[progress.Unit] = []
        for live in self._jobs.values():
            for unit in live.progress.active_units():
                if unit.step.is_lasting:
                    continue
                if any(task.is_starting or task.is_stopping for task in unit.members):
                    continue
                if any(task.is_assigned and task.is_stalled(now_s) for task in unit.members):
                    found.append(unit)
        return found

    def finish(self, job_id: str) -> None:
        """Take out a job that has ended and runs nowhere."""
        self._jobs.pop(job_id, None)
        self._ended.add(job_id)

    def forget(self, job_id: str) -> None:
        """Forget a job whose records are dropped."""
        self._jobs.pop(job_id, None)
        self._ended.discard(job_id)

    def is_over(self, key: tasks.TaskKey, run: int) -> bool:
        """Return whether a run belongs to a unit that is done: its own end is about to come."""
        if key.job_id in self._ended:
            return True
        task = self.find(key)
        return task is not None and task.is_done and task.record.run == run

    def find(self, key: tasks.TaskKey) -> progress.Task | None:
        """Return a task of an unfinished job, or ``None``."""
        live = self._jobs.get(key.job_id)
        return live.progress.task(key) if live is not None else None

    def unit_of(self, task: progress.Task) -> progress.Unit:
        """Return the unit of a task that :meth:`find` returned."""
        return self._jobs[task.key.job_id].progress.unit_of(task)

    def on_node(self, node: str) -> list[progress.Task]:
        """Return the tasks that a machine has or may have."""
        return list(self._by_node.get(node, ()))

    def take_changed(self) -> list[progress.Task]:
        """Return the tasks whose record changed since the last call."""
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    def outcomes(self, node: str) -> health.Outcomes:
        """Return what a machine's newest runs came to."""
        return self._outcomes.setdefault(node, health.Outcomes())

    def assign(
        self,
        unit: progress.Unit,
        nodes: tuple[str, ...],
        incarnations: dict[str, tasks.Incarnation],
        now_s: float,
    ) -> None:
        """Give the members of a unit to workers."""
        run, checkpoint = unit.next_run, unit.newest_checkpoint
        for task, node in zip(unit.members, nodes, strict=True):
            self._set(
                task,
                attrs.evolve(
                    task.record,
                    phase=tasks.TaskPhase.ASSIGNED,
                    run=run,
                    node=node,
                    incarnation=incarnations[node],
                    checkpoint=checkpoint,
                ),
            )
            task.begin(now_s)
            task.checkpoint = checkpoint

    def adopt(self, task: progress.Task, incarnation: tasks.Incarnation) -> None:
        """Note that a run goes on in another life of its worker."""
        self._set(task, attrs.evolve(task.record, incarnation=incarnation))

    def release(self, task: progress.Task, reason: str) -> None:
        """Let a task wait again: its run ended, was lost or never began."""
        if not task.is_assigned:
            return
        self._events.record(
            lines.EventKind.TASK_LOST,
            job=task.key.job_id,
            attempt=task.record.run,
            detail=f"task={task.key} node={task.record.node} reason={reason}",
        )
        self._wait_again(task, task.record.failures)

    def _wait_again(self, task: progress.Task, failures: int) -> None:
        self._set(
            task,
            attrs.evolve(
                task.record,
                phase=tasks.TaskPhase.WAITING,
                failures=failures,
                checkpoint=task.checkpoint,
            ),
        )
        task.is_stopping = False
        self.unit_of(task).ready_s = None

    def end(self, node: str, end: workers.EndRow, now_s: float) -> None:
        """Take in an end that a worker lists.

        :param node: the worker's machine.
        :param end: the end.
        :param now_s: the lead's clock.
        """
        task = self.find(end.task)
        if task is None or task.record.run != end.run:
            return
        is_here = task.is_assigned and task.record.node == node
        is_late_success = task.is_waiting and end.kind is tasks.EndKind.DONE
        if not is_here and not is_late_success:
            return
        self._events.record(
            lines.EventKind.TASK_ENDED,
            job=end.task.job_id,
            attempt=end.run,
            code=end.kind.value,
            duration_ms=(now_s - task.started_s) * MILLISECONDS_PER_SECOND,
            detail=f"task={end.task} node={node} number={end.number}",
        )
        if end.checkpoint and task.step.is_checkpointed:
            task.checkpoint = end.checkpoint
        if end.kind is tasks.EndKind.DONE:
            self._done(node, task)
        elif end.kind is tasks.EndKind.FAILED:
            self._failed(node, task, now_s)
        else:
            self._wait_again(task, task.record.failures)

    def observe(self, task: progress.Task, row: workers.RunningRow, now_s: float) -> None:
        """Take in how far a run is, and store its newest checkpoint when that is due.

        :param task: the task.
        :param row: what its worker says of the run.
        :param now_s: the lead's clock.
        """
        if row.percent > task.percent:
            task.observe(row.percent, now_s)
            self._note_pace(task, now_s)
        if not row.checkpoint or not task.step.is_checkpointed:
            return
        task.checkpoint = row.checkpoint
        interval_s = max(CHECKPOINT_INTERVAL_S, self._checkpointed_count / CHECKPOINTS_PER_S)
        if now_s < task.checkpoint_stored_s + interval_s:
            return
        task.checkpoint_stored_s = now_s
        if row.checkpoint != task.record.checkpoint:
            self._set(task, attrs.evolve(task.record, checkpoint=row.checkpoint))

    def _note_pace(self, task: progress.Task, now_s: float) -> None:
        ratio = task.pace_ratio(now_s)
        if ratio is None or task.step.is_lasting or task.step.is_same_rack or task.step.data_rack:
            return
        self.outcomes(task.record.node).paced(ratio)

    def _done(self, node: str, task: progress.Task) -> None:
        self.outcomes(node).succeeded()
        for member in self.unit_of(task).members:
            # One member's end as done stands for the whole gang.
            if not member.is_done:
                self._set(member, attrs.evolve(member.record, phase=tasks.TaskPhase.DONE))

    def _failed(self, node: str, task: progress.Task, now_s: float) -> None:
        unit = self.unit_of(task)
        task.failed_nodes.add(node)
        self._wait_again(task, unit.failures + 1)
        if self.outcomes(node).failed(task.key.job_id, now_s):
            self._events.record(
                lines.EventKind.WORKER_EJECTED,
                detail=f"node={node} until_s={self.outcomes(node).ejected_until_s:.1f}",
            )

    def _set(self, task: progress.Task, record: tasks.TaskRecord) -> None:
        if task.is_assigned:
            self._by_node.get(task.record.node, set()).discard(task)
            self._checkpointed_count -= task.step.is_checkpointed
        task.record = record
        if task.is_assigned:
            self._place(task)
        self._changed[task.key] = task

    def _place(self, task: progress.Task) -> None:
        self._by_node.setdefault(task.record.node, set()).add(task)
        self._checkpointed_count += task.step.is_checkpointed

    def demands(self, now_s: float, wall_ms: float) -> list[ordering.Demand]:
        """Return what waits and may start now."""
        covered = self._covered()
        found: list[ordering.Demand] = []
        for live in self._jobs.values():
            job = live.progress
            if live.is_cancelled or job.has_failed:
                continue
            job.open_due(wall_ms)
            for unit in job.waiting_units(wall_ms):
                if unit.ready_s is None:
                    unit.ready_s = now_s
                found.append(self._demand(unit, covered, now_s, wall_ms))
        return found

    def demand_again(self, unit: progress.Unit, now_s: float, wall_ms: float) -> ordering.Demand:
        """Return what a running unit would ask for if it were stopped now."""
        running = self._demand(unit, self._covered(), now_s, wall_ms)
        return attrs.evolve(running, waited_s=0.0)

    def _demand(
        self, unit: progress.Unit, covered: frozenset[str], now_s: float, wall_ms: float
    ) -> ordering.Demand:
        job = unit.job
        queue = self.queue_of(job)
        begin_ms = job.booked.accepted_ms
        if job.spec.schedule is not None:
            begin_ms = job.spec.schedule.due_ms(unit.members[0].key.occurrence)
        age_s = max(0.0, (wall_ms - begin_ms) / MILLISECONDS_PER_SECOND)
        objective_s = (
            queue.stretch * job.spec.critical_path_ms + queue.objective_ms
        ) / MILLISECONDS_PER_SECOND
        return ordering.Demand(
            unit,
            ordering.Rank.of(queue.priority, job.spec.job_id in covered),
            now_s - age_s + objective_s,
            now_s - age_s + LATE_FACTOR * objective_s,
            job.remaining_ms(unit) / MILLISECONDS_PER_SECOND,
            now_s - (unit.ready_s if unit.ready_s is not None else now_s),
        )

    def _covered(self) -> frozenset[str]:
        urgent = [
            live.progress
            for live in self._jobs.values()
            if not live.is_cancelled and self.queue_of(live.progress).priority == 0
        ]
        return guarantees.covered_jobs(urgent, self._guaranteed)

    def victims(self, now_s: float) -> list[preemption.Victim]:
        """Return the running units that may be stopped for urgent work."""
        covered = self._covered()
        found: list[preemption.Victim] = []
        for live in self._jobs.values():
            job = live.progress
            rank = ordering.Rank.of(self.queue_of(job).priority, job.spec.job_id in covered)
            for unit in job.active_units():
                if unit.step.is_lasting:
                    continue
                if any(task.is_starting or task.is_stopping for task in unit.members):
                    continue
                cost = preemption.lost_work_core_s(unit, now_s)
                found.append(preemption.Victim(unit, rank, cost))
        return found

    def is_placed(self, key: tasks.TaskKey, run: int, node: str) -> bool:
        """Return whether a run is the one that a task is assigned to, on a machine."""
        task = self.find(key)
        if task is None or not task.is_assigned:
            return False
        return task.record.run == run and task.record.node == node

    def free_room(
        self,
        seats: list[fleet.Worker],
        orphans: Iterable[tuple[str, specs.Room]],
        is_stopping_counted: bool,
    ) -> fleet.FreeRoom:
        """Return the room that is left on workers.

        :param seats: the workers.
        :param orphans: machine and room of runs that no task is assigned to any more; they take
            room until their end is listed.
        :param is_stopping_counted: whether tasks that were told to stop still take room.
        """
        free = fleet.FreeRoom(seats)
        for node, room in orphans:
            free.take(node, room)
        for node, assigned in self._by_node.items():
            for task in assigned:
                if task.is_stopping and not is_stopping_counted:
                    continue
                free.take(node, task.step.counted_room, fleet.step_name(task.key))
        return free
