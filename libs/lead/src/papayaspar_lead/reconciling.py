"""What runs and should not, or can't any more: lapsed, leaving, stalled, no longer wanted."""

from papayaspar_events import lines
from papayaspar_jobs import progress, tasks
from papayaspar_lead import orders, recording, state
from papayaspar_runs import workers
from papayaspar_store import records

MILLISECONDS_PER_SECOND = 1000.0
# A machine whose agent was away for so long, with no task on it, is forgotten, in seconds: longer
# than any disruption that it comes back from under its name.
FORGET_AFTER_S = 60.0


class Reconciler:
    """Looks after what runs, before each planning.

    :param duty: state of the duty.
    :param stops: orders stops.
    :param recorder: drops records.
    :param unknown_lapse_s: when the lease of a worker without a link has run out.
    """

    def __init__(
        self,
        duty: state.DutyState,
        stops: orders.Orders,
        recorder: recording.Recorder,
        unknown_lapse_s: float,
    ) -> None:
        self._state = duty
        self._orders = stops
        self._recorder = recorder
        self._unknown_lapse_s = unknown_lapse_s

    def reconcile(self, now_s: float) -> None:
        """Release, stop or restart what needs it.

        :param now_s: the lead's clock.
        """
        self.release_departed(now_s)
        self.release_lapsed(now_s)
        self.stop_unwanted()
        self.evacuate(now_s)
        self.restart_stalled(now_s)
        self.forget_gone(now_s)

    def forget_gone(self, now_s: float) -> None:
        """Drop agents that were away for long; one that lives makes itself known again."""
        for node, link in list(self._state.links.items()):
            is_gone = not link.is_attached and now_s - link.away_since_s > FORGET_AFTER_S
            if not is_gone or self._state.work.on_node(node):
                continue
            link.abandon()
            del self._state.links[node]
            self._state.view.agents.pop(node, None)
            self._recorder.drop_agent(node)
            self._state.events.record(lines.EventKind.AGENT_FORGOTTEN, worker=node)

    def stop_unwanted(self) -> None:
        """Stop what runs of cancelled and failed jobs."""
        for live in self._state.work.jobs():
            if not live.is_cancelled and not live.progress.has_failed:
                continue
            reason = "cancelled" if live.is_cancelled else "the job has failed"
            for unit in live.progress.active_units():
                self._orders.stop_unit(unit, reason)

    def release_departed(self, now_s: float) -> None:
        """Take in which workers have left, as the store says."""
        for node, record in self._state.view.agents.items():
            if record.departure is not None:
                self.take_departure(node, record.departure, now_s)

    def take_departure(self, node: str, departure: records.Departure, now_s: float) -> None:
        """Take in the ends of a worker that left, and let the rest of its tasks wait again.

        :param node: its machine.
        :param departure: what its agent said.
        :param now_s: the lead's clock.
        """
        done = {each.task: each.run for each in departure.done}
        for task in self._state.work.on_node(node):
            if task.record.incarnation != departure.incarnation or task.is_starting:
                continue
            if done.get(task.key) == task.record.run:
                end = workers.EndRow(0, task.key, task.record.run, tasks.EndKind.DONE)
                self._state.work.end(node, end, now_s)
                continue
            self._state.work.release(task, "its worker has left")

    def release_lapsed(self, now_s: float) -> None:
        """Let tasks wait again whose worker can't have them any more."""
        for node in {
            task.record.node
            for live in self._state.work.jobs()
            for task in live.progress.all_tasks()
            if task.is_assigned
        }:
            link = self._state.links.get(node)
            lapse_s = link.lapse_s() if link is not None else self._unknown_lapse_s
            if (link is not None and link.is_attached) or now_s < lapse_s:
                continue
            for task in self._state.work.on_node(node):
                if not task.is_starting:
                    self._state.work.release(task, "its worker's lease has run out")

    def evacuate(self, now_s: float) -> None:
        """Stop in time what can't end before its worker leaves and goes on, or must, elsewhere."""
        for unit in self._leavers(now_s):
            if not self._may_stay(unit):
                self._orders.stop_unit(unit, "its worker leaves")

    def stayers(self, now_s: float) -> list[progress.Unit]:
        """Return the units on leaving workers that begin anew whenever they are stopped.

        They are stopped only for room elsewhere: a worker may stay longer than it says.
        """
        return [unit for unit in self._leavers(now_s) if self._may_stay(unit)]

    def _may_stay(self, unit: progress.Unit) -> bool:
        if unit.step.is_checkpointed or unit.step.is_lasting:
            return False
        # What goes first makes room for itself, and the sooner the better.
        return self._state.work.queue_of(unit.job).priority > 0

    def _leavers(self, now_s: float) -> list[progress.Unit]:
        """Return the units with a task that can't end before its worker leaves."""
        found: dict[tasks.TaskKey, progress.Unit] = {}
        for link in self._state.links.values():
            heartbeat = link.state.heartbeat if link.state is not None else None
            if heartbeat is None or heartbeat.condition is not workers.Condition.DRAINING:
                continue
            for task in self._state.work.on_node(link.node):
                left_ms = task.left_s(now_s) * MILLISECONDS_PER_SECOND
                if task.step.is_lasting or left_ms > (heartbeat.remaining_ms or 0):
                    unit = self._state.work.unit_of(task)
                    found[unit.members[0].key] = unit
        return list(found.values())

    def restart_stalled(self, now_s: float) -> None:
        """Stop what is stalled, so that it runs elsewhere, and avoid its worker for a while."""
        for unit in self._state.work.stalled_units(now_s):
            stalled = [task for task in unit.members if task.is_stalled(now_s)]
            links_of = [self._state.links.get(task.record.node) for task in stalled]
            if not all(link is not None and link.seat.is_open for link in links_of):
                continue
            for task in stalled:
                self._state.work.outcomes(task.record.node).stalled(now_s)
                self._state.events.record(
                    lines.EventKind.TASK_STALLED,
                    worker=task.record.node,
                    job=task.key.job_id,
                    attempt=task.record.run,
                    detail=f"task={task.key} percent={task.percent:.0f}"
                    f" still_s={now_s - task.moved_s:.1f}",
                )
            self._orders.stop_unit(unit, "stalled")
