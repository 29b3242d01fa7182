"""The journal of one process: each event is logged, counted and kept for a while."""

import collections
import sys

import loguru

from papayaspar_events import lines, metrics
from papayaspar_model import causality

KEPT_EVENTS = 4096


def log_to_stderr() -> None:
    """Send log lines to standard error, one event a line, and nowhere else."""
    loguru.logger.remove()
    loguru.logger.add(sys.stderr, format="{message}", level="INFO")


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
        # The line goes in as an argument, so that braces in it are not taken for a format.
        loguru.logger.info("{}", lines.to_line(event))

    def newest(self, limit: int) -> tuple[lines.Event, ...]:
        """Return the newest events that are still kept, oldest first."""
        return tuple(self._kept)[-limit:]
