"""What agents report for their workers: results, losses and progress of runs."""

from papayaspar_events import lines
from papayaspar_jobs import tasks
from papayaspar_lead import links, orders, reconciling, recording, state
from papayaspar_runs import messages


class AgentReports:
    """Apply the reports of agents to the tasks that are assigned to their workers.

    :param scheduler_state: state of the scheduler.
    :param order_sender: stops runs that no task is assigned to.
    :param recorder: stores the records that change.
    :param reconciler: applies departures of workers.
    """

    def __init__(
        self,
        scheduler_state: state.SchedulerState,
        order_sender: orders.Orders,
        recorder: recording.Recorder,
        reconciler: reconciling.Reconciler,
    ) -> None:
        self._state = scheduler_state
        self._orders = order_sender
        self._recorder = recorder
        self._reconciler = reconciler

    def apply(
        self,
        link: links.AgentLink,
        reported: messages.AgentState,
        previous: messages.AgentState | None,
    ) -> None:
        """Apply the results, losses and progress that an agent reports for its worker.

        Progress alone triggers no planning round, as a loaded fleet reports it all the time; the
        next round takes it into account.

        :param link: the link to the agent.
        :param reported: the state.
        :param previous: the state that the agent reported before on the same stream, or ``None``.
        """
        if reported.departure is not None:
            self._reconciler.handle_departure(
                link.node, reported.departure, self._state.clock.now_s()
            )
        if reported.has_lapsed:
            for task in self._state.work.tasks_on_node(link.node):
                if not task.is_starting:
                    self._state.work.release(task, "the worker's lease has expired")
        if reported.incarnation is not None and reported.is_answering:
            self._state.work.adopt_unrecorded(
                link.node,
                reported.incarnation,
                (*reported.ends, *reported.runs),
                self._state.clock.now_s(),
            )
            self._apply_ends(link, reported, reported.incarnation)
            self._apply_runs(link, reported, reported.incarnation)
        self._recorder.flush()
        if previous is None or reported.has_more_than_progress(previous):
            self._state.changes.notify()

    def _apply_ends(
        self, link: links.AgentLink, reported: messages.AgentState, incarnation: tasks.Incarnation
    ) -> None:
        for end in reported.ends:
            if end.number <= link.acknowledged.get(incarnation, 0):
                continue
            self._state.work.apply_end(link.node, end, self._state.clock.now_s())
        if reported.ends:
            number = max(end.number for end in reported.ends)
            # The flush that follows queues the changed records before this coroutine runs.
            self._state.spawner.start(self._recorder.acknowledge, link, incarnation, number)

    def _apply_runs(
        self, link: links.AgentLink, reported: messages.AgentState, incarnation: tasks.Incarnation
    ) -> None:
        now_s = self._state.clock.now_s()
        listed = {(run_status.task, run_status.run): run_status for run_status in reported.runs}
        for task in self._state.work.tasks_on_node(link.node):
            run_status = listed.get((task.key, task.record.run))
            if task.record.incarnation != incarnation:
                if run_status is not None:
                    # The start order reached a new incarnation of a worker that kept its id.
                    self._state.work.adopt(task, incarnation)
                elif not task.is_starting and not reported.has_more_ends:
                    self._state.work.release(task, "the worker has a new incarnation")
                continue
            if run_status is not None:
                self._state.work.apply_progress(task, run_status, now_s)
                continue
            if task.is_starting or reported.has_more_ends:
                # A run that has ended is listed once the results before its own are acknowledged.
                continue
            self._state.work.release(task, "its worker does not list the run")
        ended = {(end.task, end.run) for end in reported.ends}
        for run_status in reported.runs:
            if (run_status.task, run_status.run) in ended:
                # Its agent removes the run at the next poll.
                continue
            known_task = self._state.work.find_task(run_status.task)
            if (
                known_task is not None
                and known_task.is_assigned
                and known_task.record.run == run_status.run
            ):
                if known_task.record.node == link.node:
                    continue
            if self._state.work.is_run_finished(run_status.task, run_status.run):
                continue
            if known_task is not None and known_task.is_starting:
                self._orders.stop_unit(known_task.unit, "another run of it is listed")
            self._state.events.record(
                lines.EventKind.TASK_UNKNOWN,
                worker=link.node,
                job=run_status.task.job_id,
                attempt=run_status.run,
                detail=f"task={run_status.task}",
            )
            self._state.spawner.start(self._orders.stop_run, link, run_status.task, run_status.run)
