"""The lead's writer: ordered appends that are fenced by epoch and retried until confirmed."""

import collections

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, signals
from papayaspar_store import failures, stores

# Maximum size of one append, in bytes, unless the store accepts less: the store handles larger ones
# more slowly than it answers.
APPEND_BYTES_MAX = 65_536
MILLISECONDS_PER_SECOND = 1000.0
# An unanswered append is retried on another connection; the store deduplicates the attempts by
# sequence number. A lost answer blocks all task starts, so the timeout of the first attempt is only
# a multiple of the latest answer's latency, within these bounds in seconds: answers normally take
# 4 ms, and a slow store may queue several appends of 0.2 s each.
APPEND_TIMEOUT_MIN_S = 0.25
APPEND_TIMEOUT_MAX_S = 1.2
LATENCY_MULTIPLE = 4.0
# Backoff between the attempts of an append, in seconds.
BACKOFF_MIN_S = 0.03
BACKOFF_MAX_S = 0.3


@attrs.define
class _QueuedGroup:
    """Records that were queued together, and the event that is set when they are stored."""

    pending: collections.deque[stores.KeyedRecord]
    done: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.frozen
class _Batch:
    """Records of the next append, and the groups of which it stores the last record."""

    new_records: tuple[stores.KeyedRecord, ...]
    completed: tuple[_QueuedGroup, ...]


