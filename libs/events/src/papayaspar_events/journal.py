"""The event journal of a process, which logs and counts events and keeps the newest ones."""

import collections
import os
import sys

import loguru

from papayaspar_events import lines, metrics
from papayaspar_model import causality, clock

EVENTS_MAX = 4096
# Limits the log volume under load, for each kind of event; at the target size an entry makes fewer
# than 100 decisions per second.
LINES_MAX_PER_S = 200


def log_to_stderr() -> None:
    """Write log lines to standard error only, one event per line."""
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, format="{message}", level="INFO")


class LineSink:
    """Writes lines to a descriptor without blocking; counts the lines that it drops.

    :param descriptor: an open file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped_lines = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def __call__(self, message: str) -> None:
        """Write a line, or drop and count it while the reader is too slow."""
        data = self._unwritten + message.encode()
        if self._dropped_lines and not self._unwritten:
            data = f"event=lines_left_out count={self._dropped_lines}\n".encode() + data
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            self._dropped_lines += 1
            return
        self._unwritten = data[written:] if written < len(data) else b""
        self._dropped_lines = 0


def log_to_stdout() -> None:
    """Write log lines to standard output only, one event per line, without blocking."""
    loguru.logger.remove()
    loguru.logger.add(LineSink(sys.stdout.fileno()), format="{message}", level="INFO")


class LineRateLimit:
    """Rate limit for the lines of one kind of event; counts the lines that it drops.

    :param clock_source: clock that determines the current second.
    """

    def __init__(self, clock_source: clock.Clock) -> None:
        self._clock = clock_source
        self._current_second = 0
        self._written_lines = 0
        self._dropped_lines = 0

    def admit(self) -> int | None:
        """Return the number of lines dropped before this one, or ``None`` to drop this one too."""
        second = int(self._clock.now_s())
        if second != self._current_second:
            self._current_second, self._written_lines = second, 0
        if self._written_lines >= LINES_MAX_PER_S:
            self._dropped_lines += 1
            return None
        self._written_lines += 1
        dropped_lines, self._dropped_lines = self._dropped_lines, 0
        return dropped_lines


class Journal:
    """Logs and counts the events of a process and keeps the newest ``EVENTS_MAX``.

    :param process: name of the process.
    :param data_centre: its data centre.
    :param hybrid_clock: hybrid logical clock, shared with the streams of the process.
    :param process_metrics: metrics of the process, which count its events.
    """

    def __init__(
        self,
        process: str,
        data_centre: str,
        hybrid_clock: causality.HybridClock,
        process_metrics: metrics.Metrics,
    ) -> None:
        self.process = process
        self.data_centre = data_centre
        self.hybrid_clock = hybrid_clock
        self.metrics = process_metrics
        self._events: collections.deque[lines.Event] = collections.deque(maxlen=EVENTS_MAX)
        self._rate_limits: dict[lines.EventKind, LineRateLimit] = {}
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
        """Record an event with the current time; parameters as in :class:`lines.Event`."""
        event = lines.Event(
            stamp=self.hybrid_clock.tick(),
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
        self._events.append(event)
        self.metrics.count_event(kind.value, code)
        dropped_lines = self._rate_limit(kind).admit()
        if dropped_lines is None:
            return
        if dropped_lines:
            loguru.logger.info("event=lines_left_out kind={} count={}", kind.value, dropped_lines)
        # The line is passed as an argument because loguru would treat its braces as a format.
        loguru.logger.info("{}", lines.to_line(event))

    def _rate_limit(self, kind: lines.EventKind) -> LineRateLimit:
        rate_limit = self._rate_limits.get(kind)
        if rate_limit is None:
            rate_limit = self._rate_limits[kind] = LineRateLimit(self._clock)
        return rate_limit

    def newest(self, limit: int) -> tuple[lines.Event, ...]:
        """Return the newest kept events, oldest first.

        :param limit: largest number of events to return.
        """
        return tuple(self._events)[-limit:]
