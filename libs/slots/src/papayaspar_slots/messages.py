"""Typed messages of the gang protocol, apart from their encoding.

An entry sends :class:`papayaspar_slots.claims.Claim` to each worker, then :class:`Launch` to the
lead. The lead sends :class:`Arm` to each member, and each member pulls its go-lease from the lead
with :class:`Renew`.
"""

import enum

import attrs

from papayaspar_slots import claims


class Phase(enum.Enum):
    """Where one member's part of a gang stands."""

    BOUND = "bound"
    ARMED = "armed"
    RUNNING = "running"
    SAVED = "saved"
    DONE = "done"
    FAILED = "failed"
    ENDED = "ended"


class Verdict(enum.Enum):
    """What a member is to do with its part."""

    WAIT = "wait"
    GO = "go"
    YIELD = "yield"
    END = "end"


class GangState(enum.Enum):
    """Where a gang stands, as its lead sees it."""

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
        """Whether no member gets a lease any more."""
        return self not in (GangState.ARMING, GangState.RUNNING, GangState.YIELDING)


@attrs.frozen
class Launch:
    """An entry's word to the lead that every member is reserved.

    :param fence: job and attempt.
    :param members: workers of the gang, each once; the first one leads.
    :param checkpoint: whether the gang can save its work before it stops.
    """

    fence: claims.Fence
    members: tuple[str, ...]
    checkpoint: bool


@attrs.frozen
class Arm:
    """The lead's word to a member to prepare its tasks.

    :param fence: job and attempt.
    :param lead_worker: worker whose agent leads the gang.
    :param issued_s: reading of the lead's clock, to be echoed.
    """

    fence: claims.Fence
    lead_worker: str
    issued_s: float


@attrs.frozen
class Renew:
    """A member's request for its go-lease.

    :param fence: job and attempt.
    :param worker: the member.
    :param sequence: grows with each renewal of one part.
    :param phase: where the part stands.
    :param echo_s: ``issued_s`` of the lead's last message that reached the member, which
        proves to the lead that the member was alive at that reading of the lead's own clock.
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
    :param verdict: what to do with the part.
    :param lease_s: length of the go-lease, from the sending of the renewal.
    :param issued_s: reading of the lead's clock, to be echoed.
    """

    fence: claims.Fence
    verdict: Verdict
    lease_s: float
    issued_s: float


@attrs.frozen
class GiveWay:
    """An agent's word to the lead of a gang that a reclaim needs its accelerators.

    :param fence: job and attempt of the gang that has to leave.
    """

    fence: claims.Fence


@attrs.frozen
class Inquiry:
    """A question to the lead about a gang.

    :param fence: job and attempt.
    :param known: state the asker knows; the answer waits for another one.
    :param wait_s: seconds the answer may wait.
    """

    fence: claims.Fence
    known: GangState | None = None
    wait_s: float = 0.0


@attrs.frozen
class GangStatus:
    """What the lead says of a gang.

    :param fence: job and attempt.
    :param state: where it stands.
    :param members: number of members.
    :param started: number of members that have started or are done.
    :param ran_s: seconds since the first go-lease.
    :param safe_after_s: seconds after which no part can run any more, or ``None`` while the
        gang is not over.
    :param code: code of the error that ended it, if one did.
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
    """What a member's agent says of its part of a gang.

    :param fence: job and attempt.
    :param held: whether accelerators are held for it.
    :param over: whether it is known how the attempt ended here.
    :param done: whether the part ended because its tasks were done.
    :param ended_ago_s: seconds since it ended.
    """

    fence: claims.Fence
    held: bool
    over: bool
    done: bool
    ended_ago_s: float
