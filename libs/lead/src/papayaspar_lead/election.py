"""Leader election through the store: win the leadership, renew it and resign."""

import math
import random

import anyio

from papayaspar_events import journal, lines
from papayaspar_jobs import configurations, evacuations
from papayaspar_lead import scheduling
from papayaspar_model import causality, clock, errors, signals
from papayaspar_runs import service
from papayaspar_store import failures, following, records, stores, views, writing

MILLISECONDS_PER_SECOND = 1000.0
# Producer name under which the lead appends to the store.
PRODUCER = "lead"
# Interval at which the lead renews its record, and age at which that record expires, both in
# seconds: two lost renewals and a slow answer don't end a leadership.
RENEW_INTERVAL_S = 0.4
LEAD_TIMEOUT_S = 1.5
# A candidate treats the lead as expired only if its view is at most this old, in seconds: less than
# `LEAD_TIMEOUT_S`, so that no leadership expires while the store is unavailable to all.
VIEW_AGE_MAX_S = 1.2
# Maximum random delay of a candidate, in seconds, so that one append usually decides the election.
CANDIDATE_JITTER_S = 0.3
# A VM with fewer cores is a candidate only after all larger ones had time to become lead: planning
# for a few hundred workers takes most of a core while many jobs wait.
LEAD_CPU_CORES_MIN = 1.0
# The follower's long poll returns the lead's own record within this time, in seconds; otherwise the
# poll hangs, and the lead reads without waiting instead.
READ_BACK_TIMEOUT_S = 0.1
# A candidate checks again after this time, in seconds, while the store is unavailable.
RECHECK_INTERVAL_S = 0.1
# Epochs rise in steps of this size, and each candidate adds a random number below it, so that two
# candidates hardly ever write under the same epoch.
EPOCH_STEP = 1024


