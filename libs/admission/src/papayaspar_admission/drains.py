"""Drain rate of a queue, for early rejection and ``Retry-After``."""

import attrs

SMOOTHING_RATIO = 0.1
INTERVAL_MAX_AGE_S = 10.0


@attrs.define
class DrainRate:
    """Moving average of the time between starts while a queue is backlogged."""

    _interval_s: float | None = attrs.field(default=None, init=False)
    _last_start_s: float | None = attrs.field(default=None, init=False)
    _was_backlogged: bool = attrs.field(default=False, init=False)

    def record_start(self, now_s: float, backlogged: bool) -> None:
        """Record one start.

        :param now_s: current time in seconds.
        :param backlogged: whether requests are still waiting afterwards.
        """
        if self._last_start_s is not None and self._was_backlogged:
            self._update_interval(now_s - self._last_start_s)
        self._last_start_s = now_s
        self._was_backlogged = backlogged

    def wait_s(self, now_s: float, ahead: int) -> float | None:
        """Estimate the time until a number of requests have started.

        :param now_s: current time in seconds.
        :param ahead: number of requests.
        :return: seconds, or ``None`` without a recent measurement.
        """
        if self._interval_s is None or self._last_start_s is None:
            return None
        elapsed_s = now_s - self._last_start_s
        if not self._was_backlogged and elapsed_s > INTERVAL_MAX_AGE_S:
            self._interval_s = None
            return None
        if self._was_backlogged:
            return ahead * max(self._interval_s, elapsed_s)
        return ahead * self._interval_s

    def _update_interval(self, sample_s: float) -> None:
        if self._interval_s is None:
            self._interval_s = sample_s
            return
        self._interval_s += SMOOTHING_RATIO * (sample_s - self._interval_s)
