"""Slots kept free of borrowed work, so that guaranteed work starts at once."""

import math

import attrs

from papayaspar_admission import heaps

HOLD_S = 30.0
STEP_S = 5.0
STEP_RATIO = 0.125
TEAM_MIN_SLOTS = 1
TOTAL_MAX_RATIO = 0.1


@attrs.define
class _Need:
    peak: int
    in_flight: int
    guaranteed: int

    @property
    def reserved(self) -> int:
        wanted = min(self.guaranteed, max(self.peak, TEAM_MIN_SLOTS))
        return max(0, wanted - self.in_flight)


@attrs.define
class Reserve:
    """What each team with a guarantee needed of late and does not use at this moment.

    A team's peak rises at once with its demand and falls by steps, so a guarantee that is not
    used is lent out again. The sum never passes a share of the capacity; borrowed work can
    therefore always run, and its completions are the events on which peaks fall.
    """

    _needs: dict[str, _Need] = attrs.field(factory=dict, init=False)
    _falls: heaps.KeyedHeap[str] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _total: int = attrs.field(default=0, init=False)

    def total(self, capacity: int, now_s: float) -> int:
        """Return how many slots to keep free of borrowed work.

        :param capacity: all slots.
        :param now_s: reading of the clock.
        """
        self._lower(now_s)
        return min(self._total, math.floor(capacity * TOTAL_MAX_RATIO))

    def update(
        self, team: str, in_flight: int, waiting: int, guaranteed: int, now_s: float
    ) -> None:
        """Note what a team uses and wants.

        :param team: name of the team.
        :param in_flight: slots it holds.
        :param waiting: requests it has waiting.
        :param guaranteed: its guarantee in slots.
        :param now_s: reading of the clock.
        """
        if guaranteed == 0:
            self.drop(team)
            return
        need = self._needs.get(team)
        if need is None:
            need = _Need(0, 0, 0)
            self._needs[team] = need
        self._total -= need.reserved
        need.in_flight = in_flight
        need.guaranteed = guaranteed
        demand = min(guaranteed, in_flight + waiting)
        if demand > 0 and demand >= need.peak:
            need.peak = demand
            self._falls.put(team, now_s + HOLD_S)
        self._total += need.reserved

    def drop(self, team: str) -> None:
        """Forget a team."""
        need = self._needs.pop(team, None)
        self._falls.discard(team)
        if need is not None:
            self._total -= need.reserved

    def _lower(self, now_s: float) -> None:
        team = self._falls.peek()
        while team is not None and self._falls.rank_of(team) <= now_s:
            due_s = self._falls.rank_of(team)
            need = self._needs[team]
            self._total -= need.reserved
            need.peak -= max(1, math.floor(need.peak * STEP_RATIO))
            self._total += need.reserved
            self._falls.discard(team)
            if need.peak > TEAM_MIN_SLOTS:
                self._falls.put(team, due_s + STEP_S)
            team = self._falls.peek()
