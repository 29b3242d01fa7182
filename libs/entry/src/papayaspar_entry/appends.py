"""Appends gathered into batches, because the log takes only some hundred appends a second."""

import anyio
import anyio.abc
import attrs

from papayaspar_model import errors
from papayaspar_platform import logs

BATCH_WINDOW_S = 0.02
BATCH_MAX_RECORDS = 500
WAITING_MAX_RECORDS = 20_000


@attrs.define
class _Waiting:
    data: bytes
    done: anyio.Event = attrs.field(factory=anyio.Event)
    offset: int = -1
    failure: errors.PapayasparError | None = None


class Appender:
    """Appends to one stream in batches.

    :param log: the platform's log.
    :param stream: name of the stream.
    """

    def __init__(self, log: logs.Log, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._waiting: list[_Waiting] = []
        self._wanted = anyio.Event()

    async def append(self, data: bytes) -> int:
        """Append one record with the next batch.

        :param data: the record.
        :return: its offset.
        :raises LogUnavailableError: whose ``ran`` is ``unknown`` when the record may have been
            appended.
        :raises OverloadedError: when too many records wait.
        """
        if len(self._waiting) >= WAITING_MAX_RECORDS:
            raise errors.OverloadedError("too many records wait for the log", retry_after_s=1.0)
        waiting = _Waiting(data)
        self._waiting.append(waiting)
        self._wanted.set()
        await waiting.done.wait()
        if waiting.failure is not None:
            raise waiting.failure
        return waiting.offset

    async def run(self) -> None:
        """Append batches until cancelled; runs in a task of its own."""
        while True:
            await self._wanted.wait()
            await anyio.sleep(BATCH_WINDOW_S)
            batch = self._waiting[:BATCH_MAX_RECORDS]
            del self._waiting[: len(batch)]
            if not self._waiting:
                self._wanted = anyio.Event()
            await self._append(batch)

    async def _append(self, batch: list[_Waiting]) -> None:
        records = tuple(waiting.data for waiting in batch)
        try:
            first_offset = await self._log.append(self._stream, records)
        except errors.PapayasparError as error:
            for waiting in batch:
                waiting.failure = error
                waiting.done.set()
            return
        for index, waiting in enumerate(batch):
            waiting.offset = first_offset + index
            waiting.done.set()
