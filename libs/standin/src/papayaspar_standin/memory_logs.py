"""In-memory log service: streams with offsets, retention and an append rate limit."""

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_platform import logs
from papayaspar_standin import faults

APPENDS_PER_S = 300.0
PAGE_RECORDS_MAX = 1000
PAGE_BYTES_MAX = 1024 * 1024
# Longer than any client waits for the response to an append.
LOST_RESPONSE_DELAY_S = 30.0


@attrs.define
class _StreamState:
    """Retained records, and an event for readers that wait for the next append."""

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    appended_at_s: list[float] = attrs.field(factory=list)
    record_appended: anyio.Event | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)


class MemoryLog(logs.Log):
    """A log for tests and embedding, which clients in one process may share.

    :param appends_per_s: maximum number of append calls per second, and in one burst.
    :param retention_s: time that a record is stored, in seconds, or ``None`` for no limit.
    """

    def __init__(
        self, appends_per_s: float = APPENDS_PER_S, retention_s: float | None = None
    ) -> None:
        self.faults = faults.LogFaults()
        self._appends_per_s = appends_per_s
        self._retention_s = retention_s
        self._streams: dict[str, _StreamState] = {}
        self._append_tokens = appends_per_s
        self._refilled_at_s: float | None = None

    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records in one batch; see :class:`papayaspar_platform.logs.Log`."""
        await self._apply_faults()
        self._take_append_token()
        offset = self._store(stream, records)
        if self.faults.answer_lost:
            await anyio.sleep(LOST_RESPONSE_DELAY_S)
            raise errors.LogUnavailableError("the response was lost", ran=errors.Ran.UNKNOWN)
        return offset

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> logs.Page:
        """Read records from an offset on; see :class:`papayaspar_platform.logs.Log`."""
        await self._apply_faults()
        state = self._streams.setdefault(stream, _StreamState())
        if offset >= state.next_offset and wait_s > 0:
            await self._wait_for_record(state, offset, wait_s)
        if self.faults.down:
            raise errors.LogUnavailableError("the log is down")
        self._expire(state)
        return _page(state, offset)

    def trim(self, stream: str, before_offset: int) -> None:
        """Drop the records before an offset.

        :param stream: name of the stream.
        :param before_offset: offset of the oldest record to keep.
        """
        state = self._streams.setdefault(stream, _StreamState())
        dropped = min(max(0, before_offset - state.first_offset), len(state.records))
        del state.records[:dropped]
        del state.appended_at_s[:dropped]
        state.first_offset += dropped

    async def _apply_faults(self) -> None:
        """Apply the faults that delay or reject a call before it takes effect."""
        await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            raise errors.LogUnavailableError("the log is down")

    def _take_append_token(self) -> None:
        """Take one token from the rate limit's token bucket, or raise an error if it is empty."""
        now_s = anyio.current_time()
        if self._refilled_at_s is not None:
            refill = (now_s - self._refilled_at_s) * self._appends_per_s
            self._append_tokens = min(self._appends_per_s, self._append_tokens + refill)
        self._refilled_at_s = now_s
        if self._append_tokens < 1.0:
            raise errors.LogUnavailableError(
                "too many appends per second", retry_after_s=1.0 / self._appends_per_s
            )
        self._append_tokens -= 1.0

    def _store(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records and wake the readers that wait for them."""
        state = self._streams.setdefault(stream, _StreamState())
        offset = state.next_offset
        state.records.extend(records)
        state.appended_at_s.extend([anyio.current_time()] * len(records))
        if state.record_appended is not None:
            state.record_appended.set()
            state.record_appended = None
        return offset

    async def _wait_for_record(self, state: _StreamState, offset: int, wait_s: float) -> None:
        """Wait until the stream has a record at an offset, or the time has passed."""
        with anyio.move_on_after(wait_s):
            while state.next_offset <= offset:
                if state.record_appended is None:
                    state.record_appended = anyio.Event()
                await state.record_appended.wait()

    def _expire(self, state: _StreamState) -> None:
        """Drop records older than the retention time."""
        if self._retention_s is None:
            return
        oldest_s = anyio.current_time() - self._retention_s
        dropped = 0
        for appended_at_s in state.appended_at_s:
            if appended_at_s >= oldest_s:
                break
            dropped += 1
        del state.records[:dropped]
        del state.appended_at_s[:dropped]
        state.first_offset += dropped


def _page(state: _StreamState, offset: int) -> logs.Page:
    """Return one page of a stream, limited in records and bytes."""
    start = max(offset, state.first_offset)
    records: list[logs.Record] = []
    size_bytes = 0
    for index in range(start - state.first_offset, len(state.records)):
        data = state.records[index]
        if len(records) == PAGE_RECORDS_MAX:
            break
        if records and size_bytes + len(data) > PAGE_BYTES_MAX:
            break
        size_bytes += len(data)
        records.append(logs.Record(state.first_offset + index, data))
    next_offset = min(start + len(records), max(state.next_offset, state.first_offset))
    return logs.Page(state.first_offset, next_offset, tuple(records))
