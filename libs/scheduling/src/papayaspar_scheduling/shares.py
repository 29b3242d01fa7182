"""Teams' shares of a contended pool, by use of their dominant resource.

See Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. A team's use is that of now, so that a
team below its share is served first, and that of the last seconds under contention, so that jobs
which each fill the pool take turns with those of other teams.
"""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from papayaspar_jobs import specs
from papayaspar_scheduling import ordering

# Time constant of the window over which use is counted, in seconds: about the duration of a job.
WINDOW_S = 30.0
# Use beyond the share in the window, in seconds of the whole pool, up to which a team still counts
# as within its share.
AHEAD_MAX_S = 0.5
# Part of a pool that guarantees weigh at most beside a team that has none. The share of such
# a team would be nothing, and all of its work beyond it, for as long as the others' bursts last.
GUARANTEED_SHARE_MAX = 0.9
# Difference of two shares that is no more than rounding.
ROUNDING = 1e-9
# A pool is contended by a team whose work has waited for this long, in seconds; work that fits
# starts within one or two planning rounds.
CONTENDING_WAIT_S = 1.0
# Longest time between two rounds for which use is counted, in seconds: a lead that was paused does
# not know what ran meanwhile.
ROUND_MAX_S = 1.0
# Use in the window below which a team is forgotten, in seconds of the whole pool.
FORGOTTEN_USE_S = 0.01


@attrs.frozen
class Pool:
    """What the teams of a pool share.

    :param total: resources of the workers that take work.
    :param free: what is free of them.
    :param guaranteed_accelerators: number of guaranteed accelerators by team.
    """

    total: specs.Resources
    free: specs.Resources
    guaranteed_accelerators: Mapping[str, int]


def fair_shares(needs: Mapping[str, float], pool: Pool) -> dict[str, float]:
    """Return the share of the pool that each team may use before others that wait (max-min).

    A team's weight is its guarantee, and an equal part of what no team of them is guaranteed;
    guarantees that exceed the pool are reduced in proportion, to leave each team a share. They are
    amounts of accelerators, and count for nothing in a pool without any. What teams leave of their
    parts is divided among those that need more.

    :param needs: share of the pool that each team uses and waits for.
    :param pool: the pool.
    """
    weights = _weights(needs, pool)
    fair = dict(weights)
    unsatisfied = set(needs)
    left = 1.0
    while unsatisfied:
        weight = sum(weights[team] for team in unsatisfied)
        if weight <= 0.0:
            break
        satisfied = [team for team in unsatisfied if needs[team] * weight <= weights[team] * left]
        if not satisfied:
            for team in unsatisfied:
                fair[team] = weights[team] * left / weight
            break
        for team in satisfied:
            fair[team] = max(weights[team], needs[team])
            left = max(0.0, left - needs[team])
        unsatisfied.difference_update(satisfied)
    return fair


def _weights(teams: Iterable[str], pool: Pool) -> dict[str, float]:
    guaranteed = {team: pool.guaranteed_accelerators.get(team, 0) for team in teams}
    if not guaranteed:
        return {}
    if pool.total.accelerators <= 0:
        return dict.fromkeys(guaranteed, 1.0 / len(guaranteed))
    guaranteed_total = sum(guaranteed.values())
    total: float = max(pool.total.accelerators, guaranteed_total)
    if not all(guaranteed.values()):
        total = max(total, guaranteed_total / GUARANTEED_SHARE_MAX)
    equal_part = (1.0 - guaranteed_total / total) / len(guaranteed)
    return {team: count / total + equal_part for team, count in guaranteed.items()}


def is_contended(demands: Sequence[ordering.Demand], pool: Pool) -> bool:
    """Return whether several teams wait for the pool, and it has no room for all of their work."""
    if len({demand.unit.job.spec.team for demand in demands}) < 2:
        return False
    asked = specs.Resources()
    for demand in demands:
        resources = demand.unit.step.counted_resources
        asked = asked.plus(resources.times(len(demand.unit.members)))
        if not pool.free.holds(asked):
            return True
    return False


