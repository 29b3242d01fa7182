"""Transfer of shards of idempotency keys from draining agents to their new owners."""

import anyio

from papayaspar_dispatch import calls, claims
from papayaspar_entry import sessions, shard_manager
from papayaspar_membership import members
from papayaspar_model import errors, workers
from papayaspar_wire import messages

CHECK_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 2.0


class ShardHandovers:
    """Takes over the shards of draining agents, and sends their claims to the new owners.

    No shard is handed over while the log is unavailable: no new owner could be assigned, and
    requests with the keys of the shard would be rejected until the log is available again.

    :param table: this entry's table of workers.
    :param agent_sessions: streams to the agents.
    :param shards: manager of the shard map.
    """

    def __init__(
        self,
        table: members.MemberTable,
        agent_sessions: sessions.Sessions,
        shards: shard_manager.ShardManager,
    ) -> None:
        self._table = table
        self._sessions = agent_sessions
        self._shards = shards
        self._pending: list[claims.ShardExport] = []
        self._handed_over: set[workers.WorkerIdentity] = set()

    async def run(self) -> None:
        """Hand over shards until cancelled; run this in a separate task."""
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._shards.changes.wait_for_change(self._shards.changes.sequence)
            if self._shards.may_propose:
                for identity in self._draining_owners():
                    await self._request_handover(identity)
            await self._deliver_exports()

    def _draining_owners(self) -> list[workers.WorkerIdentity]:
        link = self._shards.link
        if link is None:
            return []
        owners = {(owner.worker, owner.incarnation) for owner in link.shard_map.owners}
        draining_owners = []
        for member in self._table.all():
            identity = member.report.identity
            is_owner = (identity.worker, identity.incarnation) in owners
            is_draining = member.is_connected and member.report.draining
            if is_owner and is_draining and identity not in self._handed_over:
                draining_owners.append(identity)
        return draining_owners

    async def _request_handover(self, identity: workers.WorkerIdentity) -> None:
        try:
            peer = self._sessions.peer(identity.worker)
            reply = await peer.call(calls.SurrenderShards(), CALL_TIMEOUT_S)
            handover = messages.expect(reply, calls.ShardsSurrendered)
        except errors.PapayasparError:
            return
        self._handed_over.add(identity)
        if not handover.exports:
            return
        self._shards.record_handover(handover)
        self._pending.extend(handover.exports)

    async def _deliver_exports(self) -> None:
        link = self._shards.link
        if link is None:
            return
        undelivered = []
        for export in self._pending:
            owner = link.shard_map.owners[export.shard]
            if owner.previous_epoch > export.epoch:
                # Only the owner that follows directly takes the claims; it has left meanwhile.
                continue
            if owner.epoch <= export.epoch or not await self._send_takeover(owner.worker, export):
                undelivered.append(export)
        self._pending = undelivered

    async def _send_takeover(self, worker: str, export: claims.ShardExport) -> bool:
        try:
            peer = self._sessions.peer(worker)
            reply = await peer.call(calls.TakeOverShard(export), CALL_TIMEOUT_S)
            return messages.expect(reply, calls.ClaimNoted).noted
        except errors.PapayasparError:
            return False
