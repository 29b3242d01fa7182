"""Reading of one stream of the log from an offset on, across outages and trimming."""

import random

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_platform import logs

READ_WAIT_S = 5.0
INITIAL_BACKOFF_S = 0.1
BACKOFF_MAX_S = 3.0
# Keeps 2**exponent small during long outages; the wait reaches BACKOFF_MAX_S below this exponent.
BACKOFF_EXPONENT_MAX = 10


@attrs.frozen
class Batch:
    """Result of one successful read.

    :param records: new records in order; empty if the wait ended without one.
    :param lost_records: number of records that were trimmed before they were read.
    :param restarted: whether the stream was created again, so that earlier offsets are invalid.
    """

    records: tuple[logs.Record, ...]
    lost_records: int = 0
    restarted: bool = False


class Follower:
    """Reads a stream in order; its owner calls :meth:`next_batch` in a loop.

    :param log: client of the log service.
    :param stream: name of the stream.
    :param offset: offset of the first record to read.
    :param wait_s: longest time in seconds that one read waits for a record.
    :param rng: random number generator for the jitter of the backoff.
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
        """Return the next batch; retry with backoff while the log is unavailable.

        Reads do not wait for new records until the end of the stream was reached once;
        ``is_caught_up`` becomes true with the first empty batch.

        :return: the new records, and the number of records lost before them.
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
        """Advance past a page and return its records as a batch."""
        expected_offset = self.next_offset
        if page.next_offset < expected_offset:
            self.next_offset = page.first_offset
            self.is_caught_up = False
            return Batch((), restarted=True)
        self.next_offset = page.next_offset
        if not page.records:
            self.is_caught_up = True
        return Batch(page.records, lost_records=max(0, page.first_offset - expected_offset))

    def _backoff_s(self) -> float:
        """Return the wait time in seconds after a failure, with full jitter."""
        exponent = min(self._failures, BACKOFF_EXPONENT_MAX)
        self._failures += 1
        max_wait_s = min(BACKOFF_MAX_S, INITIAL_BACKOFF_S * 2**exponent)
        return self._rng.uniform(0.0, max_wait_s)
