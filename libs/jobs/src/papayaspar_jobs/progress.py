"""How far a job's tasks are: which may start now, and what an end means for the others."""

from collections.abc import Iterator

import attrs

from papayaspar_jobs import books, specs, tasks

MILLISECONDS_PER_SECOND = 1000.0
# A run whose progress did not rise for so long, in seconds, may be stalled: progress comes in
# whole percents, which on a slow worker take up to three seconds.
STALLED_S = 3.0
# And a long run only after the time of so many percents: progress is told in whole ones.
STALLED_PERCENTS = 5.0
# The pace of a run is judged once so much of it is done, in percent: its start counts little then.
PACE_PERCENT_MIN = 5.0


@attrs.define(eq=False)
class Task:
    """A task as the lead sees it.

    :param key: its name.
    :param step: its step.
    :param record: what is stored of it.
    :param is_starting: whether an order to start it is under way.
    :param is_stopping: whether it was told to stop.
    :param started_s: when its run began, on the lead's clock.
    :param percent: how much of it is done, 0 to 100.
    :param moved_s: when that last rose, on the lead's clock.
    :param checkpoint: newest checkpoint that was seen of its run.
    :param checkpoint_stored_s: when a checkpoint of its run was last stored, on the lead's clock.
    :param failed_nodes: machines on which it failed.
    """

    key: tasks.TaskKey
    step: specs.Step
    record: tasks.TaskRecord = attrs.field(factory=tasks.TaskRecord)
    is_starting: bool = False
    is_stopping: bool = False
    started_s: float = 0.0
    percent: float = 0.0
    moved_s: float = 0.0
    checkpoint: str = ""
    checkpoint_stored_s: float = 0.0
    failed_nodes: set[str] = attrs.field(factory=set)
    _is_start_known: bool = attrs.field(default=True, init=False)
    _has_begun_anew: bool = attrs.field(default=False, init=False)

    def begin(self, now_s: float) -> None:
        """Note that a run begins.

        :param now_s: the lead's clock.
        """
        self.is_starting = True
        self.is_stopping = False
        self._has_begun_anew = not self.record.checkpoint
        self.started_s = self.moved_s = self.checkpoint_stored_s = now_s
        self.percent = 0.0

    def confirm(self, now_s: float) -> None:
        """Note that its worker has begun the run.

        :param now_s: the lead's clock; an assignment may wait seconds for a slow store.
        """
        self.is_starting = False
        self.started_s = self.moved_s = self.checkpoint_stored_s = now_s

    def resume(self, now_s: float) -> None:
        """Note that a run of a former lead goes on; when it began is told by its progress."""
        self.started_s = self.moved_s = self.checkpoint_stored_s = now_s
        self.percent = 0.0
        self._has_begun_anew = False
        self._is_start_known = False

    def observe(self, percent: float, now_s: float) -> None:
        """Take in how much of the run is done.

        :param percent: 0 to 100.
        :param now_s: the lead's clock.
        """
        if not self._is_start_known:
            self._is_start_known = True
            self.started_s -= self.step.estimate_ms / MILLISECONDS_PER_SECOND * percent / 100.0
        if percent > self.percent:
            self.percent = percent
            self.moved_s = now_s

    def pace_ratio(self, now_s: float) -> float | None:
        """Return how many times its estimate the run takes, or ``None`` if that can't be told.

        A run that went on from a checkpoint, or under a former lead, says nothing of its pace.

        :param now_s: when :attr:`percent` was told, on the lead's clock.
        """
        if not self._has_begun_anew or self.step.estimate_ms <= 0:
            return None
        if self.percent < PACE_PERCENT_MIN:
            return None
        whole_s = (now_s - self.started_s) * 100.0 / self.percent
        return whole_s * MILLISECONDS_PER_SECOND / self.step.estimate_ms

    def left_s(self, now_s: float) -> float:
        """Return the estimated time that the run still needs, in seconds.

        Its own pace tells more than the caller's estimate, which may be far off.
        """
        return max(0.0, self.started_s + self._whole_s() - now_s)

    def _whole_s(self) -> float:
        worked_s = self.moved_s - self.started_s
        if self.percent > 0 and worked_s > 0:
            return worked_s * 100.0 / self.percent
        return self.step.estimate_ms / MILLISECONDS_PER_SECOND

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the run has been stalled so long that another is worth its lost work."""
        still_s = now_s - self.moved_s
        step_s = self._whole_s() * STALLED_PERCENTS / 100.0
        # Each further run is given more time, so that no task is restarted for ever.
        if still_s < max(STALLED_S, step_s) * max(1, self.record.run):
            return False
        return self.step.is_checkpointed or still_s >= self.moved_s - self.started_s

    @property
    def is_waiting(self) -> bool:
        """Whether it waits to be started."""
        return self.record.phase is tasks.TaskPhase.WAITING

    @property
    def is_assigned(self) -> bool:
        """Whether a worker has it or may have it."""
        return self.record.phase is tasks.TaskPhase.ASSIGNED

    @property
    def is_done(self) -> bool:
        """Whether it ended as done."""
        return self.record.phase is tasks.TaskPhase.DONE


@attrs.define(eq=False)
class Unit:
    """What starts, stops and fails as one: a gang, or a single task.

    :param job: its job.
    :param step: its step.
    :param members: its tasks.
    :param ready_s: when it could first start, on the lead's clock.
    """

    job: "JobProgress"
    step: specs.Step
    members: list[Task]
    ready_s: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether every member waits."""
        return all(task.is_waiting for task in self.members)

    @property
    def is_done(self) -> bool:
        """Whether it has ended as done."""
        return all(task.is_done for task in self.members)

    @property
    def is_active(self) -> bool:
        """Whether a member is or may be on a worker."""
        return any(task.is_assigned for task in self.members)

    @property
    def next_run(self) -> int:
        """Number of its next run: members of a gang share one."""
        return max(task.record.run for task in self.members) + 1

    @property
    def failures(self) -> int:
        """Runs of it that ended as failed."""
        return max(task.record.failures for task in self.members)

    @property
    def newest_checkpoint(self) -> str:
        """Where its next run goes on, the same for all members."""
        for task in self.members:
            if task.record.checkpoint:
                return task.record.checkpoint
        return ""

    @property
    def failed_nodes(self) -> frozenset[str]:
        """Machines on which a member failed."""
        return frozenset(node for task in self.members for node in task.failed_nodes)


