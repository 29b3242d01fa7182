"""Run times: declared ones corrected by what was observed per team and kind."""

import collections

import attrs
from ddsketch import ddsketch

from papayaspar_model import work

RELATIVE_ACCURACY_RATIO = 0.02
BINS_PER_SKETCH = 256
MAX_SKETCH_PAIRS = 512
MIN_OBSERVATIONS = 8
SHORTEST_S = 0.001
LOW_QUANTILE = 0.1
MEDIAN_QUANTILE = 0.5
HIGH_QUANTILE = 0.9


@attrs.frozen
class _Kind:
    team: str
    kind: str


class _Sketch:
    """A quantile sketch that remembers its quantiles until the next value."""

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
        known = self._quantiles.get(quantile)
        if known is None:
            value = self._sketch.get_quantile_value(quantile)
            known = SHORTEST_S if value is None else float(value)
            self._quantiles[quantile] = known
        return known

    def spread(self) -> float:
        return self.quantile(HIGH_QUANTILE) / self.quantile(LOW_QUANTILE)


class _Observed:
    """Run times of one kind of work, and their ratios to the declared ones."""

    def __init__(self) -> None:
        self.durations_s = _Sketch()
        self.ratios = _Sketch()

    def add(self, declared_s: float, observed_s: float) -> None:
        observed_s = max(observed_s, SHORTEST_S)
        self.durations_s.add(observed_s)
        self.ratios.add(observed_s / max(declared_s, SHORTEST_S))

    def quantile_s(self, declared_s: float, quantile: float) -> float:
        if self.ratios.spread() < self.durations_s.spread():
            return max(declared_s, SHORTEST_S) * self.ratios.quantile(quantile)
        return self.durations_s.quantile(quantile)

    @property
    def count(self) -> float:
        return self.durations_s.count


class DurationEstimator:
    """Estimates of run times by team and kind, in a bounded number of sketches.

    Of a kind whose declared times are wrong by a steady factor, the factor is learnt; of one
    whose declared times say nothing, the run times themselves. The least recently used kind is
    forgotten first.

    :param max_kinds: most kinds remembered.
    """

    def __init__(self, max_kinds: int = MAX_SKETCH_PAIRS) -> None:
        self._max_kinds = max_kinds
        self._kinds: collections.OrderedDict[_Kind, _Observed] = collections.OrderedDict()

    def observe(self, job: work.Job, observed_s: float) -> None:
        """Take note of a job that ran to its end.

        :param job: the job.
        :param observed_s: seconds it ran.
        """
        kind = _Kind(job.team, job.kind)
        known = self._kinds.get(kind)
        if known is None:
            known = _Observed()
            self._kinds[kind] = known
        self._kinds.move_to_end(kind)
        known.add(job.run_time_s, observed_s)
        while len(self._kinds) > self._max_kinds:
            self._kinds.popitem(last=False)

    def estimate_s(self, job: work.Job, quantile: float = MEDIAN_QUANTILE) -> float:
        """Return the run time that a share of such jobs does not exceed.

        :param job: the job.
        :param quantile: the share, from 0 to 1.
        :return: seconds; the declared run time while too little was observed.
        """
        known = self._kinds.get(_Kind(job.team, job.kind))
        if known is None or known.count < MIN_OBSERVATIONS:
            return job.run_time_s
        return known.quantile_s(job.run_time_s, quantile)

    def remaining_s(
        self, job: work.Job, elapsed_s: float, quantile: float = MEDIAN_QUANTILE
    ) -> float:
        """Return how much longer a job runs that has run for a while.

        :param job: the job.
        :param elapsed_s: seconds it has run.
        :param quantile: the share of such jobs that should not exceed the result.
        :return: seconds; a job past every estimate is taken to be half through.
        """
        for tried in (quantile, HIGH_QUANTILE):
            left_s = self.estimate_s(job, tried) - elapsed_s
            if left_s > 0:
                return left_s
        return elapsed_s

    def __len__(self) -> int:
        return len(self._kinds)
