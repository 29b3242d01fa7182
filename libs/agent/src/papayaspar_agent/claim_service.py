"""Claims of non-idempotent requests that arrive at this agent."""

from papayaspar_dispatch import calls, claim_tables, claims
from papayaspar_events import journal, lines
from papayaspar_model import errors, signals, workers


class ClaimService:
    """Answers claims for the shards of keys that this agent owns.

    :param identity: the worker in this life of its agent.
    :param table: the claims.
    :param record: the process's journal.
    """

    def __init__(
        self,
        identity: workers.WorkerIdentity,
        table: claim_tables.ClaimTable,
        record: journal.Journal,
    ) -> None:
        self._identity = identity
        self._table = table
        self._surrendered = signals.ChangeSignal()
        self._journal = record

    def handles(self, message: object) -> bool:
        """Return whether a message is one of :data:`papayaspar_dispatch.calls.ALL`."""
        return isinstance(message, calls.ALL)

    def answer(self, message: object) -> object:
        """Answer one call.

        :raises ProtocolError: when it is none.
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
            return self._surrender()
        if isinstance(message, calls.ShardsWanted):
            return calls.ShardsHeld(self._table.link)
        raise errors.ProtocolError(f"no answer to {type(message).__name__}")

    def take(self, message: calls.ShardsInForce) -> None:
        """Take a map of the shards; older ones change nothing."""
        before = self._table.revision
        self._table.adopt(message.link)
        if self._table.revision != before:
            detail = f"revision {self._table.revision}, {len(self._table.owned)} owned"
            self._journal.record(lines.EventKind.SHARDS_IN_FORCE, detail=detail)

    async def wait_surrendered(self) -> None:
        """Wait until this agent owns no shard that it would take along when it leaves."""
        while self._table.owned:
            await self._surrendered.wait_beyond(self._surrendered.sequence)

    def _surrender(self) -> calls.ShardsSurrendered:
        """Stop granting for good, and return what the next owners need to know."""
        exports = self._table.hand_over()
        self._surrendered.changed()
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
