"""Storage of revisions in a process that only forwards them."""

import attrs

from papayaspar_rules import parsing, records

CHANGES_MAX = 256


class Relay:
    """The newest snapshot received and the changes since.

    The rules are parsed only to merge many changes into a new snapshot.
    """

    def __init__(self) -> None:
        self._records: list[records.RevisionRecord] = []

    @property
    def revision(self) -> int:
        """Number of the newest revision; 0 before the first one."""
        return self._records[-1].revision if self._records else 0

    def revision_records(self) -> tuple[records.RevisionRecord, ...]:
        """Return the records that a chain adopts in this order to reach the newest revision."""
        return tuple(self._records)

    def apply(self, record: records.RevisionRecord) -> bool:
        """Apply a newer snapshot, or a change to the newest revision; ignore other records.

        :param record: a record returned by a chain or another relay.
        :return: whether the revision increased.
        :raises InvalidRulesError: if more than ``CHANGES_MAX`` records are merged and one of the
            changes does not apply.
        """
        if record.revision <= self.revision:
            return False
        if not record.is_change:
            self._records = [record]
            return True
        if record.parent != self.revision or not self._records:
            return False
        extended = [*self._records, record]
        self._records = extended if len(extended) <= CHANGES_MAX else [_merge(extended)]
        return True


def _merge(revision_records: list[records.RevisionRecord]) -> records.RevisionRecord:
    snapshot, *changes = revision_records
    change_text = "".join(change.text for change in changes)
    rules = parsing.parse_table(snapshot.text).apply_changes(change_text).ruleset()
    return attrs.evolve(changes[-1], text=rules.text, is_change=False, reappended=True)
