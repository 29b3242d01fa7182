"""Interface to a worker's runtime; the agent daemon implements it with the platform's client."""

import abc
import enum

import attrs

from papayaspar_slots import claims


class TaskState(enum.Enum):
    """State of a task in the runtime."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskOrder:
    """Order to the runtime to prepare a task.

    :param fence: job and attempt.
    :param share: task and its accelerators.
    :param team: team of the job.
    :param run_time_s: declared run time in seconds, a hint.
    """

    fence: claims.Fence
    share: claims.TaskShare
    team: str
    run_time_s: float


class TaskRunner(abc.ABC):
    """Runs tasks on one worker while their leases are valid.

    The expiry of a lease is a reading of the machine's boot clock. The runtime stops a task by
    itself when its lease expires, never starts a task whose lease has expired, and never restarts a
    stopped task. Methods raise :class:`papayaspar_model.errors.TargetError`; callers set the
    timeout.
    """

    @abc.abstractmethod
    async def prepare(self, order: TaskOrder) -> None:
        """Load a task without running it; preparing it again has no effect."""

    @abc.abstractmethod
    async def start(self, fence: claims.Fence, task: int, lease_until_s: float) -> None:
        """Run a prepared task until its lease expires."""

    @abc.abstractmethod
    async def renew(self, fence: claims.Fence, task: int, lease_until_s: float) -> TaskState:
        """Extend the lease of a running task and return the state of the task."""

    @abc.abstractmethod
    async def throttle(self, fence: claims.Fence, task: int, share_ratio: float) -> None:
        """Limit a task to a share of its accelerators' time, from 0 to 1."""

    @abc.abstractmethod
    async def checkpoint(self, fence: claims.Fence, task: int) -> None:
        """Save a checkpoint of a task."""

    @abc.abstractmethod
    async def stop(self, fence: claims.Fence, task: int) -> None:
        """Stop a task; stopping a task that does not exist has no effect."""
