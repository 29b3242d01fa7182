"""The lead of a gang: grants go-leases only while every member is known to live.

If a member stops at time t, the lead can't have proof of its life from after t, so the last lease
is granted before t + ``silence_s`` and ends before t + ``term_s``.
"""

import collections
import functools

import anyio
import anyio.abc
import attrs

from papayaspar_model import clock, errors
from papayaspar_slots import claims, fencing, ledger, messages, peers, refusals, rosters, terms

MAX_RECORDS = 1024
MAX_MEMBERS = 512
MAX_WAIT_S = 10.0


@attrs.define
class LeadCounts:
    """Counts for metrics.

    :param launched: gangs led here.
    :param ended: gangs that are over, by state.
    :param renewals: renewals answered.
    :param late_messages: messages of unknown gangs, or older than one seen before.
    """

    launched: int = 0
    ended: collections.Counter[messages.GangState] = attrs.field(factory=collections.Counter)
    renewals: int = 0
    late_messages: int = 0


class Lead:
    """Leads the gangs whose first task stands on this worker.

    :param book: the worker's ledger.
    :param gang_peers: the other agents.
    :param source: the machine's clock.
    :param group: task group of the agent; each gang has one task in it.
    :param times: times of the protocol.
    """

    def __init__(
        self,
        book: ledger.Ledger,
        gang_peers: peers.GangPeers,
        source: clock.Clock,
        group: anyio.abc.TaskGroup,
        times: terms.Terms,
    ) -> None:
        self.counts = LeadCounts()
        self._book = book
        self._peers = gang_peers
        self._clock = source
        self._group = group
        self._times = times
        self._gangs: dict[claims.Fence, rosters.Gang] = {}
        self._over: collections.OrderedDict[claims.Fence, rosters.Gang] = collections.OrderedDict()
        self._fences = fencing.FenceTable()

    def launch(self, launch: messages.Launch) -> messages.GangStatus:
        """Start to lead a gang; the same launch again changes nothing.

        :param launch: the entry's order.
        :raises StaleAttemptError: the attempt is over, or this worker holds nothing for it.
        """
        gang = self._find(launch.fence)
        if gang is not None:
            return self._status(gang)
        if self._fences.is_over(launch.fence):
            self.counts.late_messages += 1
            raise refusals.StaleAttemptError(launch.fence.job_id)
        if not 0 < len(launch.members) <= MAX_MEMBERS:
            raise errors.InvalidRequestError("the gang has too few or too many members")
        holding = self._book.find(launch.fence)
        gang = rosters.Gang.of_launch(launch, self._clock.now_s(), self._times.arm_s)
        gang.stoppable = holding.claim.stoppable
        self._gangs[launch.fence] = gang
        self.counts.launched += 1
        self._group.start_soon(self._lead, gang)
        return self._status(gang)

    def renew(self, renew: messages.Renew) -> messages.Grant:
        """Answer a member that asks for its go-lease.

        :param renew: the member's renewal.
        """
        self.counts.renewals += 1
        now_s = self._clock.now_s()
        gang = self._find(renew.fence)
        if gang is None or renew.worker not in gang.members:
            self.counts.late_messages += 1
            return messages.Grant(renew.fence, messages.Verdict.END, 0.0, now_s)
        if not gang.hear(renew, now_s):
            self.counts.late_messages += 1
        self._settle(gang)
        return self._grant(gang, gang.members[renew.worker], now_s)

    def give_way(self, give_way: messages.GiveWay) -> None:
        """Let a gang checkpoint and leave its accelerators.

        One that is over has left them, and one that can't be stopped goes on.

        :param give_way: which gang.
        """
        gang = self._gangs.get(give_way.fence)
        if gang is None or gang.state is messages.GangState.YIELDING or not gang.stoppable:
            return
        if gang.state is messages.GangState.ARMING or not gang.launch.checkpoint:
            self._end(gang, messages.GangState.PREEMPTED)
            return
        gang.yield_by_s = self._clock.now_s() + self._times.yield_s
        gang.move(messages.GangState.YIELDING)

    async def inquire(self, inquiry: messages.Inquiry) -> messages.GangStatus:
        """Return where a gang stands, waiting for news if the asker wants to.

        :param inquiry: the question.
        :raises NotFoundError: no such gang is led here.
        """
        gang = self._find(inquiry.fence)
        if gang is None:
            raise errors.NotFoundError(inquiry.fence.job_id)
        with anyio.move_on_after(min(inquiry.wait_s, MAX_WAIT_S)):
            while gang.state is inquiry.known:
                await gang.changed.wait()
        return self._status(gang)

    def cancel(self, fence: claims.Fence) -> messages.GangStatus:
        """End a gang; one that is not known here is never launched.

        :param fence: job and attempt.
        """
        gang = self._find(fence)
        if gang is None:
            self._fences.note(fence, self._clock.now_s())
            state = messages.GangState.CANCELLED
            return messages.GangStatus(fence, state, 0, 0, 0.0, self._times.term_s)
        self._end(gang, messages.GangState.CANCELLED)
        return self._status(gang)

    def acknowledge(self, fence: claims.Fence) -> None:
        """Forget a gang that is over, now that an entry has recorded its end.

        :param fence: job and attempt.
        """
        self._over.pop(fence, None)

    async def _lead(self, gang: rosters.Gang) -> None:
        async with anyio.create_task_group() as group:
            for worker in gang.members:
                group.start_soon(self._arm, gang, worker)
            await self._watch(gang)
            group.cancel_scope.cancel()

    async def _arm(self, gang: rosters.Gang, worker: str) -> None:
        while not gang.state.over:
            arm = messages.Arm(gang.fence, self._book.worker, self._clock.now_s())
            try:
                with anyio.fail_after(self._times.answer_s):
                    await self._peers.arm(worker, arm)
                return
            except (TimeoutError, errors.PeerError):
                await anyio.sleep(self._times.poll_s)
            except errors.PapayasparError as error:
                self._end(gang, messages.GangState.FAILED, error.code)

    async def _watch(self, gang: rosters.Gang) -> None:
        while not gang.state.over:
            changed = gang.changed
            wait_s = self._next_deadline_s(gang) - self._clock.now_s()
            with anyio.move_on_after(max(0.0, wait_s)):
                await changed.wait()
            self._settle(gang)

    def _next_deadline_s(self, gang: rosters.Gang) -> float:
        alive_until_s = gang.refresh_alive_until(self._times.silence_s)
        if gang.state is messages.GangState.ARMING:
            return min(alive_until_s, gang.arm_by_s)
        if gang.state is messages.GangState.YIELDING:
            return min(alive_until_s, gang.yield_by_s)
        return alive_until_s

    def _settle(self, gang: rosters.Gang) -> None:
        if gang.state.over:
            return
        now_s = self._clock.now_s()
        state = self._settled_state(gang, now_s)
        if state is gang.state:
            return
        if state.over:
            self._end(gang, state)
            return
        gang.started_s = now_s
        gang.move(state)

    def _settled_state(self, gang: rosters.Gang, now_s: float) -> messages.GangState:
        if gang.count(messages.Phase.DONE) == len(gang.members):
            return messages.GangState.DONE
        if gang.count(messages.Phase.FAILED):
            return messages.GangState.FAILED
        if gang.count(messages.Phase.ENDED) or self._is_silent(gang, now_s):
            return messages.GangState.LOST
        if gang.state is messages.GangState.ARMING:
            return self._settled_arming(gang, now_s)
        if gang.state is messages.GangState.YIELDING:
            return self._settled_yielding(gang, now_s)
        return gang.state

    def _settled_arming(self, gang: rosters.Gang, now_s: float) -> messages.GangState:
        if now_s >= gang.arm_by_s:
            return messages.GangState.FAILED
        if gang.count(messages.Phase.ARMED) == len(gang.members):
            return messages.GangState.RUNNING
        return gang.state

    def _settled_yielding(self, gang: rosters.Gang, now_s: float) -> messages.GangState:
        saved = gang.count(messages.Phase.SAVED, messages.Phase.DONE)
        if saved == len(gang.members) or now_s >= gang.yield_by_s:
            return messages.GangState.PREEMPTED
        return gang.state

    def _is_silent(self, gang: rosters.Gang, now_s: float) -> bool:
        if now_s < gang.alive_until_s:
            return False
        return now_s >= gang.refresh_alive_until(self._times.silence_s)

    def _grant(
        self, gang: rosters.Gang, member: rosters.MemberView, now_s: float
    ) -> messages.Grant:
        answer = functools.partial(messages.Grant, gang.fence, issued_s=now_s)
        if gang.state.over or member.phase in rosters.FINAL:
            return answer(verdict=messages.Verdict.END, lease_s=0.0)
        if gang.state is messages.GangState.ARMING:
            return answer(verdict=messages.Verdict.WAIT, lease_s=self._times.lease_s)
        lease_s = self._times.lease_s
        if gang.started < len(gang.members):
            lease_s = self._times.first_lease_s
        member.leased_until_s = max(member.leased_until_s, now_s + lease_s)
        if gang.state is messages.GangState.YIELDING:
            return answer(verdict=messages.Verdict.YIELD, lease_s=lease_s)
        return answer(verdict=messages.Verdict.GO, lease_s=lease_s)

    def _end(self, gang: rosters.Gang, state: messages.GangState, code: str = "") -> None:
        if gang.state.over:
            return
        gang.code = code
        gang.move(state)
        self.counts.ended[state] += 1
        self._fences.note(gang.fence, self._clock.now_s())
        self._gangs.pop(gang.fence, None)
        self._over[gang.fence] = gang
        if len(self._over) > MAX_RECORDS:
            self._over.popitem(last=False)

    def _find(self, fence: claims.Fence) -> rosters.Gang | None:
        return self._gangs.get(fence) or self._over.get(fence)

    def _status(self, gang: rosters.Gang) -> messages.GangStatus:
        now_s = self._clock.now_s()
        ran_s = now_s - gang.started_s if gang.started_s else 0.0
        safe_after_s = None
        if gang.state.over:
            safe_after_s = max(0.0, gang.safe_at_s() - now_s)
        return messages.GangStatus(
            gang.fence, gang.state, len(gang.members), gang.started, ran_s, safe_after_s, gang.code
        )
