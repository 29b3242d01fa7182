"""A simulated fleet of workers with slots, which use the real concurrency limit class."""

import collections
import enum

import anyio
import attrs

from papayaspar_admission import limits
from papayaspar_bench import deployments, loads, policies, virtual_time
from papayaspar_model import errors, rulesets, work, workers

TASK_ORDER_SEED = "fleet"


class RequestResult(enum.Enum):
    """The result of a request.

    An answer after the deadline is late; a request that gets no slot before its deadline expires.
    """

    DONE = "done"
    LATE = "late"
    REFUSED = "refused"
    EXPIRED = "expired"


@attrs.frozen
class Answer:
    """The answer to one request.

    :param request: the request.
    :param at_s: arrival time of the request, in seconds.
    :param result: result of the request.
    :param completion_s: time from the arrival to the answer, in seconds.
    """

    request: work.Request
    at_s: float
    result: RequestResult
    completion_s: float


@attrs.define
class FakeWorker:
    """A simulated target that serves as many requests at once as it has slots."""

    capacity: workers.Capacity = attrs.field(factory=workers.Capacity)
    limit: limits.ConcurrencyLimit = attrs.field(init=False)
    busy: int = 0

    def __attrs_post_init__(self) -> None:
        """Set the initial concurrency limit to the number of slots."""
        self.limit = limits.ConcurrencyLimit(self.capacity.slots, self.capacity.connections)

    @property
    def usable_slots(self) -> int:
        """Slots that may be in use; the agent refuses requests beyond its target's slots."""
        return min(self.limit.limit, self.capacity.slots)

    @property
    def free_slots(self) -> int:
        """Slots that may be in use and are free."""
        return self.usable_slots - self.busy

    async def serve(self, kind: str, service_s: float) -> None:
        """Occupy a slot for the service time.

        :param kind: kind of the work.
        :param service_s: service time, in seconds.
        """
        self.limit.try_acquire()
        self.busy += 1
        await anyio.sleep(service_s)
        self.busy -= 1
        self.limit.release(limits.Signal.DONE, kind, service_s)


@attrs.define
class Fleet:
    """Serves requests under one admission policy and records every answer.

    :param policy: the admission policy.
    """

    policy: policies.Policy
    answers: list[Answer] = attrs.field(factory=list, init=False)
    violations: list[str] = attrs.field(factory=list, init=False)
    _workers: list[FakeWorker] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the workers."""
        self._workers = [FakeWorker() for _ in range(deployments.WORKERS)]

    async def run(self, arrivals: list[loads.Arrival]) -> None:
        """Serve all requests at their arrival times and wait for every answer.

        :param arrivals: requests in order of time.
        """
        self._update_capacity()
        async with anyio.create_task_group() as calls:
            for arrival in arrivals:
                await anyio.sleep_until(arrival.at_s)
                calls.start_soon(self._handle_arrival, arrival)
        self._check_answers(arrivals)

    async def _handle_arrival(self, arrival: loads.Arrival) -> None:
        result = await self._serve(arrival)
        completion_s = anyio.current_time() - arrival.at_s
        self.answers.append(Answer(arrival.request, arrival.at_s, result, completion_s))

    async def _serve(self, arrival: loads.Arrival) -> RequestResult:
        request = arrival.request
        try:
            ticket = await self.policy.acquire(request)
        except errors.OverloadedError:
            return RequestResult.REFUSED
        except errors.DeadlineError:
            return RequestResult.EXPIRED
        if anyio.current_time() > request.deadline_s:
            self.violations.append(f"{request.request_id} started after its deadline")
        worker = max(self._workers, key=_free_capacity)
        if worker.busy >= worker.capacity.slots:
            self.violations.append(f"{request.request_id} was admitted without a free slot")
        await worker.serve(request.kind, arrival.service_s)
        self.policy.release(ticket)
        self._update_capacity()
        return (
            RequestResult.DONE if anyio.current_time() <= request.deadline_s else RequestResult.LATE
        )

    def _update_capacity(self) -> None:
        self.policy.set_capacity(sum(worker.usable_slots for worker in self._workers))

    def _check_answers(self, arrivals: list[loads.Arrival]) -> None:
        answer_counts = collections.Counter(answer.request.request_id for answer in self.answers)
        if len(answer_counts) != len(arrivals) or len(answer_counts) != answer_counts.total():
            self.violations.append(
                f"{len(answer_counts)} of {len(arrivals)} requests answered, or some more than once"
            )
        if self.policy.in_flight != 0:
            self.violations.append(f"{self.policy.in_flight} slots were never released")


def _free_capacity(worker: FakeWorker) -> tuple[int, int]:
    return worker.free_slots, worker.capacity.slots - worker.busy


def simulate(
    policy: type[policies.Policy], rules: rulesets.RuleSet, arrivals: list[loads.Arrival]
) -> Fleet:
    """Serve all arrivals with a fleet in virtual time.

    :param policy: class of the admission policy.
    :param rules: the rules in force.
    :param arrivals: requests in order of time.
    :return: the fleet, with its recorded answers and violations.
    """

    async def run() -> Fleet:
        fleet = Fleet(policy(rules))
        await fleet.run(arrivals)
        return fleet

    return virtual_time.run(run, TASK_ORDER_SEED)
