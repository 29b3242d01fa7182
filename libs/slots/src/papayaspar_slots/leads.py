"""The lead of a gang, which grants run leases only while every member is known to be running.

If a member stops at time t, the lead receives no proof of liveness for any time after t. It grants
the last lease before t + ``silence_timeout_s``, and that lease expires before
t + ``isolated_run_max_s``.
"""

import collections
import functools

import anyio
import anyio.abc
import attrs

from papayaspar_model import clock, errors
from papayaspar_slots import claims, fencing, gangs, ledger, messages, peers, refusals, timings

MAX_ENDED_GANGS = 1024
MAX_MEMBERS = 512
MAX_INQUIRY_WAIT_S = 10.0


@attrs.define
class LeadCounts:
    """Counters for metrics.

    :param launched: gangs that this agent has led.
    :param ended: ended gangs, by state.
    :param renewals: answered renewals.
    :param stale_messages: messages of unknown gangs, and renewals received out of order.
    """

    launched: int = 0
    ended: collections.Counter[messages.GangState] = attrs.field(factory=collections.Counter)
    renewals: int = 0
    stale_messages: int = 0


class Lead:
    """Leads the gangs whose first task runs on this worker.

    :param worker_ledger: the worker's ledger.
    :param gang_peers: client of the other agents.
    :param clock_source: the machine's clock.
    :param group: task group of the agent; one asynchronous task per gang runs in it.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(
        self,
        worker_ledger: ledger.Ledger,
        gang_peers: peers.GangPeers,
        clock_source: clock.Clock,
        group: anyio.abc.TaskGroup,
        times: timings.Timings,
    ) -> None:
        self.counts = LeadCounts()
        self._ledger = worker_ledger
        self._peers = gang_peers
        self._clock = clock_source
        self._group = group
        self._times = times
        self._active_gangs: dict[claims.Fence, gangs.Gang] = {}
        self._ended_gangs: collections.OrderedDict[claims.Fence, gangs.Gang] = (
            collections.OrderedDict()
        )
        self._ended_attempts = fencing.FenceTable()

    def launch(self, launch: messages.Launch) -> messages.GangStatus:
        """Start to lead a gang; repeating the same launch has no effect.

        :param launch: launch message of the entry.
        :raises StaleAttemptError: the attempt has ended, or this worker has no allocation for it.
        """
        gang = self._find(launch.fence)
        if gang is not None:
            return self._status(gang)
        if self._ended_attempts.is_over(launch.fence):
            self.counts.stale_messages += 1
            raise refusals.StaleAttemptError(
                f"attempt {launch.fence.attempt} of {launch.fence.job_id} has ended"
            )
        if not 0 < len(launch.members) <= MAX_MEMBERS:
            raise errors.InvalidRequestError("the number of members is out of range")
        allocation = self._ledger.find(launch.fence)
        gang = gangs.Gang.from_launch(launch, self._clock.now_s(), self._times.arm_timeout_s)
        gang.stoppable = allocation.claim.stoppable
        self._active_gangs[launch.fence] = gang
        self.counts.launched += 1
        self._group.start_soon(self._run_gang, gang)
        return self._status(gang)

    def renew(self, renew: messages.Renew) -> messages.Grant:
        """Return the run lease for a member.

        :param renew: renewal of the member.
        """
        self.counts.renewals += 1
        now_s = self._clock.now_s()
        gang = self._find(renew.fence)
        if gang is None or renew.worker not in gang.members:
            self.counts.stale_messages += 1
            return messages.Grant(renew.fence, messages.Verdict.END, 0.0, now_s)
        if not gang.apply_renewal(renew, now_s):
            self.counts.stale_messages += 1
        self._update_state(gang)
        return self._make_grant(gang, gang.members[renew.worker], now_s)

    def preempt(self, give_way: messages.GiveWay) -> None:
        """Preempt a gang: let it save a checkpoint, then end it.

        A gang that has ended, or that may not be preempted, stays as it is.

        :param give_way: message that names the gang.
        """
        gang = self._active_gangs.get(give_way.fence)
        if gang is None or gang.state is messages.GangState.YIELDING or not gang.stoppable:
            return
        if gang.state is messages.GangState.ARMING or not gang.launch.checkpoint:
            self._end(gang, messages.GangState.PREEMPTED)
            return
        gang.yield_by_s = self._clock.now_s() + self._times.yield_timeout_s
        gang.set_state(messages.GangState.YIELDING)

    async def inquire(self, inquiry: messages.Inquiry) -> messages.GangStatus:
        """Return the status of a gang, optionally after a wait for a change of its state.

        :param inquiry: gang, last known state and maximum wait.
        :raises NotFoundError: this agent leads no such gang.
        """
        gang = self._find(inquiry.fence)
        if gang is None:
            raise errors.NotFoundError(
                f"no gang for attempt {inquiry.fence.attempt} of {inquiry.fence.job_id}"
            )
        with anyio.move_on_after(min(inquiry.wait_s, MAX_INQUIRY_WAIT_S)):
            while gang.state is inquiry.known:
                await gang.changed.wait()
        return self._status(gang)

    def cancel(self, fence: claims.Fence) -> messages.GangStatus:
        """End a gang; an unknown one can't be launched afterwards.

        :param fence: job and attempt.
        """
        gang = self._find(fence)
        if gang is None:
            self._ended_attempts.record_end(fence, self._clock.now_s())
            state = messages.GangState.CANCELLED
            return messages.GangStatus(fence, state, 0, 0, 0.0, self._times.isolated_run_max_s)
        self._end(gang, messages.GangState.CANCELLED)
        return self._status(gang)

    def acknowledge(self, fence: claims.Fence) -> None:
        """Delete an ended gang after an entry has recorded its result.

        :param fence: job and attempt.
        """
        self._ended_gangs.pop(fence, None)

    async def _run_gang(self, gang: gangs.Gang) -> None:
        async with anyio.create_task_group() as group:
            for worker in gang.members:
                group.start_soon(self._arm_member, gang, worker)
            await self._monitor(gang)
            group.cancel_scope.cancel()

    async def _arm_member(self, gang: gangs.Gang, worker: str) -> None:
        while not gang.state.over:
            arm = messages.Arm(gang.fence, self._ledger.worker, self._clock.now_s())
            try:
                with anyio.fail_after(self._times.answer_timeout_s):
                    await self._peers.arm(worker, arm)
                return
            except (TimeoutError, errors.PeerError):
                await anyio.sleep(self._times.poll_interval_s)
            except errors.PapayasparError as error:
                # The member has no reservation any more, or drains: nothing of this run has failed.
                self._end(gang, messages.GangState.LOST, error.code)

    async def _monitor(self, gang: gangs.Gang) -> None:
        while not gang.state.over:
            changed = gang.changed
            wait_s = self._next_deadline_s(gang) - self._clock.now_s()
            with anyio.move_on_after(max(0.0, wait_s)):
                await changed.wait()
            self._update_state(gang)

    def _next_deadline_s(self, gang: gangs.Gang) -> float:
        liveness_deadline_s = gang.refresh_liveness_deadline(self._times.silence_timeout_s)
        if gang.state is messages.GangState.ARMING:
            return min(liveness_deadline_s, gang.arm_by_s)
        if gang.state is messages.GangState.YIELDING:
            return min(liveness_deadline_s, gang.yield_by_s)
        return liveness_deadline_s

    def _update_state(self, gang: gangs.Gang) -> None:
        if gang.state.over:
            return
        now_s = self._clock.now_s()
        state = self._next_state(gang, now_s)
        if state is gang.state:
            return
        if state.over:
            self._end(gang, state)
            return
        gang.started_s = now_s
        gang.set_state(state)

    def _next_state(self, gang: gangs.Gang, now_s: float) -> messages.GangState:
        if gang.count(messages.Phase.DONE) == len(gang.members):
            return messages.GangState.DONE
        if gang.count(messages.Phase.FAILED):
            return messages.GangState.FAILED
        if gang.count(messages.Phase.ENDED) or self._has_failed_member(gang, now_s):
            return messages.GangState.LOST
        if gang.state is messages.GangState.ARMING:
            return self._next_state_while_arming(gang, now_s)
        if gang.state is messages.GangState.YIELDING:
            return self._next_state_while_yielding(gang, now_s)
        return gang.state

    def _next_state_while_arming(self, gang: gangs.Gang, now_s: float) -> messages.GangState:
        if now_s >= gang.arm_by_s:
            return messages.GangState.FAILED
        if gang.count(messages.Phase.ARMED) == len(gang.members):
            return messages.GangState.RUNNING
        return gang.state

    def _next_state_while_yielding(self, gang: gangs.Gang, now_s: float) -> messages.GangState:
        saved_count = gang.count(messages.Phase.SAVED, messages.Phase.DONE)
        if saved_count == len(gang.members) or now_s >= gang.yield_by_s:
            return messages.GangState.PREEMPTED
        return gang.state

    def _has_failed_member(self, gang: gangs.Gang, now_s: float) -> bool:
        if now_s < gang.liveness_deadline_s:
            return False
        return now_s >= gang.refresh_liveness_deadline(self._times.silence_timeout_s)

    def _make_grant(
        self, gang: gangs.Gang, member: gangs.MemberStatus, now_s: float
    ) -> messages.Grant:
        make_grant = functools.partial(messages.Grant, gang.fence, issued_s=now_s)
        if gang.state.over or member.phase in gangs.FINAL_PHASES:
            return make_grant(verdict=messages.Verdict.END, lease_s=0.0)
        if gang.state is messages.GangState.ARMING:
            return make_grant(verdict=messages.Verdict.WAIT, lease_s=self._times.lease_s)
        lease_s = self._times.lease_s
        if gang.started_count < len(gang.members):
            lease_s = self._times.first_lease_s
        member.lease_until_s = max(member.lease_until_s, now_s + lease_s)
        if gang.state is messages.GangState.YIELDING:
            return make_grant(verdict=messages.Verdict.YIELD, lease_s=lease_s)
        return make_grant(verdict=messages.Verdict.GO, lease_s=lease_s)

    def _end(self, gang: gangs.Gang, state: messages.GangState, code: str = "") -> None:
        if gang.state.over:
            return
        gang.code = code
        gang.ended_s = self._clock.now_s()
        gang.set_state(state)
        self.counts.ended[state] += 1
        self._ended_attempts.record_end(gang.fence, gang.ended_s)
        self._active_gangs.pop(gang.fence, None)
        self._ended_gangs[gang.fence] = gang
        if len(self._ended_gangs) > MAX_ENDED_GANGS:
            self._ended_gangs.popitem(last=False)

    def _find(self, fence: claims.Fence) -> gangs.Gang | None:
        return self._active_gangs.get(fence) or self._ended_gangs.get(fence)

    def _status(self, gang: gangs.Gang) -> messages.GangStatus:
        now_s = self._clock.now_s()
        safe_after_s = None
        if gang.state.over:
            safe_after_s = max(0.0, gang.safe_at_s() - now_s)
        return messages.GangStatus(
            gang.fence,
            gang.state,
            len(gang.members),
            gang.started_count,
            gang.ran_s(now_s),
            safe_after_s,
            gang.code,
        )
