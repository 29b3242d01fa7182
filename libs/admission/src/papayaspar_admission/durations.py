"""Expected durations by kind of work, learnt from what was seen."""

import collections

import attrs

KINDS_MAX = 4096
SMOOTHING_RATIO = 0.1
FIRST_GUESS_S = 1.0


@attrs.define
class _Mean:
    value_s: float = 0.0
    samples: int = 0

    def add(self, sample_s: float, smoothing_ratio: float) -> None:
        self.samples += 1
        gain_ratio = max(smoothing_ratio, 1.0 / self.samples)
        self.value_s += gain_ratio * (sample_s - self.value_s)


@attrs.define
class Durations:
    """A moving mean of the duration of each kind; the least recently seen kinds are dropped.

    The first samples of a kind weigh alike, so that one odd sample does not set the mean.

    :param smoothing_ratio: weight of the newest sample.
    :param kinds_max: most kinds remembered.
    """

    smoothing_ratio: float = SMOOTHING_RATIO
    kinds_max: int = KINDS_MAX
    _means: collections.OrderedDict[str, _Mean] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def __len__(self) -> int:
        """Return how many kinds are remembered."""
        return len(self._means)

    def expected_s(self, kind: str) -> float:
        """Return the expected duration of a kind in seconds, or a first guess."""
        mean = self._means.get(kind)
        return FIRST_GUESS_S if mean is None else mean.value_s

    def observe(self, kind: str, duration_s: float) -> None:
        """Learn from one completion.

        :param kind: kind of the work.
        :param duration_s: how long it took.
        """
        mean = self._means.pop(kind, None) or _Mean()
        mean.add(duration_s, self.smoothing_ratio)
        self._means[kind] = mean
        if len(self._means) > self.kinds_max:
            self._means.popitem(last=False)
