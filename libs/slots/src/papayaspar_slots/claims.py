"""What is held on one worker: fences, claims and holdings."""

import enum

import attrs


@attrs.frozen(order=True)
class Fence:
    """Fencing token of one attempt of a job; a higher attempt supersedes a lower one.

    :param job_id: the job.
    :param attempt: run of the job, from 1.
    """

    job_id: str
    attempt: int


@attrs.frozen
class TaskShare:
    """One task of a gang on one worker.

    :param task: number of the task in its gang, from 0.
    :param accelerators: numbers of the accelerators it uses.
    """

    task: int
    accelerators: tuple[int, ...]


@attrs.frozen
class Claim:
    """What an entry wants of one worker for one gang.

    :param fence: job and attempt.
    :param owner: the entry that places the gang.
    :param team: whose work it is.
    :param tasks: tasks of the gang on this worker.
    :param lead_worker: worker whose agent leads the gang.
    :param stoppable: whether a reclaim may stop the gang.
    :param checkpoint: whether the gang can save its work before it stops.
    :param run_time_s: declared run time in seconds, a hint.
    :param guarantee: guarantee whose home the gang claims, or empty.
    :param instance: which instance of that guarantee, from 0.
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


class HoldState(enum.Enum):
    """Where a holding stands."""

    RESERVED = "reserved"
    ARMED = "armed"
    RUNNING = "running"
    RELEASED = "released"


@attrs.define
class Holding:
    """Accelerators held on this worker for one attempt.

    :param claim: what was claimed.
    :param expires_s: reading of the agent's clock at which a reservation lapses.
    :param victims: attempts that must leave before the accelerators are free.
    :param state: where it stands.
    :param started_s: reading of the agent's clock at which its tasks started.
    """

    claim: Claim
    expires_s: float
    victims: set[Fence] = attrs.field(factory=set)
    state: HoldState = HoldState.RESERVED
    started_s: float = 0.0

    @property
    def ready(self) -> bool:
        """Whether every attempt that held the accelerators before is gone."""
        return not self.victims


@attrs.frozen
class Reservation:
    """Answer to a claim.

    :param fence: job and attempt.
    :param ready: whether the accelerators are free now; if not, the victims are leaving.
    :param lapses_in_s: seconds after which the reservation lapses unless it is armed.
    :param victims: attempts that are being reclaimed.
    """

    fence: Fence
    ready: bool
    lapses_in_s: float
    victims: tuple[Fence, ...] = ()
