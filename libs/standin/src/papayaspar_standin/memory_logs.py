"""The log service in memory: streams with offsets, retention and a cap on appends."""

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_platform import logs
from papayaspar_standin import faults

APPENDS_PER_S = 300.0
PAGE_RECORDS = 1000
PAGE_BYTES = 1024 * 1024
LOST_ANSWER_S = 30.0


@attrs.define
class _Stream:
    """Records that are kept, and an event for readers that wait at the end."""

    first_offset: int = 0
    records: list[bytes] = attrs.field(factory=list)
    appended_at_s: list[float] = attrs.field(factory=list)
    grown: anyio.Event | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the record that will be appended next."""
        return self.first_offset + len(self.records)


class MemoryLog(logs.Log):
    """A log for tests and embedding; clients in one process may share it.

    :param appends_per_s: append calls a second, with a burst of one second.
    :param retention_s: how long a record is kept, or ``None`` for ever.
    """

    def __init__(
        self, appends_per_s: float = APPENDS_PER_S, retention_s: float | None = None
    ) -> None:
        self.faults = faults.LogFaults()
        self._appends_per_s = appends_per_s
        self._retention_s = retention_s
        self._streams: dict[str, _Stream] = {}
        self._allowance = appends_per_s
        self._refilled_at_s: float | None = None

    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records in one batch; see :class:`papayaspar_platform.logs.Log`."""
        await self._enter()
        self._take_allowance()
        offset = self._store(stream, records)
        if self.faults.answer_lost:
            await anyio.sleep(LOST_ANSWER_S)
            raise errors.LogUnavailableError("the answer was lost", ran=errors.Ran.UNKNOWN)
        return offset

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> logs.Page:
        """Read records from an offset on; see :class:`papayaspar_platform.logs.Log`."""
        await self._enter()
        kept = self._streams.setdefault(stream, _Stream())
        if offset >= kept.next_offset and wait_s > 0:
            await self._wait_for_record(kept, offset, wait_s)
        if self.faults.down:
            raise errors.LogUnavailableError("the log is down")
        self._expire(kept)
        return _page(kept, offset)

    def trim(self, stream: str, before_offset: int) -> None:
        """Drop the records before an offset.

        :param stream: name of the stream.
        :param before_offset: oldest offset to keep.
        """
        kept = self._streams.setdefault(stream, _Stream())
        drop = min(max(0, before_offset - kept.first_offset), len(kept.records))
        del kept.records[:drop]
        del kept.appended_at_s[:drop]
        kept.first_offset += drop

    async def _enter(self) -> None:
        """Apply the faults that come before any effect."""
        await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            raise errors.LogUnavailableError("the log is down")

    def _take_allowance(self) -> None:
        """Count one append against the cap."""
        now_s = anyio.current_time()
        if self._refilled_at_s is not None:
            refill = (now_s - self._refilled_at_s) * self._appends_per_s
            self._allowance = min(self._appends_per_s, self._allowance + refill)
        self._refilled_at_s = now_s
        if self._allowance < 1.0:
            raise errors.LogUnavailableError(
                "too many appends a second", retry_after_s=1.0 / self._appends_per_s
            )
        self._allowance -= 1.0

    def _store(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records and wake the readers that wait for them."""
        kept = self._streams.setdefault(stream, _Stream())
        offset = kept.next_offset
        kept.records.extend(records)
        kept.appended_at_s.extend([anyio.current_time()] * len(records))
        if kept.grown is not None:
            kept.grown.set()
            kept.grown = None
        return offset

    async def _wait_for_record(self, kept: _Stream, offset: int, wait_s: float) -> None:
        """Wait until the stream passes an offset or the time is over."""
        with anyio.move_on_after(wait_s):
            while kept.next_offset <= offset:
                if kept.grown is None:
                    kept.grown = anyio.Event()
                await kept.grown.wait()

    def _expire(self, kept: _Stream) -> None:
        """Drop records older than the retention."""
        if self._retention_s is None:
            return
        oldest_s = anyio.current_time() - self._retention_s
        drop = 0
        for appended_at_s in kept.appended_at_s:
            if appended_at_s >= oldest_s:
                break
            drop += 1
        del kept.records[:drop]
        del kept.appended_at_s[:drop]
        kept.first_offset += drop


def _page(kept: _Stream, offset: int) -> logs.Page:
    """Return one page of a stream, bounded by count and bytes."""
    start = max(offset, kept.first_offset)
    records: list[logs.Record] = []
    size_bytes = 0
    for index in range(start - kept.first_offset, len(kept.records)):
        data = kept.records[index]
        if len(records) == PAGE_RECORDS:
            break
        if records and size_bytes + len(data) > PAGE_BYTES:
            break
        size_bytes += len(data)
        records.append(logs.Record(kept.first_offset + index, data))
    next_offset = min(start + len(records), max(kept.next_offset, kept.first_offset))
    return logs.Page(kept.first_offset, next_offset, tuple(records))
