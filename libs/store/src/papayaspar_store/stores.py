"""What papayaspar asks of the platform's store: keyed topics of partitions."""

import abc

import attrs


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic.

    :param key: its key.
    :param value: its bytes; empty drops the key.
    :param offset: its place in the partition, -1 before it is appended.
    """

    key: str
    value: bytes
    offset: int = -1


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

    :param name: the writer's name, shared by all that may replace one another.
    :param epoch: fencing token; the store refuses lower ones than it has seen.
    :param sequence: number of the append within the epoch.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen
class Page:
    """What a read returned.

    :param end: offset after the partition's newest record.
    :param first: oldest offset that is kept.
    :param records: records in order.
    """

    end: int
    first: int
    records: tuple[KeyedRecord, ...]


@attrs.frozen
class Snapshot:
    """The newest record of each key.

    :param end: offset from which to follow; records may be newer.
    :param records: the records.
    """

    end: int
    records: tuple[KeyedRecord, ...]


class Store(abc.ABC):
    """A client of the store.

    Methods raise :class:`papayaspar_store.failures.StoreUnavailableError`, whose ``ran`` is ``no``
    only if the store certainly did nothing.
    """

    @abc.abstractmethod
    async def append(
        self,
        partition: Partition,
        appended: tuple[KeyedRecord, ...],
        *,
        producer: Producer | None = None,
        at: int | None = None,
        timeout_s: float = 2.0,
    ) -> int:
        """Append records, all or nothing.

        :param partition: where.
        :param appended: the records; none sets the producer's epoch only.
        :param producer: fences and orders the append.
        :param at: append only if the partition ends at this offset.
        :param timeout_s: how long to wait for the answer.
        :return: offset of the first record.
        :raises FencedError: when a higher epoch was seen.
        :raises SequenceError: when the sequence number does not follow.
        :raises PositionError: when the partition ends elsewhere.
        """

    @abc.abstractmethod
    async def read(self, partition: Partition, offset: int, wait_s: float) -> Page:
        """Read from an offset.

        :param partition: where.
        :param offset: first offset wanted.
        :param wait_s: how long the store may wait for a record.
        :raises TrimmedError: when the offset is no longer kept.
        """

    @abc.abstractmethod
    async def newest(self, partition: Partition) -> Snapshot:
        """Return the newest record of each key."""

    async def close(self) -> None:  # noqa: B027 - most clients hold nothing to close
        """Close what the client holds open."""
