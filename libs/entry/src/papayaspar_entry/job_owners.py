"""Which entry sees to which job: rendezvous hashing over the live entries."""

import xxhash

from papayaspar_entry import entry_links

REMEMBERED_MAX_JOBS = 100_000


class JobOwners:
    """Remembers the owner of each job until the live entries change.

    :param links: streams to the other entries.
    """

    def __init__(self, links: entry_links.EntryLinks) -> None:
        self._links = links
        self._live: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    def is_mine(self, job_id: str) -> bool:
        """Return whether this entry sees to a job.

        :param job_id: the job.
        """
        live = self._links.live
        if live != self._live or len(self._owners) > REMEMBERED_MAX_JOBS:
            self._live = live
            self._owners.clear()
        owner = self._owners.get(job_id)
        if owner is None:
            owner = _owner(job_id, live)
            self._owners[job_id] = owner
        return owner == self._links.own_address


def _owner(job_id: str, live: tuple[str, ...]) -> str:
    return max(live, key=lambda entry: xxhash.xxh3_64_intdigest(f"{job_id}/{entry}".encode()))
