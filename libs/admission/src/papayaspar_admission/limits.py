"""Adaptive concurrency limits: how many requests one worker is sent at once."""

import enum

import attrs

from papayaspar_admission import durations

LIMIT_MIN = 1.0
BASELINE_SMOOTHING_RATIO = 0.01
RECENT_SMOOTHING_RATIO = 0.2
SLOW_RATIO = 2.0
SLOW_SHRINK_RATIO = 0.9
BUSY_SHRINK_RATIO = 0.8
GROWTH_PER_ROUND = 1.0


class Signal(enum.Enum):
    """How a request to a worker ended, as far as its limit is concerned."""

    DONE = "done"
    BUSY = "busy"
    IGNORED = "ignored"


@attrs.define
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease between 1 and the target's connections.

    The limit shrinks when the worker refuses as busy, or when recent durations are more than
    twice those of the long run, kind by kind. It grows by one a round, and only while it is
    in use. After it shrank it waits a round, so that one slow spell counts once.

    :param slots: requests the target serves at once; the limit to start from.
    :param connections: connections the target accepts; the limit never passes it.
    """

    slots: int
    connections: int
    in_flight: int = attrs.field(default=0, init=False)
    _limit: float = attrs.field(init=False)
    _baselines: durations.Durations = attrs.field(
        factory=lambda: durations.Durations(BASELINE_SMOOTHING_RATIO, kinds_max=64), init=False
    )
    _recent_ratio: float = attrs.field(default=1.0, init=False)
    _round_left: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Start at the slots."""
        self._limit = min(max(LIMIT_MIN, float(self.slots)), float(self.connections))

    @property
    def limit(self) -> int:
        """Most requests the worker is sent at once."""
        return int(self._limit)

    @property
    def free(self) -> int:
        """Requests that may be sent now."""
        return max(0, self.limit - self.in_flight)

    def try_acquire(self) -> bool:
        """Take one place.

        :return: whether the request may be sent.
        """
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        return True

    def release(self, signal: Signal, kind: str = "", duration_s: float = 0.0) -> None:
        """Give a place back and learn from how the request ended.

        :param signal: how it ended; ignored for failures that say nothing of load.
        :param kind: kind of the work.
        :param duration_s: how long the worker took.
        """
        was_full = self.in_flight >= self.limit
        self.in_flight = max(0, self.in_flight - 1)
        if signal is Signal.IGNORED:
            return
        if signal is Signal.DONE:
            self._observe(kind, duration_s)
        if self._round_left > 0:
            self._round_left -= 1
            return
        if signal is Signal.BUSY:
            self._shrink(BUSY_SHRINK_RATIO)
            return
        if self._recent_ratio > SLOW_RATIO:
            self._shrink(SLOW_SHRINK_RATIO)
            return
        if was_full:
            self._limit = min(float(self.connections), self._limit + GROWTH_PER_ROUND / self._limit)

    def _observe(self, kind: str, duration_s: float) -> None:
        self._baselines.observe(kind, duration_s)
        expected_s = self._baselines.expected_s(kind)
        if expected_s <= 0:
            return
        ratio = duration_s / expected_s
        self._recent_ratio += RECENT_SMOOTHING_RATIO * (ratio - self._recent_ratio)

    def _shrink(self, ratio: float) -> None:
        self._limit = max(LIMIT_MIN, self._limit * ratio)
        self._round_left = max(self.limit, self.in_flight)
