"""What the lead of a gang knows of its members."""

import collections

import anyio
import attrs

from papayaspar_slots import claims, messages

STARTED = (messages.Phase.RUNNING, messages.Phase.SAVED, messages.Phase.DONE)
FINAL = (messages.Phase.DONE, messages.Phase.FAILED, messages.Phase.ENDED)


@attrs.define
class MemberView:
    """One member as the lead sees it.

    :param heard_s: latest reading of the lead's clock at which the member is proved alive.
    :param phase: where its part stands.
    :param sequence: of the newest renewal.
    :param leased_until_s: reading of the lead's clock until which a lease may last.
    :param released: whether the member said that nothing of it runs any more.
    """

    heard_s: float
    phase: messages.Phase = messages.Phase.BOUND
    sequence: int = 0
    leased_until_s: float = 0.0
    released: bool = False


@attrs.define
class Gang:
    """One gang as its lead sees it; times are readings of the lead's clock.

    :param launch: the entry's order.
    :param members: each member by worker.
    :param arm_by_s: when arming has to be complete.
    :param stoppable: whether a reclaim may stop the gang.
    :param state: where the gang stands.
    :param alive_until_s: a time before which no member is lost.
    :param started_s: when the first go-leases were given.
    :param yield_by_s: when a reclaim ends the gang.
    :param changed: set at the next change of state.
    :param phases: number of members in each phase.
    :param code: code of the error that ended the gang, if one did.
    """

    launch: messages.Launch
    members: dict[str, MemberView]
    arm_by_s: float
    stoppable: bool = True
    state: messages.GangState = messages.GangState.ARMING
    alive_until_s: float = 0.0
    started_s: float = 0.0
    yield_by_s: float = 0.0
    changed: anyio.Event = attrs.field(factory=anyio.Event)
    phases: collections.Counter[messages.Phase] = attrs.field(factory=collections.Counter)
    code: str = ""

    @classmethod
    def of_launch(cls, launch: messages.Launch, now_s: float, arm_s: float) -> "Gang":
        """Return a gang that is to be armed.

        :param launch: the entry's order.
        :param now_s: reading of the lead's clock.
        :param arm_s: time allowed to arm it.
        """
        members = {worker: MemberView(now_s) for worker in launch.members}
        gang = cls(launch, members, now_s + arm_s)
        gang.phases[messages.Phase.BOUND] = len(members)
        return gang

    @property
    def fence(self) -> claims.Fence:
        """Job and attempt."""
        return self.launch.fence

    @property
    def started(self) -> int:
        """Number of members that have started or are done."""
        return self.count(*STARTED)

    def count(self, *phases: messages.Phase) -> int:
        """Return how many members stand in one of the phases."""
        return sum(self.phases[phase] for phase in phases)

    def hear(self, renew: messages.Renew, now_s: float) -> bool:
        """Take note of a renewal.

        :param renew: the renewal of a member.
        :param now_s: reading of the lead's clock.
        :return: whether it is newer than those before.
        """
        member = self.members[renew.worker]
        if renew.sequence <= member.sequence:
            return False
        member.sequence = renew.sequence
        if renew.echo_s <= now_s:
            member.heard_s = max(member.heard_s, renew.echo_s)
        if renew.phase is messages.Phase.ENDED:
            member.released = True
        if member.phase not in FINAL:
            self.phases[member.phase] -= 1
            self.phases[renew.phase] += 1
            member.phase = renew.phase
        return True

    def refresh_alive_until(self, silence_s: float) -> float:
        """Return the time at which the first member will be lost unless it proves its life."""
        heard_s = [
            member.heard_s
            for member in self.members.values()
            if member.phase is not messages.Phase.DONE
        ]
        self.alive_until_s = min(heard_s, default=float("inf")) + silence_s
        return self.alive_until_s

    def safe_at_s(self) -> float:
        """Return the time after which no part can run, given that no lease is granted any more."""
        leases_s = [
            member.leased_until_s for member in self.members.values() if not member.released
        ]
        return max(leases_s, default=0.0)

    def move(self, state: messages.GangState) -> None:
        """Change the state and wake whoever waits for that."""
        self.state = state
        self.changed.set()
        self.changed = anyio.Event()
