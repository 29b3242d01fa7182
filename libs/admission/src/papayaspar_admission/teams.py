"""Waiting and running requests of one team."""

import enum
import math

import attrs

from papayaspar_admission import fairness, lanes
from papayaspar_estimates import averages
from papayaspar_model import rulesets, work


class ServiceOrder(enum.Enum):
    """How a team's next request is chosen.

    ``FAIR`` chooses it by fair shares. Each floor chooses the oldest request of a less urgent lane,
    which gives that lane a minimum share.
    """

    FAIR = "fair"
    NORMAL_FLOOR = "normal_floor"
    BATCH_FLOOR = "batch_floor"


# Weights of the flows of one team.
URGENCY_WEIGHTS = {
    work.Urgency.URGENT: 8.0,
    work.Urgency.NORMAL: 3.0,
    work.Urgency.BATCH: 1.0,
}
URGENCY_RANKS = {urgency: rank for rank, urgency in enumerate(work.Urgency)}
# Factors of a team's weight while its next request is of this urgency.
BORROWED_WEIGHTS = {
    work.Urgency.URGENT: 4.0,
    work.Urgency.NORMAL: 2.0,
    work.Urgency.BATCH: 1.0,
}
# Shares of a team's slot time.
SERVICE_ORDER_WEIGHTS = {
    ServiceOrder.FAIR: 18.0,
    ServiceOrder.NORMAL_FLOOR: 1.0,
    ServiceOrder.BATCH_FLOOR: 1.0,
}
FLOOR_URGENCIES = {
    ServiceOrder.NORMAL_FLOOR: work.Urgency.NORMAL,
    ServiceOrder.BATCH_FLOOR: work.Urgency.BATCH,
}
ROUNDING_TOLERANCE_SLOTS = 1e-6  # absorbs floating-point error of scaled slots
DEFAULT_DEPTHS = {
    work.Urgency.URGENT: 256,
    work.Urgency.NORMAL: 256,
    work.Urgency.BATCH: 256,
}


@attrs.define
class TeamPolicy:
    """Slot limits of one team under the current rules.

    :param weight: relative share of the slots beyond all guarantees.
    :param guaranteed: number of guaranteed slots.
    :param ceiling: maximum number of slots it may hold, or ``None`` for no limit.
    :param depths: maximum number of waiting requests, by urgency.
    """

    weight: int = 1
    guaranteed: int = 0
    ceiling: int | None = None
    depths: dict[work.Urgency, int] = attrs.field(factory=lambda: dict(DEFAULT_DEPTHS))

    def is_at_ceiling(self, in_flight: int) -> bool:
        """Return whether a team with this many slots has reached its ceiling."""
        return self.ceiling is not None and in_flight >= self.ceiling


@attrs.frozen
class Flow:
    """Requests of one caller with one urgency.

    :param caller: the caller.
    :param urgency: urgency of the requests.
    """

    caller: str
    urgency: work.Urgency


