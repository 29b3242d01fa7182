"""The lead's writer: appends in order, fenced by epoch, repeated until they are answered."""

import collections

import anyio
import attrs

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, signals
from papayaspar_store import failures, stores

# Most records in one append: with records of a few hundred bytes well under the store's limit.
BATCH_RECORDS = 200
MILLISECONDS_PER_SECOND = 1000.0
# An append without an answer is repeated on another connection; the store takes both for one. Since
# a lost answer holds up all starts, the first try waits for only several times what the newest
# answer took, within these bounds in seconds: answers take 4 ms (site files), and at a slow store
# several appends of 0.2 s each stand in line.
APPEND_TIMEOUT_MIN_S = 0.25
APPEND_TIMEOUT_MAX_S = 1.2
ANSWER_TIMES = 4.0
RETRY_FIRST_S = 0.03
RETRY_MAX_S = 0.3


@attrs.define
class _Waiting:
    appended: tuple[stores.KeyedRecord, ...]
    done: anyio.Event = attrs.field(factory=anyio.Event)


class EpochWriter:
    """Writes to one partition as the holder of an epoch.

    :param store: the store.
    :param partition: where to write.
    :param name: producer's name, shared by all holders of the duty.
    :param epoch: this holder's fencing token.
    :param source: clock of :attr:`confirmed_s`.
    :param events: where appends without an answer are recorded.
    """

    def __init__(
        self,
        store: stores.Store,
        partition: stores.Partition,
        name: str,
        epoch: int,
        source: clock.Clock,
        events: journal.Journal,
    ) -> None:
        self._store = store
        self._partition = partition
        self._name = name
        self._epoch = epoch
        self._sequence = 0
        self._is_sequence_known = False
        self._clock = source
        self._events = events
        self._first_timeout_s = APPEND_TIMEOUT_MIN_S
        self._queue: collections.deque[_Waiting] = collections.deque()
        self._queued = signals.ChangeSignal()
        self.confirmed_s: float | None = None

    async def open(self, at: int | None = None, *first: stores.KeyedRecord) -> None:
        """Set the epoch by a first append, not repeated.

        :param at: append only if the partition ends there.
        :param first: records of that append.
        :raises FencedError: when a higher epoch was seen.
        """
        asked_s = self._clock.now_s()
        producer = stores.Producer(self._name, self._epoch, self._sequence)
        await self._store.append(
            self._partition, first, producer=producer, at=at, timeout_s=APPEND_TIMEOUT_MAX_S
        )
        self._sequence += 1
        self._is_sequence_known = bool(first)
        self.confirmed_s = asked_s

    async def write(self, *appended: stores.KeyedRecord) -> None:
        """Append records and return once they, and all that was queued before, are stored."""
        waiting = self.post(*appended)
        await waiting.wait()

    def post(self, *appended: stores.KeyedRecord) -> anyio.Event:
        """Queue records; the event is set once they are stored."""
        waiting = _Waiting(appended)
        self._queue.append(waiting)
        self._queued.changed()
        return waiting.done

    async def run(self) -> None:
        """Write what is queued until cancelled.

        :raises FencedError: when another holder has taken over.
        """
        seen = 0
        while True:
            seen = await self._queued.wait_beyond(seen)
            while self._queue:
                batch = self._next_batch()
                appended = tuple(record for waiting in batch for record in waiting.appended)
                if appended:
                    await self._append(appended)
                for waiting in batch:
                    waiting.done.set()

    def _next_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        count = 0
        while self._queue and (not batch or count + len(self._queue[0].appended) <= BATCH_RECORDS):
            waiting = self._queue.popleft()
            count += len(waiting.appended)
            batch.append(waiting)
        return batch

    async def _append(self, appended: tuple[stores.KeyedRecord, ...]) -> None:
        pause_s, timeout_s = RETRY_FIRST_S, self._first_timeout_s
        while True:
            asked_s = self._clock.now_s()
            producer = stores.Producer(self._name, self._epoch, self._sequence)
            try:
                await self._store.append(
                    self._partition, appended, producer=producer, timeout_s=timeout_s
                )
            except failures.SequenceError as error:
                if not self._is_sequence_known:
                    # An append without records sets the epoch; the store says what follows it.
                    self._is_sequence_known = True
                    self._sequence = error.expected
                    continue
                if error.expected != self._sequence + 1:
                    raise failures.FencedError(f"sequence: {error.detail}") from error
                # The lost answer of this very append: it is stored.
            except failures.FencedError:
                raise
            except errors.LogUnavailableError as error:
                self._events.record(
                    lines.EventKind.APPEND_REPEATED,
                    code=error.code,
                    duration_ms=(self._clock.now_s() - asked_s) * MILLISECONDS_PER_SECOND,
                    detail=f"partition={self._partition.topic}/{self._partition.number}"
                    f" sequence={self._sequence} records={len(appended)} {error.detail}",
                )
                await anyio.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
                timeout_s = min(APPEND_TIMEOUT_MAX_S, timeout_s * 2)
                continue
            took_s = self._clock.now_s() - asked_s
            self._first_timeout_s = min(
                APPEND_TIMEOUT_MAX_S, max(APPEND_TIMEOUT_MIN_S, ANSWER_TIMES * took_s)
            )
            self._sequence += 1
            self._is_sequence_known = True
            self.confirmed_s = asked_s
            return
