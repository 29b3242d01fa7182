"""Expected durations by kind of work, averaged over completions."""

import collections

import attrs

KINDS_MAX = 4096
SMOOTHING_RATIO = 0.1
DEFAULT_DURATION_S = 1.0


@attrs.define
class _MovingAverage:
    value_s: float = 0.0
    samples: int = 0

    def add(self, sample_s: float, smoothing_ratio: float) -> None:
        self.samples += 1
        gain_ratio = max(smoothing_ratio, 1.0 / self.samples)
        self.value_s += gain_ratio * (sample_s - self.value_s)


@attrs.define
class Durations:
    """Moving average of the duration of each kind, with LRU eviction of kinds.

    The first samples of a kind have equal weight, so that one outlier does not determine the
    average.

    :param smoothing_ratio: weight of the newest sample, from 0 to 1.
    :param kinds_max: maximum number of kinds kept.
    """

    smoothing_ratio: float = SMOOTHING_RATIO
    kinds_max: int = KINDS_MAX
    _averages: collections.OrderedDict[str, _MovingAverage] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def __len__(self) -> int:
        """Return the number of kinds."""
        return len(self._averages)

    def expected_s(self, kind: str) -> float:
        """Return the expected duration of a kind in seconds, or a default for an unknown kind."""
        average = self._averages.get(kind)
        return DEFAULT_DURATION_S if average is None else average.value_s

    def observe(self, kind: str, duration_s: float) -> None:
        """Record the duration of one completion.

        :param kind: kind of the work.
        :param duration_s: duration in seconds.
        """
        average = self._averages.pop(kind, None) or _MovingAverage()
        average.add(duration_s, self.smoothing_ratio)
        self._averages[kind] = average
        if len(self._averages) > self.kinds_max:
            self._averages.popitem(last=False)
