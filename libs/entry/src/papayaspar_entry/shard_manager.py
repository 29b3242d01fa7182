"""Map of the shards of idempotency keys to owners, read from the log.

An owner is replaced only on evidence that it grants no claims any more.
"""

import anyio

from papayaspar_dispatch import calls, shard_chains, shard_records, shards
from papayaspar_entry import entry_links
from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import errors, signals, workers
from papayaspar_platform import followers, logs

PROPOSE_INTERVAL_S = 0.5
STABLE_AFTER_S = 2.0
# The map in force is appended again before the log drops its record.
RESTATE_INTERVAL_S = 300.0


class ShardManager:
    """Follows the shard maps on the log, and proposes a new map to replace an owner.

    :param log: client of the platform's log.
    :param table: this entry's table of workers.
    :param links: streams to the other entries; the entry with the first live address proposes.
    :param event_journal: journal of this process's events.
    """

    def __init__(
        self,
        log: logs.Log,
        table: members.MemberTable,
        links: entry_links.EntryLinks,
        event_journal: journal.Journal,
    ) -> None:
        self._log = log
        self._table = table
        self._links = links
        self._journal = event_journal
        self._chain = shard_chains.ShardChain()
        self._follower = followers.Follower(log, shards.STREAM)
        self._retired: dict[str, shards.Evidence] = {}
        self._handed_over: list[shards.Evidence] = []
        self.changes = signals.ChangeSignal()

    @property
    def link(self) -> shard_chains.ChainLink | None:
        """The map in force, or ``None`` while it is uncertain."""
        return self._chain.link

    @property
    def revision(self) -> int:
        """Revision of the map in force, 0 while it is uncertain."""
        return self.link.shard_map.revision if self.link is not None else 0

    @property
    def may_propose(self) -> bool:
        """Whether this entry is the proposer and the log is reachable."""
        return self._follower.is_reachable and self._links.is_proposer

    def adopt(self, link: shard_chains.ChainLink | None) -> None:
        """Apply the map in force in another process."""
        if link is not None and self._chain.adopt(link) is not None:
            self._record_change()

    async def follow(self) -> None:
        """Read the log until cancelled; run this in a separate task."""
        while True:
            batch = await self._follower.next_batch()
            if batch.lost_records:
                first_offset = self._follower.next_offset - len(batch.records)
                self._chain.observe_gap(first_offset)
            for record in batch.records:
                if self._chain.observe(record.offset, record.data) is not None:
                    self._record_change()

    async def propose(self) -> None:
        """Propose maps when owners have to change; run this in a separate task."""
        stable_since_s = anyio.current_time()
        last_restated_s = stable_since_s
        previous_names: tuple[str, ...] = ()
        while True:
            await anyio.sleep(PROPOSE_INTERVAL_S)
            now_s = anyio.current_time()
            names = tuple(identity.worker for identity in self._candidates())
            if names != previous_names:
                previous_names = names
                stable_since_s = now_s
            if not self._follower.is_reachable or not self._links.is_proposer:
                continue
            proposal = self._next_map(is_stable=now_s - stable_since_s >= STABLE_AFTER_S)
            if proposal is None and now_s - last_restated_s > RESTATE_INTERVAL_S:
                proposal = self._chain.restated_head()
                last_restated_s = now_s
            if proposal is not None:
                await self._publish(proposal)

    def retire(self, worker: str, operator: str) -> None:
        """Record an operator's statement that a worker grants no claims any more.

        :param worker: name of the worker.
        :param operator: name of the operator.
        :raises NotFoundError: if the worker owns no shard.
        """
        head = self._chain.head
        owners = head.owners if head is not None else ()
        incarnations = {owner.incarnation for owner in owners if owner.worker == worker}
        if not incarnations:
            raise errors.NotFoundError(f"{worker} owns no shard of keys", field="worker")
        kind = shards.EvidenceKind.RETIRED
        through_epoch = max(owner.epoch for owner in owners)
        self._retired[worker] = shards.Evidence(
            kind, worker, max(incarnations), operator=operator, through_epoch=through_epoch
        )

    def record_handover(self, message: calls.ShardsSurrendered) -> None:
        """Record that a draining agent handed over its shards and grants no claims any more."""
        shard_numbers = tuple(export.shard for export in message.exports)
        kind = shards.EvidenceKind.SURRENDERED
        through_epoch = max((export.epoch for export in message.exports), default=shards.NO_EPOCH)
        evidence = shards.Evidence(
            kind,
            message.worker,
            message.incarnation,
            shards=shard_numbers,
            through_epoch=through_epoch,
        )
        self._handed_over.append(evidence)

    def _next_map(self, is_stable: bool) -> shards.ShardMap | None:
        candidates = self._candidates()
        head = self._chain.head
        if head is None:
            # The initial map may be appended only to an empty log; the chain checks this too.
            is_new = self._follower.is_caught_up and self._follower.next_offset == 0
            if not is_new or not is_stable or not candidates:
                return None
            return shards.create_initial_map(candidates)
        if self._chain.link is None:
            return None
        announced = [member.report.identity for member in self._table.all()]
        evidence = (
            *shards.replacement_evidence(head, announced),
            *self._retired.values(),
            *self._handed_over,
        )
        return shards.reassign(head, evidence, candidates)

    async def _publish(self, proposal: shards.ShardMap) -> None:
        try:
            await self._log.append(shards.STREAM, (shard_records.encode(proposal),))
        except errors.LogUnavailableError:
            # Owners do not change while the log is unavailable; the proposal is repeated later.
            return

    def _candidates(self) -> list[workers.WorkerIdentity]:
        return [member.report.identity for member in self._table.all() if member.is_usable]

    def _record_change(self) -> None:
        head = self._chain.head
        revision = head.revision if head is not None else 0
        detail = f"revision {revision}"
        self._journal.record(lines.EventKind.SHARDS_IN_FORCE, detail=detail)
        self.changes.notify()
