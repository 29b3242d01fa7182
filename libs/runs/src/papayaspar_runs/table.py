"""The runs of one worker as its agent knows them."""

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_runs import workers


@attrs.define
class Run:
    """A run that is, or may be, on the worker.

    :param row: what the worker last said of it.
    :param room: what it takes, or ``None`` if another agent process started it.
    :param is_starting: whether its start is not answered yet.
    :param since_look: looks sent later than this one must list it.
    """

    row: workers.RunningRow
    room: specs.Room | None
    is_starting: bool
    since_look: int


class RunTable:
    """Runs and unacknowledged ends of one life of a worker."""

    def __init__(self) -> None:
        self._runs: dict[tasks.TaskKey, Run] = {}
        self.ends: tuple[workers.EndRow, ...] = ()

    def rows(self) -> tuple[workers.RunningRow, ...]:
        """Return the runs that have started."""
        return tuple(run.row for run in self._runs.values() if not run.is_starting)

    def forget_life(self, look: int) -> None:
        """Forget what a former life of the worker ran.

        :param look: number of the look that showed the new life; runs that were ordered since may
            have begun in either, and stay until a later look lists them or does not.
        """
        for task, run in list(self._runs.items()):
            if not run.is_starting and run.since_look < look:
                del self._runs[task]
        self.ends = ()

    def fits(self, room: specs.Room, capacity: specs.Room) -> bool:
        """Return whether a task fits beside the runs whose room is known."""
        used = room
        for run in self._runs.values():
            if run.room is not None:
                used = used.plus(run.room)
        return capacity.holds(used)

    def begin(self, task: tasks.TaskKey, run: int, room: specs.Room, look: int) -> None:
        """Note a start that is under way; its room counts from now on."""
        self._runs[task] = Run(workers.RunningRow(task, run), room, True, look)

    def started(self, task: tasks.TaskKey, run: int, look: int) -> None:
        """Note that a run began.

        :param look: number of the newest look that was sent.
        """
        known = self._runs.get(task)
        if known is None or known.row.run != run:
            return
        known.is_starting = False
        known.since_look = look

    def not_started(self, task: tasks.TaskKey, run: int) -> None:
        """Note that a run certainly did not begin."""
        known = self._runs.get(task)
        if known is not None and known.row.run == run and known.is_starting:
            del self._runs[task]

    def abandon(self, task: tasks.TaskKey, run: int, look: int) -> None:
        """Note that nobody waits any more for a start that may or may not have begun.

        :param look: number of the newest look that was sent; a later one that does not list the
            run shows that it never began, since its order is refused under a new token.
        """
        known = self._runs.get(task)
        if known is not None and known.row.run == run and known.is_starting:
            known.is_starting = False
            known.since_look = look

    def has_begun(self, task: tasks.TaskKey, run: int, look: workers.Look) -> bool:
        """Return whether a look shows a run, running or ended."""
        for row in look.running:
            if row.task == task and row.run == run:
                return True
        return any(end.task == task and end.run == run for end in look.ended)

    def take(self, look: workers.Look, number: int) -> bool:
        """Take in a look.

        :param look: what the worker said.
        :param number: number of the look, which rises with each one sent.
        :return: whether runs or ends differ from before.
        """
        before = (self.rows(), self.ends)
        listed = {row.task: row for row in look.running}
        for row in look.running:
            known = self._runs.get(row.task)
            if known is None or (known.row.run < row.run and not known.is_starting):
                self._runs[row.task] = Run(row, None, False, number)
                continue
            if known.row.run == row.run:
                known.row = row
                known.is_starting = False
        for task, run in list(self._runs.items()):
            if run.is_starting or run.since_look >= number:
                continue
            if task not in listed or listed[task].run != run.row.run:
                del self._runs[task]
        self.ends = look.ended
        return before != (self.rows(), self.ends)
