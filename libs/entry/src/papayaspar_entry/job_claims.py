"""Claims of jobs on the log: a job that is not idempotent is launched by one entry only."""

import anyio

from papayaspar_entry import appends, job_table, records
from papayaspar_model import errors, identifiers

# Longest wait for the log to show which claim won, in seconds.
CLAIM_TIMEOUT_S = 5.0
# Pause after an append without an answer, in seconds: the claim may have been appended.
UNANSWERED_PAUSE_S = 0.25


class JobClaims:
    """Claims of this entry, which stay valid while it is running.

    :param appender: appends records to the log's stream of jobs.
    :param table: jobs as the log shows them.
    """

    def __init__(self, appender: appends.Appender, table: job_table.JobTable) -> None:
        self._appender = appender
        self._table = table
        self._claim_id = identifiers.new_id("claim")

    def is_foreign(self, tracked: job_table.TrackedJob) -> bool:
        """Return whether another entry claimed a job."""
        return tracked.claim_id not in ("", self._claim_id)

    async def claim(self, tracked: job_table.TrackedJob) -> bool:
        """Claim a job, so that no other entry launches it too.

        :param tracked: job to claim.
        :return: whether this entry won the claim.
        """
        if not tracked.claim_id:
            record = records.JobClaimed(tracked.job.job_id, self._claim_id)
            try:
                await self._appender.append(records.encode(record))
            except errors.PapayasparError:
                # The claim may have been appended; the log shows below which claim won.
                await anyio.sleep(UNANSWERED_PAUSE_S)
            with anyio.move_on_after(CLAIM_TIMEOUT_S):
                while not tracked.claim_id:
                    await self._table.changes.wait_for_change(self._table.changes.sequence)
        return tracked.claim_id == self._claim_id
