"""Execution state of a job's tasks: dependencies, progress, pace and stalls."""

from collections.abc import Iterator

import attrs

from papayaspar_jobs import registries, specs, tasks

MILLISECONDS_PER_SECOND = 1000.0
# Minimum time without progress, in seconds, after which a run counts as stalled: progress is
# reported in whole percents, and one percent takes up to three seconds on a slow worker.
STALL_TIMEOUT_S = 3.0
# Progress in percent whose estimated time must also pass before a run counts as stalled: a long run
# takes more than the minimum time from one reported percent to the next.
STALL_PROGRESS_PERCENT = 5.0
# Progress in percent from which the pace of a run is computed; the startup time then has little
# influence on it.
PACE_PERCENT_MIN = 5.0


@attrs.define(eq=False)
class Task:
    """The lead's state of a task.

    :param key: key of the task.
    :param step: step that the task belongs to.
    :param record: persistent state.
    :param is_starting: whether a start order is in progress.
    :param is_stopping: whether a stop order was sent.
    :param started_s: start time of the current run, in seconds on the lead's clock.
    :param percent: progress of the current run, 0 to 100.
    :param progressed_s: time at which the progress last increased, in seconds on the lead's clock.
    :param checkpoint: newest checkpoint reported by the current run.
    :param checkpoint_stored_s: time at which a checkpoint of the current run was last stored, in
        seconds on the lead's clock.
    :param failed_nodes: VMs on which a run of the task failed.
    """

    key: tasks.TaskKey
    step: specs.Step
    record: tasks.TaskRecord = attrs.field(factory=tasks.TaskRecord)
    is_starting: bool = False
    is_stopping: bool = False
    started_s: float = 0.0
    percent: float = 0.0
    progressed_s: float = 0.0
    checkpoint: str = ""
    checkpoint_stored_s: float = 0.0
    failed_nodes: set[str] = attrs.field(factory=set)
    _is_start_time_known: bool = attrs.field(default=True, init=False)
    _is_fresh_start: bool = attrs.field(default=False, init=False)

    def mark_starting(self, now_s: float) -> None:
        """Record that a run is being started.

        :param now_s: current time in seconds on the lead's clock.
        """
        self.is_starting = True
        self.is_stopping = False
        self._is_fresh_start = not self.record.checkpoint
        self.started_s = self.progressed_s = self.checkpoint_stored_s = now_s
        self.percent = 0.0

    def mark_started(self, now_s: float) -> None:
        """Record that the worker has started the run.

        The start time is set again because the assignment may have waited seconds for a slow store.

        :param now_s: current time in seconds on the lead's clock.
        """
        self.is_starting = False
        self.started_s = self.progressed_s = self.checkpoint_stored_s = now_s

    def mark_taken_over(self, now_s: float) -> None:
        """Record that this lead takes over a run started by a former lead.

        The start time is unknown until :meth:`update_progress` derives it from the progress.
        """
        self.started_s = self.progressed_s = self.checkpoint_stored_s = now_s
        self.percent = 0.0
        self._is_fresh_start = False
        self._is_start_time_known = False

    def update_progress(self, percent: float, now_s: float) -> None:
        """Update the progress of the run.

        :param percent: reported progress, 0 to 100.
        :param now_s: current time in seconds on the lead's clock.
        """
        if not self._is_start_time_known:
            self._is_start_time_known = True
            self.started_s -= self.step.estimate_ms / MILLISECONDS_PER_SECOND * percent / 100.0
        if percent > self.percent:
            self.percent = percent
            self.progressed_s = now_s

    @property
    def has_proven_start(self) -> bool:
        """Whether the run shows progress since its own start, not only that of a checkpoint."""
        return self._is_fresh_start and self.percent >= PACE_PERCENT_MIN

    def pace_ratio(self, now_s: float) -> float | None:
        """Return the projected duration of the run as a multiple of its estimate.

        The ratio is ``None`` without an estimate or enough progress, and for runs that resumed
        from a checkpoint or were started by a former lead: their start time or initial progress
        is unknown.

        :param now_s: time at which :attr:`percent` was reported, in seconds on the lead's clock.
        """
        if not self._is_fresh_start or self.step.estimate_ms <= 0:
            return None
        if self.percent < PACE_PERCENT_MIN:
            return None
        duration_s = (now_s - self.started_s) * 100.0 / self.percent
        return duration_s * MILLISECONDS_PER_SECOND / self.step.estimate_ms

    def remaining_s(self, now_s: float) -> float:
        """Return the estimated remaining time of the run, in seconds.

        It is computed from the run's progress where possible, because the caller's estimate may be
        far off.
        """
        return max(0.0, self.started_s + self._estimated_duration_s() - now_s)

    def _estimated_duration_s(self) -> float:
        elapsed_s = self.progressed_s - self.started_s
        if self.percent > 0 and elapsed_s > 0:
            return elapsed_s * 100.0 / self.percent
        return self.step.estimate_ms / MILLISECONDS_PER_SECOND

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the run has stalled so long that a restart costs less than waiting."""
        idle_s = now_s - self.progressed_s
        progress_time_s = self._estimated_duration_s() * STALL_PROGRESS_PERCENT / 100.0
        # The timeout grows with the number of runs, so that a task isn't restarted endlessly.
        if idle_s < max(STALL_TIMEOUT_S, progress_time_s) * max(1, self.record.run):
            return False
        return self.step.is_checkpointed or idle_s >= self.progressed_s - self.started_s

    @property
    def is_waiting(self) -> bool:
        """Whether the task waits to be started."""
        return self.record.phase is tasks.TaskPhase.WAITING

    @property
    def is_assigned(self) -> bool:
        """Whether the task is assigned to a worker, which may or may not run it already."""
        return self.record.phase is tasks.TaskPhase.ASSIGNED

    @property
    def is_done(self) -> bool:
        """Whether the task has completed successfully."""
        return self.record.phase is tasks.TaskPhase.DONE


@attrs.define(eq=False)
class Unit:
    """Unit of scheduling: a gang, or a single task.

    The members start, stop and fail together.

    :param job: job that the unit belongs to.
    :param step: step that the unit belongs to.
    :param members: tasks of the unit.
    :param ready_s: time at which the unit became ready to start, in seconds on the lead's clock,
        or ``None`` before.
    :param ending_s: time at which the first member of the current run was seen to have ended before
        the others, in seconds on the lead's clock, or ``None``.
    :param preempting_s: time at which other units were first stopped for this unit since it became
        ready, in seconds on the lead's clock, or ``None``.
    """

    job: "JobProgress"
    step: specs.Step
    members: list[Task]
    ready_s: float | None = None
    ending_s: float | None = None
    preempting_s: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether every member waits to be started."""
        return all(task.is_waiting for task in self.members)

    @property
    def is_done(self) -> bool:
        """Whether every member has completed successfully."""
        return all(task.is_done for task in self.members)

    @property
    def is_active(self) -> bool:
        """Whether any member is assigned to a worker."""
        return any(task.is_assigned for task in self.members)

    @property
    def is_ending_by_itself(self) -> bool:
        """Whether some members have ended, and the others will end without having been stopped."""
        if not self.is_active or self.is_done:
            return False
        if any(task.is_stopping or task.is_starting for task in self.members):
            return False
        return any(task.is_waiting for task in self.members)

    @property
    def next_run(self) -> int:
        """Number of the unit's next run, which all members of a gang share."""
        return max(task.record.run for task in self.members) + 1

    @property
    def failures(self) -> int:
        """Number of failed runs."""
        return max(task.record.failures for task in self.members)

    @property
    def newest_checkpoint(self) -> str:
        """Checkpoint from which all members resume in the next run, or empty."""
        for task in self.members:
            if task.record.checkpoint:
                return task.record.checkpoint
        return ""

    @property
    def failed_nodes(self) -> frozenset[str]:
        """VMs on which a run of any member failed."""
        return frozenset(node for task in self.members for node in task.failed_nodes)


