"""How fast a queue drains, for early refusal and ``Retry-After``."""

import attrs

SMOOTHING_RATIO = 0.1
FORGET_AFTER_S = 10.0


@attrs.define
class DrainRate:
    """A moving mean of the time between starts while a queue is backlogged."""

    _interval_s: float | None = attrs.field(default=None, init=False)
    _last_start_s: float | None = attrs.field(default=None, init=False)
    _was_backlogged: bool = attrs.field(default=False, init=False)

    def started(self, now_s: float, backlogged: bool) -> None:
        """Count one start.

        :param now_s: reading of the clock.
        :param backlogged: whether work is still waiting after it.
        """
        if self._last_start_s is not None and self._was_backlogged:
            self._learn(now_s - self._last_start_s)
        self._last_start_s = now_s
        self._was_backlogged = backlogged

    def wait_s(self, now_s: float, ahead: int) -> float | None:
        """Return how long it takes until a number of requests have started.

        :param now_s: reading of the clock.
        :param ahead: the number of requests.
        :return: seconds, or ``None`` while nothing is known.
        """
        if self._interval_s is None or self._last_start_s is None:
            return None
        since_s = now_s - self._last_start_s
        if not self._was_backlogged and since_s > FORGET_AFTER_S:
            self._interval_s = None
            return None
        if self._was_backlogged:
            return ahead * max(self._interval_s, since_s)
        return ahead * self._interval_s

    def _learn(self, sample_s: float) -> None:
        if self._interval_s is None:
            self._interval_s = sample_s
            return
        self._interval_s += SMOOTHING_RATIO * (sample_s - self._interval_s)
