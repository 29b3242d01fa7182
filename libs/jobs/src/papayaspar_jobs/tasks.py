"""Tasks: their keys, phases and results."""

import enum

import attrs

from papayaspar_model import errors

KEY_PARTS = 4
# Largest number of digits of a number in a task key.
KEY_DIGITS_MAX = 9
# Number of characters of an invalid key that an error shows.
KEY_SHOWN_MAX = 64


@attrs.frozen(order=True, cache_hash=True)
class TaskKey:
    """Unique identifier of a task.

    :param job_id: id of the task's job.
    :param occurrence: number of the job's occurrence, from 0.
    :param step: number of the step within the job, from 0.
    :param index: number of the task within the step, from 0.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskKey":
        """Return the key in its text form, as written by :meth:`__str__`.

        :raises InvalidRequestError: when the text is not a task key.
        """
        parts = text.split(".")
        numbers = parts[1:]
        if len(parts) != KEY_PARTS or not all(_is_number(part) for part in numbers):
            raise errors.InvalidRequestError(
                f"not a task key: {text[:KEY_SHOWN_MAX]!r}", field="task"
            )
        return cls(parts[0], int(numbers[0]), int(numbers[1]), int(numbers[2]))


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= KEY_DIGITS_MAX


class TaskPhase(enum.Enum):
    """Scheduling state of a task."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    DONE = "done"
    FAILED = "failed"


class EndKind(enum.Enum):
    """Result of a run, as reported by its worker.

    ``EXPIRED``: the worker's lease expired. ``BROKEN``: the run ended because another member of its
    gang ended. ``ALONE``: the member of a gang ended because it had waited for the other members
    for the gang time limit.

    After any result other than ``DONE`` and ``FAILED``, the task is queued again, and the run does
    not count as a failure.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class Incarnation:
    """One incarnation of a worker; a restarted worker has another ``born_ms``.

    :param worker: id of the worker.
    :param born_ms: start time of the worker, in milliseconds since the Unix epoch on its own clock.
    """

    worker: str
    born_ms: int


@attrs.frozen
class TaskRecord:
    """Persistent state of a task.

    :param phase: scheduling state.
    :param run: number of the newest run, from 1; 0 before the first.
    :param node: VM whose worker executes or executed that run, or empty.
    :param incarnation: incarnation of that worker, or ``None``.
    :param failures: number of failed runs of the task's unit, as known when the record was made.
    :param checkpoint: checkpoint from which the next run resumes, or empty.
    :param failed_run: number of the newest run that ``failures`` counts; 0 if there is none, and in
        records of former versions.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    node: str = ""
    incarnation: Incarnation | None = None
    failures: int = 0
    checkpoint: str = ""
    failed_run: int = 0

    def restored(self) -> "TaskRecord":
        """Return the record as read from the store, with a counted run that agrees with it.

        A record of a former version does not name the run that was counted last. If its newest run
        has ended, that run is taken for it: counting the run again could end a job that has
        attempts left. The failures in the record of an assigned run are of earlier runs.
        """
        failed_run = min(self.failed_run, self.run)
        if self.failures > 0 and failed_run == 0:
            failed_run = self.run if self.phase is TaskPhase.WAITING else max(0, self.run - 1)
        return attrs.evolve(self, failed_run=failed_run)
