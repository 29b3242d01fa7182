"""Taking on the scheduling duty, holding it, and giving it back."""

import random

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import configurations
from papayaspar_lead import duty
from papayaspar_model import causality, clock, errors, signals
from papayaspar_runs import service
from papayaspar_store import failures, following, records, stores, views, writing

PRODUCER = "lead"
# The lead renews its record this often, in seconds, and is taken to be gone after so long without
# a newer one: two renewals and a slow answer may be missed.
RENEW_INTERVAL_S = 0.4
VACANT_AFTER_S = 1.5
# Reads asked longer ago say nothing about the lead, in seconds: under `VACANT_AFTER_S`, so that a
# store that is away to all makes no lead vacant.
VIEW_AGE_MAX_S = 1.2
# Candidates start a little apart, in seconds, so that one append usually decides.
CANDIDATE_SPREAD_S = 0.3
# The lead's own record comes back by the waiting read within this time, in seconds, or else that
# read hangs and a short one takes its place.
READ_BACK_S = 0.1
# While the store is away a candidate looks again after so long, in seconds.
RECHECK_S = 0.1
# Epochs rise in steps of this many, and a candidate's chance number is added: two candidates never
# write under the same epoch.
EPOCH_STEP = 1024


class LeaderElection:
    """Holds the duty whenever it is vacant.

    :param node: name of this machine.
    :param incarnation: identity of this process.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: stores.Store,
        view: views.SharedView,
        follower: following.Follower,
        limits: duty.DutyLimits,
        source: clock.Clock,
        stamps: causality.HybridClock,
        events: journal.Journal,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._store = store
        self._view = view
        self._follower = follower
        self._limits = limits
        self._clock = source
        self._stamps = stamps
        self._events = events
        self._configuration: configurations.Configuration | None = None
        self._held: duty.Duty | None = None
        self._is_leaving = False
        self._leaving = signals.ChangeSignal()

    @property
    def held(self) -> duty.Duty | None:
        """The duty while this process holds it."""
        return self._held

    @property
    def is_lead(self) -> bool:
        """Whether this process holds the duty."""
        return self._held is not None

    def configure(self, configuration: configurations.Configuration) -> None:
        """Take in a version of the configuration."""
        self._configuration = configuration
        if self._held is not None:
            self._held.configure(configuration)

    def leave(self) -> None:
        """Give the duty back, and take it on no more."""
        self._is_leaving = True
        self._leaving.changed()

    async def run(self) -> None:
        """Take on the duty whenever it is vacant, until :meth:`leave`."""
        while not self._is_leaving:
            await self._wait_until_vacant()
            if self._is_leaving:
                return
            try:
                await self._hold()
            except errors.PapayasparError as error:
                self._events.record(lines.EventKind.LEAD_LOST, code=error.code, detail=error.detail)
            except BaseExceptionGroup as group:
                self._note_group(group)
            await anyio.sleep(random.uniform(0.0, CANDIDATE_SPREAD_S))

    def _note_group(self, group: BaseExceptionGroup[BaseException]) -> None:
        known, rest = group.split(errors.PapayasparError)
        if rest is not None:
            raise rest
        self._events.record(
            lines.EventKind.LEAD_LOST, code=failures.FencedError.code, detail=str(known)
        )

    async def _wait_until_vacant(self) -> None:
        patience_s = random.uniform(0.0, CANDIDATE_SPREAD_S)
        vacant_since_s: float | None = None
        while not self._is_leaving:
            now_s, left_s = self._clock.now_s(), self._vacant_in_s()
            if left_s > 0 or self._follower.age_s() > VIEW_AGE_MAX_S:
                vacant_since_s = None
                pause_s = max(left_s, RECHECK_S)
            else:
                vacant_since_s = now_s if vacant_since_s is None else vacant_since_s
                pause_s = vacant_since_s + patience_s - now_s
                if pause_s <= 0:
                    return
            seen = self._follower.changes.sequence
            with anyio.move_on_after(pause_s):
                await self._follower.changes.wait_beyond(seen)

    def _vacant_in_s(self) -> float:
        if not self._follower.is_loaded or self._configuration is None:
            return VACANT_AFTER_S
        lead, seen_s = self._view.lead, self._view.lead_seen_s
        if lead is None or seen_s is None or lead.has_resigned:
            return 0.0
        if lead.node == self._node and lead.incarnation != self._incarnation:
            # An earlier process of this machine: it lives no more.
            return 0.0
        return seen_s + VACANT_AFTER_S - self._clock.now_s()

    async def _hold(self) -> None:
        # A waiting read may hang on a connection that went silent; a short one tells.
        await self._follower.catch_up()
        if self._vacant_in_s() > 0:
            return
        former = self._view.lead
        former_epoch = former.epoch if former is not None else 0
        epoch = (former_epoch // EPOCH_STEP + 1) * EPOCH_STEP + random.randrange(EPOCH_STEP)
        vouched_s = self._former_vouched_s(former)
        shared = self._writer(records.SHARED, epoch)
        self._events.record(
            lines.EventKind.LEAD_TRIED,
            detail=f"epoch={epoch} offset={self._follower.offset}"
            f" view_age_s={self._follower.age_s():.2f}",
        )
        await shared.open(self._follower.offset, self._lead_record(epoch))
        await self._confirm(epoch)
        tasks_writer = self._writer(records.TASKS, epoch)
        await tasks_writer.open()
        snapshot = await self._store.newest(records.TASKS)
        await self._follower.catch_up()
        held = duty.Duty(
            self._node,
            epoch,
            self._view,
            self._follower,
            shared,
            tasks_writer,
            vouched_s,
            self._limits,
            self._clock,
            self._stamps,
            self._events,
        )
        if self._configuration is not None:
            held.configure(self._configuration)
        held.restore(snapshot)
        self._events.record(
            lines.EventKind.LEAD_TAKEN,
            detail=f"epoch={epoch} former={former_epoch} tasks={len(snapshot.records)}"
            f" jobs={len(self._view.book)}",
        )
        self._held = held
        try:
            await self._serve(held, epoch, shared, tasks_writer)
        finally:
            self._held = None
            held.give_up()
            self._events.record(lines.EventKind.LEAD_RESIGNED, detail=f"epoch={epoch}")

    def _former_vouched_s(self, former: records.LeadRecord | None) -> float:
        """Return the latest time at which a former lead may have vouched for an agent."""
        seen_s = self._view.lead_seen_s
        if former is None or seen_s is None:
            return float("-inf")
        if former.has_resigned:
            return seen_s
        if former.node == self._node and former.incarnation != self._incarnation:
            return self._clock.now_s()
        return seen_s + duty.VOUCH_S

    def _writer(self, partition: stores.Partition, epoch: int) -> writing.EpochWriter:
        return writing.EpochWriter(
            self._store, partition, PRODUCER, epoch, self._clock, self._events
        )

    def _lead_record(
        self, epoch: int, has_resigned: bool = False, attached: tuple[str, ...] = ()
    ) -> stores.KeyedRecord:
        record = records.LeadRecord(epoch, self._node, self._incarnation, has_resigned, attached)
        return records.encode(records.LEAD, record)

    async def _confirm(self, epoch: int) -> None:
        """Read this process's own record back as the newest."""
        await self._follower.catch_up()
        lead = self._view.lead
        if lead is None or lead.epoch != epoch:
            raise failures.FencedError("another candidate was first")

    async def _serve(
        self,
        held: duty.Duty,
        epoch: int,
        shared: writing.EpochWriter,
        tasks_writer: writing.EpochWriter,
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(shared.run)
            group.start_soon(tasks_writer.run)
            group.start_soon(held.run)
            group.start_soon(self._renew, held, epoch, shared)
            group.start_soon(self._watch_successor, epoch, group.cancel_scope)
            group.start_soon(_cancel_when_lost, held, group.cancel_scope)
            seen = 0
            while not self._is_leaving:
                seen = await self._leaving.wait_beyond(seen)
            held.give_up()
            with anyio.move_on_after(service.VOUCH_TIMEOUT_S):
                await shared.write(self._lead_record(epoch, has_resigned=True))
            group.cancel_scope.cancel()

    async def _renew(self, held: duty.Duty, epoch: int, shared: writing.EpochWriter) -> None:
        while True:
            await anyio.sleep(RENEW_INTERVAL_S)
            if self._is_leaving:
                return
            asked_s = self._clock.now_s()
            await shared.write(self._lead_record(epoch, attached=held.attached_nodes()))
            await anyio.sleep(READ_BACK_S)
            if (self._view.lead_seen_s or 0.0) < asked_s:
                await self._read_back()

    async def _read_back(self) -> None:
        try:
            await self._follower.catch_up()
        except errors.LogUnavailableError as error:
            # The follower goes on trying.
            self._events.record(lines.EventKind.LOG_LOST, code=error.code, detail=error.detail)

    async def _watch_successor(self, epoch: int, scope: anyio.CancelScope) -> None:
        seen = 0
        while True:
            lead = self._view.lead
            if lead is not None and lead.epoch > epoch:
                self._events.record(
                    lines.EventKind.LEAD_LOST, detail=f"epoch={epoch} newer={lead.epoch}"
                )
                scope.cancel()
                return
            seen = await self._follower.changes.wait_beyond(seen)


async def _cancel_when_lost(held: duty.Duty, scope: anyio.CancelScope) -> None:
    await held.lost.wait()
    scope.cancel()
