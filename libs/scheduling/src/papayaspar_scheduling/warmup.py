"""Warm-up of workers: how much of its capacity a worker that is still cold offers."""

import math

from papayaspar_jobs import specs


class WarmUp:
    """The warm-up of one worker, as its reports tell of it.

    Its length is the longest remaining time that was reported since the worker was last warm.
    """

    def __init__(self) -> None:
        self._ends_s = float("-inf")
        self._length_s = 0.0

    def update(self, remaining_s: float, now_s: float) -> None:
        """Apply a report of the worker.

        :param remaining_s: time until the worker is warm, in seconds; 0 if it is.
        :param now_s: the lead's clock.
        """
        was_cold = now_s < self._ends_s
        self._length_s = max(remaining_s, self._length_s if was_cold else 0.0)
        self._ends_s = now_s + remaining_s

    def remaining_ratio(self, now_s: float) -> float:
        """Return the share of the warm-up that remains: 1 at its beginning, 0 when it is over.

        :param now_s: the lead's clock.
        """
        remaining_s = self._ends_s - now_s
        if remaining_s <= 0 or self._length_s <= 0:
            return 0.0
        return min(1.0, remaining_s / self._length_s)


def cold_part(capacity: specs.Resources, remaining_ratio: float) -> specs.Resources:
    """Return the resources of a worker that are not warmed up yet, rounded up.

    :param capacity: total resources of the worker.
    :param remaining_ratio: share of the warm-up that remains, from 0 to 1.
    """
    return specs.Resources(
        math.ceil(capacity.cpu_millicores * remaining_ratio),
        math.ceil(capacity.memory_mb * remaining_ratio),
        math.ceil(capacity.accelerators * remaining_ratio),
    )
