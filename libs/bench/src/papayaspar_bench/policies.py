"""Admission policies that the experiments compare."""

import abc
import collections

import anyio
import attrs

from papayaspar_admission import queues
from papayaspar_model import clock, errors, rulesets, work

FIFO_QUEUE_LENGTH_MAX = 3072  # like the admission queue: 256 for each of 4 teams and 3 urgencies


class Policy(abc.ABC):
    """An admission policy, which decides which request gets the next free slot.

    :param rules: the rules in force.
    """

    name: str

    @abc.abstractmethod
    def __init__(self, rules: rulesets.RuleSet) -> None: ...

    @abc.abstractmethod
    async def acquire(self, request: work.Request) -> queues.Ticket:
        """Wait for a slot.

        :param request: the request to admit.
        :raises PapayasparError: if the request is rejected.
        """

    @abc.abstractmethod
    def release(self, ticket: queues.Ticket) -> None:
        """Release the slot of a ticket."""

    @abc.abstractmethod
    def set_capacity(self, slots: int) -> None:
        """Set the number of slots that may be in use at once."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Number of slots in use."""


class AdmissionQueuePolicy(Policy):
    """The admission queue of an entry."""

    name = "ours"

    def __init__(self, rules: rulesets.RuleSet) -> None:
        self._queue = queues.AdmissionQueue(clock.LoopClock())
        self._queue.apply(rules)

    async def acquire(self, request: work.Request) -> queues.Ticket:
        """Wait for a slot in the admission queue."""
        return await self._queue.acquire(request)

    def release(self, ticket: queues.Ticket) -> None:
        """Release the slot to the admission queue."""
        self._queue.release(ticket)

    def set_capacity(self, slots: int) -> None:
        """Set the capacity of the admission queue."""
        self._queue.set_capacity(slots)

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return self._queue.in_flight


@attrs.define(eq=False)
class _WaitingRequest:
    granted: anyio.Event = attrs.field(factory=anyio.Event)


class FifoPolicy(Policy):
    """One bounded first-in, first-out queue for all requests."""

    name = "fifo"

    def __init__(self, rules: rulesets.RuleSet) -> None:
        self._capacity = 0
        self._in_flight = 0
        self._serial = 0
        self._waiting: collections.OrderedDict[int, _WaitingRequest] = collections.OrderedDict()

    async def acquire(self, request: work.Request) -> queues.Ticket:
        """Wait until all earlier requests have a slot and one more is free."""
        enqueued_s = anyio.current_time()
        if self._in_flight >= self._capacity or self._waiting:
            await self._wait(request)
        else:
            self._in_flight += 1
        self._serial += 1
        return queues.Ticket(self._serial, request, enqueued_s, anyio.current_time())

    def release(self, ticket: queues.Ticket) -> None:
        """Release the slot and grant it to the oldest waiting request."""
        self._in_flight -= 1
        self._grant_free_slots()

    def set_capacity(self, slots: int) -> None:
        """Set the number of slots and grant those that became free."""
        self._capacity = slots
        self._grant_free_slots()

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return self._in_flight

    async def _wait(self, request: work.Request) -> None:
        if len(self._waiting) >= FIFO_QUEUE_LENGTH_MAX:
            raise errors.OverloadedError("the queue is full")
        waiting = _WaitingRequest()
        self._waiting[id(waiting)] = waiting
        with anyio.move_on_after(request.deadline_s - anyio.current_time()):
            await waiting.granted.wait()
        if waiting.granted.is_set():
            return
        del self._waiting[id(waiting)]
        raise errors.DeadlineError

    def _grant_free_slots(self) -> None:
        while self._waiting and self._in_flight < self._capacity:
            _, waiting = self._waiting.popitem(last=False)
            self._in_flight += 1
            waiting.granted.set()


ALL: tuple[type[Policy], ...] = (AdmissionQueuePolicy, FifoPolicy)
