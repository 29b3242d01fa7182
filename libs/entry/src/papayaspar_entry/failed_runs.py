"""Records of failed runs of jobs, of which every entry counts each once."""

import anyio

from papayaspar_entry import appends, records
from papayaspar_model import errors, signals

# Pause after an append that the log did not take, in seconds.
REPEAT_INTERVAL_S = 0.25


class FailedRunRecorder:
    """Appends records of failed runs to the log, and repeats those that it did not take.

    :param appender: appends records to the log's stream of jobs.
    """

    def __init__(self, appender: appends.Appender) -> None:
        self._appender = appender
        self._unrecorded: list[records.RunFailed] = []
        self._changes = signals.ChangeSignal()

    async def run(self) -> None:
        """Repeat records until cancelled; run this in a separate task."""
        while True:
            seen_sequence = self._changes.sequence
            for record in tuple(self._unrecorded):
                if not await self._append(record):
                    break
                self._unrecorded.remove(record)
            if self._unrecorded:
                await anyio.sleep(REPEAT_INTERVAL_S)
                continue
            await self._changes.wait_for_change(seen_sequence)

    async def record(self, job_id: str, attempt: int) -> None:
        """Record a failed run; if the log is unavailable, do so later.

        :param job_id: the job.
        :param attempt: number of the run.
        """
        record = records.RunFailed(job_id, attempt)
        if await self._append(record):
            return
        self._unrecorded.append(record)
        self._changes.notify()

    async def _append(self, record: records.RunFailed) -> bool:
        try:
            await self._appender.append(records.encode(record))
        except errors.PapayasparError:
            return False
        return True
