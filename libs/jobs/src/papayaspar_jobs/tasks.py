"""Tasks: their names, phases and ends."""

import enum

import attrs

from papayaspar_model import errors

KEY_PARTS = 4


@attrs.frozen(order=True, cache_hash=True)
class TaskKey:
    """Name of a task.

    :param job_id: its job.
    :param occurrence: occurrence of the job, from 0.
    :param step: number of its step.
    :param index: its number within the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> "TaskKey":
        """Return the key that a text names.

        :raises InvalidRequestError: when it names none.
        """
        parts = text.split(".")
        numbers = parts[1:]
        if len(parts) != KEY_PARTS or not all(part.isdecimal() for part in numbers):
            raise errors.InvalidRequestError(f"not a task: {text!r}", field="task")
        return cls(parts[0], int(numbers[0]), int(numbers[1]), int(numbers[2]))


class TaskPhase(enum.Enum):
    """How far a task is."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    DONE = "done"
    FAILED = "failed"


class EndKind(enum.Enum):
    """How a run ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class Incarnation:
    """One life of a worker.

    :param worker: the worker's id.
    :param born_ms: its start, in milliseconds since the Unix epoch on its own clock.
    """

    worker: str
    born_ms: int


@attrs.frozen
class TaskRecord:
    """What is stored of a task.

    :param phase: how far it is.
    :param run: number of its newest run, from 1; 0 before the first.
    :param node: machine whose worker has or had that run, or empty.
    :param incarnation: that worker's life, or ``None``.
    :param failures: runs that ended as failed.
    :param checkpoint: where the next run goes on, or empty.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    node: str = ""
    incarnation: Incarnation | None = None
    failures: int = 0
    checkpoint: str = ""
