"""The waiting and running requests of one team."""

import attrs

from papayaspar_admission import fairness, lanes
from papayaspar_model import rulesets, work

URGENCY_WEIGHTS = {
    work.Urgency.URGENT: 16.0,
    work.Urgency.NORMAL: 4.0,
    work.Urgency.BATCH: 1.0,
}
URGENCY_ORDER = {urgency: place for place, urgency in enumerate(work.Urgency)}
BORROWED_DISCOUNTS = {
    work.Urgency.URGENT: 4.0,
    work.Urgency.NORMAL: 2.0,
    work.Urgency.BATCH: 1.0,
}
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


@attrs.define
class TeamQueue:
    """One team's requests: weighted shares among urgencies, equal shares among callers."""

    by_urgency: dict[work.Urgency, lanes.Lane] = attrs.field(
        factory=lambda: {urgency: lanes.Lane() for urgency in work.Urgency}, init=False
    )
    urgencies: fairness.FairQueue[work.Urgency] = attrs.field(
        factory=fairness.FairQueue, init=False
    )
    in_flight: int = attrs.field(default=0, init=False)
    waiting: int = attrs.field(default=0, init=False)

    @property
    def is_idle(self) -> bool:
        """Whether nothing of the team waits or runs."""
        return self.in_flight == 0 and self.waiting == 0

    @property
    def next_urgency(self) -> work.Urgency | None:
        """The urgency to serve next, or ``None`` when nothing waits."""
        return self.urgencies.peek()

    def push(self, waiting: lanes.Waiting) -> None:
        """Add a request to its lane."""
        urgency = waiting.request.urgency
        self.by_urgency[urgency].push(waiting)
        self.waiting += 1
        self.urgencies.activate(urgency)

    def head(self) -> lanes.Waiting | None:
        """Return the request to serve next, or ``None``."""
        urgency = self.next_urgency
        if urgency is None:
            return None
        return self.by_urgency[urgency].head()

    def remove(self, waiting: lanes.Waiting) -> bool:
        """Take a request out of its lane.

        :param waiting: the request.
        :return: whether it was there.
        """
        urgency = waiting.request.urgency
        lane = self.by_urgency[urgency]
        if not lane.remove(waiting):
            return False
        self.waiting -= 1
        if len(lane) == 0:
            self.urgencies.deactivate(urgency)
        return True

    def start(self, waiting: lanes.Waiting, cost_s: float, now_s: float) -> None:
        """Move a request from waiting to running and charge its shares.

        :param waiting: the request, which is in its lane.
        :param cost_s: expected slot time.
        :param now_s: reading of the clock.
        """
        request = waiting.request
        lane = self.by_urgency[request.urgency]
        self.urgencies.charge(request.urgency, cost_s / URGENCY_WEIGHTS[request.urgency])
        lane.callers.charge(request.caller, cost_s)
        self.remove(waiting)
        lane.drain.started(now_s, len(lane) > 0)
        self.in_flight += 1

    def finish(self, request: work.Request, difference_s: float) -> None:
        """Settle the charges of a request that ended.

        :param request: the request.
        :param difference_s: true slot time less the time charged.
        """
        self.in_flight -= 1
        weight = URGENCY_WEIGHTS[request.urgency]
        self.urgencies.correct(request.urgency, difference_s / weight)
        self.by_urgency[request.urgency].callers.correct(request.caller, difference_s)


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
        policy.guaranteed += _scaled(floor.slots, scale)
    for quota in rules.quotas:
        policy = found.get(quota.team)
        if policy is None or quota.slots is None:
            continue
        policy.ceiling = _scaled(quota.slots, share_ratio)
    _set_depths(found, rules)
    return found


def _scaled(slots: int, ratio: float) -> int:
    if slots == 0 or ratio == 0:
        return 0
    return max(1, int(slots * ratio))


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
