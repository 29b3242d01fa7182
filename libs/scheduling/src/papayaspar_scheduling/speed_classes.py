"""Classes of workers of like speed, and which of them suit a unit.

A gang ends with its slowest member: one slow worker makes all others of it wait. Small differences
are noise of what is learned, and to follow them would scatter work, so speeds are compared in
classes. With workers of equal speed there is one class, and nothing here changes a decision.
"""

import math
from collections.abc import Iterable

from papayaspar_scheduling import fleet, ordering

# Run times of equal work on workers of neighbouring classes differ by this factor.
CLASS_RATIO = 1.35
# Class of a worker of ordinary speed; slower ones have higher classes.
ORDINARY = 0
# Share of its slack that bulk work may lose on a slow worker.
BULK_SLACK_SHARE = 0.5
# A gang that would run on workers of different classes waits for a better place for as long as it
# would gain there, and at most this long, in seconds: work that waits for 3 s beside room for it
# counts as lost (LOST in the platform's rules).
WAIT_MAX_S = 2.0
# Difference of the classes within a gang from which waiting is considered.
WAIT_CLASSES_MIN = 2


def speed_class(worker: fleet.Worker) -> int:
    """Return the class of a worker; 0 for an ordinary one, more for slower ones."""
    if worker.slowness == 1.0:
        return ORDINARY
    return round(math.log(worker.slowness) / math.log(CLASS_RATIO))


def classes(workers: Iterable[fleet.Worker]) -> list[int]:
    """Return the classes of workers, fastest first."""
    return sorted({speed_class(worker) for worker in workers})


def suitable_max(demand: ordering.Demand) -> int:
    """Return the slowest class on which a unit of bulk work still meets its objective.

    :param demand: demand of the unit.
    """
    expected = demand.unit.job.expected(demand.unit)
    middle_s = expected.middle_s
    # By declared run times, a worker may only seem slow.
    if not expected.is_learned or middle_s <= 0.0 or demand.slack_s <= 0.0:
        return ORDINARY
    slowness_max = 1.0 + BULK_SLACK_SHARE * demand.slack_s / middle_s
    return math.floor(math.log(slowness_max) / math.log(CLASS_RATIO))


def preference(demand: ordering.Demand, worker_class: int, slowest_suitable: int) -> float:
    """Return a sort key of a class for a unit; the smallest is used first.

    Bulk work takes the slowest workers that suit it, so that the fast ones stay free for gangs,
    urgent and long work, which take the fastest.

    :param demand: demand of the unit.
    :param worker_class: class of a worker.
    :param slowest_suitable: the slowest class that suits the unit.
    """
    if demand.rank is not ordering.Rank.BULK:
        return worker_class
    if worker_class <= slowest_suitable:
        return -worker_class
    # Beyond what suits it, the least slow comes first.
    return abs(slowest_suitable) + 1 + worker_class


def is_worth_waiting(demand: ordering.Demand, fastest: int, slowest: int) -> bool:
    """Return whether a gang should wait for workers of one class rather than start across classes.

    It waits no longer than it would gain, so that it loses at most what it could have won.

    :param demand: demand of the gang.
    :param fastest: class of its fastest worker, if it started now.
    :param slowest: class of its slowest worker, if it started now.
    """
    if demand.rank < ordering.Rank.NORMAL or slowest - fastest < WAIT_CLASSES_MIN:
        return False
    middle_s = demand.unit.job.expected(demand.unit).middle_s
    gain_s = middle_s * (CLASS_RATIO**slowest - CLASS_RATIO**fastest)
    return demand.waited_s < min(WAIT_MAX_S, gain_s)
