"""Hybrid logical clock, which orders the events of several processes causally.

A timestamp ("stamp") of a hybrid logical clock (Kulkarni et al., 2014) is wall time in microseconds
shifted left, with a counter in the low bits. Every message carries its sender's stamp, so an effect
always has a later stamp than its cause, even when wall clocks disagree.
"""

from papayaspar_model import clock

COUNTER_BITS = 12
MICROSECONDS_PER_SECOND = 1_000_000
# Maximum time by which an accepted stamp may be ahead of the local wall clock, in seconds.
AHEAD_MAX_S = 3600.0


class HybridClock:
    """Hybrid logical clock of one process.

    :param clock_source: clock that provides the wall time of the stamps.
    """

    def __init__(self, clock_source: clock.Clock) -> None:
        self._clock = clock_source
        self._last_stamp = 0

    def tick(self) -> int:
        """Return a stamp that is later than all stamps returned or observed before."""
        self._last_stamp = max(self._last_stamp + 1, self._wall_stamp())
        return self._last_stamp

    def observe(self, stamp: int) -> None:
        """Advance the clock to a stamp received with a message.

        A stamp far ahead of the local wall clock is ignored; otherwise a single faulty peer would
        advance the clocks of all others permanently.

        :param stamp: stamp of the sender.
        """
        if stamp <= self._wall_stamp(AHEAD_MAX_S):
            self._last_stamp = max(self._last_stamp, stamp)

    def _wall_stamp(self, ahead_s: float = 0.0) -> int:
        """Return the stamp of the local wall time, moved ahead by ``ahead_s`` seconds."""
        wall_us = (self._clock.wall_s() + ahead_s) * MICROSECONDS_PER_SECOND
        return int(wall_us) << COUNTER_BITS


def stamp_wall_s(stamp: int) -> float:
    """Return the wall time of a stamp, in seconds since the Unix epoch."""
    return (stamp >> COUNTER_BITS) / MICROSECONDS_PER_SECOND
