"""The member's side of gangs: holds parts while their leads grant go-leases."""

import anyio
import anyio.abc
import attrs

from papayaspar_model import clock, errors
from papayaspar_slots import claims, ledger, messages, parts, peers, runners, terms

MAX_PREPARE_TRIES = 3


@attrs.define
class MemberCounts:
    """Counts for metrics.

    :param armed: parts bound to a lead.
    :param lapsed: parts whose lead fell silent for a lease.
    :param late_grants: go-leases that came after their end.
    :param evicted: parts stopped for a reclaim without their lead.
    """

    armed: int = 0
    lapsed: int = 0
    late_grants: int = 0
    evicted: int = 0


class Members:
    """Holds this worker's parts of gangs, one task for each part.

    :param book: the worker's ledger.
    :param runner: the worker's runtime.
    :param gang_peers: the other agents.
    :param source: the machine's clock, shared with the runtime.
    :param group: task group of the agent.
    :param times: times of the protocol.
    """

    def __init__(
        self,
        book: ledger.Ledger,
        runner: runners.TaskRunner,
        gang_peers: peers.GangPeers,
        source: clock.Clock,
        group: anyio.abc.TaskGroup,
        times: terms.Terms,
    ) -> None:
        self.counts = MemberCounts()
        self._book = book
        self._runner = parts.PartRunner(runner, times)
        self._peers = gang_peers
        self._clock = source
        self._group = group
        self._times = times
        self._parts: dict[claims.Fence, parts.Part] = {}
        self._freed = anyio.Event()

    def reserve(self, claim: claims.Claim) -> claims.Reservation:
        """Reserve accelerators, and start to reclaim them from whoever has to leave.

        :param claim: what is wanted; errors as :meth:`papayaspar_slots.ledger.Ledger.reserve`.
        """
        reservation = self._book.reserve(claim)
        for fence in reservation.victims:
            part = self._parts.get(fence)
            if part is not None and not part.reclaimed:
                part.reclaimed = True
                self._group.start_soon(self._evict, part)
        return reservation

    def unreserve(self, fence: claims.Fence) -> None:
        """Give a reservation back that was not armed.

        :param fence: job and attempt.
        """
        if self._book.cancel_reservation(fence):
            self._note_freed()

    def arm(self, arm: messages.Arm) -> None:
        """Bind a reservation to its lead and prepare its tasks.

        :param arm: the lead's word; errors as :meth:`papayaspar_slots.ledger.Ledger.arm`.
        """
        holding = self._book.arm(arm.fence)
        if arm.fence in self._parts:
            return
        until_s = self._clock.now_s() + self._times.lease_s
        part = parts.Part(holding, arm.lead_worker, arm.issued_s, until_s)
        self._parts[arm.fence] = part
        self.counts.armed += 1
        self._group.start_soon(self._hold, part)

    def inquire_part(self, fence: claims.Fence) -> messages.PartStatus:
        """Return what is known of a part.

        :param fence: job and attempt.
        """
        held = self._book.holds(fence)
        ending = self._book.ending(fence)
        if ending is None:
            return messages.PartStatus(fence, held, False, False, 0.0)
        ago_s = self._clock.now_s() - ending.ended_s
        return messages.PartStatus(fence, held, True, ending.done, ago_s)

    async def _hold(self, part: parts.Part) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._prepare, part)
            await self._follow_lead(part, group)
            group.cancel_scope.cancel()
        await self._stop(part)
        await self._ask_lead(part)

    async def _prepare(self, part: parts.Part) -> None:
        while not part.holding.ready:
            await self._freed.wait()
        for _ in range(MAX_PREPARE_TRIES):
            if await self._runner.prepare(part):
                part.move(messages.Phase.ARMED)
                return
            await anyio.sleep(self._times.poll_s)
        part.move(messages.Phase.FAILED)

    async def _follow_lead(self, part: parts.Part, group: anyio.abc.TaskGroup) -> None:
        while not part.evicted:
            sent_s = self._clock.now_s()
            if sent_s >= part.until_s:
                self.counts.lapsed += 1
                return
            grant = await self._ask_lead(part)
            if grant is None:
                await self._pause(part, self._times.poll_s)
                continue
            if grant.verdict is messages.Verdict.END:
                return
            part.until_s = sent_s + grant.lease_s
            if grant.verdict is messages.Verdict.WAIT or await self._go(part):
                part.echo_s = grant.issued_s
            if grant.verdict is messages.Verdict.YIELD:
                self._start_saving(part, group)
            await self._pause(part, self._pause_s(part, grant))

    async def _ask_lead(self, part: parts.Part) -> messages.Grant | None:
        renew = part.next_renew(self._book.worker)
        with anyio.move_on_after(self._times.answer_s):
            try:
                return await self._peers.renew(part.lead_worker, renew)
            except errors.PapayasparError:
                # The same as no answer: the part ends with its term unless a later renewal comes.
                return None
        return None

    async def _go(self, part: parts.Part) -> bool:
        if self._clock.now_s() >= part.until_s:
            self.counts.late_grants += 1
            return False
        if part.phase is messages.Phase.ARMED:
            return await self._start(part)
        if part.phase not in (messages.Phase.RUNNING, messages.Phase.SAVED):
            return False
        confirmed = await self._runner.renew(part, part.until_s)
        if confirmed and not part.open_tasks:
            part.move(messages.Phase.DONE)
        return confirmed

    async def _start(self, part: parts.Part) -> bool:
        self._book.run(part.fence)
        started = await self._runner.start(part, part.until_s)
        part.move(messages.Phase.RUNNING if started else messages.Phase.FAILED)
        return started

    def _start_saving(self, part: parts.Part, group: anyio.abc.TaskGroup) -> None:
        if part.phase is messages.Phase.RUNNING and not part.saving:
            part.saving = True
            group.start_soon(self._save, part)

    async def _save(self, part: parts.Part) -> None:
        await self._runner.save(part)
        if part.phase is messages.Phase.RUNNING:
            part.move(messages.Phase.SAVED)

    async def _pause(self, part: parts.Part, pause_s: float) -> None:
        left_s = part.until_s - self._clock.now_s()
        with anyio.move_on_after(max(0.0, min(pause_s, left_s))):
            await part.wake.wait()

    def _pause_s(self, part: parts.Part, grant: messages.Grant) -> float:
        if grant.verdict is messages.Verdict.GO and part.phase is messages.Phase.RUNNING:
            return self._times.renew_s
        return self._times.poll_s

    async def _stop(self, part: parts.Part) -> None:
        while not await self._runner.stop(part):
            left_s = part.leased_until_s - self._clock.now_s()
            if left_s <= 0:
                break
            await anyio.sleep(min(left_s, self._times.poll_s))
        done = part.phase is messages.Phase.DONE
        part.phase = messages.Phase.ENDED
        del self._parts[part.fence]
        self._book.release(part.fence, done=done)
        self._note_freed()

    async def _evict(self, part: parts.Part) -> None:
        with anyio.move_on_after(self._times.evict_s):
            await self._tell_victim(part)
            while part.fence in self._parts:
                await self._freed.wait()
            return
        self.counts.evicted += 1
        part.evicted = True
        part.wake.set()

    async def _tell_victim(self, part: parts.Part) -> None:
        while part.fence in self._parts:
            try:
                with anyio.fail_after(self._times.answer_s):
                    await self._peers.give_way(part.lead_worker, messages.GiveWay(part.fence))
                return
            except (TimeoutError, errors.PapayasparError):
                await anyio.sleep(self._times.poll_s)

    def _note_freed(self) -> None:
        self._freed.set()
        self._freed = anyio.Event()
