"""The platform's append-only log: records in streams, each at an offset."""

import abc

import attrs


@attrs.frozen
class Record:
    """One record of a stream.

    :param offset: its place in the stream, from 0, without gaps.
    :param data: the bytes that were appended.
    """

    offset: int
    data: bytes


@attrs.frozen
class Page:
    """What a read returned.

    :param first_offset: offset of the oldest record the service still keeps.
    :param next_offset: where the next read goes on.
    :param records: the records in order.
    """

    first_offset: int
    next_offset: int
    records: tuple[Record, ...]


class Log(abc.ABC):
    """A client of the log service.

    Each method raises :class:`papayaspar_model.errors.LogUnavailableError` when the service is
    down or slow; its ``ran`` is ``unknown`` when an append may have taken effect all the same.
    """

    @abc.abstractmethod
    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records in one batch.

        :param stream: name of the stream.
        :param records: at least one record.
        :return: offset of the first of them.
        """

    @abc.abstractmethod
    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Page:
        """Read records from an offset on.

        :param stream: name of the stream; one that nobody wrote to reads as empty.
        :param offset: first offset wanted; an older one than the service keeps reads from the
            oldest it keeps.
        :param wait_s: how long the service may wait for a first record.
        :return: a page, empty when the wait ended without a record.
        """

    async def close(self) -> None:  # noqa: B027 - most clients hold nothing to close
        """Close what the client holds open."""
