"""Shards of keys on their way from a leaving agent to the next owners."""

import anyio

from papayaspar_dispatch import calls, claims
from papayaspar_entry import sessions, shardkeeper
from papayaspar_membership import members
from papayaspar_model import errors, workers
from papayaspar_wire import messages

INTERVAL_S = 0.25
CALL_TIMEOUT_S = 2.0


class Handovers:
    """Has leaving agents surrender their shards, and takes what they remember to the next owners.

    Nothing is surrendered while the log is away: no new owner could be named, and the keys of
    the shard would be refused for as long.

    :param table: the entry's view of the workers.
    :param links: streams to the agents.
    :param keeper: owners of the shards.
    """

    def __init__(
        self,
        table: members.MemberTable,
        links: sessions.Sessions,
        keeper: shardkeeper.Shardkeeper,
    ) -> None:
        self._table = table
        self._sessions = links
        self._keeper = keeper
        self._pending: list[claims.ShardExport] = []
        self._asked: set[workers.WorkerIdentity] = set()

    async def run(self) -> None:
        """Hand shards over until cancelled; runs in a task of its own."""
        while True:
            with anyio.move_on_after(INTERVAL_S):
                await self._keeper.changes.wait_beyond(self._keeper.changes.sequence)
            if self._keeper.may_propose:
                for identity in self._leaving_owners():
                    await self._surrender(identity)
            await self._deliver()

    def _leaving_owners(self) -> list[workers.WorkerIdentity]:
        link = self._keeper.link
        if link is None:
            return []
        owners = {(owner.worker, owner.incarnation) for owner in link.shard_map.owners}
        leaving = []
        for member in self._table.all():
            identity = member.report.identity
            is_owner = (identity.worker, identity.incarnation) in owners
            is_leaving = member.is_connected and member.report.draining
            if is_owner and is_leaving and identity not in self._asked:
                leaving.append(identity)
        return leaving

    async def _surrender(self, identity: workers.WorkerIdentity) -> None:
        try:
            peer = self._sessions.peer(identity.worker)
            reply = await peer.call(calls.SurrenderShards(), CALL_TIMEOUT_S)
            surrendered = messages.expect(reply, calls.ShardsSurrendered)
        except errors.PapayasparError:
            return
        self._asked.add(identity)
        if not surrendered.exports:
            return
        self._keeper.surrender(surrendered)
        self._pending.extend(surrendered.exports)

    async def _deliver(self) -> None:
        link = self._keeper.link
        if link is None:
            return
        waiting = []
        for export in self._pending:
            owner = link.shard_map.owners[export.shard]
            if owner.epoch <= export.epoch or not await self._take_over(owner.worker, export):
                waiting.append(export)
        self._pending = waiting

    async def _take_over(self, worker: str, export: claims.ShardExport) -> bool:
        try:
            peer = self._sessions.peer(worker)
            reply = await peer.call(calls.TakeOverShard(export), CALL_TIMEOUT_S)
            return messages.expect(reply, calls.ClaimNoted).noted
        except errors.PapayasparError:
            return False
