"""Failures of the store."""

from papayaspar_model import errors


class StoreUnavailableError(errors.LogUnavailableError):
    """The store did not answer, or refused for now; ``ran`` says whether it may have acted."""

    code = "store_unavailable"
    title = "The store is away"


class FencedError(errors.LeaseLostError):
    """A writer with a higher epoch has taken over."""

    code = "store_fenced"
    title = "Another writer has taken over"


class SequenceError(errors.ConflictError):
    """An append did not follow the writer's last one.

    :param expected: sequence number that the store expects.
    """

    code = "store_sequence"
    title = "The sequence number does not follow"

    def __init__(self, expected: int) -> None:
        super().__init__(f"expected sequence number {expected}")
        self.expected = expected


class PositionError(errors.ConflictError):
    """A partition does not end where the append asked for.

    :param end: where it ends.
    """

    code = "store_position"
    title = "The partition has grown"

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at {end}")
        self.end = end


class TrimmedError(errors.NotFoundError):
    """Records are no longer kept.

    :param first: oldest offset that is kept.
    """

    code = "store_trimmed"
    title = "The records are no longer kept"

    def __init__(self, first: int) -> None:
        super().__init__(f"records before {first} are gone")
        self.first = first


class RecordError(errors.ProtocolError):
    """A record can't be read."""

    code = "store_record"
    title = "The record can't be read"
