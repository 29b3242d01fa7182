"""Expected durations by kind of work, learnt from what was seen."""

import collections

import attrs

KINDS_MAX = 4096
SMOOTHING_RATIO = 0.1
FIRST_GUESS_S = 1.0


@attrs.define
class Durations:
    """A moving mean of the duration of each kind; the least recently seen kinds are dropped.

    :param smoothing_ratio: weight of the newest sample.
    :param kinds_max: most kinds remembered.
    """

    smoothing_ratio: float = SMOOTHING_RATIO
    kinds_max: int = KINDS_MAX
    _mean_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def __len__(self) -> int:
        """Return how many kinds are remembered."""
        return len(self._mean_s)

    def expected_s(self, kind: str) -> float:
        """Return the expected duration of a kind in seconds, or a first guess."""
        return self._mean_s.get(kind, FIRST_GUESS_S)

    def observe(self, kind: str, duration_s: float) -> None:
        """Learn from one completion.

        :param kind: kind of the work.
        :param duration_s: how long it took.
        """
        mean_s = self._mean_s.pop(kind, duration_s)
        self._mean_s[kind] = mean_s + self.smoothing_ratio * (duration_s - mean_s)
        if len(self._mean_s) > self.kinds_max:
            self._mean_s.popitem(last=False)
