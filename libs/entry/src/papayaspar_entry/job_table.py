"""Jobs reconstructed from the records on the log."""

import collections

import attrs

from papayaspar_entry import records
from papayaspar_model import signals, work

ENDED_MAX_JOBS = 50_000


@attrs.define
class TrackedJob:
    """An accepted job and its state.

    :param job: specification of the job.
    :param accepted_wall_s: time of acceptance, in seconds since the Unix epoch.
    :param offset: offset of the newest record of acceptance on the log.
    :param is_cancelled: whether the caller cancelled the job.
    :param claim_id: claim that may launch a non-idempotent job, or empty.
    :param concluded_attempt: newest attempt whose result this entry received, or 0.
    :param failed_attempts: attempts whose runs failed, as far as this entry knows.
    :param is_partly_done: whether an earlier run may have saved work, from which the next one
        resumes; also a run that this entry does not know of.
    :param ended: result of the job, or ``None`` until the job has ended.
    """

    job: work.Job
    accepted_wall_s: float
    offset: int
    is_cancelled: bool = False
    claim_id: str = ""
    concluded_attempt: int = 0
    failed_attempts: set[int] = attrs.field(factory=set)
    is_partly_done: bool = False
    ended: records.JobEnded | None = None


class JobTable:
    """Jobs by identifier; only the first claim and the first result on the log are used."""

    def __init__(self) -> None:
        self._jobs: dict[str, TrackedJob] = {}
        self._open: dict[str, TrackedJob] = {}
        self._ended: collections.deque[str] = collections.deque()
        self.changes = signals.ChangeSignal()

    def get(self, job_id: str) -> TrackedJob | None:
        """Return a job, or ``None``."""
        return self._jobs.get(job_id)

    def open_jobs(self) -> tuple[TrackedJob, ...]:
        """Return the jobs that have not ended."""
        return tuple(self._open.values())

    def apply(self, record: records.JobRecord, offset: int) -> None:
        """Apply a record; a repeated record changes nothing.

        :param record: decoded record.
        :param offset: offset of the record on the log.
        """
        if isinstance(record, records.JobAccepted):
            self._accept(record, offset)
        elif isinstance(record, records.JobClaimed):
            self._claim(record)
        elif isinstance(record, records.JobCancelled):
            self._cancel(record)
        elif isinstance(record, records.RunFailed):
            self._record_failed_run(record)
        else:
            self._finish(record)
        self.changes.notify()

    def _accept(self, record: records.JobAccepted, offset: int) -> None:
        tracked = self._jobs.get(record.job.job_id)
        if tracked is not None:
            tracked.offset = max(tracked.offset, offset)
            tracked.failed_attempts.update(record.failed_attempts)
            return
        created = TrackedJob(record.job, record.accepted_wall_s, offset, claim_id=record.claim_id)
        created.failed_attempts.update(record.failed_attempts)
        self._jobs[record.job.job_id] = created
        self._open[record.job.job_id] = created

    def _claim(self, record: records.JobClaimed) -> None:
        tracked = self._jobs.get(record.job_id)
        if tracked is not None and not tracked.claim_id:
            tracked.claim_id = record.claim_id

    def _cancel(self, record: records.JobCancelled) -> None:
        tracked = self._jobs.get(record.job_id)
        if tracked is not None:
            tracked.is_cancelled = True

    def _record_failed_run(self, record: records.RunFailed) -> None:
        tracked = self._jobs.get(record.job_id)
        if tracked is not None:
            tracked.failed_attempts.add(record.attempt)

    def _finish(self, record: records.JobEnded) -> None:
        tracked = self._jobs.get(record.job_id)
        if tracked is None or tracked.ended is not None:
            return
        tracked.ended = record
        del self._open[record.job_id]
        self._ended.append(record.job_id)
        if len(self._ended) > ENDED_MAX_JOBS:
            del self._jobs[self._ended.popleft()]
