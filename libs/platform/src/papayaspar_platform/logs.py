"""The platform's append-only log, which stores records at offsets of streams."""

import abc

import attrs


@attrs.frozen
class Record:
    """One record of a stream.

    :param offset: its position in the stream; offsets start at 0 and have no gaps.
    :param data: the bytes that were appended.
    """

    offset: int
    data: bytes


@attrs.frozen
class Page:
    """Result of a read.

    :param first_offset: offset of the oldest record that the service still keeps.
    :param next_offset: offset for the next read.
    :param records: the records in order.
    """

    first_offset: int
    next_offset: int
    records: tuple[Record, ...]


class Log(abc.ABC):
    """A client of the log service.

    Each method raises :class:`papayaspar_model.errors.LogUnavailableError` if the service is
    unavailable or exceeds the timeout; its ``ran`` is ``unknown`` if an append may have taken
    effect nonetheless.
    """

    @abc.abstractmethod
    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records in one batch.

        :param stream: name of the stream.
        :param records: the records, at least one.
        :return: offset of the first one.
        """

    @abc.abstractmethod
    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Page:
        """Read records from an offset on.

        :param stream: name of the stream; a stream without appends is empty.
        :param offset: offset of the first record to read; if it was trimmed, the read starts at
            the oldest record that the service still keeps.
        :param wait_s: longest time in seconds that the service waits for a first record.
        :return: a page, which is empty if the wait ended without a record.
        """

    async def close(self) -> None:  # noqa: B027 - most clients have nothing to close
        """Close the connections of the client."""
