"""In-memory stand-in for the platform's keyed store, with fault injection."""

import enum

import anyio
import anyio.lowlevel
import attrs

from papayaspar_model import errors, signals
from papayaspar_store import failures, stores

# Newest appends of each producer whose offsets are kept, so that a retry gets the original offset.
REMEMBERED_APPENDS = 5


class StoreFault(enum.Enum):
    """How the store handles the calls of a client."""

    NONE = "none"
    # Rejects every call without effect.
    BUSY = "busy"
    # Never responds; calls have no effect.
    SILENT = "silent"
    # Never responds; appends take effect.
    LOST = "lost"
    # Never responds to appends, which take effect; reads work.
    LOST_APPENDS = "lost_appends"
    # Never responds to reads that wait for a record.
    HANGING_READS = "hanging_reads"
    # Never responds; appends take effect when the fault ends, if their preconditions still hold.
    LATE = "late"


@attrs.define
class _ProducerState:
    epoch: int
    last_sequence: int | None = None
    offsets: dict[int, int] = attrs.field(factory=dict)


@attrs.define
class _Partition:
    records: list[stores.KeyedRecord] = attrs.field(factory=list)
    first_offset: int = 0
    newest: dict[str, stores.KeyedRecord] = attrs.field(factory=dict)
    producers: dict[str, _ProducerState] = attrs.field(factory=dict)


@attrs.frozen
class Append:
    """An append request of a client.

    :param partition: partition to append to.
    :param records: records to append.
    :param producer: name, epoch and sequence number of the writer, or ``None``.
    :param expected_end: offset at which the partition must end, or ``None`` for no precondition.
    """

    partition: stores.Partition
    records: tuple[stores.KeyedRecord, ...]
    producer: stores.Producer | None
    expected_end: int | None


class KeyedLog:
    """The contents of the store, shared by the clients of all processes."""

    def __init__(self) -> None:
        self._partitions: dict[stores.Partition, _Partition] = {}
        # Largest append and largest record that are accepted, in bytes.
        self.append_bytes_max = 2_097_152
        self.record_bytes_max = 262_144
        # Largest number of records that one read returns; the rest needs further reads.
        self.page_records_max: int | None = None
        self.changes = signals.ChangeSignal()

    def partition(self, partition: stores.Partition) -> _Partition:
        """Return a partition; create it on first use."""
        return self._partitions.setdefault(partition, _Partition())

    def partitions(self) -> list[stores.Partition]:
        """Return all partitions that exist."""
        return list(self._partitions)

    def append(self, append: Append) -> int:
        """Append records after the producer and position checks; return the first offset.

        A retry of a remembered append returns its original offset.
        """
        sizes_bytes = [record.size_bytes for record in append.records]
        if sum(sizes_bytes) > self.append_bytes_max:
            raise failures.AppendRefusedError("the append is too large")
        if max(sizes_bytes, default=0) > self.record_bytes_max:
            raise failures.AppendRefusedError("a record is too large")
        part = self.partition(append.partition)
        original_offset = self._check_producer(part, append.producer)
        if isinstance(original_offset, int):
            return original_offset
        end = part.first_offset + len(part.records)
        if append.expected_end is not None and append.expected_end != end:
            raise failures.PositionError(end)
        for record in append.records:
            stored_record = attrs.evolve(record, offset=part.first_offset + len(part.records))
            part.records.append(stored_record)
            part.newest[record.key] = stored_record
            if not record.value:
                del part.newest[record.key]
        self._record_producer(part, append, end)
        self.changes.notify()
        return end

    def _check_producer(self, part: _Partition, producer: stores.Producer | None) -> int | None:
        """Check a producer's epoch and sequence; return the original offset of a retry."""
        if producer is None:
            return None
        state = part.producers.get(producer.name)
        if state is None or producer.epoch > state.epoch:
            return None
        if producer.epoch < state.epoch:
            raise failures.FencedError("the partition has a producer with a higher epoch")
        if producer.sequence in state.offsets:
            return state.offsets[producer.sequence]
        if state.last_sequence is not None and producer.sequence != state.last_sequence + 1:
            raise failures.SequenceError(state.last_sequence + 1)
        return None

    def _record_producer(self, part: _Partition, append: Append, offset: int) -> None:
        producer = append.producer
        if producer is None:
            return
        state = part.producers.get(producer.name)
        if state is None or producer.epoch > state.epoch:
            state = part.producers[producer.name] = _ProducerState(producer.epoch)
        if not append.records:
            return
        state.last_sequence = producer.sequence
        state.offsets[producer.sequence] = offset
        for sequence in sorted(state.offsets)[:-REMEMBERED_APPENDS]:
            del state.offsets[sequence]

    def drop_history(self, partition: stores.Partition) -> None:
        """Trim all records; the snapshot with the newest record of each key is kept."""
        part = self.partition(partition)
        part.first_offset += len(part.records)
        part.records.clear()
        self.changes.notify()


