"""Stamps that order events of several processes without trusting their wall clocks.

A stamp is a hybrid logical clock (Kulkarni et al., 2014): wall time in microseconds shifted left,
with a counter in the low bits. Every message carries its sender's stamp, so an effect is always
stamped later than its cause, even when wall clocks disagree.
"""

from papayaspar_model import clock

COUNTER_BITS = 12
MICROSECONDS_PER_SECOND = 1_000_000


class HybridClock:
    """The stamp source of one process.

    :param source: clock whose wall time the stamps follow.
    """

    def __init__(self, source: clock.Clock) -> None:
        self._source = source
        self._last = 0

    def tick(self) -> int:
        """Return a stamp later than every one given or seen before."""
        wall = int(self._source.wall_s() * MICROSECONDS_PER_SECOND) << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def observe(self, stamp: int) -> None:
        """Take note of a stamp that came with a message.

        :param stamp: the sender's stamp.
        """
        self._last = max(self._last, stamp)


def stamp_wall_s(stamp: int) -> float:
    """Return the wall time in a stamp, in seconds since the Unix epoch."""
    return (stamp >> COUNTER_BITS) / MICROSECONDS_PER_SECOND
