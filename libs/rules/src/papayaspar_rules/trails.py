"""Records that a chain remembers: those it can't place yet, and the newest changes."""

import collections
from collections.abc import Iterator

import attrs

from papayaspar_rules import records

CHANGES_MAX = 256
PENDING_MAX_CHARS = 4 * 1024 * 1024


class PendingRecords:
    """Records of the log from an offset on, none left out, that wait for a known head."""

    def __init__(self) -> None:
        self.from_offset = 0
        self._kept: collections.deque[tuple[int, records.RevisionRecord]] = collections.deque()
        self._chars = 0

    def restart(self, offset: int) -> None:
        """Forget all records.

        :param offset: offset of the next one.
        """
        self.from_offset = offset
        self._kept.clear()
        self._chars = 0

    def keep(self, offset: int, record: records.RevisionRecord) -> None:
        """Keep a record; when they are too long, the oldest ones go."""
        self._kept.append((offset, record))
        self._chars += len(record.text)
        while self._chars > PENDING_MAX_CHARS:
            dropped_offset, dropped = self._kept.popleft()
            self._chars -= len(dropped.text)
            self.from_offset = dropped_offset + 1

    def since(self, offset: int) -> Iterator[records.RevisionRecord]:
        """Yield the records from an offset on, in their order."""
        for kept_offset, record in self._kept:
            if kept_offset >= offset:
                yield record


class ChangeTrail:
    """The newest changes, each the child of the one before it."""

    def __init__(self) -> None:
        self._changes: collections.deque[records.RevisionRecord] = collections.deque(
            maxlen=CHANGES_MAX
        )

    def add(self, record: records.RevisionRecord, head_revision: int, as_of: int) -> None:
        """Remember how the head moved.

        :param record: the record that moved it; any but a change of the head ends the trail.
        :param head_revision: the head before.
        :param as_of: offset of the log at which the record's revision is the head.
        """
        if not record.is_change or record.parent != head_revision:
            self._changes.clear()
            return
        self._changes.append(attrs.evolve(record, as_of_offset=as_of))

    def since(self, revision: int) -> tuple[records.RevisionRecord, ...]:
        """Return the changes that lead on from a revision, or nothing if they are forgotten."""
        found = [record for record in self._changes if record.revision > revision]
        if not found or found[0].parent != revision:
            return ()
        return tuple(found)
