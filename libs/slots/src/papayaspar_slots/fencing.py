"""Record of ended attempts, which keeps late messages from starting them again."""

import collections

import attrs

from papayaspar_slots import claims

JOBS_MAX = 4096


@attrs.frozen
class AttemptEnd:
    """End of the newest ended attempt of a job.

    :param attempt: number of the attempt.
    :param done: whether its tasks were completed.
    :param ended_s: reading of the machine's clock when it ended.
    """

    attempt: int
    done: bool
    ended_s: float


class FenceTable:
    """The newest ended attempt of each job on this worker.

    :param max_jobs: maximum number of jobs; the job whose attempt ended first is removed first.
    """

    def __init__(self, max_jobs: int = JOBS_MAX) -> None:
        self._max_jobs = max_jobs
        self._ends: collections.OrderedDict[str, AttemptEnd] = collections.OrderedDict()

    def record_end(self, fence: claims.Fence, now_s: float, *, done: bool = False) -> None:
        """Record that an attempt has ended, which also ends all earlier ones of the job.

        :param fence: job and attempt; an end that is recorded already stays as it is.
        :param now_s: reading of the machine's clock.
        :param done: whether the tasks were completed.
        """
        if self.is_over(fence):
            return
        self._ends[fence.job_id] = AttemptEnd(fence.attempt, done, now_s)
        self._ends.move_to_end(fence.job_id)
        if len(self._ends) > self._max_jobs:
            self._ends.popitem(last=False)

    def is_over(self, fence: claims.Fence) -> bool:
        """Return whether an attempt is recorded as ended."""
        attempt_end = self._ends.get(fence.job_id)
        return attempt_end is not None and fence.attempt <= attempt_end.attempt

    def find(self, fence: claims.Fence) -> AttemptEnd | None:
        """Return the end of an attempt if it is the newest ended one of its job, else ``None``."""
        attempt_end = self._ends.get(fence.job_id)
        if attempt_end is None or attempt_end.attempt != fence.attempt:
            return None
        return attempt_end
