"""Clocks: leases are measured on the holder's clock, which goes on while a process is paused."""

import abc
import time

import anyio

NANOSECONDS_PER_SECOND = 1_000_000_000


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return seconds on a clock that never goes back; its origin has no meaning.

        :return: seconds, comparable only within one machine since its boot.
        """

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, for people and time lines only.

        :return: seconds; may jump, so no decision about safety rests on it.
        """


class BootClock(Clock):
    """The clock of the machine, which counts suspension and stopped processes."""

    def now_s(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_SECOND

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests, moved by hand.

    :param start_s: first reading in seconds.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the reading set by hand."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the reading set by hand."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, at least zero.
        """
        self._now_s += max(0.0, seconds)


class LoopClock(Clock):
    """The clock of the running event loop, which tests and experiments can make virtual."""

    def now_s(self) -> float:
        """Return seconds on the event loop's clock."""
        return anyio.current_time()

    def wall_s(self) -> float:
        """Return seconds on the event loop's clock."""
        return anyio.current_time()
