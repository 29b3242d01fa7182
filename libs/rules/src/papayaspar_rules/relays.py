"""Rules as a process keeps them that only passes them on."""

import attrs

from papayaspar_rules import parsing, records

CHANGES_MAX = 256


class Relay:
    """The newest snapshot heard of and the changes since; read only to keep them few."""

    def __init__(self) -> None:
        self._records: list[records.RevisionRecord] = []

    @property
    def revision(self) -> int:
        """Number of the newest revision; 0 before the first."""
        return self._records[-1].revision if self._records else 0

    def all(self) -> tuple[records.RevisionRecord, ...]:
        """Return what a chain has to adopt, one after the other, to come to the revision."""
        return tuple(self._records)

    def take(self, record: records.RevisionRecord) -> bool:
        """Take a snapshot, or a change to the newest revision; all else changes nothing.

        :param record: what a chain's ``since`` or another relay returned.
        :return: whether the revision rose.
        :raises InvalidRulesError: if the changes, once there are many, do not fit together.
        """
        if record.revision <= self.revision:
            return False
        if not record.is_change:
            self._records = [record]
            return True
        if record.parent != self.revision or not self._records:
            return False
        kept = [*self._records, record]
        self._records = kept if len(kept) <= CHANGES_MAX else [_folded(kept)]
        return True


def _folded(kept: list[records.RevisionRecord]) -> records.RevisionRecord:
    snapshot, *changes = kept
    text = "".join(change.text for change in changes)
    rules = parsing.parse_book(snapshot.text).changed(text).ruleset()
    return attrs.evolve(changes[-1], text=rules.text, is_change=False, reappended=True)
