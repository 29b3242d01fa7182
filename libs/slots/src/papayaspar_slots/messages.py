"""Messages of the gang protocol, independent of their encoding.

An entry sends :class:`papayaspar_slots.claims.Claim` to each worker, then :class:`Launch` to the
lead. The lead sends :class:`Arm` to each member, and each member requests its run lease from the
lead with :class:`Renew`.
"""

import enum

import attrs

from papayaspar_slots import claims


class Phase(enum.Enum):
    """State of one member's part of a gang.

    ``BOUND``: the reservation is bound to the lead. ``ARMED``: every task is prepared.
    ``RUNNING``: the tasks are started. ``SAVED``: checkpoints are saved, after ``YIELD``.
    ``DONE``: every task is completed. ``FAILED``: a task failed, or could not be prepared or
    started. ``ENDED``: no task runs any more, and the accelerators are released.
    """

    BOUND = "bound"
    ARMED = "armed"
    RUNNING = "running"
    SAVED = "saved"
    DONE = "done"
    FAILED = "failed"
    ENDED = "ended"


class Verdict(enum.Enum):
    """Instruction of the lead to a member about its part.

    ``WAIT``: do not start yet. ``GO``: start, or continue to run. ``YIELD``: save a checkpoint;
    the gang is being preempted. ``END``: stop.
    """

    WAIT = "wait"
    GO = "go"
    YIELD = "yield"
    END = "end"


class GangState(enum.Enum):
    """State of a gang at its lead.

    ``ARMING``: the members prepare their tasks. ``YIELDING``: the members of a preempted gang save
    checkpoints. ``FAILED``: a part failed, or not all members were armed in time. ``LOST``: a part
    ended early, or a member refused to be armed or gave no proof of liveness in time.
    """

    ARMING = "arming"
    RUNNING = "running"
    YIELDING = "yielding"
    DONE = "done"
    FAILED = "failed"
    LOST = "lost"
    PREEMPTED = "preempted"
    CANCELLED = "cancelled"

    @property
    def over(self) -> bool:
        """Whether the gang has ended and no member is granted a lease any more."""
        return self not in (GangState.ARMING, GangState.RUNNING, GangState.YIELDING)


@attrs.frozen
class Launch:
    """Order of an entry to the lead to launch a gang whose members are all reserved.

    :param fence: job and attempt.
    :param members: workers of the gang, without duplicates; the first one leads.
    :param checkpoint: whether the gang can save a checkpoint before it stops.
    """

    fence: claims.Fence
    members: tuple[str, ...]
    checkpoint: bool


@attrs.frozen
class Arm:
    """Order of the lead to a member to prepare its tasks.

    :param fence: job and attempt.
    :param lead_worker: worker whose agent leads the gang.
    :param issued_s: reading of the lead's clock, to be echoed.
    """

    fence: claims.Fence
    lead_worker: str
    issued_s: float


@attrs.frozen
class Renew:
    """Request of a member for its run lease.

    :param fence: job and attempt.
    :param worker: the member.
    :param sequence: sequence number, which increases with each renewal of one part.
    :param phase: state of the part.
    :param echo_s: ``issued_s`` of the last message of the lead that the member received; it
        proves that the member was running at that reading of the lead's clock.
    """

    fence: claims.Fence
    worker: str
    sequence: int
    phase: Phase
    echo_s: float


@attrs.frozen
class Grant:
    """The lead's answer to a renewal.

    :param fence: job and attempt.
    :param verdict: instruction about the part.
    :param lease_s: length of the run lease in seconds, from when the renewal was sent.
    :param issued_s: reading of the lead's clock, to be echoed.
    """

    fence: claims.Fence
    verdict: Verdict
    lease_s: float
    issued_s: float


@attrs.frozen
class GiveWay:
    """Request of an agent to the lead of a gang to preempt the gang.

    :param fence: job and attempt of the gang to preempt.
    """

    fence: claims.Fence


@attrs.frozen
class Inquiry:
    """Query to the lead for the status of a gang.

    :param fence: job and attempt.
    :param known: last known state; the answer waits for another one.
    :param wait_s: maximum wait of the answer in seconds.
    """

    fence: claims.Fence
    known: GangState | None = None
    wait_s: float = 0.0


@attrs.frozen
class GangStatus:
    """Status of a gang, from its lead.

    :param fence: job and attempt.
    :param state: state of the gang.
    :param members: number of members.
    :param started: number of members that have started or are done.
    :param ran_s: seconds from the first run lease until now, or until the gang ended.
    :param safe_after_s: seconds until no part can be running any more, or ``None`` while the gang
        has not ended.
    :param code: code of the error that ended the gang, or empty.
    """

    fence: claims.Fence
    state: GangState
    members: int
    started: int
    ran_s: float
    safe_after_s: float | None
    code: str = ""


@attrs.frozen
class PartStatus:
    """Status of a member's part of a gang, from the member's agent.

    :param fence: job and attempt.
    :param held: whether accelerators are allocated to the part.
    :param over: whether the end of the part is recorded.
    :param done: whether the part ended because its tasks were completed.
    :param ended_ago_s: seconds since the part ended.
    """

    fence: claims.Fence
    held: bool
    over: bool
    done: bool
    ended_ago_s: float
