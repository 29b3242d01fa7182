"""A fake fleet: workers with slots, each behind the real concurrency limit."""

import collections
import enum

import anyio
import attrs

from papayaspar_admission import limits
from papayaspar_bench import deployments, loads, policies, virtual_time
from papayaspar_model import errors, rulesets, work, workers

SCHEDULE_SEED = "fleet"


class End(enum.Enum):
    """How a request ended."""

    DONE = "done"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"


@attrs.frozen
class Answer:
    """What became of one request.

    :param request: the request.
    :param at_s: when it came.
    :param end: how it ended.
    :param completion_s: time from its arrival to its answer.
    """

    request: work.Request
    at_s: float
    end: End
    completion_s: float


@attrs.define
class FakeWorker:
    """A target that serves as many requests at once as it has slots."""

    capacity: workers.Capacity = attrs.field(factory=workers.Capacity)
    limit: limits.ConcurrencyLimit = attrs.field(init=False)
    busy: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with a limit of as many requests as there are slots."""
        self.limit = limits.ConcurrencyLimit(self.capacity.slots, self.capacity.connections)

    @property
    def usable_slots(self) -> int:
        """Slots that may be filled: the agent refuses more than its target has."""
        return min(self.limit.limit, self.capacity.slots)

    @property
    def free_slots(self) -> int:
        """Slots that may be filled now."""
        return self.usable_slots - self.busy

    async def serve(self, kind: str, service_s: float) -> None:
        """Hold a slot for a while.

        :param kind: kind of the work.
        :param service_s: how long.
        """
        self.limit.try_acquire()
        self.busy += 1
        await anyio.sleep(service_s)
        self.busy -= 1
        self.limit.release(limits.Signal.DONE, kind, service_s)


@attrs.define
class Fleet:
    """Serves arrivals under one policy and notes every answer.

    :param policy: who gets the next slot.
    """

    policy: policies.Policy
    answers: list[Answer] = attrs.field(factory=list, init=False)
    violations: list[str] = attrs.field(factory=list, init=False)
    _workers: list[FakeWorker] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set up the workers."""
        self._workers = [FakeWorker() for _ in range(deployments.WORKERS)]

    async def run(self, arrivals: list[loads.Arrival]) -> None:
        """Send all arrivals at their times and wait for every answer.

        :param arrivals: requests in order of time.
        """
        self._follow_limits()
        async with anyio.create_task_group() as group:
            for arrival in arrivals:
                await anyio.sleep_until(arrival.at_s)
                group.start_soon(self._answer, arrival)
        self._check(arrivals)

    async def _answer(self, arrival: loads.Arrival) -> None:
        end = await self._serve(arrival)
        completion_s = anyio.current_time() - arrival.at_s
        self.answers.append(Answer(arrival.request, arrival.at_s, end, completion_s))

    async def _serve(self, arrival: loads.Arrival) -> End:
        request = arrival.request
        try:
            ticket = await self.policy.acquire(request)
        except errors.OverloadedError:
            return End.REFUSED
        except errors.DeadlineError:
            return End.EXPIRED
        if anyio.current_time() > request.deadline_s:
            self.violations.append(f"{request.request_id} started after its deadline")
        worker = max(self._workers, key=_room)
        if worker.busy >= worker.capacity.slots:
            self.violations.append(f"{request.request_id} found no free slot")
        await worker.serve(request.kind, arrival.service_s)
        self.policy.release(ticket)
        self._follow_limits()
        return End.DONE if anyio.current_time() <= request.deadline_s else End.LATE

    def _follow_limits(self) -> None:
        self.policy.set_capacity(sum(worker.usable_slots for worker in self._workers))

    def _check(self, arrivals: list[loads.Arrival]) -> None:
        answered = collections.Counter(answer.request.request_id for answer in self.answers)
        if len(answered) != len(arrivals) or len(answered) != answered.total():
            self.violations.append(f"{len(answered)} of {len(arrivals)} answered exactly once")
        if self.policy.in_flight != 0:
            self.violations.append(f"{self.policy.in_flight} slots never came back")


def _room(worker: FakeWorker) -> tuple[int, int]:
    return worker.free_slots, worker.capacity.slots - worker.busy


def simulate(
    policy: type[policies.Policy], rules: rulesets.RuleSet, arrivals: list[loads.Arrival]
) -> Fleet:
    """Run all arrivals through a fleet in virtual time.

    :param policy: who gets the next slot.
    :param rules: the rules in force.
    :param arrivals: requests in order of time.
    :return: the fleet, with its answers and violations.
    """

    async def run() -> Fleet:
        fleet = Fleet(policy(rules))
        await fleet.run(arrivals)
        return fleet

    return virtual_time.run(run, SCHEDULE_SEED)
