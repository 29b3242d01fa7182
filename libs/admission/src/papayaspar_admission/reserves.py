"""Reserve of slots that are kept free of borrowed work, so that guaranteed work starts at once."""

import math

import attrs

from papayaspar_admission import heaps

PEAK_HOLD_S = 30.0
DECAY_INTERVAL_S = 5.0
DECAY_RATIO = 0.125  # of the peak, in each interval
TEAM_MIN_SLOTS = 1
TOTAL_MAX_RATIO = 0.1  # of the capacity


@attrs.define
class _TeamDemand:
    peak: int
    in_flight: int
    guaranteed: int

    @property
    def reserved(self) -> int:
        needed = min(self.guaranteed, max(self.peak, TEAM_MIN_SLOTS))
        return max(0, needed - self.in_flight)


@attrs.define
class Reserve:
    """Slots that each team with a guarantee needed recently but does not use now.

    A team's peak rises immediately with its demand and decays in steps, so that an unused
    guarantee is lent out again. The total is limited to a share of the capacity, so that some
    borrowed work can always run; its completions trigger the evaluation in which peaks decay.
    """

    _demands: dict[str, _TeamDemand] = attrs.field(factory=dict, init=False)
    _decay_times: heaps.KeyedHeap[str] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _total: int = attrs.field(default=0, init=False)

    def total(self, capacity: int, now_s: float) -> int:
        """Return how many slots to keep free of borrowed work.

        :param capacity: total number of slots.
        :param now_s: current time in seconds.
        """
        self._decay_peaks(now_s)
        return min(self._total, math.floor(capacity * TOTAL_MAX_RATIO))

    def update(
        self, team: str, in_flight: int, waiting: int, guaranteed: int, now_s: float
    ) -> None:
        """Update the use and demand of a team.

        :param team: name of the team.
        :param in_flight: number of slots it holds.
        :param waiting: number of its waiting requests.
        :param guaranteed: its guarantee in slots.
        :param now_s: current time in seconds.
        """
        if guaranteed == 0:
            self.remove(team)
            return
        team_demand = self._demands.get(team)
        if team_demand is None:
            team_demand = _TeamDemand(0, 0, 0)
            self._demands[team] = team_demand
        self._total -= team_demand.reserved
        team_demand.in_flight = in_flight
        team_demand.guaranteed = guaranteed
        demand = min(guaranteed, in_flight + waiting)
        if demand > 0 and demand >= team_demand.peak:
            team_demand.peak = demand
            self._decay_times.put(team, now_s + PEAK_HOLD_S)
        self._total += team_demand.reserved

    def remove(self, team: str) -> None:
        """Remove a team."""
        team_demand = self._demands.pop(team, None)
        self._decay_times.discard(team)
        if team_demand is not None:
            self._total -= team_demand.reserved

    def _decay_peaks(self, now_s: float) -> None:
        team = self._decay_times.peek()
        while team is not None and self._decay_times.rank_of(team) <= now_s:
            due_s = self._decay_times.rank_of(team)
            team_demand = self._demands[team]
            self._total -= team_demand.reserved
            team_demand.peak -= max(1, math.floor(team_demand.peak * DECAY_RATIO))
            self._total += team_demand.reserved
            self._decay_times.discard(team)
            if team_demand.peak > TEAM_MIN_SLOTS:
                self._decay_times.put(team, due_s + DECAY_INTERVAL_S)
            team = self._decay_times.peek()
