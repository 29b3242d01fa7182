"""The book of accepted jobs that every entry keeps from the records of the store."""

import enum
from collections.abc import Iterator

import attrs

from papayaspar_jobs import configurations, specs


class JobPhase(enum.Enum):
    """How far a job is, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether nothing changes any more."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@attrs.define
class BookedJob:
    """A job in the book.

    :param spec: what was asked for.
    :param queue: its queue as it was when the job was accepted.
    :param accepted_ms: when, in milliseconds since the Unix epoch on the accepting entry.
    :param phase: how far it is.
    :param ended_s: when its end was read, on the reader's clock; ``None`` before.
    """

    spec: specs.JobSpec
    queue: configurations.Queue
    accepted_ms: int
    phase: JobPhase = JobPhase.QUEUED
    ended_s: float | None = None


class JobBook:
    """Jobs by id, with cancellations that may come before their job."""

    def __init__(self) -> None:
        self._jobs: dict[str, BookedJob] = {}
        self._cancelled: set[str] = set()
        self._early_phases: dict[str, JobPhase] = {}

    def __iter__(self) -> Iterator[BookedJob]:
        return iter(list(self._jobs.values()))

    def __len__(self) -> int:
        return len(self._jobs)

    def find(self, job_id: str) -> BookedJob | None:
        """Return a job, or ``None`` if no record of it was read."""
        return self._jobs.get(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a cancellation was read, with or without its job."""
        return job_id in self._cancelled

    def accept(
        self, spec: specs.JobSpec, queue: configurations.Queue, accepted_ms: int
    ) -> BookedJob:
        """Take in a job's record; a repeat changes nothing.

        :param spec: what was asked for.
        :param queue: its queue as it was when the job was accepted.
        :param accepted_ms: milliseconds since the Unix epoch.
        :return: the job in the book.
        """
        known = self._jobs.get(spec.job_id)
        if known is not None:
            return known
        job = BookedJob(spec, queue, accepted_ms)
        self._jobs[spec.job_id] = job
        job.phase = self._early_phases.pop(spec.job_id, job.phase)
        if spec.job_id in self._cancelled and not job.phase.is_final:
            job.phase = JobPhase.CANCELLED
        return job

    def cancel(self, job_id: str) -> None:
        """Take in a cancellation; a job that has ended stays as it ended."""
        self._cancelled.add(job_id)
        job = self._jobs.get(job_id)
        if job is not None and not job.phase.is_final:
            job.phase = JobPhase.CANCELLED

    def set_phase(self, job_id: str, phase: JobPhase) -> None:
        """Take in a phase from the lead; a cancelled job can only be shown as ended before it."""
        job = self._jobs.get(job_id)
        if job is None:
            self._early_phases[job_id] = phase
            return
        if job.phase in (JobPhase.SUCCEEDED, JobPhase.FAILED):
            return
        if job.phase is JobPhase.CANCELLED and not phase.is_final:
            return
        job.phase = phase

    def forget(self, job_id: str) -> None:
        """Drop all that is known of a job."""
        self._jobs.pop(job_id, None)
        self._cancelled.discard(job_id)
        self._early_phases.pop(job_id, None)

    def queued_count(self, queue: str) -> int:
        """Return how many jobs of a queue have started no task."""
        count = 0
        for job in self._jobs.values():
            if job.spec.queue != queue or job.phase is not JobPhase.QUEUED:
                continue
            count += 1
        return count