class LeaderElection:
    """Become lead whenever the leadership has expired.

    :param node: name of this VM.
    :param incarnation: identity of this process.
    :param store: store of the lead's record and of the tasks.
    :param view: in-memory view of the shared partition.
    :param follower: reader that keeps the view up to date.
    :param limits: limits of the scheduler.
    :param clock_source: clock of timeouts.
    :param hybrid_clock: clock of event stamps.
    :param events: journal of leadership changes.
    :param cpu_cores: CPU of this VM, in cores.
    :param evacuation_source: the evacuations that the operators have requested, or ``None`` if they
        can't request any.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        store: stores.Store,
        view: views.SharedView,
        follower: following.Follower,
        limits: scheduling.SchedulerLimits,
        clock_source: clock.Clock,
        hybrid_clock: causality.HybridClock,
        events: journal.Journal,
        cpu_cores: float = LEAD_CPU_CORES_MIN,
        evacuation_source: evacuations.EvacuationSource | None = None,
    ) -> None:
        self._evacuation_source = evacuation_source
        self._node = node
        self._incarnation = incarnation
        self._candidate_delay_s = CANDIDATE_JITTER_S if cpu_cores < LEAD_CPU_CORES_MIN else 0.0
        self._store = store
        self._view = view
        self._follower = follower
        self._limits = limits
        self._clock = clock_source
        self._hybrid_clock = hybrid_clock
        self._events = events
        self._configuration: configurations.Configuration | None = None
        self._scheduler: scheduling.Scheduler | None = None
        # Latest time at which a lead before this one may confirm its leadership.
        self._former_confirmed_s = float("-inf")
        self._is_resigning = False
        self._resigning = signals.ChangeSignal()

    @property
    def scheduler(self) -> scheduling.Scheduler | None:
        """The scheduler while this process is lead, else ``None``."""
        return self._scheduler

    @property
    def is_lead(self) -> bool:
        """Whether this process is lead."""
        return self._scheduler is not None

    def configure(self, configuration: configurations.Configuration) -> None:
        """Apply a version of the configuration."""
        self._configuration = configuration
        if self._scheduler is not None:
            self._scheduler.configure(configuration)

    def resign(self) -> None:
        """Resign the leadership, and take part in no more elections."""
        self._is_resigning = True
        self._resigning.notify()

    async def run(self) -> None:
        """Become lead whenever the leadership has expired, until :meth:`resign`."""
        while not self._is_resigning:
            await self._wait_until_expired()
            if self._is_resigning:
                return
            try:
                await self._run_as_lead()
            except errors.PapayasparError as error:
                self._events.record(lines.EventKind.LEAD_LOST, code=error.code, detail=error.detail)
            except BaseExceptionGroup as group:
                self._record_loss(group)
            await anyio.sleep(random.uniform(0.0, CANDIDATE_JITTER_S))

    def _record_loss(self, group: BaseExceptionGroup[BaseException]) -> None:
        expected, unexpected = group.split(errors.PapayasparError)
        if unexpected is not None:
            raise unexpected
        self._events.record(
            lines.EventKind.LEAD_LOST, code=failures.FencedError.code, detail=str(expected)
        )

    async def _wait_until_expired(self) -> None:
        jitter_s = self._candidate_delay_s + random.uniform(0.0, CANDIDATE_JITTER_S)
        expired_since_s: float | None = None
        while not self._is_resigning:
            now_s, lead_remaining_s = self._clock.now_s(), self._lead_remaining_s()
            if lead_remaining_s > 0 or self._follower.age_s() > VIEW_AGE_MAX_S:
                expired_since_s = None
                pause_s = max(lead_remaining_s, RECHECK_INTERVAL_S)
            else:
                expired_since_s = now_s if expired_since_s is None else expired_since_s
                pause_s = expired_since_s + jitter_s - now_s
                if pause_s <= 0:
                    return
            seen_sequence = self._follower.changes.sequence
            with anyio.move_on_after(pause_s):
                await self._follower.changes.wait_for_change(seen_sequence)

    def _lead_remaining_s(self) -> float:
        """Return the time until the lead's record expires; 0 or less if there is no lead.

        While the view or the configuration is not loaded, the record counts as just renewed, so
        that this process does not become a candidate.
        """
        if not self._follower.is_loaded or self._configuration is None:
            return LEAD_TIMEOUT_S
        lead, seen_s = self._view.lead, self._view.lead_seen_s
        if self._view.is_lead_unreadable and seen_s is not None:
            return seen_s + LEAD_TIMEOUT_S - self._clock.now_s()
        if lead is None or seen_s is None or lead.has_resigned:
            return 0.0
        if lead.node == self._node and lead.incarnation != self._incarnation:
            # The lead was an earlier process on this VM, which has terminated.
            return 0.0
        return seen_s + LEAD_TIMEOUT_S - self._clock.now_s()

    async def _run_as_lead(self) -> None:
        # The follower's long poll may hang on a silent connection; a read without waiting returns
        # the current records.
        await self._follower.catch_up()
        if self._lead_remaining_s() > 0:
            return
        former = self._view.lead
        former_epoch = former.epoch if former is not None else 0
        epoch = (former_epoch // EPOCH_STEP + 1) * EPOCH_STEP + random.randrange(EPOCH_STEP)
        self._former_confirmed_s = self._latest_confirmation_s(former)
        shared = self._writer(records.SHARED_PARTITION, epoch, records.LEAD_KEY)
        await self._claim(shared, epoch, former)
        await self._confirm(epoch)
        async with anyio.create_task_group() as group:
            group.start_soon(shared.run)
            # The leadership is renewed from now on: with many records, it would expire before the
            # tasks are restored.
            group.start_soon(self._renew, epoch, shared)
            group.start_soon(self._watch_successor, epoch, group.cancel_scope)
            group.start_soon(self._schedule, epoch, former_epoch, shared, group.cancel_scope)
            await self._resign_when_told(epoch, shared)
            group.cancel_scope.cancel()

    async def _claim(
        self, shared: writing.EpochWriter, epoch: int, former: records.LeadRecord | None
    ) -> None:
        """Store this process's record as the first one of a lead after the former lead's.

        :param shared: writer of the shared partition.
        :param epoch: epoch of this process.
        :param former: newest record of a lead when this process became a candidate.
        :raises PositionError: when another candidate was faster.
        """
        while True:
            self._events.record(
                lines.EventKind.LEAD_TRIED,
                detail=f"epoch={epoch} offset={self._follower.offset}"
                f" view_age_s={self._follower.age_s():.2f}",
            )
            try:
                await shared.open(self._follower.offset, self._lead_record(epoch))
                return
            except failures.PositionError:
                # Records of others are stored all the time, such as those of agents that register.
                await self._follower.catch_up()
                if self._view.lead != former or self._lead_remaining_s() > 0:
                    raise

    async def _resign_when_told(self, epoch: int, shared: writing.EpochWriter) -> None:
        """Wait for :meth:`resign`, and store the resignation."""
        seen_sequence = 0
        while not self._is_resigning:
            seen_sequence = await self._resigning.wait_for_change(seen_sequence)
        if self._scheduler is not None:
            self._scheduler.resign()
        with anyio.move_on_after(service.LEAD_LEASE_RENEW_TIMEOUT_S):
            await shared.write(self._lead_record(epoch, has_resigned=True))

    async def _schedule(
        self,
        epoch: int,
        former_epoch: int,
        shared: writing.EpochWriter,
        scope: anyio.CancelScope,
    ) -> None:
        """Restore the stored tasks, and schedule until the leadership is lost."""
        tasks_writer = self._writer(records.TASKS_PARTITION, epoch)
        await tasks_writer.open()
        snapshot = await self._store.read_snapshot(records.TASKS_PARTITION)
        await self._follower.catch_up()
        scheduler = scheduling.Scheduler(
            self._node,
            epoch,
            self._view,
            self._follower,
            shared,
            tasks_writer,
            self._former_confirmed_s,
            self._limits,
            self._clock,
            self._hybrid_clock,
            self._events,
            self._evacuation_source,
        )
        await scheduler.restore(snapshot)
        if self._configuration is not None:
            scheduler.configure(self._configuration)
        if self._is_resigning:
            # The resignation may be stored already, and another candidate lead.
            return
        self._events.record(
            lines.EventKind.LEAD_TAKEN,
            detail=f"epoch={epoch} former={former_epoch} tasks={len(snapshot.records)}"
            f" jobs={len(self._view.jobs)}",
        )
        self._scheduler = scheduler
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(tasks_writer.run)
                group.start_soon(scheduler.run)
                await scheduler.lost.wait()
                group.cancel_scope.cancel()
        finally:
            self._scheduler = None
            scheduler.resign()
            self._events.record(lines.EventKind.LEAD_RESIGNED, detail=f"epoch={epoch}")
        scope.cancel()

    def _latest_confirmation_s(self, former: records.LeadRecord | None) -> float:
        """Return the latest time at which a former lead may have confirmed its leadership."""
        seen_s = self._view.lead_seen_s
        if self._view.is_lead_unreadable:
            # The record may be damaged, or of a version that this one can't read.
            return self._clock.now_s() + scheduling.LEAD_LEASE_S
        if former is None or seen_s is None:
            # The store keeps the newest record of each key for good, so that nobody has led yet.
            return float("-inf")
        # A lead before the former one may be cut off from the store and not know its successors.
        former_s = seen_s + max(0, former.former_lease_ms) / MILLISECONDS_PER_SECOND
        if former.has_resigned:
            return former_s
        if former.node == self._node and former.incarnation != self._incarnation:
            return max(self._clock.now_s(), former_s)
        return max(seen_s + scheduling.LEAD_LEASE_S, former_s)

    def _writer(
        self, partition: stores.Partition, epoch: int, confirming_key: str | None = None
    ) -> writing.EpochWriter:
        return writing.EpochWriter(
            self._store,
            partition,
            PRODUCER,
            epoch,
            self._clock,
            self._events,
            self._limits.append_bytes_max,
            confirming_key,
        )

    def _lead_record(
        self, epoch: int, has_resigned: bool = False, attached: tuple[str, ...] = ()
    ) -> stores.KeyedRecord:
        remaining_s = max(0.0, self._former_confirmed_s - self._clock.now_s())
        record = records.LeadRecord(
            epoch,
            self._node,
            self._incarnation,
            has_resigned,
            attached,
            math.ceil(remaining_s * MILLISECONDS_PER_SECOND),
        )
        return records.encode(records.LEAD_KEY, record)

    async def _confirm(self, epoch: int) -> None:
        """Verify that this process's own record is the newest.

        :raises FencedError: when another candidate won.
        """
        await self._follower.catch_up()
        lead = self._view.lead
        # Another candidate may have drawn the same epoch; the store then answers the second append
        # as a repeat of the first.
        if lead is None or lead.epoch != epoch or lead.incarnation != self._incarnation:
            raise failures.FencedError("another candidate won the election")

    async def _renew(self, epoch: int, shared: writing.EpochWriter) -> None:
        pause_s = RENEW_INTERVAL_S
        while True:
            await anyio.sleep(pause_s)
            if self._is_resigning:
                return
            renewal_started_s = self._clock.now_s()
            attached = self._scheduler.attached_nodes() if self._scheduler is not None else ()
            await shared.write(self._lead_record(epoch, attached=attached))
            # A slow or repeated append confirms the leadership only as of its first attempt.
            is_slow = self._clock.now_s() - renewal_started_s > RENEW_INTERVAL_S
            pause_s = 0.0 if is_slow else RENEW_INTERVAL_S
            if is_slow:
                continue
            await anyio.sleep(READ_BACK_TIMEOUT_S)
            if (self._view.lead_seen_s or 0.0) < renewal_started_s:
                await self._read_back()

    async def _read_back(self) -> None:
        try:
            await self._follower.catch_up()
        except errors.LogUnavailableError as error:
            # The follower retries.
            self._events.record(lines.EventKind.LOG_LOST, code=error.code, detail=error.detail)

    async def _watch_successor(self, epoch: int, scope: anyio.CancelScope) -> None:
        seen_sequence = 0
        while True:
            lead = self._view.lead
            if lead is not None and lead.epoch > epoch:
                self._events.record(
                    lines.EventKind.LEAD_LOST, detail=f"epoch={epoch} newer={lead.epoch}"
                )
                scope.cancel()
                return
            seen_sequence = await self._follower.changes.wait_for_change(seen_sequence)
