"""Events of the gangs on this worker, from what the ledger holds."""

import attrs

from papayaspar_events import journal, lines
from papayaspar_model import workers
from papayaspar_slots import ledger


@attrs.frozen
class RunningPart:
    """A part of a gang whose tasks run here.

    :param job: the job.
    :param attempt: run of the job.
    :param team: whose work.
    """

    job: str
    attempt: int
    team: str


class GangEvents:
    """Records when parts of gangs start and stop.

    :param book: the worker's ledger.
    :param record: the process's journal.
    """

    def __init__(self, book: ledger.Ledger, record: journal.Journal) -> None:
        self._ledger = book
        self._journal = record
        self._running: frozenset[RunningPart] = frozenset()

    async def run(self) -> None:
        """Watch the ledger until cancelled; runs in a task of its own."""
        while True:
            seen = self._ledger.changes.sequence
            self._compare()
            await self._ledger.changes.wait_beyond(seen)

    def _compare(self) -> None:
        running = frozenset(map(_part, filter(_runs, self._ledger.uses())))
        for part in running - self._running:
            self._record(lines.EventKind.TASK_STARTED, part)
        for part in self._running - running:
            self._record(lines.EventKind.TASK_STOPPED, part)
        self._running = running
        self._journal.metrics.set_state("gangs", len(running))

    def _record(self, kind: lines.EventKind, part: RunningPart) -> None:
        self._journal.record(
            kind,
            worker=self._journal.process,
            team=part.team,
            job=part.job,
            attempt=part.attempt,
        )


def _runs(use: workers.GangUse) -> bool:
    return use.elapsed_s > 0


def _part(use: workers.GangUse) -> RunningPart:
    return RunningPart(use.job_id, use.attempt, use.team)
