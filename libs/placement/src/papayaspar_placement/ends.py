"""When gangs that run now are expected to end."""

from papayaspar_model import work
from papayaspar_placement import durations, entitlements, fleet, inventory


class EndEstimator:
    """Expected ends of running gangs.

    Jobs that this process knows are estimated by team and kind; of others there is only the hint
    that their agents report.

    :param estimator: run times by team and kind.
    """

    def __init__(self, estimator: durations.DurationEstimator) -> None:
        self.estimator = estimator
        self._jobs: dict[str, work.Job] = {}

    def started(self, job: work.Job) -> None:
        """Remember a job that runs.

        :param job: the job.
        """
        self._jobs[job.job_id] = job

    def ended(self, job_id: str, observed_s: float | None = None) -> None:
        """Forget a job that no longer runs.

        :param job_id: the job.
        :param observed_s: seconds it ran if it ran to its end, to learn from.
        """
        job = self._jobs.pop(job_id, None)
        if job is not None and observed_s is not None:
            self.estimator.observe(job, observed_s)

    def job(self, job_id: str) -> work.Job | None:
        """Return a job that runs and that this process knows, or ``None``."""
        return self._jobs.get(job_id)

    def remaining_s(
        self,
        gang: entitlements.RunningGang,
        now_s: float,
        quantile: float = durations.MEDIAN_QUANTILE,
    ) -> float:
        """Return how much longer a gang is expected to run.

        :param gang: the gang.
        :param now_s: reading of the clock of the view.
        :param quantile: the share of such gangs that should not exceed the result.
        """
        elapsed_s = max(0.0, now_s - gang.started_s)
        job = self._jobs.get(gang.name.job_id)
        if job is None:
            left_s = gang.declared_s - elapsed_s
            return left_s if left_s > 0 else elapsed_s
        return self.estimator.remaining_s(job, elapsed_s, quantile)

    def worker_remaining_s(self, worker: inventory.WorkerView, view: fleet.FleetView) -> float:
        """Return when the last gang on a worker is expected to end, in seconds from now.

        :param worker: the worker.
        :param view: the fleet.
        """
        longest_s = 0.0
        for job_id in worker.jobs:
            gang = view.gang(job_id)
            if gang is not None:
                longest_s = max(longest_s, self.remaining_s(gang, view.now_s))
        return longest_s
