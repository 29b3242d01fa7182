"""Computes goodput and completion times of a set of answers."""

import math
from collections.abc import Iterable

import attrs

from papayaspar_bench import fleets
from papayaspar_model import work


@attrs.frozen
class CompletionTimes:
    """Completion times of the answers within their deadline.

    :param mean_s: mean, in seconds.
    :param p50_s: median, in seconds.
    :param p99_s: 99th percentile, in seconds.
    """

    mean_s: float
    p50_s: float
    p99_s: float


def answered_in_time(answers: Iterable[fleets.Answer]) -> list[fleets.Answer]:
    """Return the answers that were given within their deadline."""
    return [answer for answer in answers if answer.result is fleets.RequestResult.DONE]


def completion_times(answers: Iterable[fleets.Answer]) -> CompletionTimes:
    """Return the completion times of the answers within their deadline.

    :param answers: answers with any result.
    :return: completion times; infinite if no answer was given within its deadline.
    """
    times_s = sorted(answer.completion_s for answer in answered_in_time(answers))
    if not times_s:
        return CompletionTimes(math.inf, math.inf, math.inf)
    return CompletionTimes(
        sum(times_s) / len(times_s), _quantile(times_s, 0.5), _quantile(times_s, 0.99)
    )


def kept_ratio(loaded: list[fleets.Answer], quiet: list[fleets.Answer]) -> float:
    """Return the goodput under load as a ratio to the goodput of the quiet run.

    :param loaded: answers of the run under load.
    :param quiet: answers to the same requests in the run without the extra load.
    """
    return len(answered_in_time(loaded)) / max(1, len(answered_in_time(quiet)))


def p99_ratio(loaded: list[fleets.Answer], quiet: list[fleets.Answer]) -> float:
    """Return the 99th percentile of completion times as a ratio to that of the quiet run."""
    quiet_s = completion_times(quiet).p99_s
    if math.isinf(quiet_s):
        return math.inf
    return completion_times(loaded).p99_s / quiet_s


def finite(figures: dict[str, float]) -> dict[str, float]:
    """Return the finite figures; a figure is infinite if no request was answered in time."""
    return {name: value for name, value in figures.items() if math.isfinite(value)}


def of_team(answers: Iterable[fleets.Answer], team: str) -> list[fleets.Answer]:
    """Return the answers to the requests of one team."""
    return [answer for answer in answers if answer.request.team == team]


def of_urgency(answers: Iterable[fleets.Answer], urgency: work.Urgency) -> list[fleets.Answer]:
    """Return the answers to the requests of one urgency."""
    return [answer for answer in answers if answer.request.urgency is urgency]


def _quantile(sorted_values: list[float], quantile: float) -> float:
    index = math.ceil(quantile * len(sorted_values)) - 1
    return sorted_values[max(0, index)]
