"""Owners of the shards of idempotency keys: followed on the log, moved only on evidence."""

import anyio

from papayaspar_dispatch import calls, shard_chains, shard_records, shards
from papayaspar_entry import entry_links
from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import errors, signals, workers
from papayaspar_platform import followers, logs

PROPOSE_INTERVAL_S = 0.5
STEADY_S = 2.0
RESTATE_INTERVAL_S = 300.0


class Shardkeeper:
    """Follows the maps of shards, and proposes the next one when an owner can't go on.

    :param log: the platform's log.
    :param table: the entry's view of the workers.
    :param links: streams to the other entries; the first live one proposes.
    :param record: the process's journal.
    """

    def __init__(
        self,
        log: logs.Log,
        table: members.MemberTable,
        links: entry_links.EntryLinks,
        record: journal.Journal,
    ) -> None:
        self._log = log
        self._table = table
        self._links = links
        self._journal = record
        self._chain = shard_chains.ShardChain()
        self._follower = followers.Follower(log, shards.STREAM)
        self._retired: dict[str, shards.Evidence] = {}
        self._surrendered: list[shards.Evidence] = []
        self.changes = signals.ChangeSignal()

    @property
    def link(self) -> shard_chains.ChainLink | None:
        """The map to act on, or ``None`` while it is not known for certain."""
        return self._chain.link

    @property
    def revision(self) -> int:
        """Revision of the map to act on, 0 while none is known for certain."""
        return self.link.shard_map.revision if self.link is not None else 0

    @property
    def may_propose(self) -> bool:
        """Whether this entry is the one to propose, and the log is there to take it."""
        return self._follower.is_reachable and self._links.is_first

    def adopt(self, link: shard_chains.ChainLink | None) -> None:
        """Take the map that another process acts on."""
        if link is not None and self._chain.adopt(link) is not None:
            self._note_change()

    async def follow(self) -> None:
        """Read the log for as long as the entry lives; runs in a task of its own."""
        while True:
            batch = await self._follower.next_batch()
            if batch.lost_records:
                first_offset = self._follower.next_offset - len(batch.records)
                self._chain.observe_gap(first_offset)
            for item in batch.records:
                if self._chain.observe(item.offset, item.data) is not None:
                    self._note_change()

    async def propose(self) -> None:
        """Propose maps when they are due; runs in a task of its own."""
        steady_since_s = anyio.current_time()
        restated_s = steady_since_s
        names_before: tuple[str, ...] = ()
        while True:
            await anyio.sleep(PROPOSE_INTERVAL_S)
            now_s = anyio.current_time()
            names = tuple(identity.worker for identity in self._candidates())
            if names != names_before:
                names_before = names
                steady_since_s = now_s
            if not self._follower.is_reachable or not self._links.is_first:
                continue
            due = self._due(is_steady=now_s - steady_since_s >= STEADY_S)
            if due is None and now_s - restated_s > RESTATE_INTERVAL_S:
                due = self._chain.restatement()
                restated_s = now_s
            if due is not None:
                await self._publish(due)

    def retire(self, worker: str, operator: str) -> None:
        """Take an operator's word that a worker grants nothing any more.

        :param worker: the worker.
        :param operator: who says so.
        :raises NotFoundError: it owns no shard.
        """
        head = self._chain.head
        owners = head.owners if head is not None else ()
        lives = {owner.incarnation for owner in owners if owner.worker == worker}
        if not lives:
            raise errors.NotFoundError(f"{worker} owns no shard of keys", field="worker")
        kind = shards.EvidenceKind.RETIRED
        through_epoch = max(owner.epoch for owner in owners)
        self._retired[worker] = shards.Evidence(
            kind, worker, max(lives), operator=operator, through_epoch=through_epoch
        )

    def surrender(self, message: calls.ShardsSurrendered) -> None:
        """Take a leaving agent's word that it grants nothing any more, with what it remembers."""
        which = tuple(export.shard for export in message.exports)
        kind = shards.EvidenceKind.SURRENDERED
        through_epoch = max((export.epoch for export in message.exports), default=shards.NO_EPOCH)
        proof = shards.Evidence(
            kind,
            message.worker,
            message.incarnation,
            shards=which,
            through_epoch=through_epoch,
        )
        self._surrendered.append(proof)

    def _due(self, is_steady: bool) -> shards.ShardMap | None:
        candidates = self._candidates()
        head = self._chain.head
        if head is None:
            # Only a log that never held a map may be founded upon; the chain checks it too.
            is_new = self._follower.is_caught_up and self._follower.next_offset == 0
            if not is_new or not is_steady or not candidates:
                return None
            return shards.found(candidates)
        if self._chain.link is None:
            return None
        announced = [member.report.identity for member in self._table.all()]
        evidence = (
            *shards.replaced_owners(head, announced),
            *self._retired.values(),
            *self._surrendered,
        )
        return shards.reassign(head, evidence, candidates)

    async def _publish(self, due: shards.ShardMap) -> None:
        try:
            await self._log.append(shards.STREAM, (shard_records.encode(due),))
        except errors.LogUnavailableError:
            # Ownership stands still while the log is away.
            return

    def _candidates(self) -> list[workers.WorkerIdentity]:
        return [member.report.identity for member in self._table.all() if member.is_usable]

    def _note_change(self) -> None:
        head = self._chain.head
        revision = head.revision if head is not None else 0
        detail = f"revision {revision}"
        self._journal.record(lines.EventKind.SHARDS_IN_FORCE, detail=detail)
        self.changes.changed()
