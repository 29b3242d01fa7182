"""Execution state of a job: occurrences, dependencies of its steps, and its end."""

from collections.abc import Iterator

from papayaspar_jobs import registries, tasks, units


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
        self._units_by_step: dict[tuple[int, int], list[units.Unit]] = {}
        self._tasks: dict[tasks.TaskKey, units.Task] = {}
        self._units_by_task: dict[tasks.TaskKey, units.Unit] = {}
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
                task = units.Task(key, step)
                members.append(task)
                self._tasks[key] = task
            step_units = [units.Unit(self, step, members)]
            if not step.is_gang:
                step_units = [units.Unit(self, step, [task]) for task in members]
            self._units_by_step[occurrence, step_number] = step_units
            for unit in step_units:
                for task in unit.members:
                    self._units_by_task[task.key] = unit

    def task(self, key: tasks.TaskKey) -> units.Task | None:
        """Return a task, or ``None`` if it does not exist or has not been created yet."""
        return self._tasks.get(key)

    def unit_of(self, task: units.Task) -> units.Unit:
        """Return the unit that a task belongs to."""
        return self._units_by_task[task.key]

    def all_tasks(self) -> Iterator[units.Task]:
        """Return the tasks of all occurrences created so far."""
        return iter(self._tasks.values())

    def active_units(self) -> Iterator[units.Unit]:
        """Return the units of which a member is assigned to a worker."""
        for step_units in self._units_by_step.values():
            for unit in step_units:
                if unit.is_active:
                    yield unit

    def waiting_units(self, wall_ms: float) -> Iterator[units.Unit]:
        """Return the waiting units that are due and whose predecessors are done."""
        schedule = self.spec.schedule
        for (occurrence, step_number), step_units in self._units_by_step.items():
            if schedule is not None and schedule.due_ms(occurrence) > wall_ms:
                continue
            if not self._are_predecessors_done(occurrence, step_number):
                continue
            for unit in step_units:
                if unit.is_waiting:
                    yield unit

    def _are_predecessors_done(self, occurrence: int, step_number: int) -> bool:
        for predecessor in self.spec.steps[step_number].after:
            if not all(unit.is_done for unit in self._units_by_step[occurrence, predecessor]):
                return False
        return True

    def remaining_ms(self, unit: units.Unit) -> float:
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
        for step_units in self._units_by_step.values():
            for unit in step_units:
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
        return all(
            unit.is_done for step_units in self._units_by_step.values() for unit in step_units
        )

    @property
    def has_started(self) -> bool:
        """Whether any task was ever assigned to a worker."""
        return any(task.record.run > 0 for task in self._tasks.values())
