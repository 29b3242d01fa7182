"""The agent's table of the runs of one worker."""

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_runs import workers


@attrs.define
class Run:
    """A run that is, or may be, on the worker.

    :param row: newest report of the worker.
    :param resources: resources of the run, or ``None`` if another agent process started it.
    :param is_starting: whether its start is not answered yet.
    :param since_poll: number of a poll; if a later poll does not list the run, it is not running.
    """

    row: workers.RunStatus
    resources: specs.Resources | None
    is_starting: bool
    since_poll: int


class RunTable:
    """Runs and unacknowledged results of one incarnation of a worker."""

    def __init__(self) -> None:
        self._runs: dict[tasks.TaskKey, Run] = {}
        self.ends: tuple[workers.RunResult, ...] = ()

    def rows(self) -> tuple[workers.RunStatus, ...]:
        """Return the runs that have started."""
        return tuple(run.row for run in self._runs.values() if not run.is_starting)

    def forget_incarnation(self, poll_number: int) -> None:
        """Remove the runs of a former incarnation of the worker.

        :param poll_number: number of the poll that showed the new incarnation; a run that was
            ordered since may have started in either one, and is kept until a later poll.
        """
        for task, run in list(self._runs.items()):
            if not run.is_starting and run.since_poll < poll_number:
                del self._runs[task]
        self.ends = ()

    def fits(self, resources: specs.Resources, capacity: specs.Resources) -> bool:
        """Return whether a task fits beside the runs whose resources are known."""
        used = resources
        for run in self._runs.values():
            if run.resources is not None:
                used = used.plus(run.resources)
        return capacity.holds(used)

    def record_start(
        self, task: tasks.TaskKey, run: int, resources: specs.Resources, poll_number: int
    ) -> None:
        """Add a run whose start is in progress; its resources count from now on."""
        self._runs[task] = Run(workers.RunStatus(task, run), resources, True, poll_number)

    def record_started(self, task: tasks.TaskKey, run: int, poll_number: int) -> None:
        """Record that a run started.

        :param poll_number: number of the newest poll that was sent.
        """
        known = self._runs.get(task)
        if known is None or known.row.run != run:
            return
        known.is_starting = False
        known.since_poll = poll_number

    def record_not_started(self, task: tasks.TaskKey, run: int) -> None:
        """Remove a run that has certainly not started."""
        known = self._runs.get(task)
        if known is not None and known.row.run == run and known.is_starting:
            del self._runs[task]

    def abandon_start(self, task: tasks.TaskKey, run: int, poll_number: int) -> None:
        """Record that the lead of a start without a known outcome has disconnected.

        :param poll_number: number of the newest poll that was sent; if a later one does not list
            the run, it never started, since its order is refused under a new token.
        """
        known = self._runs.get(task)
        if known is not None and known.row.run == run and known.is_starting:
            known.is_starting = False
            known.since_poll = poll_number

    def has_started(self, task: tasks.TaskKey, run: int, status: workers.WorkerStatus) -> bool:
        """Return whether a worker's status lists a run as running or ended."""
        for row in status.running:
            if row.task == task and row.run == run:
                return True
        return any(end.task == task and end.run == run for end in status.ended)

    def apply_status(self, status: workers.WorkerStatus, number: int) -> bool:
        """Apply the status that a poll returned.

        :param status: the worker's answer.
        :param number: number of the poll, which rises with each one sent.
        :return: whether runs or results changed.
        """
        before = (self.rows(), self.ends)
        listed = {row.task: row for row in status.running}
        for row in status.running:
            known = self._runs.get(row.task)
            if known is None or (known.row.run < row.run and not known.is_starting):
                self._runs[row.task] = Run(row, None, False, number)
                continue
            if known.row.run == row.run:
                known.row = row
                known.is_starting = False
        for task, run in list(self._runs.items()):
            if run.is_starting or run.since_poll >= number:
                continue
            if task not in listed or listed[task].run != run.row.run:
                del self._runs[task]
        self.ends = status.ended
        return before != (self.rows(), self.ends)
