"""Robust statistics of small samples: weighted quantiles and the Theil-Sen slope."""

import itertools
from collections.abc import Iterable, Sequence

MEDIAN_SHARE = 0.5
# Pairs of values closer together than this don't show a slope.
PAIR_DISTANCE_MIN = 0.05


def weighted_quantile(weighted: Iterable[tuple[float, float]], share: float) -> float:
    """Return a quantile of weighted values, interpolated between neighbours.

    :param weighted: pairs of a value and its weight; at least one with a positive weight.
    :param share: share of the weight below the result, from 0 to 1.
    """
    ordered = sorted(pair for pair in weighted if pair[1] > 0.0)
    target = share * sum(weight for _, weight in ordered)
    below = 0.0
    previous: tuple[float, float] | None = None
    for value, weight in ordered:
        # A value stands in the middle of its weight.
        position = below + weight / 2.0
        if position >= target:
            if previous is None:
                return value
            previous_value, previous_position = previous
            part = (target - previous_position) / (position - previous_position)
            return previous_value + part * (value - previous_value)
        below += weight
        previous = (value, position)
    return ordered[-1][0]


def median(values: Iterable[float]) -> float:
    """Return the median of at least one value."""
    return weighted_quantile(((value, 1.0) for value in values), MEDIAN_SHARE)


def slope(points: Sequence[tuple[float, float]]) -> float | None:
    """Return the median of the slopes between all pairs of points (Theil-Sen estimator).

    It is right as long as less than 29% of the points are off (Sen, "Estimates of the regression
    coefficient based on Kendall's tau", 1968).

    :param points: x and y of each point.
    :return: the slope, or ``None`` if the points have nearly the same x.
    """
    slopes = [
        (second[1] - first[1]) / (second[0] - first[0])
        for first, second in itertools.combinations(points, 2)
        if abs(second[0] - first[0]) >= PAIR_DISTANCE_MIN
    ]
    return median(slopes) if slopes else None
