"""Clocks.

A lease is measured on its holder's monotonic clock, which also advances while the process is
paused.
"""

import abc
import time

import anyio

NANOSECONDS_PER_SECOND = 1_000_000_000


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return the reading of a monotonic clock with an arbitrary origin.

        :return: seconds, comparable only on one machine between two boots.
        """

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return the wall time, for display and event timelines only.

        :return: seconds since the Unix epoch; may jump, so safety must not depend on it.
        """


class BootClock(Clock):
    """The machine's boot-time clock, which also advances during suspension."""

    def now_s(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_SECOND

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests, which only advances when :meth:`advance` is called.

    :param start_s: initial reading, in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the current reading, in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current reading, in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: time to add, in seconds; negative values are ignored.
        """
        self._now_s += max(0.0, seconds)


class LoopClock(Clock):
    """The clock of the running event loop, which tests and experiments can virtualize."""

    def now_s(self) -> float:
        """Return seconds on the event loop's clock."""
        return anyio.current_time()

    def wall_s(self) -> float:
        """Return seconds on the event loop's clock."""
        return anyio.current_time()
