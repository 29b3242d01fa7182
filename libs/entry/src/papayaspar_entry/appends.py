"""Batched appends to the log, which accepts only a few hundred appends per second."""

import anyio
import anyio.abc
import attrs

from papayaspar_model import errors
from papayaspar_platform import logs

BATCH_WINDOW_S = 0.02
BATCH_MAX_RECORDS = 500
PENDING_MAX_RECORDS = 20_000


@attrs.define
class _PendingAppend:
    data: bytes
    done: anyio.Event = attrs.field(factory=anyio.Event)
    offset: int = -1
    failure: errors.PapayasparError | None = None


class Appender:
    """Appends to one stream in batches.

    :param log: client of the platform's log.
    :param stream: name of the stream.
    """

    def __init__(self, log: logs.Log, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._pending: list[_PendingAppend] = []
        self._pending_added = anyio.Event()

    async def append(self, data: bytes) -> int:
        """Append one record as part of the next batch.

        :param data: encoded record.
        :return: offset of the record.
        :raises LogUnavailableError: if the append fails; ``ran`` is ``unknown`` if the record may
            have been appended.
        :raises OverloadedError: if too many records are pending.
        """
        if len(self._pending) >= PENDING_MAX_RECORDS:
            raise errors.OverloadedError(
                "too many records are waiting to be appended to the log", retry_after_s=1.0
            )
        pending = _PendingAppend(data)
        self._pending.append(pending)
        self._pending_added.set()
        await pending.done.wait()
        if pending.failure is not None:
            raise pending.failure
        return pending.offset

    async def run(self) -> None:
        """Append batches until cancelled; run this in a separate task."""
        while True:
            await self._pending_added.wait()
            await anyio.sleep(BATCH_WINDOW_S)
            batch = self._pending[:BATCH_MAX_RECORDS]
            del self._pending[: len(batch)]
            if not self._pending:
                self._pending_added = anyio.Event()
            await self._append(batch)

    async def _append(self, batch: list[_PendingAppend]) -> None:
        records = tuple(pending.data for pending in batch)
        try:
            first_offset = await self._log.append(self._stream, records)
        except errors.PapayasparError as error:
            for pending in batch:
                pending.failure = error
                pending.done.set()
            return
        for index, pending in enumerate(batch):
            pending.offset = first_offset + index
            pending.done.set()
