"""Workers judged by the outcomes of what they ran, as passive outlier detection does.

The mechanism is that of the Envoy page's outlier detection: no probes, ejection on consecutive
failures, and a time-limited ejection that grows with each repetition. A worker that comes back gets
work again, and its first outcome decides.
"""

import attrs

# Failures of different jobs in a row, with nothing done between them, that eject a worker. With a
# tenth of all runs failing by their own fault, two in a row come by chance once in a hundred.
FAILURES_TO_EJECT = 2
# First ejection, and the longest, in seconds: impairments last 3 to 12 s.
EJECTION_S = 6.0
EJECTION_MAX_S = 30.0
# A worker on which work takes so many times its estimate is slow: estimates are off by a fifth and
# sound workers differ by a quarter (site files); slow ones take four times as long and more.
SLOW_RATIO = 2.0


@attrs.define
class Outcomes:
    """What a worker's newest runs came to.

    :param failed_jobs: jobs that failed there since the last success.
    :param ejected_until_s: when it may be tried again, on the lead's clock.
    :param ejections: ejections without a success between them.
    :param slowness: how many times its estimate the newest work takes; 1 on sound workers.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    ejected_until_s: float = 0.0
    ejections: int = 0
    slowness: float = 1.0

    def succeeded(self) -> None:
        """Note a run that was done."""
        self.failed_jobs.clear()
        self.ejections = 0
        self.ejected_until_s = 0.0

    def failed(self, job_id: str, now_s: float) -> bool:
        """Note a run that failed.

        :param job_id: its job.
        :param now_s: the lead's clock.
        :return: whether the worker is ejected by it.
        """
        self.failed_jobs.add(job_id)
        allowed = 1 if self.ejections else FAILURES_TO_EJECT
        if len(self.failed_jobs) < allowed or self.is_ejected(now_s):
            return False
        self.ejections += 1
        self.ejected_until_s = now_s + min(EJECTION_MAX_S, EJECTION_S * 2 ** (self.ejections - 1))
        self.failed_jobs.clear()
        return True

    def stalled(self, now_s: float) -> None:
        """Note a run that stalled: the worker is ejected at once.

        :param now_s: the lead's clock.
        """
        self.ejected_until_s = max(self.ejected_until_s, now_s + EJECTION_S)

    def paced(self, ratio: float) -> None:
        """Note how long work takes.

        :param ratio: its time against its estimate.
        """
        self.slowness = ratio if ratio >= SLOW_RATIO else 1.0

    def is_ejected(self, now_s: float) -> bool:
        """Return whether it gets no work now."""
        return now_s < self.ejected_until_s