class MemoryStore(stores.Store):
    """The store client of one process.

    :param log: contents of the store, shared with other clients.
    """

    def __init__(self, log: KeyedLog) -> None:
        self._log = log
        self._delayed_appends: list[Append] = []
        self.fault = StoreFault.NONE
        # For each partition, the number of further appends that take effect without a response.
        self.responses_to_lose: dict[stores.Partition, int] = {}
        self.append_count = 0

    def heal(self) -> None:
        """End the fault and apply the delayed appends."""
        self.fault = StoreFault.NONE
        for append in self._delayed_appends:
            try:
                self._log.append(append)
            except errors.PapayasparError:
                # A precondition no longer holds: the append has no effect, and no caller waits.
                continue
        self._delayed_appends.clear()

    async def append(
        self,
        partition: stores.Partition,
        new_records: tuple[stores.KeyedRecord, ...],
        *,
        producer: stores.Producer | None = None,
        expected_end: int | None = None,
        timeout_s: float = 2.0,
    ) -> int:
        """Append records atomically, subject to the active fault."""
        self.append_count += 1
        await anyio.lowlevel.checkpoint()
        request = Append(partition, new_records, producer, expected_end)
        remaining_losses = self.responses_to_lose.get(partition, 0)
        if remaining_losses:
            self.responses_to_lose[partition] = remaining_losses - 1
        if remaining_losses or self.fault in (StoreFault.LOST, StoreFault.LOST_APPENDS):
            self._log.append(request)
            await anyio.sleep(timeout_s)
            raise failures.StoreUnavailableError("no response", ran=errors.Ran.UNKNOWN)
        if self.fault is StoreFault.LATE:
            self._delayed_appends.append(request)
        await self._apply_fault(timeout_s)
        return self._log.append(request)

    async def read(self, partition: stores.Partition, offset: int, wait_s: float) -> stores.Page:
        """Read records from an offset, and wait for one at the end of the partition."""
        if self.fault is StoreFault.HANGING_READS and wait_s > 0:
            await anyio.sleep(wait_s + 1.0)
            raise failures.StoreUnavailableError("no response", ran=errors.Ran.UNKNOWN)
        await self._apply_fault(wait_s + 1.0)
        part = self._log.partition(partition)
        if offset < part.first_offset:
            raise failures.TrimmedError(part.first_offset)
        with anyio.move_on_after(wait_s):
            seen_sequence = self._log.changes.sequence
            while offset >= part.first_offset + len(part.records):
                seen_sequence = await self._log.changes.wait_for_change(seen_sequence)
        await self._apply_fault(1.0)
        end = part.first_offset + len(part.records)
        unread = part.records[max(0, offset - part.first_offset) :]
        return stores.Page(end, part.first_offset, tuple(unread[: self._log.page_records_max]))

    async def read_snapshot(self, partition: stores.Partition) -> stores.Snapshot:
        """Return the newest record of each key."""
        await self._apply_fault(1.0)
        part = self._log.partition(partition)
        return stores.Snapshot(part.first_offset + len(part.records), tuple(part.newest.values()))

    async def _apply_fault(self, timeout_s: float) -> None:
        if self.fault in (StoreFault.NONE, StoreFault.HANGING_READS, StoreFault.LOST_APPENDS):
            return
        if self.fault is StoreFault.BUSY:
            raise failures.StoreUnavailableError("the store rejects all calls")
        await anyio.sleep(timeout_s)
        raise failures.StoreUnavailableError("no response", ran=errors.Ran.UNKNOWN)
