"""What gangs need of a worker's runtime; the agent daemon adapts the platform's client to it."""

import abc
import enum

import attrs

from papayaspar_slots import claims


class TaskState(enum.Enum):
    """Where a task stands in the runtime."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskOrder:
    """What the runtime is to prepare.

    :param fence: job and attempt.
    :param share: task and its accelerators.
    :param team: whose work.
    :param run_time_s: declared run time in seconds, a hint.
    """

    fence: claims.Fence
    share: claims.TaskShare
    team: str
    run_time_s: float


class TaskRunner(abc.ABC):
    """Runs tasks on one worker while their leases last.

    The end of a lease is a reading of the machine's boot clock. The runtime stops a task at that
    reading by itself, never starts one whose lease has ended, and never starts one again that
    was stopped. Methods raise :class:`papayaspar_model.errors.TargetError`; callers bound the time.
    """

    @abc.abstractmethod
    async def prepare(self, order: TaskOrder) -> None:
        """Load a task without running it; preparing it again changes nothing."""

    @abc.abstractmethod
    async def start(self, fence: claims.Fence, task: int, lease_until_s: float) -> None:
        """Run a prepared task until its lease ends."""

    @abc.abstractmethod
    async def renew(self, fence: claims.Fence, task: int, lease_until_s: float) -> TaskState:
        """Move the end of a running task's lease and return where the task stands."""

    @abc.abstractmethod
    async def throttle(self, fence: claims.Fence, task: int, share_ratio: float) -> None:
        """Limit a task to a share of its accelerators' time, from 0 to 1."""

    @abc.abstractmethod
    async def checkpoint(self, fence: claims.Fence, task: int) -> None:
        """Save a task's work."""

    @abc.abstractmethod
    async def stop(self, fence: claims.Fence, task: int) -> None:
        """Stop a task; stopping one that is gone changes nothing."""
