"""Interface of the platform's store: keyed topics that are divided into partitions."""

import abc

import attrs

# Size of a record's two length fields on the wire, in bytes.
RECORD_OVERHEAD_BYTES = 5


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic.

    :param key: key of the record.
    :param value: value of the record; an empty value deletes the key.
    :param offset: offset in the partition; -1 before the record is appended.
    """

    key: str
    value: bytes
    offset: int = -1

    @property
    def size_bytes(self) -> int:
        """Size of the record in an append, in bytes."""
        return RECORD_OVERHEAD_BYTES + len(self.key.encode()) + len(self.value)


@attrs.frozen
class Partition:
    """A partition of a topic.

    :param topic: name of the topic.
    :param number: number of the partition, from 0.
    """

    topic: str
    number: int


@attrs.frozen
class Producer:
    """Identity of a writer whose appends are ordered and fenced.

    :param name: name of the writer, shared by all processes that may succeed one another.
    :param epoch: fencing token; the store refuses epochs lower than the highest one seen.
    :param sequence: sequence number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen
class Page:
    """Result of a read.

    :param end: offset after the partition's newest record.
    :param first: oldest offset that has not been trimmed.
    :param records: records in order of their offsets.
    """

    end: int
    first: int
    records: tuple[KeyedRecord, ...]


@attrs.frozen
class Snapshot:
    """The newest record of each key.

    :param end: offset from which to follow the partition; some of the records may have a higher
        offset.
    :param records: newest record of each key.
    """

    end: int
    records: tuple[KeyedRecord, ...]


class Store(abc.ABC):
    """Client of the store.

    Methods raise :class:`papayaspar_store.failures.StoreUnavailableError`, whose ``ran`` is ``no``
    only if the store certainly did not execute the operation.
    """

    @abc.abstractmethod
    async def append(
        self,
        partition: Partition,
        new_records: tuple[KeyedRecord, ...],
        *,
        producer: Producer | None = None,
        expected_end: int | None = None,
        timeout_s: float = 2.0,
    ) -> int:
        """Append records atomically.

        :param partition: partition to append to.
        :param new_records: records to append; without records, only the producer's epoch is set.
        :param producer: writer identity that orders and fences the append, or ``None``.
        :param expected_end: end offset that the partition must have, or ``None`` for an
            unconditional append.
        :param timeout_s: timeout for the answer, in seconds.
        :return: offset of the first record.
        :raises FencedError: when the store has seen a higher epoch.
        :raises SequenceError: when the sequence number is not the expected one.
        :raises PositionError: when the partition ends at another offset.
        :raises AppendRefusedError: when the store will never accept the append.
        """

    @abc.abstractmethod
    async def read(self, partition: Partition, offset: int, wait_s: float) -> Page:
        """Read records from an offset.

        :param partition: partition to read.
        :param offset: offset of the first record to return.
        :param wait_s: maximum time that the store waits for new records, in seconds.
        :raises TrimmedError: when the offset has been trimmed.
        """

    @abc.abstractmethod
    async def read_snapshot(self, partition: Partition) -> Snapshot:
        """Return the newest record of each key."""

    async def close(self) -> None:  # noqa: B027 - most clients have nothing to close
        """Close the client's connections."""
