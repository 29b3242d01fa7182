"""The operators' partition of a cluster under test: requests for evacuations, and their reader."""

from papayaspar_jobs import evacuations
from papayaspar_model import clock
from papayaspar_standin import keyed_stores
from papayaspar_store import following, stores

PARTITION = stores.Partition("operators", 0)
# Maximum time that a read waits for a record, in seconds.
WAIT_S = 0.5


class EvacuationReader(following.RecordSink, evacuations.EvacuationSource):
    """The evacuations that one entry has read; keys are names of data centres."""

    def __init__(self, clock_source: clock.Clock) -> None:
        super().__init__()
        self._clock = clock_source
        self._current = evacuations.Evacuations()
        self.follower: following.Follower | None = None

    def keys(self) -> frozenset[str]:
        return frozenset()

    def apply(self, record: stores.KeyedRecord) -> None:
        self._current = self._current.without(record.key)
        if record.value:
            request = evacuations.Evacuation(record.key, record.offset, self._clock.now_s())
            self._current = self._current.with_evacuation(request)
        self.changes.notify()

    def current(self) -> evacuations.Evacuations:
        return self._current

    def age_s(self) -> float:
        return self.follower.age_s() if self.follower is not None else float("inf")


def write(log: keyed_stores.KeyedLog, data_centre: str, is_evacuated: bool) -> None:
    """Store an operator's request."""
    record = stores.KeyedRecord(data_centre, b"{}" if is_evacuated else b"")
    log.append(keyed_stores.Append(PARTITION, (record,), None, None))
