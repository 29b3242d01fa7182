"""Estimates of when running gangs complete."""

from papayaspar_estimates import quantiles
from papayaspar_model import work
from papayaspar_placement import entitlements, fleet, inventory


class CompletionEstimator:
    """Estimates how much longer running gangs take.

    Jobs that this process started are estimated from past run times of their team and kind. For
    other jobs only the declared run time reported by their agents is available.

    :param run_times: estimates run times by team and kind.
    """

    def __init__(self, run_times: quantiles.DurationEstimator) -> None:
        self.run_times = run_times
        self._jobs: dict[str, work.Job] = {}

    def record_start(self, job: work.Job) -> None:
        """Record that a job has started.

        :param job: the job.
        """
        self._jobs[job.job_id] = job

    def record_end(self, job_id: str, observed_s: float | None = None) -> None:
        """Record that a job no longer runs.

        :param job_id: the job.
        :param observed_s: run time in seconds if the job completed, which updates the estimates;
            ``None`` if it was stopped.
        """
        job = self._jobs.pop(job_id, None)
        if job is not None and observed_s is not None:
            self.run_times.observe(job, observed_s)

    def job(self, job_id: str) -> work.Job | None:
        """Return a running job that this process started, or ``None``."""
        return self._jobs.get(job_id)

    def remaining_s(
        self,
        gang: entitlements.RunningGang,
        now_s: float,
        quantile: float = quantiles.MEDIAN_QUANTILE,
    ) -> float:
        """Return how much longer a gang is expected to run.

        :param gang: the gang.
        :param now_s: current time of the view in seconds.
        :param quantile: share of similar gangs that should not exceed the result, from 0 to 1.
        :return: seconds; a gang that exceeds all estimates is assumed to be half done.
        """
        elapsed_s = max(0.0, now_s - gang.started_s)
        job = self._jobs.get(gang.name.job_id)
        if job is None:
            remaining_s = gang.declared_s - elapsed_s
            return remaining_s if remaining_s > 0 else elapsed_s
        return self.run_times.remaining_s(job, elapsed_s, quantile)

    def worker_remaining_s(self, worker: inventory.WorkerView, view: fleet.FleetView) -> float:
        """Return in how many seconds the last gang on a worker is expected to complete.

        :param worker: the worker.
        :param view: the view of the fleet.
        """
        longest_s = 0.0
        for job_id in worker.jobs:
            gang = view.gang(job_id)
            if gang is not None:
                longest_s = max(longest_s, self.remaining_s(gang, view.now_s))
        return longest_s
