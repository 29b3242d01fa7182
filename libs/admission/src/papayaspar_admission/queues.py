"""The admission queue of an entry: who gets the next slot, and who is refused."""

import contextlib
from collections.abc import AsyncIterator

import anyio
import anyio.lowlevel
import attrs

from papayaspar_admission import durations, fairness, heaps, lanes, reserves, teams
from papayaspar_model import clock, errors, rulesets, work

RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 60.0
RETRY_AFTER_UNKNOWN_S = 1.0


@attrs.frozen
class Ticket:
    """The right to use one slot, until it is released.

    :param serial: number of the ticket within this process.
    :param request: the request it was given to.
    :param enqueued_s: reading of the clock when the request came.
    :param started_s: reading of the clock when the slot was given.
    """

    serial: int
    request: work.Request
    enqueued_s: float
    started_s: float


@attrs.frozen
class _Charge:
    cost_s: float
    borrowed_weight: float | None


@attrs.frozen
class QueueStatus:
    """What a team holds and waits for.

    :param team: name of the team.
    :param in_flight: slots held.
    :param guaranteed: slots it can always have, as scaled to this entry.
    :param waiting: requests waiting.
    """

    team: str
    in_flight: int
    guaranteed: int
    waiting: int


class AdmissionQueue:
    """Bounded queues by urgency and team in front of a number of slots.

    A free slot goes first to teams below their guarantee, the more urgent work first. Whether a
    team is below is computed from what it holds at that moment. What is left goes to teams by
    weighted shares of slot time, in which urgent work counts for less. Within a team callers
    share alike, the more urgent work ahead.

    :param time_source: the clock of this process.
    :param capacity: slots to fill at first.
    """

    def __init__(self, time_source: clock.Clock, capacity: int = 0) -> None:
        self._clock = time_source
        self._capacity = capacity
        self._share_ratio = 1.0
        self._rules = rulesets.RuleSet()
        self._policies: dict[str, teams.TeamPolicy] = {}
        self._teams: dict[str, teams.TeamQueue] = {}
        self._below_guarantee: heaps.KeyedHeap[str] = heaps.KeyedHeap()
        self._borrowers: fairness.FairQueue[str] = fairness.FairQueue()
        self._reserve = reserves.Reserve()
        self._durations = durations.Durations()
        self._charges: dict[int, _Charge] = {}
        self._serial = 0

    @property
    def in_flight(self) -> int:
        """Slots held."""
        return len(self._charges)

    @property
    def capacity(self) -> int:
        """Slots that may be held."""
        return self._capacity

    def status(self) -> tuple[QueueStatus, ...]:
        """Return what each team that is not idle holds and waits for."""
        found = []
        for name, team in sorted(self._teams.items()):
            guaranteed = self._policy(name).guaranteed
            found.append(QueueStatus(name, team.in_flight, guaranteed, team.waiting))
        return tuple(found)

    def set_capacity(self, slots: int, share_ratio: float | None = None) -> None:
        """Follow the view of the workers.

        :param slots: slots this entry may fill.
        :param share_ratio: this entry's share of all guarantees and quotas, which hold over
            all entries together; unchanged when left out.
        """
        if share_ratio is None:
            share_ratio = self._share_ratio
        if (slots, share_ratio) == (self._capacity, self._share_ratio):
            return
        self._capacity = max(0, slots)
        self._share_ratio = share_ratio
        self._renew_policies()

    def apply(self, rules: rulesets.RuleSet) -> None:
        """Put a revision of the rules in force; older revisions are ignored.

        Requests of teams that it removes are refused.

        :param rules: the rules.
        """
        if rules.revision < self._rules.revision:
            return
        self._rules = rules
        self._renew_policies()

    async def acquire(self, request: work.Request) -> Ticket:
        """Wait for a slot.

        A caller that leaves cancels this call, and its request is never started.

        :param request: the request.
        :return: the ticket, to be given to :meth:`release`.
        :raises UnknownTeamError: the rules know no such team.
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
                await waiting.settled.wait()
        except BaseException:
            self._withdraw(waiting)
            raise
        if waiting.refusal is not None:
            raise waiting.refusal
        if waiting.ticket_serial is None:
            self._withdraw(waiting)
            raise errors.DeadlineError(f"no slot was free for team {request.team} in time")
        return Ticket(
            serial=waiting.ticket_serial,
            request=request,
            enqueued_s=waiting.enqueued_s,
            started_s=waiting.started_s,
        )

    def release(self, ticket: Ticket, ran: bool = True) -> None:
        """Give a slot back; a second time does nothing.

        :param ticket: the ticket.
        :param ran: whether the slot was used, so that its time counts and is learnt from.
        """
        held_s = self._clock.now_s() - ticket.started_s
        if self._finish(ticket.serial, ticket.request, held_s if ran else 0.0):
            if ran:
                self._durations.observe(ticket.request.kind, held_s)
            self._dispatch()

    @contextlib.asynccontextmanager
    async def slot(self, request: work.Request) -> AsyncIterator[Ticket]:
        """Hold a slot for the length of a block; raises what :meth:`acquire` raises.

        :param request: the request.
        """
        ticket = await self.acquire(request)
        try:
            yield ticket
        finally:
            self.release(ticket)

    def _enqueue(self, request: work.Request) -> lanes.Waiting:
        policy = self._policies.get(request.team)
        if policy is None:
            raise errors.UnknownTeamError(f"no team {request.team}", field="team")
        now_s = self._clock.now_s()
        if request.deadline_s <= now_s:
            raise errors.DeadlineError("the deadline passed before the request came")
        team = self._teams.get(request.team) or teams.TeamQueue(self._durations)
        self._refuse_early(request, team, policy, now_s)
        self._teams[request.team] = team
        waiting = lanes.Waiting(request, now_s)
        team.push(waiting)
        self._refresh(request.team)
        return waiting

    def _refuse_early(
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
            raise _overloaded(f"the queue of team {request.team} is too slow", wait_s)
        if len(lane) < policy.depths[request.urgency]:
            return
        displaced = lane.displaced_by(request.caller)
        detail = f"the queue of team {request.team} is full"
        if displaced is not None:
            team.remove(displaced)
            displaced.refuse(_overloaded(detail, lane.drain.wait_s(now_s, len(lane))))
        elif policy.is_capped(team.in_flight):
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
            self._refresh(name)
            return
        request = waiting.request
        if request.deadline_s <= now_s:
            team.remove(waiting)
            waiting.refuse(errors.DeadlineError("the deadline passed in the queue"))
            self._refresh(name)
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
        self._refresh(name)

    def _finish(self, serial: int, request: work.Request, held_s: float) -> bool:
        charge = self._charges.pop(serial, None)
        if charge is None:
            return False
        difference_s = held_s - charge.cost_s
        if charge.borrowed_weight is not None:
            self._borrowers.correct(request.team, difference_s / charge.borrowed_weight)
        self._teams[request.team].finish(request, difference_s)
        self._refresh(request.team)
        return True

    def _withdraw(self, waiting: lanes.Waiting) -> None:
        request = waiting.request
        if waiting.ticket_serial is not None:
            if self._finish(waiting.ticket_serial, request, 0.0):
                self._dispatch()
            return
        team = self._teams.get(request.team)
        if team is not None and team.remove(waiting):
            self._refresh(request.team)

    def _refresh(self, name: str) -> None:
        """Bring a team's place in both orders up to date after any change to it."""
        team = self._teams[name]
        policy = self._policy(name)
        now_s = self._clock.now_s()
        self._reserve.update(name, team.in_flight, team.waiting, policy.guaranteed, now_s)
        head = team.head()
        if head is None or policy.is_capped(team.in_flight):
            self._below_guarantee.discard(name)
            self._borrowers.deactivate(name)
        elif team.in_flight < policy.guaranteed:
            used_ratio = team.in_flight / policy.guaranteed
            place = teams.URGENCY_ORDER[head.request.urgency]
            self._below_guarantee.put(name, place, used_ratio)
            self._borrowers.deactivate(name)
        else:
            self._below_guarantee.discard(name)
            cost_s = self._durations.expected_s(head.request.kind)
            self._borrowers.activate(name, _borrowed_weight(policy, head.request), cost_s)
        if team.is_idle:
            del self._teams[name]

    def _policy(self, name: str) -> teams.TeamPolicy:
        return self._policies.get(name) or teams.TeamPolicy()

    def _renew_policies(self) -> None:
        before = self._policies
        self._policies = teams.policies(self._rules, self._share_ratio, self._capacity)
        for name in before:
            if name not in self._policies:
                self._refuse_team(name)
                self._reserve.drop(name)
        for name in tuple(self._teams):
            self._refresh(name)
        self._dispatch()

    def _refuse_team(self, name: str) -> None:
        team = self._teams.get(name)
        if team is None:
            return
        for lane in team.by_urgency.values():
            for waiting in lane.everyone():
                team.remove(waiting)
                waiting.refuse(errors.UnknownTeamError(f"team {name} was removed", field="team"))


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
