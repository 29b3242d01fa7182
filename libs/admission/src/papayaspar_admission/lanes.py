"""One bounded queue: the waiting requests of one team and urgency."""

import collections

import anyio
import attrs

from papayaspar_admission import drains, heaps
from papayaspar_model import errors, work


@attrs.define(eq=False)
class Waiting:
    """One request that waits for a slot.

    :param request: the request.
    :param enqueued_s: reading of the clock when it came.
    """

    request: work.Request
    enqueued_s: float
    settled: anyio.Event = attrs.field(factory=anyio.Event)
    refusal: errors.PapayasparError | None = None
    ticket_serial: int | None = None
    started_s: float = 0.0

    def refuse(self, refusal: errors.PapayasparError) -> None:
        """Wake the waiting task with a refusal."""
        self.refusal = refusal
        self.settled.set()

    def start(self, serial: int, now_s: float) -> None:
        """Wake the waiting task with a slot.

        :param serial: number of its ticket.
        :param now_s: reading of the clock.
        """
        self.ticket_serial = serial
        self.started_s = now_s
        self.settled.set()


Line = collections.OrderedDict[int, Waiting]


@attrs.define
class Lane:
    """Requests of one team and urgency: first come, first served within a caller."""

    drain: drains.DrainRate = attrs.field(factory=drains.DrainRate)
    _lines: dict[str, Line] = attrs.field(factory=dict, init=False)
    _longest: heaps.KeyedHeap[str] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _by_age: Line = attrs.field(factory=collections.OrderedDict, init=False)

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._by_age)

    def push(self, waiting: Waiting) -> None:
        """Add a request behind the others of its caller."""
        caller = waiting.request.caller
        line = self._lines.setdefault(caller, collections.OrderedDict())
        line[id(waiting)] = waiting
        self._by_age[id(waiting)] = waiting
        self._longest.put(caller, -len(line))

    def head(self, caller: str) -> Waiting | None:
        """Return the oldest request of one caller, or ``None``."""
        line = self._lines.get(caller)
        if line is None:
            return None
        return next(iter(line.values()))

    def oldest(self) -> Waiting | None:
        """Return the request that has waited longest, or ``None``."""
        return next(iter(self._by_age.values()), None)

    def remove(self, waiting: Waiting) -> bool:
        """Take a request out.

        :param waiting: the request.
        :return: whether it was there.
        """
        caller = waiting.request.caller
        line = self._lines.get(caller)
        if line is None or line.pop(id(waiting), None) is None:
            return False
        del self._by_age[id(waiting)]
        if line:
            self._longest.put(caller, -len(line))
            return True
        del self._lines[caller]
        self._longest.discard(caller)
        return True

    def displaced_by(self, caller: str) -> Waiting | None:
        """Return the newest request of the longest line, if a caller's line is shorter.

        :param caller: the caller that asks for a place.
        :return: the request that should give up its place, or ``None``.
        """
        longest = self._longest.peek()
        if longest is None:
            return None
        own = self._lines.get(caller, ())
        if len(self._lines[longest]) <= len(own) + 1:
            return None
        return next(reversed(self._lines[longest].values()))

    def ahead_of(self, caller: str) -> int:
        """Return about how many requests start before a new one of this caller."""
        own = self._lines.get(caller, ())
        callers = len(self._lines) + (0 if own else 1)
        return min(len(self._by_age), callers * (len(own) + 1) - 1)

    def everyone(self) -> list[Waiting]:
        """Return all requests that wait."""
        return list(self._by_age.values())
