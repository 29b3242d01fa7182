"""Assignment of jobs to entries: rendezvous hashing over the live entries."""

import xxhash

from papayaspar_entry import entry_links

CACHE_MAX_JOBS = 100_000


class JobOwners:
    """Caches the owner of each job until the live entries change.

    :param links: streams to the other entries.
    """

    def __init__(self, links: entry_links.EntryLinks) -> None:
        self._links = links
        self._live_addresses: tuple[str, ...] = ()
        self._owners: dict[str, str] = {}

    def is_owned_here(self, job_id: str) -> bool:
        """Return whether this entry owns a job.

        :param job_id: identifier of the job.
        """
        live_addresses = self._links.live_addresses
        if live_addresses != self._live_addresses or len(self._owners) > CACHE_MAX_JOBS:
            self._live_addresses = live_addresses
            self._owners.clear()
        owner = self._owners.get(job_id)
        if owner is None:
            owner = _owner(job_id, live_addresses)
            self._owners[job_id] = owner
        return owner == self._links.own_address


def _owner(job_id: str, live_addresses: tuple[str, ...]) -> str:
    return max(
        live_addresses, key=lambda entry: xxhash.xxh3_64_intdigest(f"{job_id}/{entry}".encode())
    )
