"""Admission policies that the experiments compare."""

import abc
import collections

import anyio
import attrs

from papayaspar_admission import queues
from papayaspar_model import clock, errors, rulesets, work

FIFO_DEPTH = 3072


class Policy(abc.ABC):
    """Who gets the next free slot.

    :param rules: the rules in force.
    """

    name: str

    @abc.abstractmethod
    def __init__(self, rules: rulesets.RuleSet) -> None: ...

    @abc.abstractmethod
    async def acquire(self, request: work.Request) -> queues.Ticket:
        """Wait for a slot.

        :param request: the request.
        :raises PapayasparError: the request is refused.
        """

    @abc.abstractmethod
    def release(self, ticket: queues.Ticket) -> None:
        """Give the slot back."""

    @abc.abstractmethod
    def set_capacity(self, slots: int) -> None:
        """Follow the view of the workers."""

    @property
    @abc.abstractmethod
    def in_flight(self) -> int:
        """Slots held."""


class Ours(Policy):
    """The admission queue of an entry."""

    name = "ours"

    def __init__(self, rules: rulesets.RuleSet) -> None:
        self._queue = queues.AdmissionQueue(clock.LoopClock())
        self._queue.apply(rules)

    async def acquire(self, request: work.Request) -> queues.Ticket:
        """Wait for a slot in the admission queue."""
        return await self._queue.acquire(request)

    def release(self, ticket: queues.Ticket) -> None:
        """Give the slot back."""
        self._queue.release(ticket)

    def set_capacity(self, slots: int) -> None:
        """Follow the view of the workers."""
        self._queue.set_capacity(slots)

    @property
    def in_flight(self) -> int:
        """Slots held."""
        return self._queue.in_flight


@attrs.define(eq=False)
class _Place:
    free: anyio.Event = attrs.field(factory=anyio.Event)


class Fifo(Policy):
    """One bounded queue for all, first come, first served."""

    name = "fifo"

    def __init__(self, rules: rulesets.RuleSet) -> None:
        self._capacity = 0
        self._held = 0
        self._serial = 0
        self._line: collections.OrderedDict[int, _Place] = collections.OrderedDict()

    async def acquire(self, request: work.Request) -> queues.Ticket:
        """Wait for all that came before."""
        enqueued_s = anyio.current_time()
        if self._held >= self._capacity or self._line:
            await self._wait(request)
        else:
            self._held += 1
        self._serial += 1
        return queues.Ticket(self._serial, request, enqueued_s, anyio.current_time())

    def release(self, ticket: queues.Ticket) -> None:
        """Hand the slot to the oldest request."""
        self._held -= 1
        self._start()

    def set_capacity(self, slots: int) -> None:
        """Follow the view of the workers."""
        self._capacity = slots
        self._start()

    @property
    def in_flight(self) -> int:
        """Slots held."""
        return self._held

    async def _wait(self, request: work.Request) -> None:
        if len(self._line) >= FIFO_DEPTH:
            raise errors.OverloadedError("the queue is full")
        place = _Place()
        self._line[id(place)] = place
        with anyio.move_on_after(request.deadline_s - anyio.current_time()):
            await place.free.wait()
        if place.free.is_set():
            return
        del self._line[id(place)]
        raise errors.DeadlineError

    def _start(self) -> None:
        while self._line and self._held < self._capacity:
            _, place = self._line.popitem(last=False)
            self._held += 1
            place.free.set()


ALL: tuple[type[Policy], ...] = (Ours, Fifo)
