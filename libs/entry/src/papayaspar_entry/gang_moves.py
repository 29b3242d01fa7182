"""Moves of gangs to other workers after a checkpoint, which free whole workers."""

import anyio

from papayaspar_entry import gang_runs
from papayaspar_model import errors
from papayaspar_placement import fleet, queues

MOVE_TIMEOUT_S = 15.0


class GangMoves:
    """Moves in progress, during which the view counts the gang's new accelerators as used.

    :param runs: runs of gangs.
    :param view: this entry's view of the fleet.
    """

    def __init__(self, runs: gang_runs.GangRuns, view: fleet.FleetView) -> None:
        self._runs = runs
        self._view = view
        self._pending: dict[str, queues.Decision] = {}

    async def begin(self, decision: queues.Decision) -> None:
        """Preempt a gang, which saves its work first; drop the move if that takes too long.

        :param decision: move, whose new placement is already assumed in the view.
        """
        job_id = decision.job.job_id
        self._pending[job_id] = decision
        try:
            await self._runs.preempt(decision.plan)
            await anyio.sleep(MOVE_TIMEOUT_S)
        except errors.PapayasparError:
            # The gang stays on its workers; the move is dropped below, and may be scheduled again.
            pass
        if self._pending.get(job_id) is decision:
            del self._pending[job_id]
            self._view.release(job_id)

    def pop(self, job_id: str) -> queues.Decision | None:
        """Remove and return the pending move of a job whose run has ended, or ``None``.

        :param job_id: identifier of the job.
        """
        return self._pending.pop(job_id, None)
