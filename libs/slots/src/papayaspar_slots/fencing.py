"""Memory of the attempts that are over, so that late messages cannot bring them back."""

import collections

import attrs

from papayaspar_slots import claims

MAX_JOBS = 4096


@attrs.frozen
class Ending:
    """How the newest attempt of a job ended.

    :param attempt: run of the job.
    :param done: whether its tasks were done.
    :param ended_s: reading of the machine's clock at its end.
    """

    attempt: int
    done: bool
    ended_s: float


class FenceTable:
    """The newest attempt of each job that is over here; the least recent job is forgotten first.

    :param max_jobs: jobs remembered.
    """

    def __init__(self, max_jobs: int = MAX_JOBS) -> None:
        self._max_jobs = max_jobs
        self._endings: collections.OrderedDict[str, Ending] = collections.OrderedDict()

    def note(self, fence: claims.Fence, now_s: float, *, done: bool = False) -> None:
        """Remember that an attempt is over, and with it all before it.

        :param fence: job and attempt; nothing changes if it is known to be over.
        :param now_s: reading of the machine's clock.
        :param done: whether its tasks were done.
        """
        if self.is_over(fence):
            return
        self._endings[fence.job_id] = Ending(fence.attempt, done, now_s)
        self._endings.move_to_end(fence.job_id)
        if len(self._endings) > self._max_jobs:
            self._endings.popitem(last=False)

    def is_over(self, fence: claims.Fence) -> bool:
        """Return whether an attempt is known to be over."""
        ending = self._endings.get(fence.job_id)
        return ending is not None and fence.attempt <= ending.attempt

    def find(self, fence: claims.Fence) -> Ending | None:
        """Return how an attempt ended, if it was the newest one of its job to end."""
        ending = self._endings.get(fence.job_id)
        if ending is None or ending.attempt != fence.attempt:
            return None
        return ending
