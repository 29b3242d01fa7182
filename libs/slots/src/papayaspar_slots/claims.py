"""Fencing tokens, claims and allocations of accelerators on one worker."""

import enum

import attrs


@attrs.frozen(order=True)
class Fence:
    """Fencing token of one attempt of a job; a higher attempt supersedes a lower one.

    :param job_id: identifier of the job.
    :param attempt: number of the job's attempt, from 1.
    """

    job_id: str
    attempt: int


@attrs.frozen
class TaskShare:
    """One task of a gang on one worker.

    :param task: number of the task in its gang, from 0.
    :param accelerators: numbers of the accelerators that the task uses.
    """

    task: int
    accelerators: tuple[int, ...]


@attrs.frozen
class Claim:
    """Request of an entry for accelerators of one worker for one gang.

    :param fence: job and attempt.
    :param owner: the entry that places the gang.
    :param team: team of the job.
    :param tasks: tasks of the gang on this worker.
    :param lead_worker: worker whose agent leads the gang.
    :param stoppable: whether the gang may be preempted.
    :param checkpoint: whether the gang can save a checkpoint before it stops.
    :param run_time_s: declared run time in seconds, a hint.
    :param guarantee: guarantee whose home (its reserved accelerators) the gang claims, or empty.
    :param instance: instance of that guarantee, from 0.
    """

    fence: Fence
    owner: str
    team: str
    tasks: tuple[TaskShare, ...]
    lead_worker: str
    stoppable: bool
    checkpoint: bool
    run_time_s: float
    guarantee: str = ""
    instance: int = 0

    @property
    def accelerators(self) -> tuple[int, ...]:
        """Numbers of all accelerators claimed on the worker, sorted."""
        return tuple(sorted(number for share in self.tasks for number in share.accelerators))


class AllocationState(enum.Enum):
    """State of an allocation.

    ``RESERVED``: it expires unless it is armed. ``ARMED``: it is bound to a lead and no longer
    expires. ``RUNNING``: its tasks are started. ``RELEASED``: it holds no accelerators any more.
    """

    RESERVED = "reserved"
    ARMED = "armed"
    RUNNING = "running"
    RELEASED = "released"


@attrs.define
class Allocation:
    """Accelerators of this worker that are allocated to one attempt.

    :param claim: the claim that was granted.
    :param expires_s: reading of the agent's clock at which a reservation expires.
    :param victims: preempted attempts that still hold some of the accelerators.
    :param state: state of the allocation.
    :param started_s: reading of the agent's clock at which its tasks started.
    """

    claim: Claim
    expires_s: float
    victims: set[Fence] = attrs.field(factory=set)
    state: AllocationState = AllocationState.RESERVED
    started_s: float = 0.0

    @property
    def ready(self) -> bool:
        """Whether every preempted attempt has released the accelerators."""
        return not self.victims


@attrs.frozen
class Reservation:
    """Answer to a claim.

    :param fence: job and attempt.
    :param ready: whether the accelerators are free; if not, the victims are being stopped.
    :param lapses_in_s: seconds until the reservation expires unless it is armed.
    :param victims: attempts that are being preempted.
    """

    fence: Fence
    ready: bool
    lapses_in_s: float
    victims: tuple[Fence, ...] = ()
