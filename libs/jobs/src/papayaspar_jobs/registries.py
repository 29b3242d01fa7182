"""Registry of accepted jobs, which every entry builds from the records of the store."""

import enum
from collections.abc import Iterator

import attrs

from papayaspar_jobs import configurations, specs


class JobPhase(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has completed, failed or been cancelled."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@attrs.define
class AcceptedJob:
    """An accepted job and its current phase.

    :param spec: the job's specification.
    :param queue: configuration of the job's queue at the time of acceptance.
    :param accepted_ms: time of acceptance in milliseconds since the Unix epoch, on the clock of
        the accepting entry.
    :param phase: current phase.
    :param ended_s: time at which a final phase was read, in seconds on the reader's clock;
        ``None`` before.
    """

    spec: specs.JobSpec
    queue: configurations.Queue
    accepted_ms: int
    phase: JobPhase = JobPhase.QUEUED
    ended_s: float | None = None


class JobRegistry:
    """Accepted jobs by id.

    Records of a job may be read in any order: a cancellation or a phase that is read before the
    job's own record is stored and applied when the job is accepted.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, AcceptedJob] = {}
        # Teams that cancelled a job; ``None`` stands for a cancellation that names no team.
        self._cancelling_teams: dict[str, set[str | None]] = {}
        self._early_phases: dict[str, JobPhase] = {}

    def __iter__(self) -> Iterator[AcceptedJob]:
        return iter(list(self._jobs.values()))

    def __len__(self) -> int:
        return len(self._jobs)

    def find(self, job_id: str) -> AcceptedJob | None:
        """Return a job, or ``None`` if its record has not been read."""
        return self._jobs.get(job_id)

    def is_cancelled(self, job_id: str, team: str) -> bool:
        """Return whether a team's cancellation was read, even if the job's own record was not."""
        teams = self._cancelling_teams.get(job_id, set())
        return team in teams or None in teams

    def accept(
        self, spec: specs.JobSpec, queue: configurations.Queue, accepted_ms: int
    ) -> AcceptedJob:
        """Register an accepted job; the operation is idempotent.

        :param spec: the job's specification.
        :param queue: configuration of the job's queue at the time of acceptance.
        :param accepted_ms: time of acceptance in milliseconds since the Unix epoch.
        :return: the registered job.
        """
        existing = self._jobs.get(spec.job_id)
        if existing is not None:
            return existing
        job = AcceptedJob(spec, queue, accepted_ms)
        self._jobs[spec.job_id] = job
        job.phase = self._early_phases.pop(spec.job_id, job.phase)
        if self.is_cancelled(spec.job_id, spec.team) and not job.phase.is_final:
            job.phase = JobPhase.CANCELLED
        return job

    def cancel(self, job_id: str, team: str | None = None) -> None:
        """Cancel a job; a job in a final phase, or of another team, does not change.

        :param job_id: id of the job.
        :param team: team of the caller; ``None`` in records that name no team.
        """
        self._cancelling_teams.setdefault(job_id, set()).add(team)
        job = self._jobs.get(job_id)
        if job is None or job.phase.is_final:
            return
        if self.is_cancelled(job_id, job.spec.team):
            job.phase = JobPhase.CANCELLED

    def set_phase(self, job_id: str, phase: JobPhase) -> None:
        """Apply a phase reported by the lead.

        A succeeded or failed job does not change. A cancelled job only changes to another final
        phase: it ended before the cancellation took effect.
        """
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
        """Remove a job and its pending cancellation and phase."""
        self._jobs.pop(job_id, None)
        self._cancelling_teams.pop(job_id, None)
        self._early_phases.pop(job_id, None)

    def queued_count(self, queue: str) -> int:
        """Return the number of jobs of a queue in phase ``QUEUED``."""
        count = 0
        for job in self._jobs.values():
            if job.spec.queue != queue or job.phase is not JobPhase.QUEUED:
                continue
            count += 1
        return count
