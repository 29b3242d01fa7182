"""Health of workers by passive outlier detection on the outcomes of their runs.

The mechanism is that of Envoy's outlier detection: no probes, ejection after consecutive failures,
and an ejection time that grows with each repetition. A worker whose ejection has ended gets work
again, but a single failure before its next success ejects it again.

A worker that fails whatever it starts frees its capacity at once and would get the next unit, and
the next. So a worker whose newest run failed is on trial, like a half-open circuit breaker: it gets
one unit at a time, after a pause that grows with each failed trial, until a run that it started
later succeeds or makes progress, or until ``TRIAL_MAX_S`` have passed without another failure.
"""

import enum

import attrs

# Number of consecutive failures, of different jobs, that eject a worker. If a tenth of all runs
# fail for reasons of their own, two consecutive failures occur by chance in one case of a hundred.
FAILURES_TO_EJECT = 2
# Duration of the first ejection and of the longest one, in seconds: impairments last 3 to 12 s.
EJECTION_S = 6.0
EJECTION_MAX_S = 30.0
# A failure or an ejection counts towards the next ejection for this long, in seconds.
FAILURE_KEPT_S = 30.0
# Pause before the first trial after a failure, in seconds; it doubles with each failed trial.
TRIAL_PAUSE_S = 0.5
TRIAL_PAUSE_MAX_S = 6.0
# A trial ends this long after the newest failure, in seconds: workers that are not tried meanwhile
# would stay on trial for as long as other work keeps the units away.
TRIAL_MAX_S = 30.0
# Longest pause before a unit runs where it failed or was refused if that costs no attempt, in
# seconds: work that waits for 3 s beside room for it counts as lost (LOST in the platform's rules).
REPEAT_PAUSE_MAX_S = 2.0
# Largest number of doublings of a pause or an ejection; a power of two of the number of failures of
# many hours would not fit into a float.
DOUBLINGS_MAX = 16
# A worker is slow when its work takes at least this multiple of the estimate: estimates are off by
# a fifth, healthy workers differ by a quarter (site files), and slow ones take at least four times
# as long.
SLOW_RATIO = 2.0


class Trial(enum.Enum):
    """Whether a worker is on trial since its newest run failed.

    ``NONE``: it is not on trial. ``OPEN``: it may try one unit. ``CLOSED``: it began to try a unit
    a moment ago, or pauses after the failure.
    """

    NONE = "none"
    OPEN = "open"
    CLOSED = "closed"


@attrs.define
class Outcomes:
    """Outcomes of a worker's recent runs.

    :param failed_jobs: ids of the jobs of which a run failed on the worker since its last success
        or ejection, or since it had neither failed nor been ejected for ``FAILURE_KEPT_S``.
    :param ejected_until_s: when the worker gets work again, on the lead's clock.
    :param ejections: number of ejections since then.
    :param slowness: run time of the newest work divided by its estimate; 1 for healthy workers.
    :param failed_s: time of the newest failure, on the lead's clock; ``None`` unless the worker is
        on trial.
    :param failed_trials: number of consecutive failures, each of a run that started after the one
        before.
    :param proven_s: latest start of a run that succeeded or made progress, on the lead's clock.
    :param newest_failure_s: time of the newest failure, with progress or without, on the lead's
        clock.
    """

    failed_jobs: set[str] = attrs.field(factory=set)
    ejected_until_s: float = 0.0
    ejections: int = 0
    slowness: float = 1.0
    failed_s: float | None = None
    failed_trials: int = 0
    proven_s: float = float("-inf")
    newest_failure_s: float = float("-inf")

    def record_success(self, started_s: float = float("inf")) -> None:
        """Record a successful run.

        A run that was already running at the newest failure proves nothing about runs that the
        worker starts now.

        :param started_s: start of the run, on the lead's clock; the default is after any failure.
        """
        if not self.record_health(started_s):
            return
        self.failed_jobs.clear()
        self.ejections = 0
        self.ejected_until_s = 0.0

    def record_health(self, started_s: float) -> bool:
        """Record that a run succeeded or makes progress.

        :param started_s: start of the run, on the lead's clock.
        :return: whether the run started after the newest failure, which ends the trial.
        """
        self.proven_s = max(self.proven_s, started_s)
        if self.failed_s is not None and started_s <= self.failed_s:
            return False
        self.failed_s = None
        self.failed_trials = 0
        return True

    def record_failure(
        self,
        job_id: str,
        now_s: float,
        started_s: float = float("inf"),
        had_progress: bool = False,
        is_repeated: bool = False,
    ) -> bool:
        """Record a failed run.

        :param job_id: job of the run.
        :param now_s: the lead's clock.
        :param started_s: start of the run, on the lead's clock; the default is after any failure.
        :param had_progress: whether the run had made progress, which shows that the worker can run
            work; its failure puts the worker on no trial.
        :param is_repeated: whether the run is of a lasting task that failed on the worker before.
            Such a task is restarted without limit, so its failures would never let a trial or the
            ejections end, and they show no more than the first one.
        :return: whether the failure ejects the worker.
        """
        if is_repeated:
            return False
        if not had_progress:
            if self.failed_s is None or started_s > self.failed_s:
                self.failed_trials += 1
            self.failed_s = now_s
        if now_s >= max(self.newest_failure_s, self.ejected_until_s) + FAILURE_KEPT_S:
            self.failed_jobs.clear()
            self.ejections = 0
        self.newest_failure_s = now_s
        self.failed_jobs.add(job_id)
        failure_limit = 1 if self.ejections else FAILURES_TO_EJECT
        if len(self.failed_jobs) < failure_limit or self.is_ejected(now_s):
            return False
        self.ejections += 1
        self.ejected_until_s = now_s + _doubled(EJECTION_S, self.ejections, EJECTION_MAX_S)
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

    def trial(self, now_s: float, newest_start_s: float) -> Trial:
        """Return whether the worker is on trial.

        :param now_s: the lead's clock.
        :param newest_start_s: start of the newest run on the worker, on the lead's clock.
        """
        if self.failed_s is None:
            return Trial.NONE
        if now_s >= self.failed_s + TRIAL_MAX_S:
            return Trial.NONE
        pause_s = _doubled(TRIAL_PAUSE_S, self.failed_trials, TRIAL_PAUSE_MAX_S)
        if now_s < self.failed_s + pause_s:
            return Trial.CLOSED
        # Long work takes minutes to show progress; others need not wait for it.
        is_trying = newest_start_s > self.failed_s and now_s < newest_start_s + TRIAL_PAUSE_MAX_S
        return Trial.CLOSED if is_trying else Trial.OPEN

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the worker is ejected and gets no work."""
        return now_s < self.ejected_until_s


def repeat_pause_s(runs: int) -> float:
    """Return the pause before a unit may run again on a worker where it failed or was refused.

    :param runs: number of the unit's runs until now, at least 1.
    :return: seconds.
    """
    return _doubled(TRIAL_PAUSE_S, runs, REPEAT_PAUSE_MAX_S)


def attempt_pause_s(failures: int) -> float:
    """Return the pause before a unit that has attempts to save runs again where it failed.

    :param failures: number of the unit's failed runs, at least 1.
    :return: seconds; at most the time of a first ejection.
    """
    return _doubled(REPEAT_PAUSE_MAX_S, failures, EJECTION_S)


def _doubled(first_s: float, repetitions: int, longest_s: float) -> float:
    """Return a time that doubles with each repetition after the first, up to a longest one."""
    doublings = min(repetitions - 1, DOUBLINGS_MAX)
    return float(min(longest_s, first_s * 2**doublings))
