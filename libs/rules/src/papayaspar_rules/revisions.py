"""The chain of revisions, which determines the revision in force from the log alone.

Every reader of the log comes to the same result: the first valid child of the head becomes the new
head, and all other records are ignored. The log keeps records for a limited time only, so the head
is appended again before its record is trimmed. Such a snapshot states which revision was the head
after all records before an offset. A reader that starts after the records were trimmed uses the
snapshot as its base only if it has read every record from that offset on, so an outdated snapshot
does not lead to a wrong head.
"""

import collections
import enum

import attrs

from papayaspar_model import errors, rulesets
from papayaspar_rules import faults, parsing, record_buffers, records, rule_tables

HISTORY_MAX_REVISIONS = 1000
OUTCOMES_MAX = 4096
NO_RECORD = records.RevisionRecord(0, 0, "", "", "", 0.0)


class Verdict(enum.Enum):
    """Result of processing a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    DUPLICATE = "duplicate"
    INVALID = "invalid"
    PENDING = "pending"


class PublishOutcome(enum.Enum):
    """Outcome of a publish."""

    WON = "won"
    LOST = "lost"
    UNSEEN = "unseen"


@attrs.frozen
class HistoryEntry:
    """A revision that was in force.

    :param revision: its number.
    :param parent: its parent's number.
    :param author: name of the publisher.
    :param publish_id: identifier of its publish, chosen by the publisher.
    :param published_wall_s: time of the publish, in seconds since the Unix epoch.
    """

    revision: int
    parent: int
    author: str
    publish_id: str
    published_wall_s: float


@attrs.frozen
class Head:
    """A revision with its rules.

    :param record: the record that contained it.
    :param table: its rules, for computing and applying changes.
    :param rules: its rules, for every other use.
    """

    record: records.RevisionRecord
    table: rule_tables.RuleTable
    rules: rulesets.RuleSet


class Chain:
    """The revisions as seen by one reader of the log; the revision in force never decreases.

    Two positions advance independently. The revision in force is the head after all records before
    ``_known_offset``, and may come from a peer. The tip is the head at ``next_offset`` according to
    the records read here, and is ``None`` while these don't determine it.
    """

    def __init__(self) -> None:
        self._head = Head(NO_RECORD, rule_tables.EMPTY, rulesets.RuleSet())
        self._known_offset = 0
        self._tip: Head | None = self._head
        self._next_offset = 0
        self._snapshot_offset: int | None = None
        self._changes = record_buffers.RecentChanges()
        self._pending = record_buffers.PendingRecords()
        self._outcomes: collections.OrderedDict[str, PublishOutcome] = collections.OrderedDict()
        self._history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=HISTORY_MAX_REVISIONS
        )

    @property
    def rules(self) -> rulesets.RuleSet:
        """The rules in force."""
        return self._head.rules

    @property
    def next_offset(self) -> int:
        """Offset of the next record to read from the log."""
        return self._next_offset

    @property
    def is_current(self) -> bool:
        """Whether the rules in force are known to be the head at ``next_offset`` or later."""
        return self._known_offset >= self._next_offset

    @property
    def snapshot_offset(self) -> int | None:
        """Offset of the newest snapshot on the log, or ``None`` if none was read.

        An entry that is about to append a snapshot skips it if this offset has changed meanwhile.
        """
        return self._snapshot_offset

    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the revisions that were in force here, newest first."""
        return tuple(reversed(self._history))

    def skip_trimmed(self, first_offset: int) -> None:
        """Skip records that were trimmed from the log before they were read.

        :param first_offset: offset of the oldest record that the log still keeps.
        """
        if first_offset > self._next_offset:
            self._tip = None
            self._next_offset = first_offset
            self._pending.reset(first_offset)

    def observe(self, offset: int, data: bytes) -> Verdict:
        """Process the next record of the log.

        :param offset: its offset; records before ``next_offset`` are ignored.
        :param data: its bytes, which may be malformed.
        :return: the result.
        """
        if offset < self._next_offset:
            return Verdict.DUPLICATE
        self.skip_trimmed(offset)
        self._next_offset = offset + 1
        try:
            record = records.decode(data)
        except faults.InvalidRecordError:
            record = None
        verdict = Verdict.INVALID if record is None else self._process(offset, record)
        self._update_tip()
        return verdict

    def adopt(self, record: records.RevisionRecord) -> Verdict:
        """Apply the head of a peer; an older one changes nothing.

        :param record: a record returned by :meth:`snapshot` or :meth:`records_since` of the peer.
        :return: ``ACCEPTED`` if it is newer than the state of this chain; ``PENDING`` if it holds
            changes to a revision that this chain does not have, so that the snapshot is needed.
        """
        if record.as_of_offset <= self._known_offset:
            return Verdict.DUPLICATE
        head: Head | None = self._head
        if record.revision != self.rules.revision:
            if record.is_change and record.parent != self.rules.revision:
                return Verdict.PENDING
            head = _build_head(record, self._head)
        if head is None:
            return Verdict.INVALID
        self._put_in_force(head, record.as_of_offset)
        self._update_tip()
        return Verdict.ACCEPTED

    def snapshot(self) -> records.RevisionRecord:
        """Return the head as a record to append to the log again or to send to a peer."""
        return attrs.evolve(
            self._head.record,
            text=self.rules.text,
            is_change=False,
            reappended=True,
            as_of_offset=self._known_offset,
        )

    def records_since(self, revision: int) -> tuple[records.RevisionRecord, ...]:
        """Return the records that a peer adopts in this order to reach the head.

        :param revision: revision that the peer has, or 0 for none.
        :return: the changes since then, or the snapshot if it is shorter or some of the changes
            are no longer kept.
        """
        if revision >= self.rules.revision:
            return ()
        changes = self._changes.since(revision)
        change_chars = sum(len(change.text) for change in changes)
        if not changes or change_chars > len(self.rules.text):
            return (self.snapshot(),)
        return changes

    def find_outcome(self, publish_id: str) -> PublishOutcome:
        """Return the outcome of a publish whose acknowledgement was lost.

        An unseen publish may be appended again unchanged: if the first record is accepted after
        all, the second one is not a valid child.

        :param publish_id: identifier of the publish, chosen by the publisher.
        """
        if publish_id and publish_id == self._head.record.publish_id:
            return PublishOutcome.WON
        return self._outcomes.get(publish_id, PublishOutcome.UNSEEN)

    def propose(
        self, parent: int, publish_id: str, author: str, text: str, wall_s: float
    ) -> records.RevisionRecord:
        """Check rules and return the record that publishes them.

        :param parent: number of the revision that the rules are based on.
        :param publish_id: identifier of this publish, chosen by the publisher.
        :param author: name of the publisher.
        :param text: the rules.
        :param wall_s: current time, in seconds since the Unix epoch.
        :return: the record to append.
        :raises InvalidRulesError: if the rules have faults.
        :raises RevisionConflictError: if the parent is not the head.
        :raises LogUnavailableError: if the chain does not know the current head yet.
        """
        table = parsing.parse_table(text)
        text = table.ruleset().text
        if not self.is_current:
            raise errors.LogUnavailableError("the head of the rules is not known yet")
        if parent != self.rules.revision:
            raise errors.RevisionConflictError(
                f"revision {self.rules.revision} is in force, not {parent}", field="parent"
            )
        record = records.RevisionRecord(parent + 1, parent, publish_id, author, text, wall_s)
        change_text = self._head.table.format_changes_to(table)
        if len(change_text) >= len(text):
            return record
        return attrs.evolve(record, text=change_text, is_change=True)

    def _process(self, offset: int, record: records.RevisionRecord) -> Verdict:
        if record.reappended:
            if record.as_of_offset > offset or record.is_change:
                return Verdict.INVALID
            self._snapshot_offset = offset
            return self.adopt(record)
        if self._tip is not None:
            self._tip, verdict = self._advance(self._tip, record)
            return verdict
        if offset < self._known_offset:
            return self._classify_superseded(record)
        self._pending.append(offset, record)
        return Verdict.PENDING

    def _update_tip(self) -> None:
        """Derive an unknown tip from the revision in force, then put the tip in force."""
        if self._tip is None:
            if not self._pending.first_offset <= self._known_offset <= self._next_offset:
                return
            self._tip = self._replay()
        self._put_in_force(self._tip, self._next_offset)

    def _classify_superseded(self, record: records.RevisionRecord) -> Verdict:
        """Classify a record older than the revision in force, using the kept history."""
        for entry in self._history:
            if entry.revision != record.revision:
                continue
            if entry.publish_id == record.publish_id:
                return Verdict.DUPLICATE
            return self._reject(record.publish_id)
        return Verdict.PENDING

    def _replay(self) -> Head:
        head = self._head
        for record in self._pending.since(self._known_offset):
            head, _ = self._advance(head, record)
        self._pending.reset(self._next_offset)
        return head

    def _advance(self, head: Head, record: records.RevisionRecord) -> tuple[Head, Verdict]:
        is_child = record.parent == head.record.revision and record.revision == record.parent + 1
        if not is_child:
            return head, self._reject(record.publish_id)
        is_in_force = self._head.record == record
        child = self._head if is_in_force else _build_head(record, head)
        if child is None:
            self._record_outcome(record.publish_id, PublishOutcome.LOST)
            return head, Verdict.INVALID
        self._record_outcome(record.publish_id, PublishOutcome.WON)
        return child, Verdict.ACCEPTED

    def _reject(self, publish_id: str) -> Verdict:
        if self.find_outcome(publish_id) is PublishOutcome.WON:
            return Verdict.DUPLICATE
        self._record_outcome(publish_id, PublishOutcome.LOST)
        return Verdict.CONFLICT

    def _record_outcome(self, publish_id: str, outcome: PublishOutcome) -> None:
        self._outcomes[publish_id] = outcome
        self._outcomes.move_to_end(publish_id)
        while len(self._outcomes) > OUTCOMES_MAX:
            self._outcomes.popitem(last=False)

    def _put_in_force(self, head: Head, as_of: int) -> None:
        record = head.record
        self._known_offset = max(self._known_offset, as_of)
        if record.revision <= self._head.record.revision:
            return
        self._changes.add(record, self.rules.revision, self._known_offset)
        self._head = head
        self._record_outcome(record.publish_id, PublishOutcome.WON)
        self._history.append(
            HistoryEntry(
                record.revision,
                record.parent,
                record.author,
                record.publish_id,
                record.published_wall_s,
            )
        )


def _build_head(record: records.RevisionRecord, parent: Head) -> Head | None:
    try:
        if record.is_change:
            table = parent.table.apply_changes(record.text)
        else:
            table = parsing.parse_table(record.text)
    except faults.InvalidRulesError:
        # Every reader finds the record invalid, so it never comes into force.
        return None
    rules = table.ruleset(record.revision, record.publish_id)
    return Head(attrs.evolve(record, as_of_offset=0), table, rules)
