"""Gangs that go on in another place after a checkpoint, so that whole workers become free."""

import anyio

from papayaspar_entry import gang_runs
from papayaspar_model import errors
from papayaspar_placement import fleet, queues

PATIENCE_S = 15.0


class Moves:
    """Moves under way: the gang was asked to leave and its new place is kept for it.

    :param runs: runs of gangs.
    :param view: the fleet as this entry sees it.
    """

    def __init__(self, runs: gang_runs.GangRuns, view: fleet.FleetView) -> None:
        self._runs = runs
        self._view = view
        self._pending: dict[str, queues.Decision] = {}

    async def begin(self, decision: queues.Decision) -> None:
        """Ask a gang to save its work and leave; a move that does not come about is dropped.

        :param decision: the move, whose new place is assumed in the view.
        """
        job_id = decision.job.job_id
        self._pending[job_id] = decision
        try:
            await self._runs.give_way(decision.plan)
            await anyio.sleep(PATIENCE_S)
        except errors.PapayasparError:
            # The gang stays where it is; the move is dropped below, and chosen again if it pays.
            pass
        if self._pending.get(job_id) is decision:
            del self._pending[job_id]
            self._view.release(job_id)

    def take(self, job_id: str) -> queues.Decision | None:
        """Return the move under way of a job whose run has ended, and forget it.

        :param job_id: the job.
        """
        return self._pending.pop(job_id, None)