class JobProgress:
    """The tasks of one job.

    :param booked: the job in the book.
    :param attempts: failed runs after which a task is given up.
    """

    def __init__(self, booked: books.BookedJob, attempts: int) -> None:
        self.booked = booked
        self.spec = booked.spec
        self.attempts = max(1, attempts)
        self._steps: dict[tuple[int, int], list[Unit]] = {}
        self._tasks: dict[tasks.TaskKey, Task] = {}
        self._units: dict[tasks.TaskKey, Unit] = {}
        self._opened = 0
        self._done_units = 0

    def open_due(self, wall_ms: float, restore_all: bool = False) -> bool:
        """Create the tasks of the occurrences that are due.

        :param wall_ms: milliseconds since the Unix epoch.
        :param restore_all: whether to create those that are not due too, to restore records.
        :return: whether there are new tasks.
        """
        has_new = False
        schedule = self.spec.schedule
        while self._opened < self.spec.occurrences:
            is_due = schedule is None or schedule.due_ms(self._opened) <= wall_ms
            if not is_due and not restore_all:
                break
            self._open(self._opened)
            self._opened += 1
            has_new = True
        return has_new

    @property
    def next_due_ms(self) -> int | None:
        """When the next occurrence is due, or ``None`` when all are open."""
        if self.spec.schedule is None or self._opened >= self.spec.occurrences:
            return None
        return self.spec.schedule.due_ms(self._opened)

    def _open(self, occurrence: int) -> None:
        for number, step in enumerate(self.spec.steps):
            members = []
            for index in range(step.task_count):
                key = tasks.TaskKey(self.spec.job_id, occurrence, number, index)
                task = Task(key, step)
                members.append(task)
                self._tasks[key] = task
            units = [Unit(self, step, members)]
            if not step.is_gang:
                units = [Unit(self, step, [task]) for task in members]
            self._steps[occurrence, number] = units
            for unit in units:
                for task in unit.members:
                    self._units[task.key] = unit

    def task(self, key: tasks.TaskKey) -> Task | None:
        """Return a task, or ``None`` if the job has no such task open."""
        return self._tasks.get(key)

    def unit_of(self, task: Task) -> Unit:
        """Return the unit that a task belongs to."""
        return self._units[task.key]

    def all_tasks(self) -> Iterator[Task]:
        """Return the open tasks."""
        return iter(self._tasks.values())

    def active_units(self) -> Iterator[Unit]:
        """Return the units that are or may be on workers."""
        for units in self._steps.values():
            for unit in units:
                if unit.is_active:
                    yield unit

    def waiting_units(self, wall_ms: float) -> Iterator[Unit]:
        """Return the units that may start now: due, with their predecessors done."""
        schedule = self.spec.schedule
        for (occurrence, number), units in self._steps.items():
            if schedule is not None and schedule.due_ms(occurrence) > wall_ms:
                continue
            if not self._has_predecessors_done(occurrence, number):
                continue
            for unit in units:
                if unit.is_waiting:
                    yield unit

    def _has_predecessors_done(self, occurrence: int, number: int) -> bool:
        for earlier in self.spec.steps[number].after:
            if not all(unit.is_done for unit in self._steps[occurrence, earlier]):
                return False
        return True

    def remaining_ms(self, unit: Unit) -> float:
        """Return the estimated time from a unit's start to the job's end, without waits."""
        steps = self.spec.steps
        number = unit.members[0].key.step
        longest = {number: float(unit.step.estimate_ms)}
        for later in range(number + 1, len(steps)):
            begins = [longest[earlier] for earlier in steps[later].after if earlier in longest]
            if begins:
                longest[later] = max(begins) + steps[later].estimate_ms
        return max(longest.values())

    @property
    def has_failed(self) -> bool:
        """Whether a unit used up its attempts."""
        for units in self._steps.values():
            for unit in units:
                if unit.step.is_lasting:
                    continue
                if unit.failures >= self.attempts and not unit.is_done:
                    return True
        return False

    @property
    def is_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self._opened < self.spec.occurrences:
            return False
        return all(unit.is_done for units in self._steps.values() for unit in units)

    @property
    def has_started(self) -> bool:
        """Whether a task was ever given to a worker."""
        return any(task.record.run > 0 for task in self._tasks.values())
