"""Who is served first."""

import abc
import enum

import attrs

from papayaspar_jobs import progress

# Share of its length by which work must start before its next loss. The last moment would be its
# whole length; work that holds a place for long yields the rest to short work, which gives it back.
START_SHARE = 0.75


class Rank(enum.IntEnum):
    """Classes of work; a lower number goes first."""

    GUARANTEED = 0
    URGENT = 1
    NORMAL = 2
    BULK = 3

    @classmethod
    def of(cls, priority: int, is_within_guarantee: bool) -> "Rank":
        """Return the class of work.

        :param priority: priority of its queue; 0 comes first.
        :param is_within_guarantee: whether its team's guarantee covers it.
        """
        if priority == 0:
            return cls.GUARANTEED if is_within_guarantee else cls.URGENT
        return cls.NORMAL if priority == 1 else cls.BULK


@attrs.frozen(eq=False)
class Demand:
    """A unit that waits for room.

    :param unit: the unit.
    :param rank: its class.
    :param objective_s: when its job should be done, on the lead's clock.
    :param lost_s: when its job is worth nothing any more, on the lead's clock.
    :param remaining_s: estimated time its job still needs once it runs.
    :param waited_s: how long it has waited.
    """

    unit: progress.Unit
    rank: Rank
    objective_s: float
    lost_s: float
    remaining_s: float
    waited_s: float


class Ordering(abc.ABC):
    """Sorts what waits."""

    @abc.abstractmethod
    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return a sort key; the smallest is served first.

        :param demand: what waits.
        :param now_s: the lead's clock.
        """


class ByNextLoss(Ordering):
    """Rank first; then by the last moment to start before the next loss of worth; then the rest.

    Late work earns a fifth to a third of what work in time earns (users' sheets), and loses that
    much later, so most work in time goes before it.
    """

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the key."""
        finish_s = now_s + demand.remaining_s
        if finish_s <= demand.objective_s:
            return (demand.rank, 0, demand.objective_s - START_SHARE * demand.remaining_s)
        if finish_s <= demand.lost_s:
            return (demand.rank, 0, demand.lost_s - START_SHARE * demand.remaining_s)
        return (demand.rank, 1, demand.remaining_s)


class ByReachableObjective(Ordering):
    """Rank first; then what can still meet its objective, what can still be of use, the rest.

    Within each, the tightest comes first; among what is lost the shortest. A rival: late work waits
    behind all work that is not late yet, until it is of no use.
    """

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the key."""
        finish_s = now_s + demand.remaining_s
        if finish_s <= demand.objective_s:
            return (demand.rank, 0, demand.objective_s - demand.remaining_s)
        if finish_s <= demand.lost_s:
            return (demand.rank, 1, demand.lost_s - demand.remaining_s)
        return (demand.rank, 2, demand.remaining_s)


class ByArrival(Ordering):
    """Rank first, then first come, first served: the baseline."""

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the key."""
        return (demand.rank, -demand.waited_s)


class ShortestFirst(Ordering):
    """Rank first, then the shortest remaining time: a rival."""

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the key."""
        return (demand.rank, demand.remaining_s)
