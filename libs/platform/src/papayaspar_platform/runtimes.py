"""The platform's worker runtime, which runs tasks of gangs while their leases are valid."""

import abc
import enum

import attrs


class TaskState(enum.Enum):
    """State of a task in the runtime."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskSpec:
    """Description of a task for the runtime.

    :param task_id: unique identifier, made of job, attempt and task number.
    :param job_id: identifier of the job.
    :param attempt: number of the attempt to run the job, from 1.
    :param task: number of the task in its gang.
    :param team: name of the team that owns the job.
    :param accelerators: numbers of the accelerators that it may use.
    :param run_time_s: declared run time in seconds, which is only a hint.
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
    """State of a task as reported by the runtime; usage figures lag behind.

    :param task_id: identifier of the task.
    :param state: state of the task.
    :param ran_s: seconds that the task has run.
    :param checkpoint_s: seconds of work saved in its last checkpoint.
    """

    task_id: str
    state: TaskState
    ran_s: float
    checkpoint_s: float


class Runtime(abc.ABC):
    """A client of the runtime of one worker.

    Methods raise :class:`papayaspar_model.errors.TargetError`, whose ``ran`` states whether the
    action may have taken effect.
    """

    @abc.abstractmethod
    async def prepare(self, spec: TaskSpec) -> None:
        """Load a task without running it; the call is idempotent."""

    @abc.abstractmethod
    async def start(self, task_id: str, lease_until_s: float) -> None:
        """Run a prepared task while its lease is valid; starting it again renews the lease.

        :param task_id: identifier of the task.
        :param lease_until_s: expiry of the lease on the machine's boot clock, in seconds; the
            runtime then stops the task unless the lease was renewed. Agent and runtime share the
            machine.
        """

    @abc.abstractmethod
    async def renew(self, task_id: str, lease_until_s: float) -> TaskStatus:
        """Extend the lease of a running task and return its status."""

    @abc.abstractmethod
    async def throttle(self, task_id: str, share_ratio: float) -> None:
        """Limit a task to a share, from 0 to 1, of the time of its accelerators."""

    @abc.abstractmethod
    async def checkpoint(self, task_id: str) -> float:
        """Save a checkpoint of a task.

        :return: seconds of work saved.
        """

    @abc.abstractmethod
    async def stop(self, task_id: str) -> None:
        """Stop a task and free its accelerators; do nothing if it no longer exists."""

    @abc.abstractmethod
    async def status(self, task_id: str) -> TaskStatus:
        """Return the status of a task; an unknown task is reported as stopped."""

    async def close(self) -> None:  # noqa: B027 - most clients have nothing to close
        """Close the connections of the client."""
