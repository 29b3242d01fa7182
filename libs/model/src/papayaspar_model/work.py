"""Work that callers ask for: short requests and jobs that are gangs of tasks."""

import enum

import attrs


class Urgency(enum.Enum):
    """How soon work is wanted; the order is from the most to the least urgent."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Adjacency(enum.Enum):
    """Where the tasks of a gang may stand."""

    RACK = "rack"
    ANY = "any"


@attrs.frozen
class Shape:
    """Accelerators held together.

    :param tasks: number of tasks in the gang.
    :param accelerators_per_task: accelerators each task holds on one worker.
    :param adjacency: whether all tasks must stand in one rack.
    """

    tasks: int
    accelerators_per_task: int
    adjacency: Adjacency = Adjacency.ANY

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole shape."""
        return self.tasks * self.accelerators_per_task


@attrs.frozen
class Request:
    """One short request for a target.

    :param request_id: the system's name for this sending.
    :param team: who asks.
    :param caller: caller within the team, for fair shares.
    :param kind: the kind of work, the unit in which durations are learnt.
    :param urgency: how soon it is wanted.
    :param idempotent: whether running it twice does no harm.
    :param deadline_s: reading of the entry's clock after which no answer helps.
    :param payload: body for the target, as JSON text in UTF-8.
    :param key: the caller's idempotency key, if any.
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
    """One gang of tasks that hold accelerators for a while.

    :param job_id: the system's name for the job.
    :param team: who asks.
    :param kind: the kind of work, the unit in which durations are learnt.
    :param urgency: how soon it is wanted.
    :param shape: tasks and accelerators.
    :param run_time_s: declared run time in seconds; a hint only.
    :param checkpoint: whether its tasks can checkpoint and go on elsewhere.
    :param idempotent: whether running it twice does no harm.
    :param caller: caller within the team, for fair shares.
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
        """Whether the job may be stopped for a reclaim and run again later."""
        return self.checkpoint or self.idempotent


class JobState(enum.Enum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