@attrs.define
class TeamQueue:
    """Requests of one team, shared fairly among callers with more weight for urgent work.

    Most slot time is shared fairly among flows, weighted by urgency. A small share is set aside
    for the oldest request of each less urgent lane, so that urgent callers can't starve these
    lanes, however many there are.

    :param averages: moving averages of durations by kind.
    """

    averages: averages.Durations
    by_urgency: dict[work.Urgency, lanes.Lane] = attrs.field(
        factory=lambda: {urgency: lanes.Lane() for urgency in work.Urgency}, init=False
    )
    in_flight: int = attrs.field(default=0, init=False)
    _flows: fairness.FairQueue[Flow] = attrs.field(factory=fairness.FairQueue, init=False)
    _service_orders: fairness.FairQueue[ServiceOrder] = attrs.field(
        factory=fairness.FairQueue, init=False
    )

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(lane) for lane in self.by_urgency.values())

    @property
    def is_idle(self) -> bool:
        """Whether the team has no waiting and no running requests."""
        return self.in_flight == 0 and self.waiting == 0

    def push(self, waiting: lanes.WaitingRequest) -> None:
        """Add a request to its lane."""
        request = waiting.request
        self.by_urgency[request.urgency].push(waiting)
        self._update_flow(Flow(request.caller, request.urgency))

    def head(self) -> lanes.WaitingRequest | None:
        """Return the request to start next, or ``None``."""
        floor_urgency = FLOOR_URGENCIES.get(self._service_orders.peek() or ServiceOrder.FAIR)
        if floor_urgency is not None:
            return self.by_urgency[floor_urgency].oldest()
        flow = self._flows.peek()
        if flow is None:
            return None
        return self.by_urgency[flow.urgency].head(flow.caller)

    def remove(self, waiting: lanes.WaitingRequest) -> bool:
        """Remove a request from its lane.

        :param waiting: the request.
        :return: whether it was waiting.
        """
        request = waiting.request
        if not self.by_urgency[request.urgency].remove(waiting):
            return False
        self._update_flow(Flow(request.caller, request.urgency))
        return True

    def start(self, waiting: lanes.WaitingRequest, cost_s: float, now_s: float) -> None:
        """Move the request at the head from waiting to running and charge its flow.

        :param waiting: the request.
        :param cost_s: expected slot time in seconds.
        :param now_s: current time in seconds.
        """
        request = waiting.request
        order = self._service_orders.peek() or ServiceOrder.FAIR
        self._service_orders.charge(order, cost_s)
        flow = Flow(request.caller, request.urgency)
        self._flows.charge(flow, cost_s)
        self.remove(waiting)
        lane = self.by_urgency[request.urgency]
        lane.drain.record_start(now_s, len(lane) > 0)
        self.in_flight += 1

    def finish(self, request: work.Request, difference_s: float) -> None:
        """Correct the charge of a completed request.

        :param request: the request.
        :param difference_s: actual slot time minus charged slot time, in seconds.
        """
        self.in_flight -= 1
        flow = Flow(request.caller, request.urgency)
        self._flows.correct(flow, difference_s / URGENCY_WEIGHTS[request.urgency])

    def _update_flow(self, flow: Flow) -> None:
        head = self.by_urgency[flow.urgency].head(flow.caller)
        if head is None:
            self._flows.deactivate(flow)
        else:
            cost_s = self.averages.expected_s(head.request.kind)
            self._flows.activate(flow, URGENCY_WEIGHTS[flow.urgency], cost_s)
        for order in ServiceOrder:
            if self._is_backlogged(order):
                self._service_orders.activate(order, SERVICE_ORDER_WEIGHTS[order], cost_s=0.0)
            else:
                self._service_orders.deactivate(order)

    def _is_backlogged(self, order: ServiceOrder) -> bool:
        floor_urgency = FLOOR_URGENCIES.get(order)
        if floor_urgency is None:
            return self.waiting > 0
        return len(self.by_urgency[floor_urgency]) > 0


def policies(rules: rulesets.RuleSet, share_ratio: float, capacity: int) -> dict[str, TeamPolicy]:
    """Compute each team's policy for one entry.

    Guarantees that exceed the capacity in total are scaled down in proportion.

    :param rules: the current rules.
    :param share_ratio: this entry's share of all guarantees and quotas, from 0 to 1.
    :param capacity: number of slots of this entry.
    :return: policy by team.
    """
    policies_by_team = {team.name: TeamPolicy(weight=team.weight) for team in rules.teams}
    total = share_ratio * sum(rule.slots for rule in rules.slot_guarantees)
    scale = share_ratio
    if total > capacity:
        scale = share_ratio * capacity / total
    for guarantee in rules.slot_guarantees:
        policy = policies_by_team.get(guarantee.team)
        if policy is None:
            continue
        policy.guaranteed += _scaled_guarantee(guarantee.slots, scale)
    for quota in rules.quotas:
        policy = policies_by_team.get(quota.team)
        if policy is None or quota.slots is None:
            continue
        policy.ceiling = _scaled_quota(quota.slots, share_ratio)
    _set_depths(policies_by_team, rules)
    return policies_by_team


def _scaled_guarantee(slots: int, ratio: float) -> int:
    """Scale a guarantee, rounded up so that the shares of all entries add up to it."""
    return math.ceil(slots * ratio - ROUNDING_TOLERANCE_SLOTS)


def _scaled_quota(slots: int, ratio: float) -> int:
    """Scale a quota, rounded down to stay within it, but to at least one slot per entry."""
    if slots == 0 or ratio == 0:
        return 0
    return max(1, math.floor(slots * ratio + ROUNDING_TOLERANCE_SLOTS))


def _set_depths(policies_by_team: dict[str, TeamPolicy], rules: rulesets.RuleSet) -> None:
    for limit in rules.queue_limits:
        if limit.team is not None:
            continue
        for policy in policies_by_team.values():
            policy.depths[limit.urgency] = limit.depth
    for limit in rules.queue_limits:
        if limit.team is None or limit.team not in policies_by_team:
            continue
        policies_by_team[limit.team].depths[limit.urgency] = limit.depth
