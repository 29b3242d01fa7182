"""The platform's worker runtime, which runs the tasks of gangs under leases."""

import abc
import enum

import attrs


class TaskState(enum.Enum):
    """Where a task stands in the runtime."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskSpec:
    """What the runtime is to run.

    :param task_id: unique over all tasks: job, attempt and task number.
    :param job_id: the job.
    :param attempt: run of the job, from 1.
    :param task: number of the task in its gang.
    :param team: whose work.
    :param accelerators: numbers of the accelerators it may use.
    :param run_time_s: declared run time in seconds, a hint.
    """

    task_id: str
    job_id: str
    attempt: int
    task: int
    team: str
    accelerators: tuple[int, ...]
    run_time_s: float


@attrs.frozen
class TaskStatus:
    """What the runtime says of a task; usage lags behind.

    :param task_id: the task.
    :param state: where it stands.
    :param ran_s: seconds it has run.
    :param checkpoint_s: seconds of work its last checkpoint holds.
    """

    task_id: str
    state: TaskState
    ran_s: float
    checkpoint_s: float


class Runtime(abc.ABC):
    """A client of the runtime of one worker.

    Methods raise :class:`papayaspar_model.errors.TargetError`, whose ``ran`` says whether the
    action may have taken effect.
    """

    @abc.abstractmethod
    async def prepare(self, spec: TaskSpec) -> None:
        """Load a task without running it; preparing it again changes nothing."""

    @abc.abstractmethod
    async def start(self, task_id: str, lease_until_s: float) -> None:
        """Run a prepared task while its lease lasts; starting it again renews the lease.

        :param task_id: the task.
        :param lease_until_s: reading of the machine's boot clock at which the runtime stops the
            task unless the lease was renewed; agent and runtime share the machine.
        """

    @abc.abstractmethod
    async def renew(self, task_id: str, lease_until_s: float) -> TaskStatus:
        """Move the end of a running task's lease and return its status."""

    @abc.abstractmethod
    async def throttle(self, task_id: str, share_ratio: float) -> None:
        """Limit a task to a share of its accelerators' time, from 0 to 1."""

    @abc.abstractmethod
    async def checkpoint(self, task_id: str) -> float:
        """Save a task's work.

        :return: seconds of work saved.
        """

    @abc.abstractmethod
    async def stop(self, task_id: str) -> None:
        """Stop a task and free its accelerators; stopping one that is gone changes nothing."""

    @abc.abstractmethod
    async def status(self, task_id: str) -> TaskStatus:
        """Return the status of a task; an unknown one reads as stopped."""

    async def close(self) -> None:  # noqa: B027 - most clients hold nothing to close
        """Close what the client holds open."""
