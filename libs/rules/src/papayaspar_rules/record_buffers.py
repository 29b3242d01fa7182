"""Buffers of a chain for records that it can't apply yet and for the newest changes."""

import collections
from collections.abc import Iterator

import attrs

from papayaspar_rules import records

CHANGES_MAX = 256
PENDING_MAX_CHARS = 4 * 1024 * 1024


class PendingRecords:
    """Consecutive records of the log from an offset on, kept until the head is known."""

    def __init__(self) -> None:
        self.first_offset = 0
        self._records: collections.deque[tuple[int, records.RevisionRecord]] = collections.deque()
        self._chars = 0

    def reset(self, offset: int) -> None:
        """Drop all records.

        :param offset: offset of the next record to append.
        """
        self.first_offset = offset
        self._records.clear()
        self._chars = 0

    def append(self, offset: int, record: records.RevisionRecord) -> None:
        """Append a record; drop the oldest ones above ``PENDING_MAX_CHARS``."""
        self._records.append((offset, record))
        self._chars += len(record.text)
        while self._chars > PENDING_MAX_CHARS:
            dropped_offset, dropped = self._records.popleft()
            self._chars -= len(dropped.text)
            self.first_offset = dropped_offset + 1

    def since(self, offset: int) -> Iterator[records.RevisionRecord]:
        """Yield the records from an offset on, in order."""
        for record_offset, record in self._records:
            if record_offset >= offset:
                yield record


class RecentChanges:
    """The newest changes, each based on the one before it."""

    def __init__(self) -> None:
        self._changes: collections.deque[records.RevisionRecord] = collections.deque(
            maxlen=CHANGES_MAX
        )

    def add(self, record: records.RevisionRecord, head_revision: int, as_of: int) -> None:
        """Append the record of a new head.

        :param record: the record; anything but a change of the previous head drops all changes.
        :param head_revision: number of the previous head.
        :param as_of: offset of the log at which the record's revision is the head.
        """
        if not record.is_change or record.parent != head_revision:
            self._changes.clear()
            return
        self._changes.append(attrs.evolve(record, as_of_offset=as_of))

    def since(self, revision: int) -> tuple[records.RevisionRecord, ...]:
        """Return all changes since a revision, or nothing if some of them were dropped."""
        newer = [change for change in self._changes if change.revision > revision]
        if not newer or newer[0].parent != revision:
            return ()
        return tuple(newer)
