"""All jobs an entry knows of, as the log tells them."""

import collections

import attrs

from papayaspar_entry import records
from papayaspar_model import signals, work

ENDED_MAX_JOBS = 50_000


@attrs.define
class KnownJob:
    """One accepted job.

    :param job: the job.
    :param accepted_wall_s: when it was accepted, in seconds since the Unix epoch.
    :param offset: where the newest record of its acceptance stands on the log.
    :param is_cancelled: whether its caller took it back.
    :param claim_id: claim that may launch it, for a non-idempotent job.
    :param concluded_attempt: newest attempt whose outcome this entry knows.
    :param ended: its end, once there is one.
    """

    job: work.Job
    accepted_wall_s: float
    offset: int
    is_cancelled: bool = False
    claim_id: str = ""
    concluded_attempt: int = 0
    ended: records.JobEnded | None = None


class JobTable:
    """Jobs by identifier; the first claim and the first end on the log count."""

    def __init__(self) -> None:
        self._jobs: dict[str, KnownJob] = {}
        self._open: dict[str, KnownJob] = {}
        self._ended: collections.deque[str] = collections.deque()
        self.changes = signals.ChangeSignal()

    def get(self, job_id: str) -> KnownJob | None:
        """Return a job, or ``None``."""
        return self._jobs.get(job_id)

    def open_jobs(self) -> tuple[KnownJob, ...]:
        """Return the jobs that have not ended."""
        return tuple(self._open.values())

    def apply(self, record: records.JobRecord, offset: int) -> None:
        """Take in a record; repeated ones change nothing.

        :param record: the record.
        :param offset: where it stands on the log.
        """
        if isinstance(record, records.JobAccepted):
            self._accept(record, offset)
        elif isinstance(record, records.JobClaimed):
            self._claim(record)
        elif isinstance(record, records.JobCancelled):
            self._cancel(record)
        else:
            self._end(record)
        self.changes.changed()

    def _accept(self, record: records.JobAccepted, offset: int) -> None:
        known = self._jobs.get(record.job.job_id)
        if known is not None:
            known.offset = max(known.offset, offset)
            return
        made = KnownJob(record.job, record.accepted_wall_s, offset, claim_id=record.claim_id)
        self._jobs[record.job.job_id] = made
        self._open[record.job.job_id] = made

    def _claim(self, record: records.JobClaimed) -> None:
        known = self._jobs.get(record.job_id)
        if known is not None and not known.claim_id:
            known.claim_id = record.claim_id

    def _cancel(self, record: records.JobCancelled) -> None:
        known = self._jobs.get(record.job_id)
        if known is not None:
            known.is_cancelled = True

    def _end(self, record: records.JobEnded) -> None:
        known = self._jobs.get(record.job_id)
        if known is None or known.ended is not None:
            return
        known.ended = record
        del self._open[record.job_id]
        self._ended.append(record.job_id)
        if len(self._ended) > ENDED_MAX_JOBS:
            del self._jobs[self._ended.popleft()]
