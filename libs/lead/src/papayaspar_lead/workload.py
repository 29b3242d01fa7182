"""The lead's state of all unfinished jobs, updated as their runs progress, end or are lost."""

from collections.abc import Iterable, Iterator

import attrs

from papayaspar_events import journal, lines
from papayaspar_jobs import configurations, durations, progress, registries, tasks, units
from papayaspar_lead import learning
from papayaspar_runs import workers
from papayaspar_scheduling import checkpoint_rates, fleet, health, stalls

MILLISECONDS_PER_SECOND = 1000.0


@attrs.define(eq=False)
class ActiveJob:
    """A job that has not ended.

    :param progress: progress of its tasks.
    :param is_cancelled: whether a caller cancelled it.
    :param first_seen_s: when the lead first read it, on the lead's clock.
    """

    progress: progress.JobProgress
    is_cancelled: bool = False
    first_seen_s: float = 0.0


class Workload:
    """The unfinished jobs of a scheduling domain.

    ``durations`` are the expected run times of tasks.

    :param events: journal of decisions.
    :param is_learning: whether run times and worker speeds are learned from finished runs.
    """

    def __init__(self, events: journal.Journal, is_learning: bool = True) -> None:
        self._events = events
        self.learner = learning.RunLearner(events, is_learning)
        self._jobs: dict[str, ActiveJob] = {}
        # Ended jobs are kept until their records are deleted: the view may not show their end yet.
        self._ended_jobs: dict[str, registries.JobPhase] = {}
        self._tasks_by_node: dict[str, set[units.Task]] = {}
        self._outcomes: dict[str, health.Outcomes] = {}
        self._changed_tasks: dict[tasks.TaskKey, units.Task] = {}
        self._queues: dict[str, configurations.Queue] = {}
        self._guaranteed_accelerators: dict[str, int] = {}
        self._checkpoint_rates = checkpoint_rates.CheckpointRates()
        # Tasks with an unreadable record, of which a former lead may have started a run.
        self._unreadable_tasks: dict[tasks.TaskKey, units.Task] = {}

    def configure(self, configuration: configurations.Configuration) -> None:
        """Apply a version of the configuration."""
        for queue in configuration.queues:
            self._queues[queue.name] = queue
        self._guaranteed_accelerators = {
            team.name: team.guaranteed_accelerators for team in configuration.teams
        }

    @property
    def guaranteed_accelerators(self) -> dict[str, int]:
        """Number of accelerators that each team is guaranteed."""
        return self._guaranteed_accelerators

    @property
    def durations(self) -> durations.DurationEstimates:
        """Expected run times of tasks, and slowness of workers."""
        return self.learner.estimates

    def update_slowness(self, worker: fleet.Worker) -> None:
        """Set a worker's slowness from the runs on it, and note its incarnation."""
        self.learner.note_worker(worker)
        slowness = self.learner.slowness(worker.node)
        worker.slowness = max(slowness, self.outcomes(worker.node).slowness)

    def jobs(self) -> Iterator[ActiveJob]:
        """Return the unfinished jobs; the workload may change during the iteration."""
        return iter(list(self._jobs.values()))

    def job(self, job_id: str) -> ActiveJob | None:
        """Return an unfinished job, or ``None``."""
        return self._jobs.get(job_id)

    def queue_of(self, job: progress.JobProgress) -> configurations.Queue:
        """Return a job's queue as configured now, or as stored with the job if it was removed."""
        return self._queues.get(job.spec.queue, job.accepted_job.queue)

    def sync(self, registry: registries.JobRegistry, now_s: float) -> None:
        """Add the registry's new jobs, and apply its cancellations."""
        self.learner.refresh(now_s)
        for accepted_job in registry:
            if accepted_job.spec.job_id in self._ended_jobs:
                continue
            active = self._jobs.get(accepted_job.spec.job_id)
            is_cancelled = accepted_job.phase is registries.JobPhase.CANCELLED
            if active is None:
                if accepted_job.phase.is_final and not is_cancelled:
                    continue
                if is_cancelled and accepted_job.ended_s is not None:
                    continue
                active = ActiveJob(
                    progress.JobProgress(accepted_job, accepted_job.queue.attempts, self.durations),
                    first_seen_s=now_s,
                )
                self._jobs[accepted_job.spec.job_id] = active
            if is_cancelled and not active.is_cancelled:
                active.is_cancelled = True
                self._events.record(lines.EventKind.JOB_CANCELLED, job=accepted_job.spec.job_id)

    def restore(self, key: tasks.TaskKey, record: tasks.TaskRecord, now_s: float) -> None:
        """Restore a task from its record; records of ended jobs are ignored."""
        active = self._jobs.get(key.job_id)
        if active is None:
            return
        task = active.progress.restore(key, record)
        if task is None:
            return
        task.checkpoint = record.checkpoint
        if task.is_waiting and 0 < record.failed_run == record.run:
            # The record of a member that failed in its newest run names that run; those of members
            # that ended otherwise name an earlier one.
            task.unit.note_stored_failure(record.run, record.node)
        if task.unit.has_done_member:
            # The former lead stored only some of the records of a gang that is done.
            self._complete(task.unit)
        if task.is_assigned:
            task.mark_taken_over(now_s)
            self._index_task(task)

    def restore_unreadable(self, key: tasks.TaskKey) -> None:
        """Restore a task whose record can't be read: its runs, if any, are unknown.

        It is started only after :meth:`release_unreadable`, and continues with the run that a
        worker lists.
        """
        active = self._jobs.get(key.job_id)
        task = active.progress.restore(key, tasks.TaskRecord()) if active is not None else None
        if task is not None:
            self._unreadable_tasks[key] = task

    def release_unreadable(self) -> None:
        """Let all tasks start; to be called once all runs that former leads started are known."""
        self._unreadable_tasks.clear()

    def has_unreadable_task(self, unit: units.Unit) -> bool:
        """Return whether a former lead may have started a run of a unit that is not known."""
        if not self._unreadable_tasks:
            return False
        return any(task.key in self._unreadable_tasks for task in unit.members)

    def adopt_unrecorded(
        self,
        node: str,
        incarnation: tasks.Incarnation,
        listed: Iterable[workers.RunStatus | workers.RunResult],
        now_s: float,
    ) -> None:
        """Record the runs of tasks with an unreadable record that a worker lists.

        :param node: the worker's VM.
        :param incarnation: the worker's incarnation.
        :param listed: running and ended runs that the worker lists.
        :param now_s: the lead's clock.
        """
        for listed_run in listed if self._unreadable_tasks else ():
            task = self._unreadable_tasks.get(listed_run.task)
            if task is None or task.is_done or listed_run.run <= task.record.run:
                continue
            record = attrs.evolve(
                task.record,
                phase=tasks.TaskPhase.ASSIGNED,
                run=listed_run.run,
                node=node,
                incarnation=incarnation,
            )
            self._set_record(task, record)
            task.mark_taken_over(now_s)

    def stalled_units(self, now_s: float) -> list[units.Unit]:
        """Return the units that are held up by a member whose run has hung."""
        stalled: list[units.Unit] = []
        for active in self._jobs.values():
            for unit in active.progress.active_units():
                if stalls.stalled_member(unit, now_s, self.durations, self.tasks_on_node):
                    stalled.append(unit)
        return stalled

    def finish(self, job_id: str, phase: registries.JobPhase) -> None:
        """Remove an ended job without assigned runs, and ignore it in the registry from now on.

        :param job_id: the job.
        :param phase: the phase in which it ended.
        """
        self._jobs.pop(job_id, None)
        self._ended_jobs[job_id] = phase

    def forget(self, job_id: str) -> None:
        """Remove a job whose records are deleted."""
        self._jobs.pop(job_id, None)
        self._ended_jobs.pop(job_id, None)

    def is_run_finished(self, key: tasks.TaskKey, run: int) -> bool:
        """Return whether a run belongs to a done unit or job, so that its end is expected.

        That is not so after a job was cancelled or has failed: a run of it that a worker still
        lists was not stopped.
        """
        if self._ended_jobs.get(key.job_id) is registries.JobPhase.SUCCEEDED:
            return True
        task = self.find_task(key)
        return task is not None and task.is_done and task.record.run == run

    def find_task(self, key: tasks.TaskKey) -> units.Task | None:
        """Return a task of an unfinished job, or ``None``."""
        active = self._jobs.get(key.job_id)
        return active.progress.task(key) if active is not None else None

    def tasks_on_node(self, node: str) -> list[units.Task]:
        """Return the tasks that are assigned to a VM."""
        return list(self._tasks_by_node.get(node, ()))

    def nodes_with_tasks(self) -> list[str]:
        """Return the VMs to which tasks are assigned."""
        return [node for node, assigned in self._tasks_by_node.items() if assigned]

    def assigned_tasks(self) -> Iterator[units.Task]:
        """Return the tasks that are assigned to a VM."""
        for assigned in self._tasks_by_node.values():
            yield from assigned

    def pop_changed(self) -> list[units.Task]:
        """Return the tasks whose records changed since the last call, and clear the list."""
        changed = list(self._changed_tasks.values())
        self._changed_tasks.clear()
        return changed

    def outcomes(self, node: str) -> health.Outcomes:
        """Return the recent outcomes of runs on a VM."""
        return self._outcomes.setdefault(node, health.Outcomes())

    def assign(
        self,
        unit: units.Unit,
        nodes: tuple[str, ...],
        incarnations: dict[str, tasks.Incarnation],
        now_s: float,
    ) -> None:
        """Assign the members of a unit to workers."""
        run, checkpoint = unit.next_run, unit.newest_checkpoint
        unit.ending_s = None
        for task, node in zip(unit.members, nodes, strict=True):
            self._set_record(
                task,
                attrs.evolve(
                    task.record,
                    phase=tasks.TaskPhase.ASSIGNED,
                    run=run,
                    node=node,
                    incarnation=incarnations[node],
                    checkpoint=checkpoint,
                    # One damaged record then does not lose the count of a gang.
                    failures=unit.failures,
                    failed_run=unit.failed_run,
                ),
            )
            task.mark_starting(now_s)
            task.checkpoint = checkpoint
        self.learner.note_start(unit)

    def adopt(self, task: units.Task, incarnation: tasks.Incarnation) -> None:
        """Record that a run continues in a new incarnation of its worker."""
        self._set_record(task, attrs.evolve(task.record, incarnation=incarnation))

    def release(self, task: units.Task, reason: str) -> None:
        """Return a task to the queue after its run ended, was lost or never started."""
        if not task.is_assigned:
            return
        self._events.record(
            lines.EventKind.TASK_LOST,
            job=task.key.job_id,
            attempt=task.record.run,
            detail=f"task={task.key} node={task.record.node} reason={reason}",
        )
        self._requeue(task, task.record)

    def _requeue(self, task: units.Task, record: tasks.TaskRecord) -> None:
        """Return a task to the queue with a record of its run's end."""
        self.learner.note_end(task)
        waiting = attrs.evolve(record, phase=tasks.TaskPhase.WAITING, checkpoint=task.checkpoint)
        self._set_record(task, waiting)
        task.mark_released()
        unit = task.unit
        unit.ready_s = unit.preempting_s = None
        if not unit.is_waiting:
            return
        # A new lead knows only the records, which must not differ then.
        checkpoint = unit.newest_checkpoint
        for member in unit.members:
            if member.record.checkpoint != checkpoint:
                self._set_record(member, attrs.evolve(member.record, checkpoint=checkpoint))

    def apply_end(self, node: str, end: workers.RunResult, now_s: float) -> None:
        """Apply the result of a run that a worker lists.

        :param node: the worker's VM.
        :param end: the result.
        :param now_s: the lead's clock.
        """
        task = self.find_task(end.task)
        if task is None or task.record.run != end.run:
            return
        is_assigned_here = task.is_assigned and task.record.node == node
        is_late_success = task.is_waiting and end.kind is tasks.EndKind.DONE
        if not is_assigned_here and not is_late_success:
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
            task.update_checkpoint(end.checkpoint, now_s)
        if end.kind is tasks.EndKind.DONE:
            if is_assigned_here:
                self.learner.note_success(task, now_s)
            self._apply_success(task)
        elif end.kind is tasks.EndKind.FAILED:
            self._apply_failure(node, task, now_s)
        else:
            self._requeue(task, task.record)

    def apply_progress(self, task: units.Task, run_status: workers.RunStatus, now_s: float) -> None:
        """Apply the progress of a run, and store its newest checkpoint if the interval has passed.

        :param task: the task.
        :param run_status: the worker's report of the run.
        :param now_s: the lead's clock.
        """
        if run_status.percent > task.percent:
            former_percent = task.percent
            task.update_progress(run_status.percent, now_s)
            ratio = self.learner.note_progress(task, former_percent, now_s)
            self.outcomes(task.record.node).record_pace(ratio)
            if task.has_proven_start:
                self.outcomes(task.record.node).record_health(task.started_s)
        if not run_status.checkpoint or not task.step.is_checkpointed:
            return
        task.update_checkpoint(run_status.checkpoint, now_s)
        if now_s < task.checkpoint_stored_s + self._checkpoint_rates.interval_s(task.step):
            return
        task.checkpoint_stored_s = now_s
        if run_status.checkpoint != task.record.checkpoint:
            self._set_record(task, attrs.evolve(task.record, checkpoint=run_status.checkpoint))

    def _apply_success(self, task: units.Task) -> None:
        """Complete a unit; the success of a gang is one of each worker on which it ran."""
        for member in task.unit.members:
            if member.record.run == task.record.run:
                self.outcomes(member.record.node).record_success(member.started_s)
        self._complete(task.unit)

    def _complete(self, unit: units.Unit) -> None:
        """Mark a unit as done: a gang is, as soon as one of its members is."""
        for member in unit.members:
            if not member.is_done:
                self.learner.note_end(member)
                self._set_record(member, attrs.evolve(member.record, phase=tasks.TaskPhase.DONE))

    def _apply_failure(self, node: str, task: units.Task, now_s: float) -> None:
        unit, run = task.unit, task.record.run
        is_counted = run > unit.failed_run
        had_progress = unit.has_proven_run(run)
        unit.paused_from_s = now_s
        if not had_progress:
            # A run that fails after it made progress most likely failed by its own fault, and the
            # capacity that it leaves is the first that the unit can have.
            unit.suspect(task, now_s)
        self._requeue(task, unit.with_failure(task.record))
        if is_counted:
            self._events.record(
                lines.EventKind.ATTEMPT_FAILED,
                job=task.key.job_id,
                attempt=run,
                detail=f"task={task.key} failures={unit.failures} attempts={unit.job.attempts}",
            )
        if not unit.note_failed_node(run, node):
            return
        is_repeated = unit.step.is_lasting and unit.has_failed_before(node)
        outcomes = self.outcomes(node)
        if outcomes.record_failure(
            task.key.job_id, now_s, task.started_s, had_progress, is_repeated
        ):
            self._events.record(
                lines.EventKind.WORKER_EJECTED,
                detail=f"node={node} until_s={outcomes.ejected_until_s:.1f}",
            )

    def _set_record(self, task: units.Task, record: tasks.TaskRecord) -> None:
        if task.is_assigned:
            self._tasks_by_node.get(task.record.node, set()).discard(task)
            self._checkpoint_rates.remove(task.step)
        task.record = record
        if task.is_assigned:
            self._index_task(task)
        self._changed_tasks[task.key] = task

    def _index_task(self, task: units.Task) -> None:
        self._tasks_by_node.setdefault(task.record.node, set()).add(task)
        self._checkpoint_rates.add(task.step)

    def is_assigned_run(self, key: tasks.TaskKey, run: int, node: str) -> bool:
        """Return whether a run on a VM is the current assignment of its task."""
        task = self.find_task(key)
        if task is None or not task.is_assigned:
            return False
        return task.record.run == run and task.record.node == node
