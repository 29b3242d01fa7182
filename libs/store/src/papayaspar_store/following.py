"""Following a partition of the store: one task that reads and hands over each record."""

import abc

import anyio

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, signals
from papayaspar_store import failures, stores

# Pauses between tries while the store is away, in seconds: the platform's pages ask that what was
# lost is back within two seconds of the store's return.
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.2


class RecordSink(abc.ABC):
    """Takes records in order."""

    @abc.abstractmethod
    def restart(self) -> None:
        """Prepare for a snapshot: what it does not hold is gone."""

    @abc.abstractmethod
    def take(self, record: stores.KeyedRecord) -> None:
        """Take a record; unreadable ones raise ``RecordError`` and are passed over."""


class Follower:
    """Keeps a sink up to date with one partition.

    :param store: the store.
    :param partition: what to follow.
    :param sink: takes the records.
    :param source: clock for the view's age.
    :param events: where lost and regained contact is recorded.
    :param wait_s: how long a read may wait for a record.
    """

    def __init__(
        self,
        store: stores.Store,
        partition: stores.Partition,
        sink: RecordSink,
        source: clock.Clock,
        events: journal.Journal,
        wait_s: float,
    ) -> None:
        self._store = store
        self._partition = partition
        self._sink = sink
        self._clock = source
        self._events = events
        self._wait_s = wait_s
        self._offset: int | None = None
        self._is_away = False
        self._lost_s: float | None = source.now_s()
        self._current_s: float | None = None
        self.changes = signals.ChangeSignal()

    @property
    def is_loaded(self) -> bool:
        """Whether the partition was read once."""
        return self._offset is not None

    @property
    def is_away(self) -> bool:
        """Whether the newest read failed."""
        return self._is_away

    @property
    def offset(self) -> int:
        """Offset up to which records were taken; 0 before the first read."""
        return self._offset or 0

    def age_s(self) -> float:
        """Return how old the view may be, in seconds; infinite before the first read."""
        if self._current_s is None:
            return float("inf")
        return self._clock.now_s() - self._current_s

    def lost_for_s(self) -> float:
        """Return how long the store has not been read, in seconds; 0 while reads succeed."""
        return self._clock.now_s() - self._lost_s if self._lost_s is not None else 0.0

    async def wait_in_touch(self) -> None:
        """Wait until the partition is loaded and its newest read succeeded."""
        seen = 0
        while self._is_away or self._offset is None:
            seen = await self.changes.wait_beyond(seen)

    async def run(self) -> None:
        """Follow until cancelled."""
        pause_s = RETRY_FIRST_S
        while True:
            try:
                await self._step()
            except errors.PapayasparError as error:
                self._note_away(error)
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                continue
            pause_s = RETRY_FIRST_S
            self._note_back()

    async def catch_up(self) -> None:
        """Read what there is now, once, beside :meth:`run`.

        :raises StoreUnavailableError: when the store is away.
        """
        if self._offset is None:
            raise failures.StoreUnavailableError("the store was not read yet")
        asked_s = self._clock.now_s()
        page = await self._store.read(self._partition, self._offset, 0.0)
        self._take_page(page, asked_s)

    async def _step(self) -> None:
        asked_s = self._clock.now_s()
        if self._offset is None:
            await self._load(asked_s)
            return
        # A store that was away is asked for an answer at once, so that its return is seen soon.
        wait_s = 0.0 if self._is_away else self._wait_s
        try:
            page = await self._store.read(self._partition, self._offset, wait_s)
        except failures.TrimmedError:
            await self._load(asked_s)
            return
        self._take_page(page, asked_s)

    async def _load(self, asked_s: float) -> None:
        snapshot = await self._store.newest(self._partition)
        self._sink.restart()
        for record in snapshot.records:
            self._take(record)
        self._offset = max(snapshot.end, self._offset or 0)
        self._current_s = asked_s
        self.changes.changed()

    def _take_page(self, page: stores.Page, asked_s: float) -> None:
        offset = self._offset or 0
        has_new = False
        for record in page.records:
            if record.offset < offset:
                continue
            self._take(record)
            offset = record.offset + 1
            has_new = True
        self._offset = offset
        if offset >= page.end:
            self._current_s = max(asked_s, self._current_s or 0.0)
        if has_new:
            self.changes.changed()

    def _take(self, record: stores.KeyedRecord) -> None:
        try:
            self._sink.take(record)
        except failures.RecordError as error:
            self._events.record(
                lines.EventKind.RECORD_REFUSED,
                code=error.code,
                detail=f"key={record.key} offset={record.offset}",
            )

    def _note_away(self, error: errors.PapayasparError) -> None:
        if self._is_away:
            return
        self._is_away = True
        self._lost_s = self._clock.now_s() if self._lost_s is None else self._lost_s
        self._events.record(
            lines.EventKind.LOG_LOST,
            code=error.code,
            detail=f"partition={self._partition.topic}/{self._partition.number} {error.detail}",
        )
        self.changes.changed()

    def _note_back(self) -> None:
        self._lost_s = None
        if not self._is_away:
            return
        self._is_away = False
        self._events.record(
            lines.EventKind.LOG_REGAINED,
            detail=f"partition={self._partition.topic}/{self._partition.number}"
            f" offset={self._offset}",
        )
        self.changes.changed()
