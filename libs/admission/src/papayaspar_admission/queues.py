"""Admission queue of an entry: assigns slots to requests and rejects requests."""

import contextlib
from collections.abc import AsyncIterator

import anyio
import anyio.lowlevel
import attrs

from papayaspar_admission import fairness, heaps, lanes, reserves, teams
from papayaspar_estimates import averages
from papayaspar_model import clock, errors, rulesets, work

RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 60.0
RETRY_AFTER_UNKNOWN_S = 1.0


@attrs.frozen
class Ticket:
    """The right to use one slot, until it is released.

    :param serial: serial number of the ticket in this process.
    :param request: the request that holds the slot.
    :param enqueued_s: time at which the request was enqueued, in seconds.
    :param started_s: time at which the slot was assigned, in seconds.
    """

    serial: int
    request: work.Request
    enqueued_s: float
    started_s: float


@attrs.frozen
class _Charge:
    """Slot time that a running request was charged.

    :param cost_s: expected slot time in seconds.
    :param borrowed_weight: weight with which its team was charged for a borrowed slot; ``None`` if
        the slot is guaranteed.
    """

    cost_s: float
    borrowed_weight: float | None


@attrs.frozen
class QueueStatus:
    """Slots and waiting requests of one team.

    :param team: name of the team.
    :param in_flight: number of slots held.
    :param guaranteed: number of guaranteed slots, scaled to this entry.
    :param waiting: number of waiting requests.
    """

    team: str
    in_flight: int
    guaranteed: int
    waiting: int


