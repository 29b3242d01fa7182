"""Handling of calls about claims, and of shard maps from entries."""

from papayaspar_dispatch import calls, claim_tables, claims
from papayaspar_events import journal, lines
from papayaspar_model import errors, signals, workers


class ClaimService:
    """Handles claims of idempotency keys whose shards this agent owns.

    :param identity: identity of the worker with this incarnation of its agent.
    :param table: claims of the owned shards.
    :param event_journal: event journal of the process.
    """

    def __init__(
        self,
        identity: workers.WorkerIdentity,
        table: claim_tables.ClaimTable,
        event_journal: journal.Journal,
    ) -> None:
        self._identity = identity
        self._table = table
        self._handed_over = signals.ChangeSignal()
        self._journal = event_journal

    def handles(self, message: object) -> bool:
        """Return whether a message is one of :data:`papayaspar_dispatch.calls.ALL`."""
        return isinstance(message, calls.ALL)

    def answer(self, message: object) -> object:
        """Return the answer to one call.

        :param message: one of :data:`papayaspar_dispatch.calls.ALL`.
        :raises ProtocolError: if it is not a call about claims.
        """
        if isinstance(message, calls.ClaimKey):
            return self._claim(message)
        if isinstance(message, calls.SettleClaim):
            return calls.ClaimNoted(self._table.settle(message.claim, message.answer))
        if isinstance(message, calls.ReleaseClaim):
            return calls.ClaimNoted(self._table.release(message.claim))
        if isinstance(message, calls.TakeOverShard):
            return calls.ClaimNoted(self._table.take_over(message.export))
        if isinstance(message, calls.SurrenderShards):
            return self._hand_over()
        if isinstance(message, calls.ShardsWanted):
            return calls.ShardsHeld(self._table.link)
        raise errors.ProtocolError(f"{type(message).__name__} is not a call about claims")

    def apply_shard_map(self, message: calls.ShardsInForce) -> None:
        """Apply a shard map; an older one is ignored."""
        previous_revision = self._table.revision
        self._table.adopt(message.link)
        if self._table.revision != previous_revision:
            detail = f"revision {self._table.revision}, {len(self._table.owned)} owned"
            self._journal.record(lines.EventKind.SHARDS_IN_FORCE, detail=detail)

    async def wait_handed_over(self) -> None:
        """Wait until this agent has handed over all shards that it owns."""
        while self._table.owned:
            await self._handed_over.wait_for_change(self._handed_over.sequence)

    def _hand_over(self) -> calls.ShardsSurrendered:
        """Permanently stop granting claims and return the claims for the next owners."""
        exports = self._table.hand_over()
        self._handed_over.notify()
        return calls.ShardsSurrendered(self._identity.worker, self._identity.incarnation, exports)

    def _claim(self, message: calls.ClaimKey) -> claims.ClaimAnswer:
        answer = self._table.claim(message.claim, message.map_revision)
        is_granted = answer.verdict is claims.Verdict.GRANTED
        self._journal.record(
            lines.EventKind.CLAIM_GRANTED if is_granted else lines.EventKind.CLAIM_REFUSED,
            worker=self._journal.process,
            team=message.claim.team,
            request=message.claim.request_id,
            code="" if is_granted else answer.verdict.value,
        )
        return answer
