"""Reconciliation of runs: expired leases, draining workers, stalled tasks and cancelled jobs."""

from papayaspar_events import lines
from papayaspar_jobs import tasks, units
from papayaspar_lead import links, orders, recording, state
from papayaspar_runs import workers
from papayaspar_scheduling import drains, stalls, stops
from papayaspar_store import records

MILLISECONDS_PER_SECOND = 1000.0
# A VM without tasks is forgotten when its agent has been disconnected for this long, in seconds:
# longer than any disruption after which it returns under its name.
FORGET_TIMEOUT_S = 60.0
# The lead was paused, or could not keep up, if this much time passed between two rounds, in
# seconds: four times the planning interval (`scheduling.PLAN_INTERVAL_S`).
PAUSE_MIN_S = 1.0


class Reconciler:
    """Reconcile assigned tasks with the state of their workers, before each planning.

    :param scheduler_state: state of the scheduler.
    :param order_sender: sends stop orders.
    :param recorder: deletes records.
    :param unlinked_expiry_s: when the lease of a worker without a link has certainly expired, on
        the lead's clock.
    """

    def __init__(
        self,
        scheduler_state: state.SchedulerState,
        order_sender: orders.Orders,
        recorder: recording.Recorder,
        unlinked_expiry_s: float,
    ) -> None:
        self._state = scheduler_state
        self._orders = order_sender
        self._recorder = recorder
        self._unlinked_expiry_s = unlinked_expiry_s
        self._last_round_s: float | None = None
        # Since when rounds have followed one another without a pause, on the lead's clock.
        self._steady_since_s = float("-inf")
        # Runs on unreachable workers that were recorded as such, by VM.
        self._unconfirmed: dict[str, set[tuple[tasks.TaskKey, int]]] = {}
        # Newest heartbeat of each draining worker, and when it leaves, on the lead's clock, by VM.
        self._departures: dict[str, tuple[int, float]] = {}

    def reconcile(self, now_s: float) -> None:
        """Requeue or stop the tasks that can't continue on their workers, and forget lost agents.

        :param now_s: the lead's clock.
        """
        if self._last_round_s is not None and now_s - self._last_round_s > PAUSE_MIN_S:
            self._steady_since_s = now_s
        self._last_round_s = now_s
        self.release_departed(now_s)
        self.release_expired(now_s)
        self.stop_cancelled_and_failed()
        self.vacate_leaving_workers(now_s)
        self.restart_stalled(now_s)
        self.forget_disconnected(now_s)

    def forget_disconnected(self, now_s: float) -> None:
        """Forget agents that were disconnected for long; an agent that runs registers again."""
        for node, link in list(self._state.links.items()):
            is_lost = not link.is_attached and now_s - link.disconnected_since_s > FORGET_TIMEOUT_S
            if not is_lost or self._state.work.tasks_on_node(node):
                continue
            link.stop_dialling()
            del self._state.links[node]
            self._departures.pop(node, None)
            self._state.view.agents.pop(node, None)
            self._recorder.delete_agent(node)
            self._state.events.record(lines.EventKind.AGENT_FORGOTTEN, worker=node)

    def stop_cancelled_and_failed(self) -> None:
        """Stop the running units of cancelled and failed jobs."""
        for active in self._state.work.jobs():
            if not active.is_cancelled and not active.progress.has_failed:
                continue
            reason, purpose = "the job has failed", stops.FAILED_JOB
            if active.is_cancelled:
                reason, purpose = "cancelled", stops.CANCEL
            for unit in active.progress.active_units():
                self._orders.stop_unit(unit, reason, purpose)

    def release_departed(self, now_s: float) -> None:
        """Apply the stored departures of workers to their tasks."""
        for node, record in self._state.view.agents.items():
            if record.departure is not None:
                self.handle_departure(node, record.departure, now_s)

    def handle_departure(self, node: str, departure: records.Departure, now_s: float) -> None:
        """Apply the results of a worker that terminated, and requeue the rest of its tasks.

        :param node: VM of the worker.
        :param departure: the departure that the worker's agent reported.
        :param now_s: the lead's clock.
        """
        done_runs = {done_run.task: done_run.run for done_run in departure.done}
        for task in self._state.work.tasks_on_node(node):
            if task.record.incarnation != departure.incarnation or task.is_starting:
                continue
            if done_runs.get(task.key) == task.record.run:
                end = workers.RunResult(0, task.key, task.record.run, tasks.EndKind.DONE)
                self._state.work.apply_end(node, end, now_s)
                continue
            self._state.work.release(task, "its worker has terminated")

    def release_expired(self, now_s: float) -> None:
        """Requeue the tasks of disconnected workers whose leases have certainly expired."""
        for node in self._state.work.nodes_with_tasks():
            link = self._state.links.get(node)
            worker_lease_expiry_s = (
                link.worker_lease_expiry_s() if link is not None else self._unlinked_expiry_s
            )
            if link is not None and link.is_attached:
                self._unconfirmed.pop(node, None)
                continue
            if now_s < worker_lease_expiry_s:
                self._record_unconfirmed(node, worker_lease_expiry_s - now_s)
                continue
            self._unconfirmed.pop(node, None)
            for task in self._state.work.tasks_on_node(node):
                if not task.is_starting:
                    self._state.work.release(task, "its worker's lease has expired")

    def _record_unconfirmed(self, node: str, remaining_s: float) -> None:
        """Record once for each run on an unreachable worker when it counts as ended.

        :param node: VM of the worker.
        :param remaining_s: time until the worker's lease has certainly expired, in seconds.
        """
        recorded = self._unconfirmed.setdefault(node, set())
        current = {(task.key, task.record.run) for task in self._state.work.tasks_on_node(node)}
        for key, run in sorted(current - recorded):
            recorded.add((key, run))
            self._state.events.record(
                lines.EventKind.TASK_UNCONFIRMED,
                worker=node,
                job=key.job_id,
                attempt=run,
                detail=f"task={key} lost_in_s={remaining_s:.1f} the agent is not attached",
            )

    def vacate_leaving_workers(self, now_s: float) -> None:
        """Stop the units whose worker leaves before they can end, as late as it makes sense."""
        for unit, action in self._leaving_units(now_s):
            if action is drains.Action.STOP:
                self._orders.stop_unit(unit, "its worker is draining", stops.DRAIN)

    def deferred_units(self, now_s: float) -> list[units.Unit]:
        """Return the units on draining workers that restart from the beginning when stopped.

        They are stopped only once other workers have capacity for them, or may be preempted, since
        a draining worker may run longer than it announced.
        """
        return [unit for unit, action in self._leaving_units(now_s) if action is drains.Action.MOVE]

    def _leaving_units(self, now_s: float) -> list[tuple[units.Unit, drains.Action]]:
        """Return the units with a task on a draining worker, and what to do with each."""
        leaves_s: dict[units.Unit, float] = {}
        for link in self._state.links.values():
            node_leaves_s = self._leaves_s(link, now_s)
            if node_leaves_s is None:
                continue
            for task in self._state.work.tasks_on_node(link.node):
                leaves_s[task.unit] = min(node_leaves_s, leaves_s.get(task.unit, node_leaves_s))
        return [
            (
                unit,
                drains.action(unit, unit_leaves_s - now_s, now_s, self._state.work.durations),
            )
            for unit, unit_leaves_s in leaves_s.items()
        ]

    def _leaves_s(self, link: links.AgentLink, now_s: float) -> float | None:
        """Return when a draining worker leaves at the earliest, on the lead's clock.

        It is ``None`` for other workers. Each heartbeat gives the time that is left when it was
        sent; a heartbeat that is read again is as old as when it was first read.
        """
        heartbeat = link.state.heartbeat if link.state is not None else None
        if heartbeat is None or heartbeat.condition is not workers.Condition.DRAINING:
            self._departures.pop(link.node, None)
            return None
        known = self._departures.get(link.node)
        if known is None or known[0] != heartbeat.sequence:
            remaining_s = (heartbeat.remaining_ms or 0) / MILLISECONDS_PER_SECOND
            known = (heartbeat.sequence, now_s + remaining_s)
            self._departures[link.node] = known
        return known[1]

    def restart_stalled(self, now_s: float) -> None:
        """Stop units with a hung member, so that they restart elsewhere, and eject its worker.

        After a pause of the lead, reports that arrived meanwhile have not been read yet: no run
        counts as stalled until the lead has been running for as long as a stall takes.
        """
        if now_s - self._steady_since_s < units.STALL_TIMEOUT_S:
            return
        work = self._state.work
        for unit in work.stalled_units(now_s):
            task = stalls.stalled_member(unit, now_s, work.durations, work.tasks_on_node)
            link = self._state.links.get(task.record.node) if task is not None else None
            if task is None or link is None or not link.worker.is_open:
                continue
            work.outcomes(link.node).record_stall(now_s)
            self._state.events.record(
                lines.EventKind.TASK_STALLED,
                worker=link.node,
                job=task.key.job_id,
                attempt=task.record.run,
                detail=f"task={task.key} percent={task.percent:.0f}"
                f" still_s={now_s - task.progressed_s:.1f}",
            )
            self._orders.stop_unit(unit, "stalled", stops.STALL)
