"""The newest finished runs of one kind of work, and what they predict.

Runs of one step share its error of the estimate, so that hundreds of them say hardly more than one
about other steps. They are kept as one sample, their median, and as the scatter around it.
"""

import collections
import math
from collections.abc import Iterator

import attrs

from papayaspar_estimates import robust

# Number of samples that a window keeps, and number of later ones after which the weight of a sample
# is halved.
SAMPLES_MAX = 48
HALF_LIFE_SAMPLES = 24.0
# Number of runs whose distance from the median of their step a window keeps.
SCATTER_MAX = 64
# Number of running runs whose bounds a window keeps.
BOUNDS_MAX = 48
HIGH_SHARE = 0.95
# Weight, in samples, of the slope that holds before any run is known.
SLOPE_PRIOR_SAMPLES = 4.0
# Added to the samples when the high value is computed, with the weight of one: the logarithm of
# twice the middle value, so that a few equal runs don't look certain.
PRIOR_HIGH_LOG = 0.69
# Standard deviations per median absolute deviation of a normal distribution.
DEVIATIONS_PER_MAD = 1.48
# Standard deviation of run times that holds before any run is known, and its weight in samples.
SPREAD_PRIOR_LOG = 0.3
SPREAD_PRIOR_SAMPLES = 2.0


@attrs.frozen
class Sample:
    """Finished runs of one step, or one run. Times are natural logarithms of seconds.

    :param declared_log: declared run time.
    :param observed_log: median run time on a worker of ordinary speed.
    :param group: number of the step, or of the run; a newer sample replaces an older one of it.
    :param identity: number of the newest run that no other run is likely to have.
    :param run_count: number of runs.
    """

    declared_log: float
    observed_log: float
    group: int
    identity: int
    run_count: int = 1


@attrs.frozen
class Fit:
    """Prediction of run times from declared ones. Times are natural logarithms of seconds.

    :param center_log: median of the declared run times.
    :param level_log: middle run time of work that declares the median.
    :param slope: change of the run time with the declared one; 1 if that is off by a steady factor,
        0 if it says nothing.
    :param high_log: distance from the middle to the high value.
    :param spread_log: standard deviation of the rest, from its median absolute deviation.
    :param run_count: number of runs behind the fit.
    :param weight: number of samples, where older ones count less.
    """

    center_log: float
    level_log: float
    slope: float
    high_log: float
    spread_log: float
    run_count: int
    weight: float

    def predict_log(self, declared_log: float) -> float:
        """Return the middle run time of work.

        :param declared_log: declared run time of the work.
        """
        return self.level_log + self.slope * (declared_log - self.center_log)


class RunWindow:
    """The newest runs of one kind of work."""

    def __init__(self) -> None:
        # Samples by group, oldest first.
        self._samples: collections.OrderedDict[int, Sample] = collections.OrderedDict()
        self._scatter: collections.deque[float] = collections.deque(maxlen=SCATTER_MAX)
        # Declared run time and a lower bound of the run time of runs that go on, by identity.
        self._bounds: collections.OrderedDict[int, tuple[float, float]] = collections.OrderedDict()
        self._fits: dict[float, Fit | None] = {}

    def __len__(self) -> int:
        """Return the number of samples."""
        return len(self._samples)

    def __iter__(self) -> Iterator[Sample]:
        """Return the samples, oldest first."""
        return iter(self._samples.values())

    def add(self, sample: Sample) -> None:
        """Add a sample, which replaces an older one of its group, and ends its run's bound."""
        self._bounds.pop(sample.identity, None)
        self._samples.pop(sample.group, None)
        self._samples[sample.group] = sample
        if len(self._samples) > SAMPLES_MAX:
            self._samples.popitem(last=False)
        self._fits.clear()

    def add_scatter(self, rest_log: float) -> None:
        """Add the distance of a run from the median of its step."""
        self._scatter.append(rest_log)

    def set_bound(self, identity: int, declared_log: float, bound_log: float) -> None:
        """Set the lower bound of a run that goes on.

        :param identity: number of the run.
        :param declared_log: its declared run time.
        :param bound_log: time that it has worked, on a worker of ordinary speed.
        """
        self._bounds.pop(identity, None)
        self._bounds[identity] = (declared_log, bound_log)
        if len(self._bounds) > BOUNDS_MAX:
            self._bounds.popitem(last=False)
        self._fits.clear()

    def remove_bound(self, identity: int) -> None:
        """Remove the bound of a run that ended without a result."""
        if self._bounds.pop(identity, None) is not None:
            self._fits.clear()

    def fit(self, prior_slope: float = 1.0) -> Fit | None:
        """Return what the runs predict, or ``None`` without finished runs.

        :param prior_slope: slope that holds as long as few runs are known.
        """
        prior_slope = round(prior_slope, 1)
        if prior_slope not in self._fits:
            self._fits[prior_slope] = self._computed_fit(prior_slope)
        return self._fits[prior_slope]

    def _computed_fit(self, prior_slope: float) -> Fit | None:
        if not self._samples:
            return None
        newest_first = list(reversed(self._samples.values()))
        weights = [0.5 ** (age / HALF_LIFE_SAMPLES) for age in range(len(newest_first))]
        total = sum(weights)
        points = [(sample.declared_log, sample.observed_log) for sample in newest_first]
        center_log = robust.weighted_quantile(
            (
                (declared_log, weight)
                for (declared_log, _), weight in zip(points, weights, strict=True)
            ),
            robust.MEDIAN_SHARE,
        )
        shown_slope = robust.slope(points)
        slope = prior_slope
        if shown_slope is not None:
            slope = (total * shown_slope + SLOPE_PRIOR_SAMPLES * prior_slope) / (
                total + SLOPE_PRIOR_SAMPLES
            )
            slope = min(1.0, max(0.0, slope))
        levels = [
            (observed_log - slope * (declared_log - center_log), weight)
            for (declared_log, observed_log), weight in zip(points, weights, strict=True)
        ]
        level_log = robust.weighted_quantile(levels, robust.MEDIAN_SHARE)
        bounds = [
            bound_log - slope * (declared_log - center_log)
            for declared_log, bound_log in self._bounds.values()
        ]
        exceeding = [(bound, 1.0) for bound in bounds if bound > level_log]
        if exceeding:
            levels += exceeding
            level_log = robust.weighted_quantile(levels, robust.MEDIAN_SHARE)
        deviation_log = robust.weighted_quantile(
            ((abs(level - level_log), weight) for level, weight in levels), robust.MEDIAN_SHARE
        )
        variance = (
            total * (deviation_log * DEVIATIONS_PER_MAD) ** 2
            + SPREAD_PRIOR_SAMPLES * SPREAD_PRIOR_LOG**2
        ) / (total + SPREAD_PRIOR_SAMPLES)
        rest = [(level - level_log, weight) for level, weight in levels]
        rest.append((PRIOR_HIGH_LOG, 1.0))
        high_log = max(0.0, robust.weighted_quantile(rest, HIGH_SHARE))
        if self._scatter:
            scatter = ((rest_log, 1.0) for rest_log in self._scatter)
            high_log = math.hypot(high_log, robust.weighted_quantile(scatter, HIGH_SHARE))
        return Fit(center_log, level_log, slope, high_log, math.sqrt(variance), len(points), total)
