"""The waiting and running requests of one team."""

import enum
import math

import attrs

from papayaspar_admission import durations, fairness, lanes
from papayaspar_model import rulesets, work


class Order(enum.Enum):
    """The orders in which a team's requests start: fair shares, and a floor for some lanes."""

    FAIR = "fair"
    NORMAL_FLOOR = "normal_floor"
    BATCH_FLOOR = "batch_floor"


URGENCY_WEIGHTS = {
    work.Urgency.URGENT: 8.0,
    work.Urgency.NORMAL: 3.0,
    work.Urgency.BATCH: 1.0,
}
URGENCY_ORDER = {urgency: place for place, urgency in enumerate(work.Urgency)}
BORROWED_WEIGHTS = {
    work.Urgency.URGENT: 4.0,
    work.Urgency.NORMAL: 2.0,
    work.Urgency.BATCH: 1.0,
}
ORDER_WEIGHTS = {Order.FAIR: 18.0, Order.NORMAL_FLOOR: 1.0, Order.BATCH_FLOOR: 1.0}
FLOORS = {
    Order.NORMAL_FLOOR: work.Urgency.NORMAL,
    Order.BATCH_FLOOR: work.Urgency.BATCH,
}
ROUNDING_SLOTS = 1e-6
DEFAULT_DEPTHS = {
    work.Urgency.URGENT: 256,
    work.Urgency.NORMAL: 256,
    work.Urgency.BATCH: 256,
}


@attrs.define
class TeamPolicy:
    """What the rules in force say of one team's slots.

    :param weight: share of what is left over.
    :param guaranteed: slots it can always have.
    :param ceiling: most slots it may hold, or ``None``.
    :param depths: most requests waiting, by urgency.
    """

    weight: int = 1
    guaranteed: int = 0
    ceiling: int | None = None
    depths: dict[work.Urgency, int] = attrs.field(factory=lambda: dict(DEFAULT_DEPTHS))

    def is_capped(self, in_flight: int) -> bool:
        """Return whether a team that holds this many slots may hold no more."""
        return self.ceiling is not None and in_flight >= self.ceiling


@attrs.frozen
class Flow:
    """What one caller asks for with one urgency.

    :param caller: the caller.
    :param urgency: how soon its work is wanted.
    """

    caller: str
    urgency: work.Urgency


