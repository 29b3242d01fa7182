"""Events about gangs on this worker, derived from changes of the ledger."""

import attrs

from papayaspar_events import journal, lines
from papayaspar_model import workers
from papayaspar_slots import ledger


@attrs.frozen
class RunningPart:
    """A part of a gang whose tasks are running on this worker.

    :param job: identifier of the job.
    :param attempt: number of the job's attempt.
    :param team: team of the job.
    """

    job: str
    attempt: int
    team: str


class GangEvents:
    """Records when parts of gangs start and stop.

    :param worker_ledger: the worker's ledger.
    :param event_journal: event journal of the process.
    """

    def __init__(self, worker_ledger: ledger.Ledger, event_journal: journal.Journal) -> None:
        self._ledger = worker_ledger
        self._journal = event_journal
        self._running: frozenset[RunningPart] = frozenset()

    async def run(self) -> None:
        """Record an event for each change of the running parts, until cancelled."""
        while True:
            seen_sequence = self._ledger.changes.sequence
            self._record_changes()
            await self._ledger.changes.wait_for_change(seen_sequence)

    def _record_changes(self) -> None:
        running = frozenset(map(_running_part, filter(_is_running, self._ledger.uses())))
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


def _is_running(use: workers.GangUse) -> bool:
    return use.elapsed_s > 0


def _running_part(use: workers.GangUse) -> RunningPart:
    return RunningPart(use.job_id, use.attempt, use.team)
