"""Runs this worker's parts of gangs while their leads grant run leases."""

import anyio
import anyio.abc
import attrs

from papayaspar_model import clock, errors
from papayaspar_slots import claims, ledger, messages, parts, peers, runners, timings

MAX_PREPARE_CALLS = 3


@attrs.define
class MemberCounts:
    """Counters for metrics.

    :param armed: parts bound to a lead.
    :param expired: parts whose lease expired because the lead did not answer in time.
    :param late_grants: run leases that arrived after they had expired.
    :param force_stopped: preempted parts that this agent stopped without an order of their lead.
    """

    armed: int = 0
    expired: int = 0
    late_grants: int = 0
    force_stopped: int = 0


class Members:
    """Runs this worker's parts of gangs, in one asynchronous task for each part.

    :param worker_ledger: the worker's ledger.
    :param runner: client of the worker's runtime.
    :param gang_peers: client of the other agents.
    :param clock_source: the machine's clock, shared with the runtime.
    :param group: task group of the agent.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(
        self,
        worker_ledger: ledger.Ledger,
        runner: runners.TaskRunner,
        gang_peers: peers.GangPeers,
        clock_source: clock.Clock,
        group: anyio.abc.TaskGroup,
        times: timings.Timings,
    ) -> None:
        self.counts = MemberCounts()
        self._ledger = worker_ledger
        self._runner = parts.PartRunner(runner, times)
        self._peers = gang_peers
        self._clock = clock_source
        self._group = group
        self._times = times
        self._parts: dict[claims.Fence, parts.Part] = {}
        self._freed = anyio.Event()

    def reserve(self, claim: claims.Claim) -> claims.Reservation:
        """Reserve accelerators and start to preempt the gangs that hold them.

        Raises the errors of :meth:`papayaspar_slots.ledger.Ledger.reserve`.

        :param claim: the requested reservation.
        """
        reservation = self._ledger.reserve(claim)
        for fence in reservation.victims:
            part = self._parts.get(fence)
            if part is not None and not part.preempted:
                part.preempted = True
                self._group.start_soon(self._preempt, part)
        return reservation

    def unreserve(self, fence: claims.Fence) -> None:
        """Cancel a reservation that is not armed.

        :param fence: job and attempt.
        """
        if self._ledger.cancel_reservation(fence):
            self._signal_freed()

    def arm(self, arm: messages.Arm) -> None:
        """Bind a reservation to its lead and prepare its tasks.

        Raises the errors of :meth:`papayaspar_slots.ledger.Ledger.arm`.

        :param arm: message of the lead.
        """
        allocation = self._ledger.arm(arm.fence)
        if arm.fence in self._parts:
            return
        expires_s = self._clock.now_s() + self._times.lease_s
        part = parts.Part(allocation, arm.lead_worker, arm.issued_s, expires_s)
        self._parts[arm.fence] = part
        self.counts.armed += 1
        self._group.start_soon(self._run_part, part)

    def inquire_part(self, fence: claims.Fence) -> messages.PartStatus:
        """Return the status of a part.

        :param fence: job and attempt.
        """
        held = self._ledger.has_allocation(fence)
        attempt_end = self._ledger.attempt_end(fence)
        if attempt_end is None:
            return messages.PartStatus(fence, held, False, False, 0.0)
        ended_ago_s = self._clock.now_s() - attempt_end.ended_s
        return messages.PartStatus(fence, held, True, attempt_end.done, ended_ago_s)

    async def _run_part(self, part: parts.Part) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._prepare, part)
            await self._renew_until_end(part, group)
            group.cancel_scope.cancel()
        await self._stop(part)
        await self._send_renewal(part)

    async def _prepare(self, part: parts.Part) -> None:
        while not part.allocation.ready:
            await self._freed.wait()
        for _ in range(MAX_PREPARE_CALLS):
            if await self._runner.prepare(part):
                part.set_phase(messages.Phase.ARMED)
                return
            await anyio.sleep(self._times.poll_interval_s)
        part.set_phase(messages.Phase.FAILED)

    async def _renew_until_end(self, part: parts.Part, group: anyio.abc.TaskGroup) -> None:
        while not part.is_force_stopped:
            sent_s = self._clock.now_s()
            if sent_s >= part.expires_s:
                self.counts.expired += 1
                return
            grant = await self._send_renewal(part)
            if grant is None:
                await self._sleep_until_woken(part, self._times.poll_interval_s)
                continue
            if grant.verdict is messages.Verdict.END:
                return
            part.expires_s = sent_s + grant.lease_s
            if grant.verdict is messages.Verdict.WAIT or await self._apply_lease(part):
                part.echo_s = grant.issued_s
            if grant.verdict is messages.Verdict.YIELD:
                self._start_saving(part, group)
            await self._sleep_until_woken(part, self._renewal_delay_s(part, grant))

    async def _send_renewal(self, part: parts.Part) -> messages.Grant | None:
        renew = part.next_renewal(self._ledger.worker)
        with anyio.move_on_after(self._times.answer_timeout_s):
            try:
                return await self._peers.renew(part.lead_worker, renew)
            except errors.PapayasparError:
                # Same as no answer: the part ends with its lease unless a later renewal succeeds.
                return None
        return None

    async def _apply_lease(self, part: parts.Part) -> bool:
        if self._clock.now_s() >= part.expires_s:
            self.counts.late_grants += 1
            return False
        if part.phase is messages.Phase.ARMED:
            return await self._start(part)
        if part.phase not in (messages.Phase.RUNNING, messages.Phase.SAVED):
            return False
        confirmed = await self._runner.renew(part, part.expires_s)
        if confirmed and not part.open_tasks:
            part.set_phase(messages.Phase.DONE)
        return confirmed

    async def _start(self, part: parts.Part) -> bool:
        self._ledger.mark_running(part.fence)
        started = await self._runner.start(part, part.expires_s)
        part.set_phase(messages.Phase.RUNNING if started else messages.Phase.FAILED)
        return started

    def _start_saving(self, part: parts.Part, group: anyio.abc.TaskGroup) -> None:
        if part.phase is messages.Phase.RUNNING and not part.is_saving:
            part.is_saving = True
            group.start_soon(self._save, part)

    async def _save(self, part: parts.Part) -> None:
        await self._runner.save(part)
        if part.phase is messages.Phase.RUNNING:
            part.set_phase(messages.Phase.SAVED)

    async def _sleep_until_woken(self, part: parts.Part, delay_s: float) -> None:
        remaining_s = part.expires_s - self._clock.now_s()
        with anyio.move_on_after(max(0.0, min(delay_s, remaining_s))):
            await part.wake.wait()

    def _renewal_delay_s(self, part: parts.Part, grant: messages.Grant) -> float:
        if grant.verdict is messages.Verdict.GO and part.phase is messages.Phase.RUNNING:
            return self._times.renew_interval_s
        return self._times.poll_interval_s

    async def _stop(self, part: parts.Part) -> None:
        while not await self._runner.stop(part):
            remaining_s = part.runtime_lease_until_s - self._clock.now_s()
            if remaining_s <= 0:
                break
            await anyio.sleep(min(remaining_s, self._times.poll_interval_s))
        done = part.phase is messages.Phase.DONE
        part.phase = messages.Phase.ENDED
        del self._parts[part.fence]
        self._ledger.release(part.fence, done=done)
        self._signal_freed()

    async def _preempt(self, part: parts.Part) -> None:
        with anyio.move_on_after(self._times.force_stop_timeout_s):
            await self._request_yield(part)
            while part.fence in self._parts:
                await self._freed.wait()
            return
        self.counts.force_stopped += 1
        part.is_force_stopped = True
        part.wake.set()

    async def _request_yield(self, part: parts.Part) -> None:
        while part.fence in self._parts:
            try:
                with anyio.fail_after(self._times.answer_timeout_s):
                    await self._peers.preempt(part.lead_worker, messages.GiveWay(part.fence))
                return
            except (TimeoutError, errors.PapayasparError):
                await anyio.sleep(self._times.poll_interval_s)

    def _signal_freed(self) -> None:
        self._freed.set()
        self._freed = anyio.Event()
