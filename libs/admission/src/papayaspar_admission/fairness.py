"""Weighted fair queueing over flows such as teams or callers."""

from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

from papayaspar_admission import heaps

FlowT = TypeVar("FlowT", bound=Hashable)


@attrs.define
class _Backlog:
    """Start tag, weight and cost of the next work of one backlogged flow."""

    start_s: float
    weight: float
    cost_s: float

    @property
    def finish_s(self) -> float:
        return self.start_s + self.cost_s / self.weight


@attrs.define
class FairQueue(Generic[FlowT]):
    """Chooses the backlogged flow to serve next, by weighted shares of slot time.

    Each flow has a start tag: its slot time so far, divided by its weight. Its finish tag adds the
    cost of its next work divided by the weight. The flow with the smallest finish tag is served
    first, so that short work starts earlier without getting a larger share. A flow that becomes
    active again starts at the virtual time, so that it neither gains credit for its idle time nor
    falls behind the other flows. The virtual time advances with the started work, divided by the
    total weight of all backlogged flows, and is never behind the smallest start tag.

    See Stiliadis and Varma, "Efficient Fair Queueing Algorithms for Packet-Switched Networks"
    (starting potential-based fair queueing), IEEE/ACM Transactions on Networking, 1998.
    Idle flows are dropped once the virtual time reaches their start tag.
    """

    _backlogs: dict[FlowT, _Backlog] = attrs.field(factory=dict, init=False)
    _starts: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _finishes: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _idle: heaps.KeyedHeap[FlowT] = attrs.field(factory=heaps.KeyedHeap, init=False)
    _total_weight: float = attrs.field(default=0.0, init=False)
    _virtual_s: float = attrs.field(default=0.0, init=False)
    _last_charge_s: float = attrs.field(default=0.0, init=False)

    def __len__(self) -> int:
        """Return the number of tracked flows, idle ones included."""
        return len(self._backlogs) + len(self._idle)

    def activate(self, flow: FlowT, weight: float, cost_s: float) -> None:
        """Mark a flow as backlogged, or update its next work.

        :param flow: the flow.
        :param weight: its share relative to other flows.
        :param cost_s: expected slot time of its next work, in seconds.
        """
        backlog = self._backlogs.get(flow)
        if backlog is None:
            backlog = _Backlog(self._idle_tag_s(flow), weight, cost_s)
            self._idle.discard(flow)
            self._backlogs[flow] = backlog
            self._total_weight += weight
        self._total_weight += weight - backlog.weight
        backlog.weight = weight
        backlog.cost_s = cost_s
        self._update_tags(flow, backlog)

    def deactivate(self, flow: FlowT) -> None:
        """Mark a flow as idle."""
        backlog = self._backlogs.pop(flow, None)
        if backlog is None:
            return
        self._starts.discard(flow)
        self._finishes.discard(flow)
        self._total_weight -= backlog.weight
        self._set_idle_tag(flow, backlog.start_s)

    def peek(self) -> FlowT | None:
        """Return the flow to serve next, or ``None`` when none is backlogged."""
        return self._finishes.peek()

    def charge(self, flow: FlowT, cost_s: float) -> None:
        """Charge a backlogged flow for work that starts.

        The caller then passes the flow's next work to :meth:`activate`.

        :param flow: the flow served.
        :param cost_s: expected slot time in seconds.
        """
        self._advance(cost_s)
        backlog = self._backlogs[flow]
        backlog.start_s += cost_s / backlog.weight
        self._update_tags(flow, backlog)
        self._drop_expired_idle()

    def correct(self, flow: FlowT, difference_s: float) -> None:
        """Correct a charge when the actual slot time is known.

        :param flow: the flow that was charged.
        :param difference_s: actual slot time minus charged slot time, divided by the weight, in
            seconds.
        """
        backlog = self._backlogs.get(flow)
        if backlog is None:
            self._set_idle_tag(flow, self._idle_tag_s(flow) + difference_s)
            return
        min_tag_s = min(backlog.start_s, self._virtual_s)
        backlog.start_s = max(min_tag_s, backlog.start_s + difference_s)
        self._update_tags(flow, backlog)

    def _advance(self, cost_s: float) -> None:
        """Advance the virtual time by the previous charge, at least to the smallest start tag."""
        first = self._starts.peek()
        min_tag_s = self._virtual_s if first is None else self._backlogs[first].start_s
        self._virtual_s = max(self._virtual_s + self._last_charge_s / self._total_weight, min_tag_s)
        self._last_charge_s = cost_s

    def _update_tags(self, flow: FlowT, backlog: _Backlog) -> None:
        self._starts.put(flow, backlog.start_s)
        self._finishes.put(flow, backlog.finish_s)

    def _idle_tag_s(self, flow: FlowT) -> float:
        if flow in self._idle:
            return max(self._virtual_s, self._idle.rank_of(flow))
        return self._virtual_s

    def _set_idle_tag(self, flow: FlowT, tag_s: float) -> None:
        self._idle.discard(flow)
        if tag_s > self._virtual_s:
            self._idle.put(flow, tag_s)

    def _drop_expired_idle(self) -> None:
        flow = self._idle.peek()
        while flow is not None and self._idle.rank_of(flow) <= self._virtual_s:
            self._idle.discard(flow)
            flow = self._idle.peek()
