"""Evacuations of data centres at the lead: start leases, withdrawn starts and reports of both."""

import attrs

from papayaspar_events import lines
from papayaspar_jobs import evacuations, tasks
from papayaspar_lead import links, orders, state
from papayaspar_scheduling import evacuation

MILLISECONDS_PER_SECOND = 1000.0


@attrs.define
class _Progress:
    """What the lead has done about one evacuation.

    :param since_s: when the lead applied it first, on the lead's clock.
    :param withdrawn: tasks whose start was called back, each with the number of its run.
    :param is_in_force: whether no start there is in progress any more.
    """

    since_s: float
    withdrawn: set[tuple[tasks.TaskKey, int]] = attrs.field(factory=set)
    is_in_force: bool = False


class EvacuationControl:
    """Apply the operators' evacuations to the lead's starts.

    :param scheduler_state: state of the scheduler.
    :param order_sender: sends stop orders.
    :param source: the evacuations that the operators have requested.
    :param bound_s: time after the acknowledgement of an evacuation from which on nothing may start
        there, in seconds; ``None`` if the deployment has no such bound.
    """

    def __init__(
        self,
        scheduler_state: state.SchedulerState,
        order_sender: orders.Orders,
        source: evacuations.EvacuationSource,
        bound_s: float | None,
    ) -> None:
        self._state = scheduler_state
        self._orders = order_sender
        self._source = source
        self._bound_s = bound_s
        self._progress: dict[str, _Progress] = {}

    async def watch(self) -> None:
        """Trigger a planning round after each change of the evacuations, until cancelled."""
        seen_sequence = self._source.changes.sequence
        while True:
            seen_sequence = await self._source.changes.wait_for_change(seen_sequence)
            self._state.changes.notify()

    def start_lease_s(self, data_centre: str) -> float | None:
        """Return for how long work may start in a data centre, or ``None`` for no limit.

        :param data_centre: name of the data centre, or empty if it is unknown.
        """
        return evacuation.start_lease_s(
            self._source.current(), data_centre, self._source.age_s(), self._bound_s
        )

    def may_start_on(self, node: str) -> bool:
        """Return whether work may start on a VM now."""
        link = self._state.links.get(node)
        lease_s = self.start_lease_s(link.worker.data_centre if link is not None else "")
        return lease_s is None or lease_s > 0

    def excluded_nodes(self) -> frozenset[str]:
        """Return the VMs on which work may not start now."""
        return frozenset(node for node in self._state.links if not self.may_start_on(node))

    def update(self, now_s: float) -> None:
        """Call back the starts that are in progress in evacuated data centres.

        :param now_s: the lead's clock.
        """
        current = self._source.current()
        for data_centre in [name for name in self._progress if not current.covers(name)]:
            del self._progress[data_centre]
            self._set_gauges(data_centre, 0, 0)
        if not current.by_data_centre:
            return
        for data_centre in current.by_data_centre:
            self._progress.setdefault(data_centre, _Progress(now_s))
        self._withdraw_starts(current)
        for data_centre, request in current.by_data_centre.items():
            self._report(request, self._progress[data_centre], now_s)

    def _withdraw_starts(self, current: evacuations.Evacuations) -> None:
        data_centres = {node: link.worker.data_centre for node, link in self._state.links.items()}
        assigned = list(self._state.work.assigned_tasks())
        for unit in evacuation.units_to_withdraw(assigned, data_centres, current):
            for task in unit.members:
                progress = self._progress.get(data_centres.get(task.record.node, ""))
                if progress is not None and task.is_starting:
                    progress.withdrawn.add((task.key, task.record.run))
            self._orders.stop_unit(unit, "its data centre is evacuated")

    def _report(self, request: evacuations.Evacuation, progress: _Progress, now_s: float) -> None:
        """Set the metrics of an evacuation, and record once when it is in force."""
        evacuated = self._links_in(request.data_centre)
        assigned = [
            task for link in evacuated for task in self._state.work.tasks_on_node(link.node)
        ]
        self._set_gauges(request.data_centre, len(evacuated), len(assigned))
        if progress.is_in_force or any(task.is_starting for task in assigned):
            return
        if not self._are_workers_known(now_s):
            return
        progress.is_in_force = True
        self._state.events.record(
            lines.EventKind.EVACUATION_IN_FORCE,
            duration_ms=(now_s - progress.since_s) * MILLISECONDS_PER_SECOND,
            detail=f"of={request.data_centre} offset={request.offset}"
            f" record_age_max_s={request.age_max_s + now_s - request.read_s:.1f}"
            f" workers={len(evacuated)} withdrawn={len(progress.withdrawn)}"
            f" running={len(assigned)}",
        )

    def _are_workers_known(self, now_s: float) -> bool:
        """Return whether the data centre of each worker is known that is expected to report it.

        A new lead has no reports at first.
        """
        if not self._state.links:
            return False
        return not any(
            not link.worker.data_centre and link.is_reconnect_expected(now_s)
            for link in self._state.links.values()
        )

    def _links_in(self, data_centre: str) -> list[links.AgentLink]:
        return [
            link for link in self._state.links.values() if link.worker.data_centre == data_centre
        ]

    def _set_gauges(self, data_centre: str, worker_count: int, task_count: int) -> None:
        metrics = self._state.events.metrics
        metrics.set_data_centre_state("evacuated_workers", data_centre, worker_count)
        metrics.set_data_centre_state("evacuated_tasks", data_centre, task_count)