class EpochWriter:
    """Writes to one partition in one epoch.

    :attr:`confirmed_s` is the time at which the latest confirmed append was first sent, or ``None``
    before the first. No reader has read that append earlier, and the store had seen no higher
    epoch then.

    Records are stored in the order in which they were queued, in appends of limited size: a large
    group is stored in several. A record that the store refuses is left out, so that it does not
    hold up those behind it; :meth:`is_refused` tells.

    :param store: client of the store.
    :param partition: partition to write to.
    :param name: name of the producer, shared by all leads.
    :param epoch: epoch of the writer, which serves as its fencing token.
    :param clock_source: clock for :attr:`confirmed_s` and latencies.
    :param events: journal for unanswered appends.
    :param append_bytes_max: largest append that the store accepts, in bytes.
    :param confirming_key: key of the record from whose storage other candidates count; only appends
        with this record set :attr:`confirmed_s`. ``None`` if each append does.
    """

    def __init__(
        self,
        store: stores.Store,
        partition: stores.Partition,
        name: str,
        epoch: int,
        clock_source: clock.Clock,
        events: journal.Journal,
        append_bytes_max: int = APPEND_BYTES_MAX,
        confirming_key: str | None = None,
    ) -> None:
        self._confirming_key = confirming_key
        self._append_bytes_max = min(append_bytes_max, APPEND_BYTES_MAX)
        # Keys of which the store refused the newest record.
        self._refused_keys: set[str] = set()
        self._store = store
        self._partition = partition
        self._name = name
        self._epoch = epoch
        self._sequence = 0
        self._is_sequence_known = False
        self._clock = clock_source
        self._events = events
        self._initial_timeout_s = APPEND_TIMEOUT_MIN_S
        self._queue: collections.deque[_QueuedGroup] = collections.deque()
        self._queue_changes = signals.ChangeSignal()
        self.confirmed_s: float | None = None

    async def open(
        self, expected_end: int | None = None, *first_records: stores.KeyedRecord
    ) -> None:
        """Set the epoch with a first append, which is not retried.

        :param expected_end: end offset that the partition must have, or ``None``.
        :param first_records: records of the first append.
        :raises FencedError: when the store has seen a higher epoch.
        """
        sent_s = self._clock.now_s()
        producer = stores.Producer(self._name, self._epoch, self._sequence)
        await self._store.append(
            self._partition,
            first_records,
            producer=producer,
            expected_end=expected_end,
            timeout_s=APPEND_TIMEOUT_MAX_S,
        )
        self._sequence += 1
        self._is_sequence_known = bool(first_records)
        self.confirmed_s = sent_s

    async def write(self, *new_records: stores.KeyedRecord) -> None:
        """Append records; return when they and all records queued before them are stored."""
        queued = self.enqueue(*new_records)
        await queued.wait()

    def enqueue(self, *new_records: stores.KeyedRecord) -> anyio.Event:
        """Queue records and return an event that is set when they are stored."""
        queued = _QueuedGroup(collections.deque(new_records))
        self._queue.append(queued)
        self._queue_changes.notify()
        return queued.done

    async def run(self) -> None:
        """Write queued records until cancelled.

        :raises FencedError: when another writer has a higher epoch.
        """
        seen_sequence = 0
        while True:
            seen_sequence = await self._queue_changes.wait_for_change(seen_sequence)
            while self._queue:
                batch = self._next_batch()
                await self._store_batch(batch.new_records)
                for group in batch.completed:
                    group.done.set()

    def is_refused(self, key: str) -> bool:
        """Return whether the store refused the newest record of a key."""
        return key in self._refused_keys

    def _next_batch(self) -> _Batch:
        """Remove the records of the next append from the queue."""
        new_records: list[stores.KeyedRecord] = []
        completed: list[_QueuedGroup] = []
        size_bytes = 0
        while self._queue:
            group = self._queue[0]
            while group.pending:
                size_bytes += group.pending[0].size_bytes
                if new_records and size_bytes > self._append_bytes_max:
                    return _Batch(tuple(new_records), tuple(completed))
                new_records.append(group.pending.popleft())
            completed.append(self._queue.popleft())
        return _Batch(tuple(new_records), tuple(completed))

    async def _store_batch(self, new_records: tuple[stores.KeyedRecord, ...]) -> None:
        """Append records; those that the store refuses are found by halving and left out."""
        parts = [new_records]
        while parts:
            part = parts.pop()
            if not part:
                continue
            try:
                await self._append(part)
            except failures.AppendRefusedError as error:
                if len(part) == 1:
                    self._record_refused(part[0], error)
                    continue
                middle = len(part) // 2
                parts += (part[middle:], part[:middle])
                continue
            self._refused_keys.difference_update(record.key for record in part)

    def _record_refused(
        self, record: stores.KeyedRecord, error: failures.AppendRefusedError
    ) -> None:
        self._refused_keys.add(record.key)
        self._events.record(
            lines.EventKind.RECORD_REFUSED,
            code=error.code,
            detail=f"key={record.key} bytes={record.size_bytes} {error.detail}",
        )

    async def _append(self, new_records: tuple[stores.KeyedRecord, ...]) -> None:
        backoff_s, timeout_s = BACKOFF_MIN_S, self._initial_timeout_s
        first_sent_s = self._clock.now_s()
        while True:
            sent_s = self._clock.now_s()
            producer = stores.Producer(self._name, self._epoch, self._sequence)
            try:
                await self._store.append(
                    self._partition, new_records, producer=producer, timeout_s=timeout_s
                )
            except failures.SequenceError as error:
                if not self._is_sequence_known:
                    # The epoch was set without records, so the first sequence number comes from
                    # the store.
                    self._is_sequence_known = True
                    self._sequence = error.expected
                    continue
                if error.expected != self._sequence + 1:
                    raise failures.FencedError(f"sequence: {error.detail}") from error
                # The append has been stored already: the answer to an earlier attempt was lost.
            except failures.FencedError:
                raise
            except errors.LogUnavailableError as error:
                self._events.record(
                    lines.EventKind.APPEND_REPEATED,
                    code=error.code,
                    duration_ms=(self._clock.now_s() - sent_s) * MILLISECONDS_PER_SECOND,
                    detail=f"partition={self._partition.topic}/{self._partition.number}"
                    f" sequence={self._sequence} records={len(new_records)} {error.detail}",
                )
                await anyio.sleep(backoff_s)
                backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
                timeout_s = min(APPEND_TIMEOUT_MAX_S, timeout_s * 2)
                continue
            latency_s = self._clock.now_s() - sent_s
            self._initial_timeout_s = min(
                APPEND_TIMEOUT_MAX_S, max(APPEND_TIMEOUT_MIN_S, LATENCY_MULTIPLE * latency_s)
            )
            self._sequence += 1
            self._is_sequence_known = True
            if self._is_confirming(new_records):
                self.confirmed_s = first_sent_s
            return

    def _is_confirming(self, new_records: tuple[stores.KeyedRecord, ...]) -> bool:
        if self._confirming_key is None:
            return True
        return any(record.key == self._confirming_key for record in new_records)
