"""Follows one stream of the log from an offset on, through outages and trimming."""

import random

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_platform import logs

READ_WAIT_S = 5.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 3.0
BACKOFF_EXPONENT_MAX = 10


@attrs.frozen
class Batch:
    """What one successful read brought.

    :param records: new records in order; empty when the wait ended without one.
    :param lost_records: records that were trimmed before they could be read.
    :param restarted: whether the stream began anew, so that offsets seen before mean nothing.
    """

    records: tuple[logs.Record, ...]
    lost_records: int = 0
    restarted: bool = False


class Follower:
    """Reads a stream in order; the task that owns it calls :meth:`next_batch` in a loop.

    :param log: where to read.
    :param stream: name of the stream.
    :param offset: first offset wanted.
    :param wait_s: how long one read waits for a record.
    :param rng: source of the backoff's jitter.
    """

    def __init__(
        self,
        log: logs.Log,
        stream: str,
        offset: int = 0,
        wait_s: float = READ_WAIT_S,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._wait_s = wait_s
        self._rng = rng or random.Random()
        self._failures = 0
        self.next_offset = offset
        self.is_reachable = False
        self.is_caught_up = False

    async def next_batch(self) -> Batch:
        """Return the next batch, however long the log is away.

        Until the end of the stream was seen once, reads do not wait there; ``is_caught_up``
        turns true with the first empty batch.

        :return: new records, and what was lost before them.
        """
        while True:
            wait_s = self._wait_s if self.is_caught_up else 0.0
            try:
                page = await self._log.read(self._stream, self.next_offset, wait_s)
            except errors.LogUnavailableError:
                self.is_reachable = False
                await anyio.sleep(self._backoff_s())
                continue
            self._failures = 0
            self.is_reachable = True
            return self._advance(page)

    def _advance(self, page: logs.Page) -> Batch:
        """Move past a page and tell what it brought."""
        wanted = self.next_offset
        if page.next_offset < wanted:
            self.next_offset = page.first_offset
            self.is_caught_up = False
            return Batch((), restarted=True)
        self.next_offset = page.next_offset
        if not page.records:
            self.is_caught_up = True
        return Batch(page.records, lost_records=max(0, page.first_offset - wanted))

    def _backoff_s(self) -> float:
        """Return the next wait after a failure, with full jitter."""
        exponent = min(self._failures, BACKOFF_EXPONENT_MAX)
        self._failures += 1
        longest_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**exponent)
        return self._rng.uniform(0.0, longest_s)
