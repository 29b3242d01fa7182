"""Memory of the attempts that are over, so that late messages cannot bring them back."""

import collections

from papayaspar_slots import claims

MAX_JOBS = 4096


class FenceTable:
    """The newest attempt of each job that is over here; the least recent job is forgotten first.

    :param max_jobs: jobs remembered.
    """

    def __init__(self, max_jobs: int = MAX_JOBS) -> None:
        self._max_jobs = max_jobs
        self._over: collections.OrderedDict[str, int] = collections.OrderedDict()

    def note(self, fence: claims.Fence) -> None:
        """Remember that an attempt is over, and with it all before it."""
        newest = max(fence.attempt, self._over.get(fence.job_id, 0))
        self._over[fence.job_id] = newest
        self._over.move_to_end(fence.job_id)
        if len(self._over) > self._max_jobs:
            self._over.popitem(last=False)

    def is_over(self, fence: claims.Fence) -> bool:
        """Return whether an attempt is known to be over."""
        return fence.attempt <= self._over.get(fence.job_id, 0)
