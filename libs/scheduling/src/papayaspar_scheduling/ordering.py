"""Order in which waiting units are served."""

import abc
import enum

import attrs

from papayaspar_jobs import units

# Share of the remaining run time that is subtracted from the next loss of value to get the latest
# start. The whole run time would be exact; with a smaller share, long work starts after short work
# that is about as urgent and releases its resources soon.
LATEST_START_SHARE = 0.75


class Rank(enum.IntEnum):
    """Rank of work; a lower number is served first."""

    GUARANTEED = 0
    URGENT = 1
    NORMAL = 2
    BULK = 3

    @classmethod
    def of(cls, priority: int, is_within_guarantee: bool) -> "Rank":
        """Return the rank of a job.

        :param priority: priority of the job's queue; 0 is the highest.
        :param is_within_guarantee: whether the guarantee of the job's team covers it.
        """
        if priority == 0:
            return cls.GUARANTEED if is_within_guarantee else cls.URGENT
        return cls.NORMAL if priority == 1 else cls.BULK


@attrs.frozen(eq=False)
class Demand:
    """Demand of a unit that waits for capacity.

    :param unit: the unit.
    :param rank: rank of its job.
    :param objective_s: when its job should be done at the latest, on the lead's clock.
    :param worthless_s: when its job loses its remaining value, on the lead's clock.
    :param remaining_s: estimated time that its job needs from the start of the unit, in seconds.
    :param waited_s: how long the unit has waited, in seconds.
    :param is_beyond_share: whether its team has its share of a contended pool without the unit.
    :param slack_s: time from now until the latest start with which its job meets its objective on
        workers of ordinary speed, in seconds; 0 if it has passed.
    :param paused_s: time since the unit's newest failed run, or refused start that bars a VM, in
        seconds; ``None`` if the lead has seen neither.
    """

    unit: units.Unit
    rank: Rank
    objective_s: float
    worthless_s: float
    remaining_s: float
    waited_s: float
    is_beyond_share: bool = False
    slack_s: float = 0.0
    paused_s: float | None = None


class Ordering(abc.ABC):
    """Order of the waiting units."""

    @abc.abstractmethod
    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return a sort key; the smallest is served first.

        :param demand: demand of a waiting unit.
        :param now_s: the lead's clock.
        """


class ByNextValueLoss(Ordering):
    """By rank, then by the latest start before the next loss of value; worthless work comes last.

    Late work has a fifth to a third of the value of work in time (payoff in the platform's rules)
    and loses it much later, so most work in time is served before it.
    """

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the rank, whether the work is worthless, and its latest start or run time."""
        finish_s = now_s + demand.remaining_s
        if finish_s <= demand.objective_s:
            return (demand.rank, 0, demand.objective_s - LATEST_START_SHARE * demand.remaining_s)
        if finish_s <= demand.worthless_s:
            return (demand.rank, 0, demand.worthless_s - LATEST_START_SHARE * demand.remaining_s)
        return (demand.rank, 1, demand.remaining_s)


class ByTeamShares(ByNextValueLoss):
    """By rank, then by the teams' shares where they compete, then by the next loss of value.

    Work of teams that are within their share goes before that of teams that are beyond it, late
    work included: a short job is late once it has waited for one long task of a burst, and would
    wait for all of them. Worthless work comes last, whosever it is.
    """

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the rank, whether worthless or beyond the share, and the latest start."""
        rank, is_worthless, latest_start_s = super().key(demand, now_s)
        is_beyond = demand.is_beyond_share and not is_worthless
        return (rank, is_worthless, is_beyond, latest_start_s)


class ByReachableObjective(Ordering):
    """By rank, then work that can meet its objective, work that still has value, and the rest.

    The first two groups are sorted by slack, the last one by remaining time. An alternative for
    comparison: late work waits behind all work that is not late yet, until it is worthless.
    """

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the rank, the group, and the slack or the remaining time."""
        finish_s = now_s + demand.remaining_s
        if finish_s <= demand.objective_s:
            return (demand.rank, 0, demand.objective_s - demand.remaining_s)
        if finish_s <= demand.worthless_s:
            return (demand.rank, 1, demand.worthless_s - demand.remaining_s)
        return (demand.rank, 2, demand.remaining_s)


class ByArrival(Ordering):
    """By rank, then first come, first served; a baseline for comparison."""

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the rank and the negated waiting time."""
        return (demand.rank, -demand.waited_s)


class ShortestFirst(Ordering):
    """By rank, then the shortest remaining time; an alternative for comparison."""

    def key(self, demand: Demand, now_s: float) -> tuple[float, ...]:
        """Return the rank and the remaining time."""
        return (demand.rank, demand.remaining_s)
