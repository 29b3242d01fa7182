"""The rules in force in this entry: followed on the log, published to it, kept alive on it."""

import random
from collections.abc import Callable

import anyio

from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, identifiers, rulesets, signals
from papayaspar_platform import followers, logs
from papayaspar_rules import parsing, records, revisions

STREAM = "rules"
SETTLE_TIMEOUT_S = 5.0
WATCH_INTERVAL_S = 1.0
REAPPEND_INTERVAL_S = 300.0


class PublishUnknownError(errors.LogUnavailableError):
    """Whether a publish counted is not known yet; its publish id settles it later."""

    code = "publish_unknown"
    title = "Whether the revision was accepted is not known yet"


class Rulebook:
    """The chain of revisions as this entry knows it.

    :param log: the platform's log.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(self, log: logs.Log, record: journal.Journal, clock_source: clock.Clock) -> None:
        self._log = log
        self._journal = record
        self._clock = clock_source
        self._chain = revisions.Chain()
        self._read = signals.ChangeSignal()
        self.changes = signals.ChangeSignal()
        self.checks: list[Callable[[rulesets.RuleSet], None]] = []
        self._follower = followers.Follower(log, STREAM)

    @property
    def rules(self) -> rulesets.RuleSet:
        """The rules in force."""
        return self._chain.rules

    def history(self) -> tuple[revisions.HistoryEntry, ...]:
        """Return the revisions that were in force here, newest first."""
        return self._chain.history()

    def records_since(self, revision: int) -> tuple[bytes, ...]:
        """Return what brings a process from a revision to the one in force here.

        :param revision: what the process has; 0 for nothing.
        """
        return tuple(records.encode(record) for record in self._chain.since(revision))

    def adopt(self, found: tuple[bytes, ...]) -> None:
        """Take in records from a peer; garbage and older ones change nothing.

        :param found: what another process's :meth:`records_since` returned.
        """
        before = self.rules.revision
        try:
            for data in found:
                self._chain.adopt(records.decode(data))
        except errors.RulesError as error:
            self._journal.record(lines.EventKind.RULES_REFUSED, code=error.code)
        self._note_change(before, "from a peer")

    async def watch_log(self) -> None:
        """Record when the log goes away and comes back; runs in a task of its own."""
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
        """Read the log for as long as the entry lives; runs in a task of its own."""
        follower = self._follower
        while True:
            batch = await follower.next_batch()
            before = self.rules.revision
            self._chain.trimmed(follower.next_offset - len(batch.records))
            for item in batch.records:
                self._chain.offer(item.offset, item.data)
            self._note_change(before, "from the log")
            self._read.changed()

    async def keep_alive(self) -> None:
        """Append the head again before the log forgets it; runs in a task of its own.

        Of several entries the first to wake repeats it; the others see that and let it be.
        """
        while True:
            seen = self._chain.snapshot_offset
            await anyio.sleep(REAPPEND_INTERVAL_S * random.uniform(0.5, 1.0))
            if self._chain.snapshot_offset != seen or not self._chain.is_current:
                continue
            try:
                await self._log.append(STREAM, (records.encode(self._chain.snapshot()),))
            except errors.LogUnavailableError:
                # The next round tries again.
                continue

    async def publish(self, parent: int, publish_id: str, author: str, text: str) -> int:
        """Publish rules and wait until they are in force here.

        :param parent: revision that the publisher started from.
        :param publish_id: the publisher's name for this publish; one is made when empty.
        :param author: who publishes.
        :param text: the rules.
        :return: number of the new revision.
        :raises RulesError: when they are refused, or another revision won.
        :raises LogUnavailableError: when the log is away; ``PublishUnknownError`` when the
            record may have been appended.
        """
        publish_id = publish_id or identifiers.new_id("pub")
        if self._chain.settle(publish_id) is revisions.Settlement.WON:
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
        return await self._settle(publish_id)

    async def _settle(self, publish_id: str) -> int:
        seen = self._read.sequence
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            while True:
                settlement = self._chain.settle(publish_id)
                if settlement is revisions.Settlement.WON:
                    return self._revision_of(publish_id)
                if settlement is revisions.Settlement.LOST:
                    raise errors.RevisionConflictError(
                        f"revision {self.rules.revision} was accepted first", field="parent"
                    )
                seen = await self._read.wait_beyond(seen)
        raise PublishUnknownError(f"publish {publish_id}", ran=errors.Ran.UNKNOWN)

    def _revision_of(self, publish_id: str) -> int:
        for entry in self._chain.history():
            if entry.publish_id == publish_id:
                return entry.revision
        return self.rules.revision

    def _note_change(self, before: int, source: str) -> None:
        if self.rules.revision == before:
            return
        detail = f"revision {self.rules.revision} {source}"
        self._journal.record(lines.EventKind.RULES_IN_FORCE, detail=detail)
        self._journal.metrics.set_state("rules_revision", self.rules.revision)
        self.changes.changed()
