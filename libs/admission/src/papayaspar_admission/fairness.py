"""Start-time fair queueing over flows such as teams, urgencies or callers."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

from papayaspar_admission import heaps

FlowT = TypeVar("FlowT", bound=Hashable)


@attrs.define
class FairQueue(Generic[FlowT]):
    """Which backlogged flow is served next, by weighted shares of slot time.

    Each flow has a start tag: the slot time it has had, divided by its weight. The least tag
    goes first. A flow that returns from idleness starts at the virtual time, so it neither
    saves up credit nor waits for the others. See Goyal, Vin and Cheng, "Start-time Fair
    Queuing", SIGCOMM 1996. Flows whose tag the virtual time has passed are forgotten.
    """

    _backlogged: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _idle: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _virtual_s: float = attrs.field(default=0.0, init=False)

    def __len__(self) -> int:
        """Return how many flows are remembered."""
        return len(self._backlogged) + len(self._idle)

    @property
    def backlogged_count(self) -> int:
        """How many flows have work waiting."""
        return len(self._backlogged)

    def activate(self, flow: FlowT) -> None:
        """Say that a flow has work waiting."""
        if flow in self._backlogged:
            return
        tag_s = self._tag_s(flow)
        self._idle.discard(flow)
        self._backlogged.put(flow, tag_s)

    def deactivate(self, flow: FlowT) -> None:
        """Say that a flow has no work waiting."""
        if flow not in self._backlogged:
            return
        tag_s = self._backlogged.rank_of(flow)
        self._backlogged.discard(flow)
        self._keep_idle(flow, tag_s)

    def peek(self) -> FlowT | None:
        """Return the flow to serve next, or ``None`` when none is backlogged."""
        return self._backlogged.peek()

    def charge(self, flow: FlowT, cost_s: float) -> None:
        """Start work of a backlogged flow.

        :param flow: the flow served.
        :param cost_s: expected slot time divided by the flow's weight.
        """
        tag_s = self._backlogged.rank_of(flow)
        self._virtual_s = max(self._virtual_s, tag_s)
        self._backlogged.put(flow, tag_s + cost_s)
        self._forget()

    def correct(self, flow: FlowT, difference_s: float) -> None:
        """Settle a charge once the true slot time is known.

        :param flow: the flow that was charged.
        :param difference_s: true cost less the cost charged.
        """
        tag_s = max(self._virtual_s, self._tag_s(flow) + difference_s)
        if flow in self._backlogged:
            self._backlogged.put(flow, tag_s)
            return
        self._keep_idle(flow, tag_s)

    def _tag_s(self, flow: FlowT) -> float:
        if flow in self._backlogged:
            return self._backlogged.rank_of(flow)
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