class ShareAccounts:
    """The teams' use of one pool while it is contended, over a decaying window.

    :param base_ordering: order of the units of one team.
    """

    def __init__(self, base_ordering: ordering.Ordering | None = None) -> None:
        self._base_ordering = base_ordering or ordering.ByNextValueLoss()
        # Use in the window by team, in seconds of the whole pool.
        self._used_s: dict[str, float] = {}
        self._updated_s: float | None = None
        # Shares in use in the newest round, and the teams that contended for the pool in it.
        self._running: dict[str, float] = {}
        self._contending: frozenset[str] = frozenset()
        self._ahead_s: dict[str, float] = {}

    @property
    def ahead_s(self) -> Mapping[str, float]:
        """By how much each team's use in the window exceeds its share, in seconds of the pool.

        It is negative for a team that is behind, and empty while nothing is contended.
        """
        return self._ahead_s

    def assess(
        self,
        demands: Sequence[ordering.Demand],
        running: Mapping[str, specs.Resources],
        pool: Pool,
        now_s: float,
    ) -> list[ordering.Demand]:
        """Return the demands, with those marked that are beyond their team's share.

        To be called in each round.

        :param demands: demands of the pool's waiting units.
        :param running: resources in use by team.
        :param pool: the pool.
        :param now_s: the lead's clock.
        """
        self._advance(now_s)
        if not is_contended(demands, pool):
            self._running, self._contending, self._ahead_s = {}, frozenset(), {}
            return list(demands)
        self._running = {team: used.dominant_share(pool.total) for team, used in running.items()}
        self._contending = frozenset(
            demand.unit.job.spec.team for demand in demands if demand.waited_s >= CONTENDING_WAIT_S
        )
        by_team: dict[str, list[ordering.Demand]] = {}
        for demand in demands:
            by_team.setdefault(demand.unit.job.spec.team, []).append(demand)
        needs = dict(self._running)
        for team, team_demands in by_team.items():
            use = _Use(running.get(team, specs.Resources()), pool.total)
            for demand in team_demands:
                use.add(demand)
            needs[team] = use.share
        fair = fair_shares(needs, pool)
        total_s = sum(self._used_s.get(team, 0.0) for team in fair)
        self._ahead_s = {
            team: self._used_s.get(team, 0.0) - share * total_s for team, share in fair.items()
        }
        assessed: list[ordering.Demand] = []
        for team, team_demands in by_team.items():
            use = _Use(running.get(team, specs.Resources()), pool.total)
            is_beyond = self._ahead_s[team] > AHEAD_MAX_S
            team_demands.sort(key=lambda demand: self._base_ordering.key(demand, now_s))
            for demand in team_demands:
                is_beyond = is_beyond or use.share >= fair[team] - ROUNDING
                if is_beyond and not _is_settled(demand):
                    assessed.append(attrs.evolve(demand, is_beyond_share=True))
                    continue
                use.add(demand)
                assessed.append(demand)
        return assessed

    def _advance(self, now_s: float) -> None:
        """Count the use since the newest round; without contention the window only decays.

        A team's use counts only while another team contends: what nobody else asks for is free.
        """
        former_s, self._updated_s = self._updated_s, now_s
        if former_s is None:
            return
        elapsed_s = max(0.0, now_s - former_s)
        decay = math.exp(-elapsed_s / WINDOW_S)
        counted_s = min(elapsed_s, ROUND_MAX_S)
        for team in {*self._used_s, *self._running}:
            used_s = self._used_s.get(team, 0.0) * decay
            if self._contending - {team}:
                used_s += self._running.get(team, 0.0) * counted_s
            if used_s < FORGOTTEN_USE_S:
                self._used_s.pop(team, None)
                continue
            self._used_s[team] = used_s


def _is_settled(demand: ordering.Demand) -> bool:
    """Return whether a unit keeps its place whatever its team uses.

    Guarantees are each team's own. What other units were stopped for starts before others: its
    room would go to these, and it would have more units stopped.
    """
    return demand.rank is ordering.Rank.GUARANTEED or demand.unit.preempting_s is not None


class _Use:
    """Use of a pool by one team, as shares of its resources.

    :param used: resources in use.
    :param total: resources of the pool.
    """

    def __init__(self, used: specs.Resources, total: specs.Resources) -> None:
        self._total = total
        # Plain integers: a round adds thousands of units.
        self._cpu_millicores = used.cpu_millicores
        self._memory_mb = used.memory_mb
        self._accelerators = used.accelerators

    def add(self, demand: ordering.Demand) -> None:
        """Add the resources of a unit."""
        resources = demand.unit.step.counted_resources
        count = len(demand.unit.members)
        self._cpu_millicores += resources.cpu_millicores * count
        self._memory_mb += resources.memory_mb * count
        self._accelerators += resources.accelerators * count

    @property
    def share(self) -> float:
        """Share of the dominant resource."""
        used = specs.Resources(self._cpu_millicores, self._memory_mb, self._accelerators)
        return used.dominant_share(self._total)