@attrs.define
class TeamQueue:
    """One team's requests: shares among callers, the more urgent work ahead.

    Most slot time goes by fair shares to flows, weighted by urgency. A small share each goes to
    the oldest request of the less urgent lanes, so that no number of urgent callers starves them.

    :param learnt: expected durations by kind.
    """

    learnt: durations.Durations
    by_urgency: dict[work.Urgency, lanes.Lane] = attrs.field(
        factory=lambda: {urgency: lanes.Lane() for urgency in work.Urgency}, init=False
    )
    in_flight: int = attrs.field(default=0, init=False)
    _flows: fairness.FairQueue[Flow] = attrs.field(factory=fairness.FairQueue, init=False)
    _orders: fairness.FairQueue[Order] = attrs.field(factory=fairness.FairQueue, init=False)

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return sum(len(lane) for lane in self.by_urgency.values())

    @property
    def is_idle(self) -> bool:
        """Whether nothing of the team waits or runs."""
        return self.in_flight == 0 and self.waiting == 0

    def push(self, waiting: lanes.Waiting) -> None:
        """Add a request to its lane."""
        request = waiting.request
        self.by_urgency[request.urgency].push(waiting)
        self._renew(Flow(request.caller, request.urgency))

    def head(self) -> lanes.Waiting | None:
        """Return the request to serve next, or ``None``."""
        floor = FLOORS.get(self._orders.peek() or Order.FAIR)
        if floor is not None:
            return self.by_urgency[floor].oldest()
        flow = self._flows.peek()
        if flow is None:
            return None
        return self.by_urgency[flow.urgency].head(flow.caller)

    def remove(self, waiting: lanes.Waiting) -> bool:
        """Take a request out of its lane.

        :param waiting: the request.
        :return: whether it was there.
        """
        request = waiting.request
        if not self.by_urgency[request.urgency].remove(waiting):
            return False
        self._renew(Flow(request.caller, request.urgency))
        return True

    def start(self, waiting: lanes.Waiting, cost_s: float, now_s: float) -> None:
        """Move the request at the head from waiting to running and charge its shares.

        :param waiting: the request.
        :param cost_s: expected slot time.
        :param now_s: reading of the clock.
        """
        request = waiting.request
        order = self._orders.peek() or Order.FAIR
        self._orders.charge(order, cost_s)
        flow = Flow(request.caller, request.urgency)
        self._flows.charge(flow, cost_s)
        self.remove(waiting)
        lane = self.by_urgency[request.urgency]
        lane.drain.started(now_s, len(lane) > 0)
        self.in_flight += 1

    def finish(self, request: work.Request, difference_s: float) -> None:
        """Settle the charge of a request that ended.

        :param request: the request.
        :param difference_s: true slot time less the time charged.
        """
        self.in_flight -= 1
        flow = Flow(request.caller, request.urgency)
        self._flows.correct(flow, difference_s / URGENCY_WEIGHTS[request.urgency])

    def _renew(self, flow: Flow) -> None:
        head = self.by_urgency[flow.urgency].head(flow.caller)
        if head is None:
            self._flows.deactivate(flow)
        else:
            cost_s = self.learnt.expected_s(head.request.kind)
            self._flows.activate(flow, URGENCY_WEIGHTS[flow.urgency], cost_s)
        for order in Order:
            if self._is_backlogged(order):
                self._orders.activate(order, ORDER_WEIGHTS[order], cost_s=0.0)
            else:
                self._orders.deactivate(order)

    def _is_backlogged(self, order: Order) -> bool:
        floor = FLOORS.get(order)
        if floor is None:
            return self.waiting > 0
        return len(self.by_urgency[floor]) > 0


def policies(rules: rulesets.RuleSet, share_ratio: float, capacity: int) -> dict[str, TeamPolicy]:
    """Work out each team's policy for one entry.

    Guarantees that add up to more than the capacity shrink in proportion.

    :param rules: the rules in force.
    :param share_ratio: this entry's share of all guarantees and quotas.
    :param capacity: slots this entry may fill.
    :return: policy by team.
    """
    found = {team.name: TeamPolicy(weight=team.weight) for team in rules.teams}
    total = share_ratio * sum(rule.slots for rule in rules.slot_guarantees)
    scale = share_ratio
    if total > capacity:
        scale = share_ratio * capacity / total
    for floor in rules.slot_guarantees:
        policy = found.get(floor.team)
        if policy is None:
            continue
        policy.guaranteed += _scaled_floor(floor.slots, scale)
    for quota in rules.quotas:
        policy = found.get(quota.team)
        if policy is None or quota.slots is None:
            continue
        policy.ceiling = _scaled_ceiling(quota.slots, share_ratio)
    _set_depths(found, rules)
    return found


def _scaled_floor(slots: int, ratio: float) -> int:
    """Scale a guarantee, rounded up so that the parts of all entries cover it."""
    return math.ceil(slots * ratio - ROUNDING_SLOTS)


def _scaled_ceiling(slots: int, ratio: float) -> int:
    """Scale a quota, rounded down to stay within it, but to no less than one slot an entry."""
    if slots == 0 or ratio == 0:
        return 0
    return max(1, math.floor(slots * ratio + ROUNDING_SLOTS))


def _set_depths(found: dict[str, TeamPolicy], rules: rulesets.RuleSet) -> None:
    for limit in rules.queue_limits:
        if limit.team is not None:
            continue
        for policy in found.values():
            policy.depths[limit.urgency] = limit.depth
    for limit in rules.queue_limits:
        if limit.team is None or limit.team not in found:
            continue
        found[limit.team].depths[limit.urgency] = limit.depth