class AdmissionQueue:
    """Bounded queues by team and urgency that share a number of slots.

    A free slot goes first to teams below their guarantee, the most urgent request first. Whether
    a team is below its guarantee depends only on the slots it currently holds. The remaining slots
    are borrowed: they go to teams by weighted fair shares of slot time, in which urgent work has a
    larger weight. Within a team, callers have equal shares and urgent work has a larger weight.

    :param clock_source: the clock of this process.
    :param capacity: initial number of slots.
    """

    def __init__(self, clock_source: clock.Clock, capacity: int = 0) -> None:
        self._clock = clock_source
        self._capacity = capacity
        self._share_ratio = 1.0
        self._rules = rulesets.RuleSet()
        self._policies: dict[str, teams.TeamPolicy] = {}
        self._teams: dict[str, teams.TeamQueue] = {}
        self._below_guarantee: heaps.KeyedHeap[str] = heaps.KeyedHeap()
        self._borrowers: fairness.FairQueue[str] = fairness.FairQueue()
        self._reserve = reserves.Reserve()
        self._durations = averages.Durations()
        self._charges: dict[int, _Charge] = {}
        self._serial = 0

    @property
    def in_flight(self) -> int:
        """Number of slots held."""
        return len(self._charges)

    @property
    def capacity(self) -> int:
        """Total number of slots."""
        return self._capacity

    def status(self) -> tuple[QueueStatus, ...]:
        """Return the slots and waiting requests of each team that is not idle."""
        statuses = []
        for name, team in sorted(self._teams.items()):
            guaranteed = self._policy(name).guaranteed
            statuses.append(QueueStatus(name, team.in_flight, guaranteed, team.waiting))
        return tuple(statuses)

    def set_capacity(self, slots: int, share_ratio: float | None = None) -> None:
        """Set the number of slots, which depends on the available workers.

        :param slots: number of slots of this entry.
        :param share_ratio: this entry's share of guarantees and quotas, from 0 to 1; these apply
            to all entries together. ``None`` leaves the share unchanged.
        """
        if share_ratio is None:
            share_ratio = self._share_ratio
        if (slots, share_ratio) == (self._capacity, self._share_ratio):
            return
        self._capacity = max(0, slots)
        self._share_ratio = share_ratio
        self._update_policies()

    def apply(self, rules: rulesets.RuleSet) -> None:
        """Apply a revision of the rules; older revisions are ignored.

        Waiting requests of removed teams are rejected.

        :param rules: the rules.
        """
        if rules.revision < self._rules.revision:
            return
        self._rules = rules
        self._update_policies()

    async def acquire(self, request: work.Request) -> Ticket:
        """Wait for a slot.

        When the call is cancelled because the caller disconnected, the request is never started.

        :param request: the request.
        :return: the ticket, to be passed to :meth:`release`.
        :raises UnknownTeamError: the team is not in the rules.
        :raises OverloadedError: the queue is full, or drains too slowly for the deadline.
        :raises QuotaExceededError: the queue is full because the team is at its quota.
        :raises DeadlineError: the deadline passed before a slot was free.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        waiting = self._enqueue(request)
        self._dispatch()
        try:
            remaining_s = request.deadline_s - self._clock.now_s()
            with anyio.move_on_after(remaining_s):
                await waiting.decided.wait()
        except BaseException:
            self._remove_cancelled(waiting)
            raise
        if waiting.refusal is not None:
            raise waiting.refusal
        if waiting.ticket_serial is None:
            self._remove_cancelled(waiting)
            raise errors.DeadlineError(
                f"no slot of team {request.team} became free before the deadline"
            )
        return Ticket(
            serial=waiting.ticket_serial,
            request=request,
            enqueued_s=waiting.enqueued_s,
            started_s=waiting.started_s,
        )

    def release(self, ticket: Ticket, ran: bool = True) -> None:
        """Release a slot; repeated calls have no effect.

        :param ticket: the ticket.
        :param ran: whether the slot was used; only then its time is charged and recorded.
        """
        held_s = self._clock.now_s() - ticket.started_s
        if self._release_slot(ticket.serial, ticket.request, held_s if ran else 0.0):
            if ran:
                self._durations.observe(ticket.request.kind, held_s)
            self._dispatch()

    @contextlib.asynccontextmanager
    async def slot(self, request: work.Request) -> AsyncIterator[Ticket]:
        """Hold a slot for the duration of a block; raises the errors of :meth:`acquire`.

        :param request: the request.
        """
        ticket = await self.acquire(request)
        try:
            yield ticket
        finally:
            self.release(ticket)

    def _enqueue(self, request: work.Request) -> lanes.WaitingRequest:
        policy = self._policies.get(request.team)
        if policy is None:
            raise errors.UnknownTeamError(f"team {request.team} is not in the rules", field="team")
        now_s = self._clock.now_s()
        if request.deadline_s <= now_s:
            raise errors.DeadlineError("the deadline passed before the request was received")
        team = self._teams.get(request.team) or teams.TeamQueue(self._durations)
        self._reject_if_overloaded(request, team, policy, now_s)
        self._teams[request.team] = team
        waiting = lanes.WaitingRequest(request, now_s)
        team.push(waiting)
        self._update_orders(request.team)
        return waiting

    def _reject_if_overloaded(
        self,
        request: work.Request,
        team: teams.TeamQueue,
        policy: teams.TeamPolicy,
        now_s: float,
    ) -> None:
        lane = team.by_urgency[request.urgency]
        if len(lane) == 0 and policy.depths[request.urgency] > 0:
            return
        wait_s = lane.drain.wait_s(now_s, lane.ahead_of(request.caller) + 1)
        if wait_s is not None and now_s + wait_s > request.deadline_s:
            raise _overloaded(
                f"the queue of team {request.team} drains too slowly for the deadline", wait_s
            )
        if len(lane) < policy.depths[request.urgency]:
            return
        displaced = lane.displaced_by(request.caller)
        detail = f"the queue of team {request.team} is full"
        if displaced is not None:
            team.remove(displaced)
            displaced.refuse(_overloaded(detail, lane.drain.wait_s(now_s, len(lane))))
        elif policy.is_at_ceiling(team.in_flight):
            raise _overloaded(f"team {request.team} is at its quota", wait_s, over_quota=True)
        else:
            raise _overloaded(detail, wait_s)

    def _dispatch(self) -> None:
        now_s = self._clock.now_s()
        while self.in_flight < self._capacity:
            name = self._below_guarantee.peek()
            if name is not None:
                self._start_next(name, now_s, borrowed=False)
                continue
            name = self._borrowers.peek()
            if name is None:
                return
            if self.in_flight + self._reserve.total(self._capacity, now_s) >= self._capacity:
                return
            self._start_next(name, now_s, borrowed=True)

    def _start_next(self, name: str, now_s: float, borrowed: bool) -> None:
        team = self._teams[name]
        waiting = team.head()
        if waiting is None:
            self._update_orders(name)
            return
        request = waiting.request
        if request.deadline_s <= now_s:
            team.remove(waiting)
            waiting.refuse(errors.DeadlineError("the deadline passed in the queue"))
            self._update_orders(name)
            return
        cost_s = self._durations.expected_s(request.kind)
        weight = None
        if borrowed:
            weight = _borrowed_weight(self._policy(name), request)
            self._borrowers.charge(name, cost_s)
        team.start(waiting, cost_s, now_s)
        self._serial += 1
        self._charges[self._serial] = _Charge(cost_s, weight)
        waiting.start(self._serial, now_s)
        self._update_orders(name)

    def _release_slot(self, serial: int, request: work.Request, held_s: float) -> bool:
        charge = self._charges.pop(serial, None)
        if charge is None:
            return False
        difference_s = held_s - charge.cost_s
        if charge.borrowed_weight is not None:
            self._borrowers.correct(request.team, difference_s / charge.borrowed_weight)
        self._teams[request.team].finish(request, difference_s)
        self._update_orders(request.team)
        return True

    def _remove_cancelled(self, waiting: lanes.WaitingRequest) -> None:
        request = waiting.request
        if waiting.ticket_serial is not None:
            if self._release_slot(waiting.ticket_serial, request, 0.0):
                self._dispatch()
            return
        team = self._teams.get(request.team)
        if team is not None and team.remove(waiting):
            self._update_orders(request.team)

    def _update_orders(self, name: str) -> None:
        """Update the rank of a changed team among those below their guarantee and the borrowers."""
        team = self._teams[name]
        policy = self._policy(name)
        now_s = self._clock.now_s()
        self._reserve.update(name, team.in_flight, team.waiting, policy.guaranteed, now_s)
        head = team.head()
        if head is None or policy.is_at_ceiling(team.in_flight):
            self._below_guarantee.discard(name)
            self._borrowers.deactivate(name)
        elif team.in_flight < policy.guaranteed:
            used_ratio = team.in_flight / policy.guaranteed
            rank = teams.URGENCY_RANKS[head.request.urgency]
            self._below_guarantee.put(name, rank, used_ratio)
            self._borrowers.deactivate(name)
        else:
            self._below_guarantee.discard(name)
            cost_s = self._durations.expected_s(head.request.kind)
            self._borrowers.activate(name, _borrowed_weight(policy, head.request), cost_s)
        if team.is_idle:
            del self._teams[name]

    def _policy(self, name: str) -> teams.TeamPolicy:
        return self._policies.get(name) or teams.TeamPolicy()

    def _update_policies(self) -> None:
        previous = self._policies
        self._policies = teams.policies(self._rules, self._share_ratio, self._capacity)
        for name in previous:
            if name not in self._policies:
                self._reject_team(name)
                self._reserve.remove(name)
        for name in tuple(self._teams):
            self._update_orders(name)
        self._dispatch()

    def _reject_team(self, name: str) -> None:
        team = self._teams.get(name)
        if team is None:
            return
        for lane in team.by_urgency.values():
            for waiting in lane.all_waiting():
                team.remove(waiting)
                waiting.refuse(
                    errors.UnknownTeamError(f"team {name} was removed from the rules", field="team")
                )


def _borrowed_weight(policy: teams.TeamPolicy, request: work.Request) -> float:
    return policy.weight * teams.BORROWED_WEIGHTS[request.urgency]


def _overloaded(
    detail: str, wait_s: float | None, over_quota: bool = False
) -> errors.OverloadedError:
    if wait_s is None:
        wait_s = RETRY_AFTER_UNKNOWN_S
    retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
    if over_quota:
        return errors.QuotaExceededError(detail, retry_after_s=retry_after_s)
    return errors.OverloadedError(detail, retry_after_s=retry_after_s)
