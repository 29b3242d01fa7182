"""Execution state of a job: occurrences, dependencies of its steps, and its end.

A recurring job may have thousands of occurrences, and a step thousands of tasks. So only the
occurrences that are due exist in memory, and what a planning round asks for is counted when the
record of a task changes.
"""

import collections
import itertools
from collections.abc import Iterator

import attrs

from papayaspar_jobs import durations, registries, tasks, units

# Occurrences that are due are created only while this many tasks of the job are not done, so that
# a job whose occurrences are all due at once does not fill the memory.
OPEN_TASKS_MAX = 10_000
# The tasks of a done occurrence are kept for this long, in seconds: a worker that was unreachable
# may still report their runs until its lease has expired.
DONE_OCCURRENCE_KEPT_S = 30.0


@attrs.define(eq=False)
class StepProgress:
    """Execution state of one step in one occurrence of a job.

    :param occurrence: number of the occurrence, from 0.
    :param number: number of the step within the job, from 0.
    :param all_units: all units of the step.
    :param new: waiting units that never ran, in order.
    :param repeated: waiting units that ran before, in the order in which they were queued again.
    :param done_count: number of units that are done.
    """

    occurrence: int
    number: int
    all_units: list[units.Unit]
    new: dict[units.Unit, None] = attrs.field(factory=dict)
    repeated: dict[units.Unit, None] = attrs.field(factory=dict)
    done_count: int = 0

    @property
    def is_done(self) -> bool:
        """Whether every unit of the step is done."""
        return self.done_count == len(self.all_units)

    @property
    def has_waiting(self) -> bool:
        """Whether any unit of the step waits to be started."""
        return bool(self.new) or bool(self.repeated)


