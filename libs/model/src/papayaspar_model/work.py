"""Units of work: short requests, and jobs that run as gangs of tasks."""

import enum

import attrs


class Urgency(enum.Enum):
    """Priority class of work, in order from the most to the least urgent."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Adjacency(enum.Enum):
    """Constraint on the racks of a gang's tasks: one rack, or any racks."""

    RACK = "rack"
    ANY = "any"


@attrs.frozen
class Shape:
    """Accelerator requirements of a gang.

    :param tasks: number of tasks in the gang.
    :param accelerators_per_task: number of accelerators of each task, all on one worker.
    :param adjacency: whether all tasks must run in one rack.
    """

    tasks: int
    accelerators_per_task: int
    adjacency: Adjacency = Adjacency.ANY

    @property
    def accelerators(self) -> int:
        """Number of accelerators of all tasks together."""
        return self.tasks * self.accelerators_per_task


@attrs.frozen
class Request:
    """A short request to a target.

    :param request_id: id assigned by the system to this submission of the request.
    :param team: name of the caller's team.
    :param caller: caller within the team, for fair sharing.
    :param kind: kind of work; duration statistics are kept for each kind.
    :param urgency: priority class.
    :param idempotent: whether the request may safely run more than once.
    :param deadline_s: deadline for the answer, in seconds on the entry's clock.
    :param payload: body for the target, as JSON text in UTF-8.
    :param key: idempotency key of the caller, or ``None``.
    """

    request_id: str
    team: str
    caller: str
    kind: str
    urgency: Urgency
    idempotent: bool
    deadline_s: float
    payload: bytes
    key: str | None = None


@attrs.frozen
class Job:
    """A job: one gang of tasks that hold accelerators while they run.

    :param job_id: id assigned by the system.
    :param team: name of the caller's team.
    :param kind: kind of work; duration statistics are kept for each kind.
    :param urgency: priority class.
    :param shape: number of tasks, and their accelerators.
    :param run_time_s: declared run time, in seconds; only a hint.
    :param checkpoint: whether its tasks can save a checkpoint and resume on another worker.
    :param idempotent: whether the job may safely run more than once.
    :param caller: caller within the team, for fair sharing.
    """

    job_id: str
    team: str
    kind: str
    urgency: Urgency
    shape: Shape
    run_time_s: float
    checkpoint: bool
    idempotent: bool
    caller: str = ""

    @property
    def stoppable(self) -> bool:
        """Whether the job may be preempted and run again later."""
        return self.checkpoint or self.idempotent


class JobState(enum.Enum):
    """State of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
