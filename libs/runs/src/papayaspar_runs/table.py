"""The agent's table of the runs of one worker."""

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_runs import workers


@attrs.define
class Run:
    """A run that is, or may be, on the worker.

    :param status: newest status that the worker reported.
    :param resources: resources of the run, or ``None`` if another agent process started it.
    :param is_starting: whether the worker has not answered the start order yet.
    :param since_poll: number of a poll; if a poll with a higher number does not list the run, it is
        not running.
    :param is_withdrawn: whether the lead ordered a stop while the start was in progress.
    """

    status: workers.RunStatus
    resources: specs.Resources | None
    is_starting: bool
    since_poll: int
    is_withdrawn: bool = False


class RunTable:
    """Runs and unacknowledged results of one incarnation of a worker."""

    def __init__(self) -> None:
        # By task and number of the run: a worker may have a run that the lead took as lost while
        # the next run of the task is ordered.
        self._runs: dict[tuple[tasks.TaskKey, int], Run] = {}
        # Sum of the resources of the runs.
        self._used = specs.Resources()
        self.ends: tuple[workers.RunResult, ...] = ()
        # Whether the worker may have more results than `ends`.
        self.has_more_ends = False

    def statuses(self) -> tuple[workers.RunStatus, ...]:
        """Return the statuses of the runs that have started."""
        return tuple(run.status for run in self._runs.values() if not run.is_starting)

    def forget_incarnation(self, poll_number: int) -> None:
        """Remove the runs of a former incarnation of the worker.

        :param poll_number: number of the poll that showed the new incarnation; a run that was
            ordered later may have started in either incarnation, and is kept until a later poll.
        """
        for key, run in list(self._runs.items()):
            if not run.is_starting and run.since_poll < poll_number:
                self._remove(key)
        self.ends = ()
        self.has_more_ends = False

    def fits(self, resources: specs.Resources, capacity: specs.Resources) -> bool:
        """Return whether a task fits beside the runs whose resources are known."""
        return capacity.holds(self._used.plus(resources))

    @property
    def listed_count(self) -> int:
        """Number of runs and results in the newest state of the worker."""
        return len(self._runs) + len(self.ends)

    def _add(self, run: Run) -> None:
        key = (run.status.task, run.status.run)
        self._remove(key)
        self._runs[key] = run
        if run.resources is not None:
            self._used = self._used.plus(run.resources)

    def _remove(self, key: tuple[tasks.TaskKey, int]) -> None:
        run = self._runs.pop(key, None)
        if run is not None and run.resources is not None:
            self._used = self._used.minus(run.resources)

    def begin_start(
        self, task: tasks.TaskKey, run: int, resources: specs.Resources, poll_number: int
    ) -> None:
        """Add a run whose start is in progress; its resources count as used from now on."""
        self._add(Run(workers.RunStatus(task, run), resources, True, poll_number))

    def record_started(self, task: tasks.TaskKey, run: int, poll_number: int) -> None:
        """Record that a run started.

        :param poll_number: number of the newest poll that was sent.
        """
        known_run = self._runs.get((task, run))
        if known_run is None:
            return
        known_run.is_starting = False
        known_run.since_poll = poll_number

    def record_not_started(self, task: tasks.TaskKey, run: int) -> None:
        """Remove a run that has certainly not started."""
        known_run = self._runs.get((task, run))
        if known_run is not None and known_run.is_starting:
            self._remove((task, run))

    def withdraw(self, task: tasks.TaskKey, run: int) -> None:
        """Record that a run whose start is in progress is not wanted any more."""
        known_run = self._runs.get((task, run))
        if known_run is not None and known_run.is_starting:
            known_run.is_withdrawn = True

    def is_withdrawn(self, task: tasks.TaskKey, run: int) -> bool:
        """Return whether a run was withdrawn while its start was in progress."""
        known_run = self._runs.get((task, run))
        return known_run is not None and known_run.is_withdrawn

    def abandon_start(self, task: tasks.TaskKey, run: int, poll_number: int) -> None:
        """Record that the lead disconnected before the outcome of a start was known.

        :param poll_number: number of the newest poll that was sent; if a later poll does not list
            the run, the run never started: the worker refuses its order under a newer token.
        """
        known_run = self._runs.get((task, run))
        if known_run is not None and known_run.is_starting:
            known_run.is_starting = False
            known_run.since_poll = poll_number

    def has_started(
        self, task: tasks.TaskKey, run: int, status: workers.WorkerStatus
    ) -> bool | None:
        """Return whether a worker's status lists a run as running or ended.

        :return: ``None`` if the worker does not list the run, but may have more results.
        """
        for run_status in status.running:
            if run_status.task == task and run_status.run == run:
                return True
        for end in status.ended:
            if end.task == task and end.run == run:
                return True
        return None if status.has_more_ends else False

    def apply_status(self, status: workers.WorkerStatus, number: int) -> bool:
        """Apply the status that a poll returned.

        :param status: the worker's answer.
        :param number: number of the poll, which rises with each one sent.
        :return: whether runs or results changed.
        """
        previous = (self.statuses(), self.ends, self.has_more_ends)
        listed = {(run_status.task, run_status.run): run_status for run_status in status.running}
        for key, run_status in listed.items():
            known_run = self._runs.get(key)
            if known_run is None:
                self._add(Run(run_status, None, False, number))
                continue
            known_run.status = run_status
            known_run.is_starting = False
        for key, run in list(self._runs.items()):
            if run.is_starting or run.since_poll >= number:
                continue
            if key not in listed:
                self._remove(key)
        self.ends = status.ended
        self.has_more_ends = status.has_more_ends
        return previous != (self.statuses(), self.ends, self.has_more_ends)
