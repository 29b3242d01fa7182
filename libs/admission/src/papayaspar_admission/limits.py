"""Adaptive concurrency limit for the requests sent to one worker."""

import enum

import attrs

from papayaspar_estimates import averages

LIMIT_MIN = 1.0
BASELINE_SMOOTHING_RATIO = 0.01
RECENT_SMOOTHING_RATIO = 0.2
SLOW_RATIO = 2.0
SLOW_DECREASE_RATIO = 0.9
BUSY_DECREASE_RATIO = 0.8
INCREASE_PER_ROUND = 1.0


class Signal(enum.Enum):
    """Result of a request, as input of the concurrency limit."""

    DONE = "done"
    BUSY = "busy"
    IGNORED = "ignored"


@attrs.define
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease between 1 and the target's connections.

    The limit decreases when the worker refuses a request as busy, or when recent durations are
    more than twice the long-term average of their kind. It increases by one per round, and only
    while it is fully used. After a decrease it is unchanged for one round, so that a single
    slowdown counts once.

    :param slots: number of requests that the target serves concurrently; the initial limit.
    :param connections: number of connections that the target accepts; the maximum limit.
    """

    slots: int
    connections: int
    in_flight: int = attrs.field(default=0, init=False)
    _limit: float = attrs.field(init=False)
    _baselines: averages.Durations = attrs.field(
        factory=lambda: averages.Durations(BASELINE_SMOOTHING_RATIO, kinds_max=64), init=False
    )
    _recent_ratio: float = attrs.field(default=1.0, init=False)
    _cooldown_requests: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Set the initial limit."""
        self._limit = min(max(LIMIT_MIN, float(self.slots)), float(self.connections))

    @property
    def limit(self) -> int:
        """Maximum number of concurrent requests to the worker."""
        return int(self._limit)

    @property
    def free(self) -> int:
        """Number of requests that may be sent now."""
        return max(0, self.limit - self.in_flight)

    def try_acquire(self) -> bool:
        """Acquire a permit for one request.

        :return: whether the request may be sent.
        """
        if self.in_flight >= self.limit:
            return False
        self.in_flight += 1
        return True

    def release(self, signal: Signal, kind: str = "", duration_s: float = 0.0) -> None:
        """Release a permit and adjust the limit to the result of the request.

        :param signal: result of the request; ``IGNORED`` for failures unrelated to load.
        :param kind: kind of the work.
        :param duration_s: time the worker took, in seconds.
        """
        was_full = self.in_flight >= self.limit
        self.in_flight = max(0, self.in_flight - 1)
        if signal is Signal.IGNORED:
            return
        if signal is Signal.DONE:
            self._observe(kind, duration_s)
        if self._cooldown_requests > 0:
            self._cooldown_requests -= 1
            return
        if signal is Signal.BUSY:
            self._decrease(BUSY_DECREASE_RATIO)
            return
        if self._recent_ratio > SLOW_RATIO:
            self._decrease(SLOW_DECREASE_RATIO)
            return
        if was_full:
            self._limit = min(
                float(self.connections), self._limit + INCREASE_PER_ROUND / self._limit
            )

    def _observe(self, kind: str, duration_s: float) -> None:
        self._baselines.observe(kind, duration_s)
        expected_s = self._baselines.expected_s(kind)
        if expected_s <= 0:
            return
        ratio = duration_s / expected_s
        self._recent_ratio += RECENT_SMOOTHING_RATIO * (ratio - self._recent_ratio)

    def _decrease(self, ratio: float) -> None:
        self._limit = max(LIMIT_MIN, self._limit * ratio)
        self._cooldown_requests = max(self.limit, self.in_flight)
