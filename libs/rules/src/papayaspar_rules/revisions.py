"""The chain of revisions: which one is in force, by the log alone and alike for every reader.

The first valid child of the head wins; all other records are ignored. The log keeps records for a
limited time only, so the head is repeated before it goes. Such a snapshot says which revision was
the head after all records before an offset. A reader that came too late for the records takes the
snapshot for its base only if it has seen every record from that offset on; so a snapshot that
was late when it was written misleads nobody.
"""

import collections
import enum

import attrs

from papayaspar_model import errors, rulesets
from papayaspar_rules import books, faults, parsing, records, trails

HISTORY_MAX_REVISIONS = 1000
OUTCOMES_MAX = 4096
NO_RECORD = records.RevisionRecord(0, 0, "", "", "", 0.0)


class Verdict(enum.Enum):
    """What a chain made of a record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    DUPLICATE = "duplicate"
    INVALID = "invalid"
    PENDING = "pending"


class Settlement(enum.Enum):
    """What became of a publish."""

    WON = "won"
    LOST = "lost"
    UNSEEN = "unseen"


@attrs.frozen
class HistoryEntry:
    """A revision that was in force.

    :param revision: its number.
    :param parent: its parent's number.
    :param author: who published it.
    :param publish_id: the publisher's name for it.
    :param published_wall_s: when, in seconds since the Unix epoch.
    """

    revision: int
    parent: int
    author: str
    publish_id: str
    published_wall_s: float


@attrs.frozen
class Head:
    """A revision with its rules.

    :param record: the record that brought it.
    :param book: its rules, for making the next revision of them.
    :param rules: its rules, for everything else.
    """

    record: records.RevisionRecord
    book: books.Book
    rules: rulesets.RuleSet


class Chain:
    """The revisions as one reader of the log knows them; the one in force only rises.

    Two positions move by themselves: the revision in force, which is known to be the head after
    all records before ``_known_offset`` and may come from a peer; and the tip, which is the head
    at ``next_offset`` by the records read here, and is ``None`` while that can't be told.
    """

    def __init__(self) -> None:
        self._head = Head(NO_RECORD, books.EMPTY, rulesets.RuleSet())
        self._known_offset = 0
        self._tip: Head | None = self._head
        self._next_offset = 0
        self._snapshot_offset: int | None = None
        self._changes = trails.ChangeTrail()
        self._pending = trails.PendingRecords()
        self._outcomes: collections.OrderedDict[str, Settlement] = collections.OrderedDict()
        self._history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=HISTORY_MAX_REVISIONS
        )

    @property
    def rules(self) -> rulesets.RuleSet:
        """The rules in force."""
        return self._head.rules

    @property
    def next_offset(self) -> int:
        """Offset from which the log is to be read next."""
        return self._next_offset

    @property
    def is_current(self) -> bool:
        """Whether the rules in force are known to be the head at ``next_offset`` or later."""
        return self._known_offset >= self._next_offset

    @property
    def snapshot_offset(self) -> int | None:
        """Offset of the newest snapshot seen on the log, to leave out one that others wrote."""
        return self._snapshot_offset

    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the revisions that were in force here, newest first."""
        return tuple(reversed(self._history))

    def trimmed(self, first_offset: int) -> None:
        """Note the oldest offset that the log still keeps, before its records are offered.

        :param first_offset: offset of the oldest record.
        """
        if first_offset > self._next_offset:
            self._tip = None
            self._next_offset = first_offset
            self._pending.restart(first_offset)

    def offer(self, offset: int, data: bytes) -> Verdict:
        """Take in the next record of the log.

        :param offset: its offset; one that was passed already is ignored.
        :param data: its bytes, garbage included.
        :return: what became of it.
        """
        if offset < self._next_offset:
            return Verdict.DUPLICATE
        self.trimmed(offset)
        self._next_offset = offset + 1
        try:
            record = records.decode(data)
        except faults.InvalidRecordError:
            record = None
        verdict = Verdict.INVALID if record is None else self._read(offset, record)
        self._find_tip()
        return verdict

    def adopt(self, record: records.RevisionRecord) -> Verdict:
        """Take in the head of a peer; the newest one counts.

        :param record: what the peer's :meth:`snapshot` or :meth:`since` returned.
        :return: ``ACCEPTED`` if it told this chain something new; ``PENDING`` if it holds changes
            to a revision that this chain does not have, so that the snapshot is needed.
        """
        if record.as_of_offset <= self._known_offset:
            return Verdict.DUPLICATE
        head: Head | None = self._head
        if record.revision != self.rules.revision:
            if record.is_change and record.parent != self.rules.revision:
                return Verdict.PENDING
            head = _head_of(record, self._head)
        if head is None:
            return Verdict.INVALID
        self._put_in_force(head, record.as_of_offset)
        self._find_tip()
        return Verdict.ACCEPTED

    def snapshot(self) -> records.RevisionRecord:
        """Return the head as a record to append to the log again, or to pass to a peer."""
        return attrs.evolve(
            self._head.record,
            text=self.rules.text,
            is_change=False,
            reappended=True,
            as_of_offset=self._known_offset,
        )

    def since(self, revision: int) -> tuple[records.RevisionRecord, ...]:
        """Return what a peer has to adopt, one after the other, to come to the head.

        :param revision: the revision the peer has; 0 for none.
        :return: the changes since then, or the snapshot if that is shorter or they are forgotten.
        """
        if revision >= self.rules.revision:
            return ()
        missing = self._changes.since(revision)
        chars = sum(len(record.text) for record in missing)
        if not missing or chars > len(self.rules.text):
            return (self.snapshot(),)
        return missing

    def settle(self, publish_id: str) -> Settlement:
        """Return what became of a publish whose acknowledgement was lost.

        An unseen publish may be appended again as it was: if the first one counted after all, the
        second one is no valid child.

        :param publish_id: the publisher's name for it.
        """
        if publish_id and publish_id == self._head.record.publish_id:
            return Settlement.WON
        return self._outcomes.get(publish_id, Settlement.UNSEEN)

    def propose(
        self, parent: int, publish_id: str, author: str, text: str, wall_s: float
    ) -> records.RevisionRecord:
        """Return the record that publishes rules, after checking them.

        :param parent: revision that the publisher started from.
        :param publish_id: the publisher's name for this publish.
        :param author: who publishes.
        :param text: the rules.
        :param wall_s: seconds since the Unix epoch.
        :return: the record to append.
        :raises InvalidRulesError: if the rules have faults.
        :raises RevisionConflictError: if the parent is not the head.
        :raises LogUnavailableError: if the head is not known for certain yet.
        """
        book = parsing.parse_book(text)
        text = book.ruleset().text
        if not self.is_current:
            raise errors.LogUnavailableError("the head of the rules is not known yet")
        if parent != self.rules.revision:
            raise errors.RevisionConflictError(
                f"revision {self.rules.revision} is in force, not {parent}", field="parent"
            )
        record = records.RevisionRecord(parent + 1, parent, publish_id, author, text, wall_s)
        changes = self._head.book.changes_to(book)
        if len(changes) >= len(text):
            return record
        return attrs.evolve(record, text=changes, is_change=True)

    def _read(self, offset: int, record: records.RevisionRecord) -> Verdict:
        if record.reappended:
            if record.as_of_offset > offset or record.is_change:
                return Verdict.INVALID
            self._snapshot_offset = offset
            return self.adopt(record)
        if self._tip is not None:
            self._tip, verdict = self._advance(self._tip, record)
            return verdict
        if offset < self._known_offset:
            return self._recognise(record)
        self._pending.keep(offset, record)
        return Verdict.PENDING

    def _find_tip(self) -> None:
        """Find the tip again from the revision in force, and bring that up to the tip."""
        if self._tip is None:
            if not self._pending.from_offset <= self._known_offset <= self._next_offset:
                return
            self._tip = self._replay()
        self._put_in_force(self._tip, self._next_offset)

    def _recognise(self, record: records.RevisionRecord) -> Verdict:
        """Settle a record that stands before the revision in force, as far as it is remembered."""
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
        self._pending.restart(self._next_offset)
        return head

    def _advance(self, head: Head, record: records.RevisionRecord) -> tuple[Head, Verdict]:
        is_child = record.parent == head.record.revision and record.revision == record.parent + 1
        if not is_child:
            return head, self._reject(record.publish_id)
        is_in_force = self._head.record == record
        child = self._head if is_in_force else _head_of(record, head)
        if child is None:
            self._note(record.publish_id, Settlement.LOST)
            return head, Verdict.INVALID
        self._note(record.publish_id, Settlement.WON)
        return child, Verdict.ACCEPTED

    def _reject(self, publish_id: str) -> Verdict:
        if self.settle(publish_id) is Settlement.WON:
            return Verdict.DUPLICATE
        self._note(publish_id, Settlement.LOST)
        return Verdict.CONFLICT

    def _note(self, publish_id: str, settlement: Settlement) -> None:
        self._outcomes[publish_id] = settlement
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
        self._note(record.publish_id, Settlement.WON)
        self._history.append(
            HistoryEntry(
                record.revision,
                record.parent,
                record.author,
                record.publish_id,
                record.published_wall_s,
            )
        )


def _head_of(record: records.RevisionRecord, parent: Head) -> Head | None:
    try:
        if record.is_change:
            book = parent.book.changed(record.text)
        else:
            book = parsing.parse_book(record.text)
    except faults.InvalidRulesError:
        # Every reader finds it invalid alike, so it is in force nowhere.
        return None
    rules = book.ruleset(record.revision, record.publish_id)
    return Head(attrs.evolve(record, as_of_offset=0), book, rules)
