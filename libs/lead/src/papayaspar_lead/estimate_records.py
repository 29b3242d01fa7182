"""Records of what is learned of run times, from which a new lead begins.

A lost or unreadable record costs accuracy and no work: what it held is learned again.
"""

import math
import zlib

from papayaspar_estimates import run_times, windows
from papayaspar_store import failures, records, stores

# Interval at which changed records are written, in seconds.
STORE_INTERVAL_S = 15.0
# Number of records of kinds, and of records of workers: keys that no one has to delete.
SLOTS = 16
# Most kinds and workers in one record, and most steps of each, the newest ones: they bound
# a record to 16 KB.
KINDS_PER_SLOT_MAX = 64
SAMPLES_STORED_MAX = 16
WORKERS_PER_SLOT_MAX = 256
# Times and speeds are stored as hundredths of a natural logarithm.
LOG_SCALE = 100.0
# Largest absolute value of a stored logarithm: beyond it, a number is no run time.
LOG_MAX = 20.0


class EstimateRecords:
    """The records of run times and speeds on the lead's partition.

    :param times: what is learned.
    """

    def __init__(self, times: run_times.RunTimes) -> None:
        self._times = times
        self._stored: dict[str, bytes] = {}
        self._stored_revision = 0
        self._stored_s = float("-inf")

    def changed(self, now_s: float) -> list[stores.KeyedRecord]:
        """Return the records to store now; empty between two intervals, or if nothing changed.

        :param now_s: the lead's clock.
        """
        if self._times.revision == self._stored_revision:
            return []
        if now_s - self._stored_s < STORE_INTERVAL_S:
            return []
        self._stored_s, self._stored_revision = now_s, self._times.revision
        changed: list[stores.KeyedRecord] = []
        for record in (*self._kind_records(), *self._worker_records()):
            if self._stored.get(record.key) == record.value:
                continue
            self._stored[record.key] = record.value
            changed.append(record)
        return changed

    def _kind_records(self) -> list[stores.KeyedRecord]:
        slots: dict[int, list[records.KindRecord]] = {}
        for kind, window in self._times.kinds():
            samples = list(window)[-SAMPLES_STORED_MAX:]
            slots.setdefault(_slot(kind.team), []).append(
                records.KindRecord(
                    kind.team,
                    kind.queue,
                    kind.shape,
                    kind.family,
                    tuple(_scaled(sample.declared_log) for sample in samples),
                    tuple(_scaled(sample.observed_log) for sample in samples),
                    tuple(sample.group for sample in samples),
                    tuple(sample.identity for sample in samples),
                    tuple(sample.run_count for sample in samples),
                )
            )
        return [
            records.encode(
                f"{records.ESTIMATES_PREFIX}kinds/{slot}",
                records.KindsRecord(tuple(kinds[-KINDS_PER_SLOT_MAX:])),
            )
            for slot, kinds in slots.items()
        ]

    def _worker_records(self) -> list[stores.KeyedRecord]:
        slots: dict[int, list[records.WorkerSpeedRecord]] = {}
        for node, runs in self._times.speeds:
            speed = records.WorkerSpeedRecord(
                node, runs.born_ms, _scaled(runs.excess_log), runs.run_count
            )
            slots.setdefault(_slot(node), []).append(speed)
        return [
            records.encode(
                f"{records.ESTIMATES_PREFIX}workers/{slot}",
                records.WorkerSpeedsRecord(tuple(speeds[-WORKERS_PER_SLOT_MAX:])),
            )
            for slot, speeds in slots.items()
        ]

    def restore(self, record: stores.KeyedRecord) -> None:
        """Begin with the evidence of a former lead.

        :raises RecordError: when the record can't be decoded, or its numbers are no run times.
        """
        name = record.key.removeprefix(records.ESTIMATES_PREFIX)
        if name.startswith("kinds/"):
            for kind_record in records.decode(record, records.KindsRecord).kinds:
                self._restore_kind(kind_record, record.key)
        elif name.startswith("workers/"):
            for speed in records.decode(record, records.WorkerSpeedsRecord).workers:
                self._restore_worker(speed, record.key)
        else:
            raise failures.RecordError(f"unknown key {record.key}")

    def _restore_kind(self, kind_record: records.KindRecord, key: str) -> None:
        samples = zip(
            kind_record.declared_logs,
            kind_record.observed_logs,
            kind_record.groups,
            kind_record.identities,
            kind_record.run_counts,
            strict=False,
        )
        kind = run_times.Kind(
            kind_record.team, kind_record.queue, kind_record.shape, kind_record.family
        )
        if run_times.ALL in (kind.queue, kind.shape):
            raise failures.RecordError(f"{key}: a kind has no queue or no shape")
        for declared, observed, group, identity, run_count in samples:
            declared_log, observed_log = _unscaled(declared, key), _unscaled(observed, key)
            sample = windows.Sample(declared_log, observed_log, group, identity, run_count)
            self._times.restore(kind, sample)

    def _restore_worker(self, speed: records.WorkerSpeedRecord, key: str) -> None:
        excess_log = _unscaled(speed.excess_log, key)
        self._times.speeds.restore(speed.node, speed.born_ms, excess_log, speed.run_count)


def _slot(name: str) -> int:
    return zlib.crc32(name.encode()) % SLOTS


def _scaled(value_log: float) -> int:
    """Return a logarithm for a record, within the range that a reader accepts."""
    return round(min(LOG_MAX, max(-LOG_MAX, value_log)) * LOG_SCALE)


def _unscaled(value: int, key: str) -> float:
    """Return a logarithm from a record.

    :raises RecordError: when it is out of range.
    """
    value_log = value / LOG_SCALE
    if not math.fabs(value_log) <= LOG_MAX:
        raise failures.RecordError(f"{key}: a logarithm is out of range")
    return value_log
