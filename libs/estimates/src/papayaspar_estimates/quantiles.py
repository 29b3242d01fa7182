"""Run time estimates: declared run times corrected by observations per team and kind."""

import collections

import attrs
from ddsketch import ddsketch

from papayaspar_model import work

RELATIVE_ACCURACY_RATIO = 0.02
BINS_PER_SKETCH = 256
MAX_KINDS = 512
MIN_OBSERVATIONS = 8
MIN_DURATION_S = 0.001
LOW_QUANTILE = 0.1
MEDIAN_QUANTILE = 0.5
HIGH_QUANTILE = 0.9


@attrs.frozen
class _KindKey:
    team: str
    kind: str


class _CachedSketch:
    """A quantile sketch that caches its quantiles until the next value is added."""

    def __init__(self) -> None:
        self._sketch = ddsketch.LogCollapsingLowestDenseDDSketch(
            RELATIVE_ACCURACY_RATIO, BINS_PER_SKETCH
        )
        self._quantiles: dict[float, float] = {}

    @property
    def count(self) -> float:
        return float(self._sketch.count)

    def add(self, value: float) -> None:
        self._sketch.add(value)
        self._quantiles.clear()

    def quantile(self, quantile: float) -> float:
        cached = self._quantiles.get(quantile)
        if cached is None:
            value = self._sketch.get_quantile_value(quantile)
            cached = MIN_DURATION_S if value is None else float(value)
            self._quantiles[quantile] = cached
        return cached

    def spread(self) -> float:
        """Return the ratio of a high to a low quantile."""
        return self.quantile(HIGH_QUANTILE) / self.quantile(LOW_QUANTILE)


class _Observations:
    """Observed run times of one kind of work, and their ratios to the declared run times."""

    def __init__(self) -> None:
        self.durations_s = _CachedSketch()
        self.ratios = _CachedSketch()

    def add(self, declared_s: float, observed_s: float) -> None:
        observed_s = max(observed_s, MIN_DURATION_S)
        self.durations_s.add(observed_s)
        self.ratios.add(observed_s / max(declared_s, MIN_DURATION_S))

    def quantile_s(self, declared_s: float, quantile: float) -> float:
        if self.ratios.spread() < self.durations_s.spread():
            return max(declared_s, MIN_DURATION_S) * self.ratios.quantile(quantile)
        return self.durations_s.quantile(quantile)

    @property
    def count(self) -> float:
        return self.durations_s.count


class DurationEstimator:
    """Estimates run times by team and kind, with a bounded number of sketches.

    If declared run times of a kind are wrong by a steady factor, estimates use the quantiles of
    that factor. If observed run times vary less than the factor, estimates use the quantiles of
    the observed run times. The least recently observed kind is evicted first.

    :param max_kinds: maximum number of kinds kept.
    """

    def __init__(self, max_kinds: int = MAX_KINDS) -> None:
        self._max_kinds = max_kinds
        self._kinds: collections.OrderedDict[_KindKey, _Observations] = collections.OrderedDict()

    def observe(self, job: work.Job, observed_s: float) -> None:
        """Record the run time of a job that completed.

        :param job: the job.
        :param observed_s: its run time in seconds.
        """
        kind = _KindKey(job.team, job.kind)
        observations = self._kinds.get(kind)
        if observations is None:
            observations = _Observations()
            self._kinds[kind] = observations
        self._kinds.move_to_end(kind)
        observations.add(job.run_time_s, observed_s)
        while len(self._kinds) > self._max_kinds:
            self._kinds.popitem(last=False)

    def estimate_s(self, job: work.Job, quantile: float = MEDIAN_QUANTILE) -> float:
        """Return a quantile of the run time of similar jobs.

        :param job: the job.
        :param quantile: share of similar jobs that do not exceed the result, from 0 to 1.
        :return: seconds; the declared run time until the kind has enough observations.
        """
        observations = self._kinds.get(_KindKey(job.team, job.kind))
        if observations is None or observations.count < MIN_OBSERVATIONS:
            return job.run_time_s
        return observations.quantile_s(job.run_time_s, quantile)

    def remaining_s(
        self, job: work.Job, elapsed_s: float, quantile: float = MEDIAN_QUANTILE
    ) -> float:
        """Return the estimated remaining run time of a running job.

        :param job: the job.
        :param elapsed_s: seconds since it started.
        :param quantile: share of similar jobs that should not exceed the result, from 0 to 1.
        :return: seconds; a job that exceeds all estimates is assumed to be half done.
        """
        for candidate in (quantile, HIGH_QUANTILE):
            remaining_s = self.estimate_s(job, candidate) - elapsed_s
            if remaining_s > 0:
                return remaining_s
        return elapsed_s

    def __len__(self) -> int:
        return len(self._kinds)