class JobProgress:
    """Execution state of one job and its tasks.

    :param accepted_job: the accepted job.
    :param attempts: number of failed runs after which a task is not retried.
    """

    def __init__(self, accepted_job: registries.AcceptedJob, attempts: int) -> None:
        self.accepted_job = accepted_job
        self.spec = accepted_job.spec
        self.attempts = max(1, attempts)
        # Units by occurrence and step number.
        self._units_by_step: dict[tuple[int, int], list[Unit]] = {}
        self._tasks: dict[tasks.TaskKey, Task] = {}
        self._units_by_task: dict[tasks.TaskKey, Unit] = {}
        self._created_count = 0
        self._done_units = 0

    def create_due_tasks(self, wall_ms: float, restore_all: bool = False) -> bool:
        """Create the tasks of all occurrences that are due.

        :param wall_ms: current time in milliseconds since the Unix epoch.
        :param restore_all: whether to create occurrences that are not due as well, so that
            stored task records can be restored.
        :return: whether tasks were created.
        """
        has_new = False
        schedule = self.spec.schedule
        while self._created_count < self.spec.occurrences:
            is_due = schedule is None or schedule.due_ms(self._created_count) <= wall_ms
            if not is_due and not restore_all:
                break
            self._create_occurrence(self._created_count)
            self._created_count += 1
            has_new = True
        return has_new

    @property
    def next_due_ms(self) -> int | None:
        """Due time of the next occurrence in milliseconds since the Unix epoch.

        ``None`` when the tasks of all occurrences have been created.
        """
        if self.spec.schedule is None or self._created_count >= self.spec.occurrences:
            return None
        return self.spec.schedule.due_ms(self._created_count)

    def _create_occurrence(self, occurrence: int) -> None:
        for step_number, step in enumerate(self.spec.steps):
            members = []
            for index in range(step.task_count):
                key = tasks.TaskKey(self.spec.job_id, occurrence, step_number, index)
                task = Task(key, step)
                members.append(task)
                self._tasks[key] = task
            units = [Unit(self, step, members)]
            if not step.is_gang:
                units = [Unit(self, step, [task]) for task in members]
            self._units_by_step[occurrence, step_number] = units
            for unit in units:
                for task in unit.members:
                    self._units_by_task[task.key] = unit

    def task(self, key: tasks.TaskKey) -> Task | None:
        """Return a task, or ``None`` if it does not exist or has not been created yet."""
        return self._tasks.get(key)

    def unit_of(self, task: Task) -> Unit:
        """Return the unit that a task belongs to."""
        return self._units_by_task[task.key]

    def all_tasks(self) -> Iterator[Task]:
        """Return the tasks of all occurrences created so far."""
        return iter(self._tasks.values())

    def active_units(self) -> Iterator[Unit]:
        """Return the units of which a member is assigned to a worker."""
        for units in self._units_by_step.values():
            for unit in units:
                if unit.is_active:
                    yield unit

    def waiting_units(self, wall_ms: float) -> Iterator[Unit]:
        """Return the waiting units that are due and whose predecessors are done."""
        schedule = self.spec.schedule
        for (occurrence, step_number), units in self._units_by_step.items():
            if schedule is not None and schedule.due_ms(occurrence) > wall_ms:
                continue
            if not self._are_predecessors_done(occurrence, step_number):
                continue
            for unit in units:
                if unit.is_waiting:
                    yield unit

    def _are_predecessors_done(self, occurrence: int, step_number: int) -> bool:
        for predecessor in self.spec.steps[step_number].after:
            if not all(unit.is_done for unit in self._units_by_step[occurrence, predecessor]):
                return False
        return True

    def remaining_ms(self, unit: Unit) -> float:
        """Return the estimated time from a unit's start to the end of the job.

        Time during which later steps wait for workers is not included.

        :return: milliseconds.
        """
        steps = self.spec.steps
        step_number = unit.members[0].key.step
        path_ms = {step_number: float(unit.step.estimate_ms)}
        for later_number in range(step_number + 1, len(steps)):
            predecessor_ends_ms = [
                path_ms[predecessor]
                for predecessor in steps[later_number].after
                if predecessor in path_ms
            ]
            if predecessor_ends_ms:
                path_ms[later_number] = max(predecessor_ends_ms) + steps[later_number].estimate_ms
        return max(path_ms.values())

    @property
    def has_failed(self) -> bool:
        """Whether a unit has used up its attempts."""
        for units in self._units_by_step.values():
            for unit in units:
                if unit.step.is_lasting:
                    continue
                if unit.failures >= self.attempts and not unit.is_done:
                    return True
        return False

    @property
    def is_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self._created_count < self.spec.occurrences:
            return False
        return all(unit.is_done for units in self._units_by_step.values() for unit in units)

    @property
    def has_started(self) -> bool:
        """Whether any task was ever assigned to a worker."""
        return any(task.record.run > 0 for task in self._tasks.values())
