"""The journal of one process: each event is logged, counted and kept for a while."""

import collections
import os
import sys

import loguru

from papayaspar_events import lines, metrics
from papayaspar_model import causality, clock

KEPT_EVENTS = 4096
# Bounds the volume under load: lines of one kind a second; a day of the target size has under 100
# decisions a second on an entry.
LINES_PER_SECOND = 200


def log_to_stderr() -> None:
    """Send log lines to standard error, one event a line, and nowhere else."""
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, format="{message}", level="INFO")


class LineSink:
    """Writes lines to a descriptor without ever waiting; what does not fit is counted.

    :param descriptor: an open file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._left_out = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def __call__(self, message: str) -> None:
        """Write a line, or count it as left out while the reader is slow."""
        data = self._rest + message.encode()
        if self._left_out and not self._rest:
            data = f"event=lines_left_out count={self._left_out}\n".encode() + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._left_out += 1
            return
        self._rest = data[written:] if written < len(data) else b""
        self._left_out = 0


def log_to_stdout() -> None:
    """Send log lines to standard output, one event a line, without waiting for its reader."""
    loguru.logger.remove()
    loguru.logger.add(LineSink(sys.stdout.fileno()), format="{message}", level="INFO")


class LineBudget:
    """How many lines of one kind may be written a second; the rest is counted.

    :param source: clock.
    """

    def __init__(self, source: clock.Clock) -> None:
        self._clock = source
        self._second = 0
        self._written = 0
        self._left_out = 0

    def take(self) -> int | None:
        """Return how many lines were left out before this one, or ``None`` to leave it out."""
        second = int(self._clock.now_s())
        if second != self._second:
            self._second, self._written = second, 0
        if self._written >= LINES_PER_SECOND:
            self._left_out += 1
            return None
        self._written += 1
        left_out, self._left_out = self._left_out, 0
        return left_out


class Journal:
    """Records the events of a process.

    :param process: name of the process.
    :param data_centre: its data centre.
    :param stamps: hybrid clock shared with the process's streams.
    :param counters: metrics to count events in.
    """

    def __init__(
        self,
        process: str,
        data_centre: str,
        stamps: causality.HybridClock,
        counters: metrics.Metrics,
    ) -> None:
        self.process = process
        self.data_centre = data_centre
        self.stamps = stamps
        self.metrics = counters
        self._kept: collections.deque[lines.Event] = collections.deque(maxlen=KEPT_EVENTS)
        self._budgets: dict[lines.EventKind, LineBudget] = {}
        self._clock = clock.BootClock()

    def record(
        self,
        kind: lines.EventKind,
        *,
        worker: str = "",
        team: str = "",
        job: str = "",
        request: str = "",
        attempt: int = 0,
        code: str = "",
        duration_ms: float | None = None,
        detail: str = "",
    ) -> None:
        """Record that something happened now; parameters as in :class:`lines.Event`."""
        event = lines.Event(
            stamp=self.stamps.tick(),
            kind=kind,
            process=self.process,
            data_centre=self.data_centre,
            worker=worker,
            team=team,
            job=job,
            request=request,
            attempt=attempt,
            code=code,
            duration_ms=duration_ms,
            detail=detail,
        )
        self._kept.append(event)
        self.metrics.count_event(kind.value, code)
        left_out = self._budget(kind).take()
        if left_out is None:
            return
        if left_out:
            loguru.logger.info("event=lines_left_out kind={} count={}", kind.value, left_out)
        # The line goes in as an argument, so that braces in it are not taken for a format.
        loguru.logger.info("{}", lines.to_line(event))

    def _budget(self, kind: lines.EventKind) -> LineBudget:
        budget = self._budgets.get(kind)
        if budget is None:
            budget = self._budgets[kind] = LineBudget(self._clock)
        return budget

    def newest(self, limit: int) -> tuple[lines.Event, ...]:
        """Return the newest events that are still kept, oldest first."""
        return tuple(self._kept)[-limit:]
