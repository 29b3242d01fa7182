"""Stamps that order events of several processes without trusting their wall clocks.

A stamp is a hybrid logical clock (Kulkarni et al., 2014): wall time in microseconds shifted left,
with a counter in the low bits. Every message carries its sender's stamp, so an effect is always
stamped later than its cause, even when wall clocks disagree.
"""

from papayaspar_model import clock

COUNTER_BITS = 12
MICROSECONDS_PER_SECOND = 1_000_000
AHEAD_MAX_S = 3600.0


class HybridClock:
    """The stamp source of one process.

    :param source: clock whose wall time the stamps follow.
    """

    def __init__(self, source: clock.Clock) -> None:
        self._source = source
        self._last = 0

    def tick(self) -> int:
        """Return a stamp later than every one given or seen before."""
        self._last = max(self._last + 1, self._wall_stamp())
        return self._last

    def observe(self, stamp: int) -> None:
        """Take note of a stamp that came with a message.

        A stamp far ahead of the own wall clock is ignored: one broken peer would else lift the
        clocks of all others for good.

        :param stamp: the sender's stamp.
        """
        if stamp <= self._wall_stamp(AHEAD_MAX_S):
            self._last = max(self._last, stamp)

    def _wall_stamp(self, ahead_s: float = 0.0) -> int:
        wall_us = (self._source.wall_s() + ahead_s) * MICROSECONDS_PER_SECOND
        return int(wall_us) << COUNTER_BITS


def stamp_wall_s(stamp: int) -> float:
    """Return the wall time in a stamp, in seconds since the Unix epoch."""
    return (stamp >> COUNTER_BITS) / MICROSECONDS_PER_SECOND
