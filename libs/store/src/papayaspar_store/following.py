"""Followers, which read a partition of the store continuously and deliver each record."""

import abc

import anyio

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, signals
from papayaspar_store import failures, stores

# Backoff between reads while the store is unavailable, in seconds: the platform requires recovery
# within two seconds after the store becomes available again.
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.2


class RecordSink(abc.ABC):
    """Receiver of a partition's records, in order."""

    @abc.abstractmethod
    def keys(self) -> frozenset[str]:
        """Return the keys whose deletion the receiver has to know of."""

    @abc.abstractmethod
    def apply(self, record: stores.KeyedRecord) -> None:
        """Apply a record; one without a value deletes its key.

        :raises RecordError: when the record can't be decoded; the follower skips it.
        """


class Follower:
    """Delivers the records of one partition to a sink.

    :param store: client of the store.
    :param partition: partition to follow.
    :param sink: receiver of the records.
    :param clock_source: clock for the age of the delivered state.
    :param events: journal for lost and restored connections to the store.
    :param wait_s: maximum time that a read waits for new records, in seconds.
    """

    def __init__(
        self,
        store: stores.Store,
        partition: stores.Partition,
        sink: RecordSink,
        clock_source: clock.Clock,
        events: journal.Journal,
        wait_s: float,
    ) -> None:
        self._store = store
        self._partition = partition
        self._sink = sink
        self._clock = clock_source
        self._events = events
        self._wait_s = wait_s
        self._offset: int | None = None
        self._is_unavailable = False
        self._failing_since_s: float | None = clock_source.now_s()
        self._up_to_date_s: float | None = None
        self.changes = signals.ChangeSignal()

    @property
    def is_loaded(self) -> bool:
        """Whether the partition has been loaded at least once."""
        return self._offset is not None

    @property
    def is_unavailable(self) -> bool:
        """Whether the most recent read failed."""
        return self._is_unavailable

    @property
    def offset(self) -> int:
        """Offset after the last delivered record; 0 before the first read."""
        return self._offset or 0

    def age_s(self) -> float:
        """Return the maximum age of the delivered state, in seconds; infinite before a read."""
        if self._up_to_date_s is None:
            return float("inf")
        return self._clock.now_s() - self._up_to_date_s

    def unavailable_for_s(self) -> float:
        """Return the time since reads started to fail, in seconds; 0 while reads succeed."""
        return (
            self._clock.now_s() - self._failing_since_s
            if self._failing_since_s is not None
            else 0.0
        )

    async def wait_connected(self) -> None:
        """Wait until the partition is loaded and its most recent read succeeded."""
        seen_sequence = 0
        while self._is_unavailable or self._offset is None:
            seen_sequence = await self.changes.wait_for_change(seen_sequence)

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        backoff_s = BACKOFF_MIN_S
        while True:
            try:
                await self._read_once()
            except errors.PapayasparError as error:
                self._record_failure(error)
                await anyio.sleep(backoff_s)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
                continue
            backoff_s = BACKOFF_MIN_S
            self._record_recovery()

    async def catch_up(self) -> None:
        """Read all records that are stored now; may be called while :meth:`run` is running.

        :raises StoreUnavailableError: when the store is unavailable.
        """
        if self._offset is None:
            raise failures.StoreUnavailableError("the store has not been read yet")
        end: int | None = None
        while end is None or self._offset < end:
            sent_s = self._clock.now_s()
            try:
                page = await self._store.read(self._partition, self._offset, 0.0)
            except failures.TrimmedError:
                await self._load(sent_s)
                return
            if not page.records and self._offset < page.end:
                raise failures.StoreUnavailableError("a read returned none of the records")
            self._apply_page(page, sent_s)
            end = page.end if end is None else end

    async def _read_once(self) -> None:
        sent_s = self._clock.now_s()
        if self._offset is None:
            await self._load(sent_s)
            return
        # While the store is unavailable, reads don't wait for records, so that recovery is
        # detected without delay.
        wait_s = 0.0 if self._is_unavailable else self._wait_s
        try:
            page = await self._store.read(self._partition, self._offset, wait_s)
        except failures.TrimmedError:
            await self._load(sent_s)
            return
        self._apply_page(page, sent_s)

    async def _load(self, sent_s: float) -> None:
        # A key that is accepted while the snapshot is read may be missing in it.
        known_keys = self._sink.keys()
        snapshot = await self._store.read_snapshot(self._partition)
        delivered = self._offset or 0
        if delivered <= snapshot.end:
            # Else a call has delivered newer records meanwhile, perhaps of a key that is missing.
            self._delete_missing(known_keys, snapshot)
        for record in snapshot.records:
            if 0 <= record.offset < delivered:
                # It was delivered, and perhaps a newer one of its key after it.
                continue
            self._apply_record(record)
        self._offset = max(snapshot.end, delivered)
        self._up_to_date_s = sent_s
        self.changes.notify()

    def _delete_missing(self, known_keys: frozenset[str], snapshot: stores.Snapshot) -> None:
        """Deliver the deletions whose records were deleted with the partition's history.

        The records that follow the snapshot deliver the keys that were stored again after it.
        """
        listed_keys = {record.key for record in snapshot.records}
        if "" in listed_keys:
            # A record whose key can't be read may be that of any missing key.
            return
        for key in sorted(known_keys - listed_keys):
            self._apply_record(stores.KeyedRecord(key, b""))

    def _apply_page(self, page: stores.Page, sent_s: float) -> None:
        offset = self._offset or 0
        has_new_records = False
        for record in page.records:
            if record.offset < offset:
                continue
            self._apply_record(record)
            offset = record.offset + 1
            has_new_records = True
        self._offset = offset
        if offset >= page.end:
            self._up_to_date_s = max(sent_s, self._up_to_date_s or 0.0)
        if has_new_records:
            self.changes.notify()

    def _apply_record(self, record: stores.KeyedRecord) -> None:
        try:
            self._sink.apply(record)
        except failures.RecordError as error:
            self._events.record(
                lines.EventKind.RECORD_REFUSED,
                code=error.code,
                detail=f"key={record.key} offset={record.offset}",
            )

    def _record_failure(self, error: errors.PapayasparError) -> None:
        if self._is_unavailable:
            return
        self._is_unavailable = True
        self._failing_since_s = (
            self._clock.now_s() if self._failing_since_s is None else self._failing_since_s
        )
        self._events.record(
            lines.EventKind.LOG_LOST,
            code=error.code,
            detail=f"partition={self._partition.topic}/{self._partition.number} {error.detail}",
        )
        self.changes.notify()

    def _record_recovery(self) -> None:
        self._failing_since_s = None
        if not self._is_unavailable:
            return
        self._is_unavailable = False
        self._events.record(
            lines.EventKind.LOG_REGAINED,
            detail=f"partition={self._partition.topic}/{self._partition.number}"
            f" offset={self._offset}",
        )
        self.changes.notify()
