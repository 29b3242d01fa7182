"""State of a gang and its members at the lead."""

import collections

import anyio
import attrs

from papayaspar_slots import claims, messages

STARTED_PHASES = (messages.Phase.RUNNING, messages.Phase.SAVED, messages.Phase.DONE)
FINAL_PHASES = (messages.Phase.DONE, messages.Phase.FAILED, messages.Phase.ENDED)


@attrs.define
class MemberStatus:
    """State of one member at the lead.

    :param confirmed_running_s: latest reading of the lead's clock at which the member is proved to
        be running.
    :param phase: state of the member's part.
    :param sequence: sequence number of the newest renewal.
    :param lease_until_s: latest expiry of a granted lease, as a reading of the lead's clock.
    :param released: whether the member reported that none of its tasks runs any more.
    """

    confirmed_running_s: float
    phase: messages.Phase = messages.Phase.BOUND
    sequence: int = 0
    lease_until_s: float = 0.0
    released: bool = False


@attrs.define
class Gang:
    """State of one gang at its lead; times are readings of the lead's clock.

    :param launch: launch message of the entry.
    :param members: members by worker name.
    :param arm_by_s: time by which every member has to be armed.
    :param stoppable: whether the gang may be preempted.
    :param state: state of the gang.
    :param liveness_deadline_s: earliest time at which a member can count as failed.
    :param started_s: time of the first run leases.
    :param ended_s: time at which it ended, or ``None``.
    :param yield_by_s: time at which a preempted gang is ended.
    :param changed: event that is set at the next change of state.
    :param phases: number of members in each phase.
    :param code: code of the error that ended the gang, or empty.
    """

    launch: messages.Launch
    members: dict[str, MemberStatus]
    arm_by_s: float
    stoppable: bool = True
    state: messages.GangState = messages.GangState.ARMING
    liveness_deadline_s: float = 0.0
    started_s: float = 0.0
    ended_s: float | None = None
    yield_by_s: float = 0.0
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    phases: collections.Counter[messages.Phase] = attrs.field(factory=collections.Counter)
    code: str = ""

    @classmethod
    def from_launch(cls, launch: messages.Launch, now_s: float, arm_timeout_s: float) -> "Gang":
        """Return a gang whose members are not armed yet.

        :param launch: launch message of the entry.
        :param now_s: reading of the lead's clock.
        :param arm_timeout_s: maximum time to arm all members, in seconds.
        """
        members = {worker: MemberStatus(now_s) for worker in launch.members}
        gang = cls(launch, members, now_s + arm_timeout_s)
        gang.phases[messages.Phase.BOUND] = len(members)
        return gang

    @property
    def fence(self) -> claims.Fence:
        """Job and attempt."""
        return self.launch.fence

    @property
    def started_count(self) -> int:
        """Number of members that have started or are done."""
        return self.count(*STARTED_PHASES)

    def count(self, *phases: messages.Phase) -> int:
        """Return the number of members in one of the phases."""
        return sum(self.phases[phase] for phase in phases)

    def apply_renewal(self, renewal: messages.Renew, now_s: float) -> bool:
        """Update a member from its renewal; one received out of order changes nothing.

        :param renewal: renewal of a member.
        :param now_s: reading of the lead's clock.
        :return: whether it is newer than all earlier ones.
        """
        member = self.members[renewal.worker]
        if renewal.sequence <= member.sequence:
            return False
        member.sequence = renewal.sequence
        if renewal.echo_s <= now_s:
            member.confirmed_running_s = max(member.confirmed_running_s, renewal.echo_s)
        if renewal.phase is messages.Phase.ENDED:
            member.released = True
        if member.phase not in FINAL_PHASES:
            self.phases[member.phase] -= 1
            self.phases[renewal.phase] += 1
            member.phase = renewal.phase
        return True

    def refresh_liveness_deadline(self, silence_timeout_s: float) -> float:
        """Update and return the time at which a member counts as failed unless it renews."""
        confirmed_running_s = [
            member.confirmed_running_s
            for member in self.members.values()
            if member.phase is not messages.Phase.DONE
        ]
        self.liveness_deadline_s = (
            min(confirmed_running_s, default=float("inf")) + silence_timeout_s
        )
        return self.liveness_deadline_s

    def ran_s(self, now_s: float) -> float:
        """Return how long the gang has run, or ran until it ended; 0 before its start.

        :param now_s: reading of the lead's clock.
        """
        if not self.started_s:
            return 0.0
        return (now_s if self.ended_s is None else self.ended_s) - self.started_s

    def safe_at_s(self) -> float:
        """Return the time after which no part can be running if no further lease is granted."""
        lease_ends_s = [
            member.lease_until_s for member in self.members.values() if not member.released
        ]
        return max(lease_ends_s, default=0.0)

    def set_state(self, state: messages.GangState) -> None:
        """Change the state and wake up everything that waits for a change."""
        self.state = state
        self.changed.set()
        self.changed = anyio.Event()
