"""Errors of the store."""

from papayaspar_model import errors


class StoreUnavailableError(errors.LogUnavailableError):
    """The store did not answer or refused temporarily.

    ``ran`` states whether the operation may have been executed.
    """

    code = "store_unavailable"
    title = "The store is away"


class FencedError(errors.LeaseLostError):
    """The writer is fenced: the store has seen a higher epoch."""

    code = "store_fenced"
    title = "Another writer has taken over"


class AppendRefusedError(errors.PapayasparError):
    """The store does not accept the content of an append, such as one that is too large.

    Nothing was appended, and the same append will be refused again.
    """

    code = "append_refused"
    status = 503
    title = "The store does not accept the records"


class SequenceError(errors.ConflictError):
    """The sequence number of an append does not directly follow the writer's previous one.

    :param expected: sequence number that the store expects next.
    """

    code = "store_sequence"
    title = "The sequence number does not follow"

    def __init__(self, expected: int) -> None:
        super().__init__(f"expected sequence number {expected}")
        self.expected = expected


class PositionError(errors.ConflictError):
    """The end of the partition differs from the offset that a conditional append expects.

    :param end: actual end offset of the partition.
    """

    code = "store_position"
    title = "The partition has grown"

    def __init__(self, end: int) -> None:
        super().__init__(f"the partition ends at offset {end}")
        self.end = end


class TrimmedError(errors.NotFoundError):
    """The requested records have been trimmed.

    :param first: oldest offset that has not been trimmed.
    """

    code = "store_trimmed"
    title = "The records are no longer kept"

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have been trimmed")
        self.first = first


class RecordError(errors.ProtocolError):
    """A record can't be encoded or decoded."""

    code = "store_record"
    title = "The record can't be read"
