"""Queue of the waiting requests of one team and urgency."""

import collections

import anyio
import attrs

from papayaspar_admission import drains, heaps
from papayaspar_model import errors, work


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    :param request: the request.
    :param enqueued_s: time at which it was enqueued, in seconds.
    :param decided: set when the request gets a slot or is refused.
    :param refusal: the error if it was refused.
    :param ticket_serial: serial number of its ticket once it has a slot.
    :param started_s: time at which the slot was assigned, in seconds.
    """

    request: work.Request
    enqueued_s: float
    decided: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: errors.PapayasparError | None = None
    ticket_serial: int | None = None
    started_s: float = 0.0

    def refuse(self, refusal: errors.PapayasparError) -> None:
        """Wake the waiting task with a refusal."""
        self.refusal = refusal
        self.decided.set()

    def start(self, serial: int, now_s: float) -> None:
        """Wake the waiting task with a slot.

        :param serial: serial number of its ticket.
        :param now_s: current time in seconds.
        """
        self.ticket_serial = serial
        self.started_s = now_s
        self.decided.set()


CallerQueue = collections.OrderedDict[int, WaitingRequest]


@attrs.define
class Lane:
    """Waiting requests of one team and urgency; first in, first out for each caller."""

    drain: drains.DrainRate = attrs.field(factory=drains.DrainRate)
    _by_caller: dict[str, CallerQueue] = attrs.field(factory=dict, init=False)
    _longest: heaps.KeyedHeap[str] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _by_age: CallerQueue = attrs.field(factory=collections.OrderedDict, init=False)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_age)

    def push(self, waiting: WaitingRequest) -> None:
        """Append a request to the queue of its caller."""
        caller = waiting.request.caller
        queue = self._by_caller.setdefault(caller, collections.OrderedDict())
        queue[id(waiting)] = waiting
        self._by_age[id(waiting)] = waiting
        self._longest.put(caller, -len(queue))

    def head(self, caller: str) -> WaitingRequest | None:
        """Return the oldest request of one caller, or ``None``."""
        queue = self._by_caller.get(caller)
        if queue is None:
            return None
        return next(iter(queue.values()))

    def oldest(self) -> WaitingRequest | None:
        """Return the request that has waited longest, or ``None``."""
        return next(iter(self._by_age.values()), None)

    def remove(self, waiting: WaitingRequest) -> bool:
        """Remove a request.

        :param waiting: the request.
        :return: whether it was waiting.
        """
        caller = waiting.request.caller
        queue = self._by_caller.get(caller)
        if queue is None or queue.pop(id(waiting), None) is None:
            return False
        del self._by_age[id(waiting)]
        if queue:
            self._longest.put(caller, -len(queue))
            return True
        del self._by_caller[caller]
        self._longest.discard(caller)
        return True

    def displaced_by(self, caller: str) -> WaitingRequest | None:
        """Return the newest request of the caller with the longest queue.

        :param caller: the caller of a new request.
        :return: the request to remove in favour of the new one, or ``None`` if the caller's own
            queue, with the new request, would be at least as long as the longest queue.
        """
        longest = self._longest.peek()
        if longest is None:
            return None
        own = self._by_caller.get(caller, ())
        if len(self._by_caller[longest]) <= len(own) + 1:
            return None
        return next(reversed(self._by_caller[longest].values()))

    def ahead_of(self, caller: str) -> int:
        """Estimate how many requests start before a new request of a caller."""
        own = self._by_caller.get(caller, ())
        callers = len(self._by_caller) + (0 if own else 1)
        return min(len(self._by_age), callers * (len(own) + 1) - 1)

    def all_waiting(self) -> list[WaitingRequest]:
        """Return all waiting requests."""
        return list(self._by_age.values())