class JobProgress:
    """Execution state of one job and its tasks.

    :param accepted_job: the accepted job.
    :param attempts: number of failed runs after which a task is not retried.
    :param estimates: expected run times; the declared ones if ``None``.
    """

    def __init__(
        self,
        accepted_job: registries.AcceptedJob,
        attempts: int,
        estimates: durations.DurationEstimates | None = None,
    ) -> None:
        self.accepted_job = accepted_job
        self.spec = accepted_job.spec
        self.attempts = max(1, attempts)
        self.estimates = estimates or durations.DeclaredDurations()
        self.has_started = False
        self._task_count = sum(step.task_count for step in self.spec.steps)
        # The next occurrence to create when it is due; restored ones may be later.
        self._next_occurrence = 0
        # Steps of the occurrences in memory, by occurrence and step number.
        self._steps: dict[tuple[int, int], StepProgress] = {}
        self._tasks: dict[tasks.TaskKey, units.Task] = {}
        self._open_occurrences: set[int] = set()
        self._done_occurrences: set[int] = set()
        # Done occurrences whose tasks are still in memory, and when that was first seen.
        self._newly_done: list[int] = []
        self._kept_since_s: dict[int, float] = {}
        self._waiting_steps: dict[tuple[int, int], StepProgress] = {}
        self._active: dict[units.Unit, None] = {}
        self._failed: set[units.Unit] = set()
        self._done: set[units.Unit] = set()
        # Duration of the longest chain of steps from each step on, and revision of the estimates
        # that it is computed from.
        self._path_s: dict[int, float] = {}
        self._critical_path_s: float | None = None
        self._path_revision = self.estimates.revision

    @property
    def task_count(self) -> int:
        """Number of tasks in memory."""
        return len(self._tasks)

    def create_due_tasks(self, wall_ms: float) -> bool:
        """Create the tasks of the occurrences that are due, while ``OPEN_TASKS_MAX`` allows it.

        :param wall_ms: current time in milliseconds since the Unix epoch.
        :return: whether tasks were created.
        """
        has_new = False
        schedule = self.spec.schedule
        while self._next_occurrence < self.spec.occurrences:
            occurrence = self._next_occurrence
            if schedule is not None and schedule.due_ms(occurrence) > wall_ms:
                break
            open_tasks = len(self._open_occurrences) * self._task_count
            if open_tasks and open_tasks + self._task_count > OPEN_TASKS_MAX:
                break
            self._next_occurrence += 1
            has_new = self._create_occurrence(occurrence) or has_new
        return has_new

    @property
    def next_due_ms(self) -> int | None:
        """Due time of the next occurrence in milliseconds since the Unix epoch.

        ``None`` when the tasks of all occurrences have been created.
        """
        if self.spec.schedule is None or self._next_occurrence >= self.spec.occurrences:
            return None
        return self.spec.schedule.due_ms(self._next_occurrence)

    def restore(self, key: tasks.TaskKey, record: tasks.TaskRecord) -> units.Task | None:
        """Restore a task from its record; the occurrence is created if it does not exist.

        :return: the task, or ``None`` if the job has no such task.
        """
        if key.occurrence >= self.spec.occurrences:
            return None
        self._create_occurrence(key.occurrence)
        task = self._tasks.get(key)
        if task is not None:
            task.record = record.restored()
        return task

    def _create_occurrence(self, occurrence: int) -> bool:
        """Create the tasks of an occurrence; return whether it is new."""
        if occurrence in self._open_occurrences or occurrence in self._done_occurrences:
            return False
        self._open_occurrences.add(occurrence)
        for number, step in enumerate(self.spec.steps):
            members = []
            for index in range(step.task_count):
                key = tasks.TaskKey(self.spec.job_id, occurrence, number, index)
                task = units.Task(key, step)
                members.append(task)
                self._tasks[key] = task
            groups = [members] if step.is_gang else [[task] for task in members]
            step_units = [units.Unit(self, step, group) for group in groups]
            step_progress = StepProgress(occurrence, number, step_units)
            step_progress.new.update(dict.fromkeys(step_units))
            self._steps[occurrence, number] = step_progress
            self._waiting_steps[occurrence, number] = step_progress
        return True

    def update_unit(self, unit: units.Unit, has_run: bool) -> None:
        """Apply a change of a unit's members.

        :param unit: the unit, whose counts are those after the change.
        :param has_run: whether the changed member has ever been assigned to a worker.
        """
        self.has_started = self.has_started or has_run
        key = unit.members[0].key
        step_progress = self._steps[key.occurrence, key.step]
        step_progress.new.pop(unit, None)
        step_progress.repeated.pop(unit, None)
        if unit.is_waiting:
            waiting = step_progress.repeated if has_run else step_progress.new
            waiting[unit] = None
        if step_progress.has_waiting:
            self._waiting_steps.setdefault((key.occurrence, key.step), step_progress)
        else:
            self._waiting_steps.pop((key.occurrence, key.step), None)
        self._active.pop(unit, None)
        if unit.is_active:
            self._active[unit] = None
        self._failed.discard(unit)
        if unit.failures >= self.attempts and not unit.is_done and not unit.step.is_lasting:
            self._failed.add(unit)
        self._update_done(unit, step_progress)

    def _update_done(self, unit: units.Unit, step_progress: StepProgress) -> None:
        """Count a unit that is done; it stays done."""
        if not unit.is_done or unit in self._done:
            return
        self._done.add(unit)
        step_progress.done_count += 1
        occurrence = step_progress.occurrence
        if all(self._steps[occurrence, number].is_done for number in range(len(self.spec.steps))):
            self._open_occurrences.discard(occurrence)
            self._done_occurrences.add(occurrence)
            self._newly_done.append(occurrence)

    def drop_done_occurrences(self, now_s: float) -> None:
        """Remove the tasks of the occurrences that have been done for ``DONE_OCCURRENCE_KEPT_S``.

        :param now_s: current time in seconds on the lead's clock.
        """
        self._kept_since_s.update(dict.fromkeys(self._newly_done, now_s))
        self._newly_done.clear()
        for occurrence, since_s in list(self._kept_since_s.items()):
            if now_s - since_s < DONE_OCCURRENCE_KEPT_S:
                return
            del self._kept_since_s[occurrence]
            self._drop_occurrence(occurrence)

    def _drop_occurrence(self, occurrence: int) -> None:
        for number in range(len(self.spec.steps)):
            step_progress = self._steps.pop((occurrence, number))
            for unit in step_progress.all_units:
                self._done.discard(unit)
                for task in unit.members:
                    del self._tasks[task.key]

    def task(self, key: tasks.TaskKey) -> units.Task | None:
        """Return a task, or ``None`` if it does not exist or is not in memory."""
        return self._tasks.get(key)

    def active_units(self) -> Iterator[units.Unit]:
        """Return the units of which a member is assigned to a worker."""
        return iter(tuple(self._active))

    def waiting_units(
        self,
        wall_ms: float,
        units_per_step_max: int | None = None,
        units_max: int | None = None,
    ) -> Iterator[units.Unit]:
        """Return the waiting units that are due and whose predecessors are done, in order.

        :param wall_ms: current time in milliseconds since the Unix epoch.
        :param units_per_step_max: maximum number of units of each step that never ran, and of
            those that ran before; units of one step differ in little else. ``None`` for all.
        :param units_max: number of units that all steps share; each has at least one. ``None`` for
            no limit.
        """
        startable = self._startable_steps(wall_ms)
        if units_per_step_max is not None and units_max is not None:
            step_count = len({number for number, _ in startable})
            units_per_step_max = min(units_per_step_max, max(1, units_max // max(1, step_count)))
        counts: collections.Counter[tuple[int, bool]] = collections.Counter()
        for number, step_progress in startable:
            chosen: list[units.Unit] = []
            for is_new, waiting in (
                (True, step_progress.new),
                (False, sorted(step_progress.repeated, key=_index)),
            ):
                count_max = None
                if units_per_step_max is not None:
                    count_max = max(0, units_per_step_max - counts[number, is_new])
                first = list(itertools.islice(waiting, count_max))
                counts[number, is_new] += len(first)
                chosen += first
            yield from sorted(chosen, key=_index)

    def _startable_steps(self, wall_ms: float) -> list[tuple[int, StepProgress]]:
        """Return the steps that may start now and have waiting units, with their numbers."""
        schedule = self.spec.schedule
        startable: list[tuple[int, StepProgress]] = []
        for (occurrence, number), step_progress in sorted(
            self._waiting_steps.items(), key=lambda item: item[0]
        ):
            if schedule is not None and schedule.due_ms(occurrence) > wall_ms:
                continue
            if self._are_predecessors_done(occurrence, number):
                startable.append((number, step_progress))
        return startable

    def _are_predecessors_done(self, occurrence: int, number: int) -> bool:
        return all(
            self._steps[occurrence, predecessor].is_done
            for predecessor in self.spec.steps[number].after
        )

    def expected(self, unit: units.Unit) -> durations.ExpectedDuration:
        """Return the expected run time of a unit from its beginning."""
        return self.estimates.expected(self.spec, unit.step)

    def critical_path_s(self) -> float:
        """Return the expected duration of the longest chain of dependent steps, in seconds."""
        self._drop_outdated_paths()
        if self._critical_path_s is None:
            first_steps = [number for number, step in enumerate(self.spec.steps) if not step.after]
            paths_s = (self._path_from_s(number) for number in first_steps)
            self._critical_path_s = max(paths_s, default=0.0)
        return self._critical_path_s

    def remaining_s(self, unit: units.Unit) -> float:
        """Return the expected time from a unit's start to the end of the job.

        Time during which later steps wait for workers is not included.

        :return: seconds.
        """
        self._drop_outdated_paths()
        return self._path_from_s(unit.members[0].key.step)

    def _drop_outdated_paths(self) -> None:
        """Drop the durations of chains that were computed from other estimates."""
        if self._path_revision == self.estimates.revision:
            return
        self._path_revision = self.estimates.revision
        self._path_s.clear()
        self._critical_path_s = None

    def _path_from_s(self, number: int) -> float:
        """Return the expected duration of the longest chain of steps that begins with a step."""
        path_s = self._path_s.get(number)
        if path_s is None:
            path_s = self._path_s[number] = self._computed_path_s(number)
        return path_s

    def _computed_path_s(self, number: int) -> float:
        steps = self.spec.steps
        path_s = {number: self.estimates.expected(self.spec, steps[number]).middle_s}
        for later_number in range(number + 1, len(steps)):
            predecessor_ends_s = [
                path_s[predecessor]
                for predecessor in steps[later_number].after
                if predecessor in path_s
            ]
            if predecessor_ends_s:
                later_s = self.estimates.expected(self.spec, steps[later_number]).middle_s
                path_s[later_number] = max(predecessor_ends_s) + later_s
        return max(path_s.values())

    @property
    def needed_accelerators(self) -> int:
        """Accelerators that the job may still use at a time: those of its tasks that are not done.

        At most those of its first step, which is what a guarantee has to hold; all of these for a
        job of several occurrences.
        """
        first_step = self.spec.first_step_resources.accelerators
        if self.spec.occurrences > 1:
            return first_step
        needed = 0
        for number, step in enumerate(self.spec.steps):
            step_progress = self._steps.get((0, number))
            if step_progress is None:
                return first_step
            if step_progress.is_done:
                continue
            done_tasks = 0 if step.is_gang else step_progress.done_count
            needed += (step.task_count - done_tasks) * step.room.accelerators
            if needed >= first_step:
                return first_step
        return needed

    @property
    def is_active(self) -> bool:
        """Whether any task is assigned to a worker."""
        return bool(self._active)

    @property
    def has_failed(self) -> bool:
        """Whether a unit has used up its attempts."""
        return bool(self._failed)

    @property
    def is_done(self) -> bool:
        """Whether every task of every occurrence is done."""
        return len(self._done_occurrences) == self.spec.occurrences


def _index(unit: units.Unit) -> int:
    """Return the position of a unit within its step."""
    return unit.members[0].key.index
