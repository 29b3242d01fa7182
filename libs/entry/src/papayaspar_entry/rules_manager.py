"""Rules in force on this entry: read from the log, published to it, and repeated on it.

The newest revision is appended again before the log drops its record.
"""

import random
from collections.abc import Callable

import anyio

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, identifiers, rulesets, signals
from papayaspar_platform import followers, logs
from papayaspar_rules import parsing, records, revisions

STREAM = "rules"
OUTCOME_TIMEOUT_S = 5.0
WATCH_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 300.0


class PublishUnknownError(errors.LogUnavailableError):
    """The outcome of a publish is unknown; a retry with the same publish id resolves it."""

    code = "publish_unknown"
    title = "Whether the revision was accepted is not known yet"


class RulesManager:
    """Follows the chain of revisions on the log, and publishes new ones.

    :param log: client of the platform's log.
    :param event_journal: journal of this process's events.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self, log: logs.Log, event_journal: journal.Journal, clock_source: clock.Clock
    ) -> None:
        self._log = log
        self._journal = event_journal
        self._clock = clock_source
        self._chain = revisions.Chain()
        self._batch_read = signals.ChangeSignal()
        self.changes = signals.ChangeSignal()
        self.checks: list[Callable[[rulesets.RuleSet], None]] = []
        self._follower = followers.Follower(log, STREAM)

    @property
    def current(self) -> rulesets.RuleSet:
        """The rules in force."""
        return self._chain.rules

    def history(self) -> tuple[revisions.HistoryEntry, ...]:
        """Return the revisions that were in force on this entry, newest first."""
        return self._chain.history()

    def records_since(self, revision: int) -> tuple[bytes, ...]:
        """Return the records that bring a process from a revision to the one in force here.

        :param revision: revision that the process has, or 0 for none.
        """
        return tuple(records.encode(record) for record in self._chain.records_since(revision))

    def adopt(self, encoded_records: tuple[bytes, ...]) -> None:
        """Apply records from a peer; malformed and older ones are ignored.

        :param encoded_records: result of :meth:`records_since` in another process.
        """
        previous_revision = self.current.revision
        try:
            for data in encoded_records:
                self._chain.adopt(records.decode(data))
        except errors.RulesError as error:
            self._journal.record(lines.EventKind.RULES_REFUSED, code=error.code)
        self._record_change(previous_revision, "from a peer")

    async def watch_log(self) -> None:
        """Record when the log becomes reachable or unreachable; run this in a separate task."""
        was_reachable = False
        while True:
            is_reachable = self._follower.is_reachable
            if is_reachable is not was_reachable:
                lost, regained = lines.EventKind.LOG_LOST, lines.EventKind.LOG_REGAINED
                self._journal.record(regained if is_reachable else lost)
                self._journal.metrics.set_state("log_reachable", float(is_reachable))
            was_reachable = is_reachable
            await anyio.sleep(WATCH_INTERVAL_S)

    async def follow(self) -> None:
        """Read the log until cancelled; run this in a separate task."""
        follower = self._follower
        while True:
            batch = await follower.next_batch()
            previous_revision = self.current.revision
            self._chain.skip_trimmed(follower.next_offset - len(batch.records))
            for record in batch.records:
                self._chain.observe(record.offset, record.data)
            self._record_change(previous_revision, "from the log")
            self._batch_read.notify()

    async def repeat_head(self) -> None:
        """Append the newest revision again before the log drops it; run this in a separate task.

        Among several entries, the first one whose interval elapses appends it; the others detect
        the new record and skip theirs.
        """
        while True:
            previous_offset = self._chain.snapshot_offset
            await anyio.sleep(REPEAT_INTERVAL_S * random.uniform(0.5, 1.0))
            if self._chain.snapshot_offset != previous_offset or not self._chain.is_current:
                continue
            try:
                await self._log.append(STREAM, (records.encode(self._chain.snapshot()),))
            except errors.LogUnavailableError:
                # The append is retried after the next interval.
                continue

    async def publish(self, parent: int, publish_id: str, author: str, text: str) -> int:
        """Publish rules and wait until they are in force here.

        :param parent: number of the revision that the new rules are based on.
        :param publish_id: identifier chosen by the publisher; generated if empty.
        :param author: name of the publisher.
        :param text: text of the rules.
        :return: number of the new revision.
        :raises RulesError: if the rules are rejected, or another revision was accepted first.
        :raises LogUnavailableError: if the log is unavailable; ``PublishUnknownError`` if the
            record may have been appended.
        """
        publish_id = publish_id or identifiers.new_id("pub")
        if self._chain.find_outcome(publish_id) is revisions.PublishOutcome.WON:
            return self._revision_of(publish_id)
        for check in self.checks:
            check(parsing.parse(text))
        wall_s = self._clock.wall_s()
        record = self._chain.propose(parent, publish_id, author, text, wall_s)
        try:
            await self._log.append(STREAM, (records.encode(record),))
        except errors.LogUnavailableError as error:
            if error.ran is errors.Ran.NO:
                raise
            # The record may have been appended; reading the log shows the outcome.
        return await self._wait_for_outcome(publish_id)

    async def _wait_for_outcome(self, publish_id: str) -> int:
        seen_sequence = self._batch_read.sequence
        with anyio.move_on_after(OUTCOME_TIMEOUT_S):
            while True:
                outcome = self._chain.find_outcome(publish_id)
                if outcome is revisions.PublishOutcome.WON:
                    return self._revision_of(publish_id)
                if outcome is revisions.PublishOutcome.LOST:
                    raise errors.RevisionConflictError(
                        f"revision {self.current.revision} was accepted first", field="parent"
                    )
                seen_sequence = await self._batch_read.wait_for_change(seen_sequence)
        raise PublishUnknownError(
            f"the outcome of publish {publish_id} is unknown", ran=errors.Ran.UNKNOWN
        )

    def _revision_of(self, publish_id: str) -> int:
        for entry in self._chain.history():
            if entry.publish_id == publish_id:
                return entry.revision
        return self.current.revision

    def _record_change(self, previous_revision: int, source: str) -> None:
        if self.current.revision == previous_revision:
            return
        detail = f"revision {self.current.revision} {source}"
        self._journal.record(lines.EventKind.RULES_IN_FORCE, detail=detail)
        self._journal.metrics.set_state("rules_revision", self.current.revision)
        self.changes.notify()
