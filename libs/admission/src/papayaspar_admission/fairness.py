"""Fair queueing over flows such as teams or callers."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

from papayaspar_admission import heaps

FlowT = TypeVar("FlowT", bound=Hashable)


@attrs.define
class _Backlog:
    start_s: float
    weight: float
    cost_s: float

    @property
    def finish_s(self) -> float:
        return self.start_s + self.cost_s / self.weight


@attrs.define
class FairQueue(Generic[FlowT]):
    """Which backlogged flow is served next, by weighted shares of slot time.

    Each flow has a start tag: the slot time it has had, divided by its weight. Its finish tag
    adds the cost of its next work, and the least finish tag goes first, so that light work goes
    ahead without taking a larger share. A flow that returns from idleness starts at the virtual
    time, so it neither saves up credit nor waits for the others. The virtual time advances with
    the work started, shared by all backlogged flows, and never lags behind the least start tag.
    See Stiliadis and Varma, "Efficient Fair Queueing Algorithms for Packet-Switched Networks"
    (starting potential-based fair queueing), IEEE/ACM Transactions on Networking, 1998. Flows
    whose tag the virtual time has passed are forgotten.
    """

    _backlogs: dict[FlowT, _Backlog] = attrs.field(factory=dict, init=False)
    _starts: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _finishes: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _idle: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _weights: float = attrs.field(default=0.0, init=False)
    _virtual_s: float = attrs.field(default=0.0, init=False)
    _begun_s: float = attrs.field(default=0.0, init=False)

    def __len__(self) -> int:
        """Return how many flows are remembered."""
        return len(self._backlogs) + len(self._idle)

    def activate(self, flow: FlowT, weight: float, cost_s: float) -> None:
        """Say that a flow has work waiting, or that its next work is another.

        :param flow: the flow.
        :param weight: its share, relative to other flows.
        :param cost_s: expected slot time of its next work.
        """
        backlog = self._backlogs.get(flow)
        if backlog is None:
            backlog = _Backlog(self._idle_tag_s(flow), weight, cost_s)
            self._idle.discard(flow)
            self._backlogs[flow] = backlog
            self._weights += weight
        self._weights += weight - backlog.weight
        backlog.weight = weight
        backlog.cost_s = cost_s
        self._order(flow, backlog)

    def deactivate(self, flow: FlowT) -> None:
        """Say that a flow has no work waiting."""
        backlog = self._backlogs.pop(flow, None)
        if backlog is None:
            return
        self._starts.discard(flow)
        self._finishes.discard(flow)
        self._weights -= backlog.weight
        self._keep_idle(flow, backlog.start_s)

    def peek(self) -> FlowT | None:
        """Return the flow to serve next, or ``None`` when none is backlogged."""
        return self._finishes.peek()

    def charge(self, flow: FlowT, cost_s: float) -> None:
        """Start work of a backlogged flow; its next work is named by :meth:`activate`.

        :param flow: the flow served.
        :param cost_s: expected slot time.
        """
        self._advance(cost_s)
        backlog = self._backlogs[flow]
        backlog.start_s += cost_s / backlog.weight
        self._order(flow, backlog)
        self._forget()

    def correct(self, flow: FlowT, difference_s: float) -> None:
        """Settle a charge once the true slot time is known.

        :param flow: the flow that was charged.
        :param difference_s: true slot time less the time charged, divided by the weight.
        """
        backlog = self._backlogs.get(flow)
        if backlog is None:
            self._keep_idle(flow, self._idle_tag_s(flow) + difference_s)
            return
        least_s = min(backlog.start_s, self._virtual_s)
        backlog.start_s = max(least_s, backlog.start_s + difference_s)
        self._order(flow, backlog)

    def _advance(self, cost_s: float) -> None:
        """Move the virtual time by the work begun before, and to the least start tag."""
        first = self._starts.peek()
        least_s = self._virtual_s if first is None else self._backlogs[first].start_s
        self._virtual_s = max(self._virtual_s + self._begun_s / self._weights, least_s)
        self._begun_s = cost_s

    def _order(self, flow: FlowT, backlog: _Backlog) -> None:
        self._starts.put(flow, backlog.start_s)
        self._finishes.put(flow, backlog.finish_s)

    def _idle_tag_s(self, flow: FlowT) -> float:
        if flow in self._idle:
            return max(self._virtual_s, self._idle.rank_of(flow))
        return self._virtual_s

    def _keep_idle(self, flow: FlowT, tag_s: float) -> None:
        self._idle.discard(flow)
        if tag_s > self._virtual_s:
            self._idle.put(flow, tag_s)

    def _forget(self) -> None:
        flow = self._idle.peek()
        while flow is not None and self._idle.rank_of(flow) <= self._virtual_s:
            self._idle.discard(flow)
            flow = self._idle.peek()
