"""The platform's store in memory, with its faults."""

import enum

import anyio
import anyio.lowlevel
import attrs

from papayaspar_model import errors, signals
from papayaspar_store import failures, stores

KEPT_ANSWERS = 5


class StoreFault(enum.Enum):
    """What the store does with calls."""

    NONE = "none"
    # Refuses and does nothing.
    BUSY = "busy"
    # Does nothing and never answers.
    SILENT = "silent"
    # Does what it is asked and never answers.
    LOST = "lost"
    # The same, for appends only.
    LOST_APPENDS = "lost_appends"
    # Never answers reads that wait for a record.
    HANGING_READS = "hanging_reads"
    # Never answers, and does what it was asked when the fault ends, if its condition still holds.
    LATE = "late"


@attrs.define
class _ProducerState:
    epoch: int
    sequence: int | None = None
    answers: dict[int, int] = attrs.field(factory=dict)


@attrs.define
class _Partition:
    records: list[stores.KeyedRecord] = attrs.field(factory=list)
    first: int = 0
    newest: dict[str, stores.KeyedRecord] = attrs.field(factory=dict)
    producers: dict[str, _ProducerState] = attrs.field(factory=dict)


@attrs.frozen
class Append:
    """An append as a client asked for it.

    :param partition: where.
    :param appended: the records.
    :param producer: fences and orders it.
    :param at: offset at which the partition must end, or ``None``.
    """

    partition: stores.Partition
    appended: tuple[stores.KeyedRecord, ...]
    producer: stores.Producer | None
    at: int | None


class KeyedLog:
    """What the store holds, shared by the clients of all machines."""

    def __init__(self) -> None:
        self._partitions: dict[stores.Partition, _Partition] = {}
        self.changes = signals.ChangeSignal()

    def partition(self, partition: stores.Partition) -> _Partition:
        """Return a partition, created on first use."""
        return self._partitions.setdefault(partition, _Partition())

    def partitions(self) -> list[stores.Partition]:
        """Return the partitions that were used."""
        return list(self._partitions)

    def append(self, append: Append) -> int:
        """Append, checked as the store does."""
        part = self.partition(append.partition)
        known = self._check_producer(part, append.producer)
        if isinstance(known, int):
            return known
        end = part.first + len(part.records)
        if append.at is not None and append.at != end:
            raise failures.PositionError(end)
        for record in append.appended:
            stored = attrs.evolve(record, offset=part.first + len(part.records))
            part.records.append(stored)
            part.newest[record.key] = stored
            if not record.value:
                del part.newest[record.key]
        self._note_producer(part, append, end)
        self.changes.notify()
        return end

    def _check_producer(self, part: _Partition, producer: stores.Producer | None) -> int | None:
        if producer is None:
            return None
        state = part.producers.get(producer.name)
        if state is None or producer.epoch > state.epoch:
            return None
        if producer.epoch < state.epoch:
            raise failures.FencedError("a higher epoch was seen")
        if producer.sequence in state.answers:
            return state.answers[producer.sequence]
        if state.sequence is not None and producer.sequence != state.sequence + 1:
            raise failures.SequenceError(state.sequence + 1)
        return None

    def _note_producer(self, part: _Partition, append: Append, offset: int) -> None:
        producer = append.producer
        if producer is None:
            return
        state = part.producers.get(producer.name)
        if state is None or producer.epoch > state.epoch:
            state = part.producers[producer.name] = _ProducerState(producer.epoch)
        if not append.appended:
            return
        state.sequence = producer.sequence
        state.answers[producer.sequence] = offset
        for old in sorted(state.answers)[:-KEPT_ANSWERS]:
            del state.answers[old]

    def drop_history(self, partition: stores.Partition) -> None:
        """Forget the records, but the newest of each key."""
        part = self.partition(partition)
        part.first += len(part.records)
        part.records.clear()
        self.changes.notify()


class MemoryStore(stores.Store):
    """One machine's client of a store in memory.

    :param log: what the store holds.
    """

    def __init__(self, log: KeyedLog) -> None:
        self._log = log
        self._late: list[Append] = []
        self.fault = StoreFault.NONE
        # How many appends to a partition are still done without an answer.
        self.answers_to_lose: dict[stores.Partition, int] = {}
        self.append_count = 0

    def heal(self) -> None:
        """End the fault; what was held back is carried out now."""
        self.fault = StoreFault.NONE
        for append in self._late:
            try:
                self._log.append(append)
            except errors.PapayasparError:
                # Its condition no longer holds: the store does nothing, and nobody waits for it.
                continue
        self._late.clear()

    async def append(
        self,
        partition: stores.Partition,
        appended: tuple[stores.KeyedRecord, ...],
        *,
        producer: stores.Producer | None = None,
        at: int | None = None,
        timeout_s: float = 2.0,
    ) -> int:
        """Append records, all or nothing."""
        self.append_count += 1
        await anyio.lowlevel.checkpoint()
        asked = Append(partition, appended, producer, at)
        losses_left = self.answers_to_lose.get(partition, 0)
        if losses_left:
            self.answers_to_lose[partition] = losses_left - 1
        if losses_left or self.fault in (StoreFault.LOST, StoreFault.LOST_APPENDS):
            self._log.append(asked)
            await anyio.sleep(timeout_s)
            raise failures.StoreUnavailableError("no answer", ran=errors.Ran.UNKNOWN)
        if self.fault is StoreFault.LATE:
            self._late.append(asked)
        await self._suffer(timeout_s)
        return self._log.append(asked)

    async def read(self, partition: stores.Partition, offset: int, wait_s: float) -> stores.Page:
        """Read from an offset."""
        if self.fault is StoreFault.HANGING_READS and wait_s > 0:
            await anyio.sleep(wait_s + 1.0)
            raise failures.StoreUnavailableError("no answer", ran=errors.Ran.UNKNOWN)
        await self._suffer(wait_s + 1.0)
        part = self._log.partition(partition)
        if offset < part.first:
            raise failures.TrimmedError(part.first)
        with anyio.move_on_after(wait_s):
            seen = self._log.changes.sequence
            while offset >= part.first + len(part.records):
                seen = await self._log.changes.wait_for_change(seen)
        await self._suffer(1.0)
        end = part.first + len(part.records)
        return stores.Page(end, part.first, tuple(part.records[max(0, offset - part.first) :]))

    async def read_snapshot(self, partition: stores.Partition) -> stores.Snapshot:
        """Return the newest record of each key."""
        await self._suffer(1.0)
        part = self._log.partition(partition)
        return stores.Snapshot(part.first + len(part.records), tuple(part.newest.values()))

    async def _suffer(self, timeout_s: float) -> None:
        if self.fault in (StoreFault.NONE, StoreFault.HANGING_READS, StoreFault.LOST_APPENDS):
            return
        if self.fault is StoreFault.BUSY:
            raise failures.StoreUnavailableError("refused")
        await anyio.sleep(timeout_s)
        raise failures.StoreUnavailableError("no answer", ran=errors.Ran.UNKNOWN)
