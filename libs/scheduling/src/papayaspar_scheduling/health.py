"""Health of workers by passive outlier detection on the outcomes of their runs.

The mechanism is that of Envoy's outlier detection: no probes, ejection after consecutive failures,
and an ejection time that grows with each repetition. A worker whose ejection has ended gets work
again, but a single failure before its next success ejects it again.
"""

import attrs

# Number of consecutive failures, of different jobs, that eject a worker. If a tenth of all runs
# fail for reasons of their own, two consecutive failures occur by chance in one case of a hundred.
FAILURES_TO_EJECT = 2
# Duration of the first ejection and of the longest one, in seconds: impairments last 3 to 12 s.
EJECTION_S = 6.0
EJECTION_MAX_S = 30.0
# A worker is slow when its work takes at least this multiple of the estimate: estimates are off by
# a fifth, healthy workers differ by a quarter (site files), and slow ones take at least four times
# as long.
SLOW_RATIO = 2.0


@attrs.define
class Outcomes:
    """Outcomes of a worker's recent runs.

    :param failed_jobs: ids of the jobs of which a run failed on the worker since its last success
        or ejection.
    :param ejected_until_s: when the worker gets work again, on the lead's clock.
    :param ejections: number of ejections since the last success.
    :param slowness: run time of the newest work divided by its estimate; 1 for healthy workers.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    ejected_until_s: float = 0.0
    ejections: int = 0
    slowness: float = 1.0

    def record_success(self) -> None:
        """Record a successful run."""
        self.failed_jobs.clear()
        self.ejections = 0
        self.ejected_until_s = 0.0

    def record_failure(self, job_id: str, now_s: float) -> bool:
        """Record a failed run.

        :param job_id: job of the run.
        :param now_s: the lead's clock.
        :return: whether the failure ejects the worker.
        """
        self.failed_jobs.add(job_id)
        failure_limit = 1 if self.ejections else FAILURES_TO_EJECT
        if len(self.failed_jobs) < failure_limit or self.is_ejected(now_s):
            return False
        self.ejections += 1
        self.ejected_until_s = now_s + min(EJECTION_MAX_S, EJECTION_S * 2 ** (self.ejections - 1))
        self.failed_jobs.clear()
        return True

    def record_stall(self, now_s: float) -> None:
        """Record a stalled run, which ejects the worker at once.

        :param now_s: the lead's clock.
        """
        self.ejected_until_s = max(self.ejected_until_s, now_s + EJECTION_S)

    def record_pace(self, ratio: float) -> None:
        """Record the pace of a run.

        :param ratio: run time of its work divided by the estimate.
        """
        self.slowness = ratio if ratio >= SLOW_RATIO else 1.0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the worker is ejected and gets no work."""
        return now_s < self.ejected_until_s
