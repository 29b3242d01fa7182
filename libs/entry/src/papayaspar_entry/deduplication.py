"""At-most-once execution of non-idempotent requests that carry an idempotency key."""

from collections.abc import Awaitable, Callable

import anyio
import attrs
from cattrs.preconf import json as cattrs_json

from papayaspar_dispatch import calls, claims, shards
from papayaspar_entry import answers, sessions, shard_manager
from papayaspar_membership import members
from papayaspar_model import clock, errors, identifiers, work
from papayaspar_wire import messages

CLAIM_TIMEOUT_S = 2.0
SETTLE_ATTEMPTS_MAX = 30
RETRY_INTERVAL_S = 0.1
UNKNOWN_TIMEOUT_S = 1.5
# Time for the next shard map to arrive after a draining owner has left.
HANDOVER_TIMEOUT_S = 5.0

_CONVERTER = cattrs_json.make_converter()


@attrs.frozen
class RoutedClaim:
    """A claim and the worker to send it to.

    :param claim: claim of an idempotency key.
    :param owner: owner of the key's shard.
    """

    claim: claims.Claim
    owner: shards.ShardOwner


class Deduplicator:
    """Runs each non-idempotent request with a key at most once.

    The key is claimed at the owner of its shard, which also stores the answer.

    :param table: this entry's table of workers.
    :param agent_sessions: streams to the agents.
    :param shard_maps: manager of the shard map.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self,
        table: members.MemberTable,
        agent_sessions: sessions.Sessions,
        shard_maps: shard_manager.ShardManager,
        clock_source: clock.Clock,
    ) -> None:
        self._table = table
        self._sessions = agent_sessions
        self._shards = shard_maps
        self._clock = clock_source

    async def run(
        self,
        request: work.Request,
        key: str,
        execute: Callable[[work.Request, answers.Progress], Awaitable[answers.Answer]],
    ) -> answers.Answer:
        """Run a request at most once for its key.

        :param request: request to run.
        :param key: idempotency key of the request.
        :param execute: function that runs the request.
        :return: the answer to this request, or the stored answer to an earlier request with the
            same key.
        :raises OutcomeUnknownError: if a request with the key may have run and no answer is stored.
        """
        routed, answer = await self._claim(request, key)
        if answer is not None:
            return attrs.evolve(answer, request_id=request.request_id)
        return await self._execute(routed, request, execute)

    async def _claim(
        self, request: work.Request, key: str
    ) -> tuple[RoutedClaim, answers.Answer | None]:
        owner: shards.ShardOwner | None = None
        asked_since_s = self._clock.now_s()
        while True:
            seen_sequence = self._shards.changes.sequence
            now_s = self._clock.now_s()
            remaining_s = request.deadline_s - now_s
            if remaining_s <= 0:
                raise errors.DeadlineError("the key could not be claimed", ran=errors.Ran.UNKNOWN)
            routed = self._route_claim(request, key, remaining_s)
            if routed.owner != owner:
                owner = routed.owner
                asked_since_s = now_s
            claim_answer = await self._send_claim(routed)
            if claim_answer is None:
                await self._wait_before_retry(seen_sequence)
                continue
            if claim_answer.verdict is claims.Verdict.GRANTED:
                return routed, None
            if claim_answer.verdict is claims.Verdict.SETTLED:
                return routed, decode_answer(claim_answer.answer)
            # A new owner of the shard may not have received the claims of the previous owner yet.
            may_retry_unknown = self._clock.now_s() - asked_since_s < UNKNOWN_TIMEOUT_S
            if claim_answer.verdict is claims.Verdict.UNKNOWN and not may_retry_unknown:
                raise errors.OutcomeUnknownError("an earlier request with the key may have run")
            if claim_answer.verdict is claims.Verdict.CONFLICT:
                raise errors.ConflictError(
                    "the key was used before with different content", field="Idempotency-Key"
                )
            # Another request with the key is in progress, or the shard is moving to another owner.
            await self._wait_before_retry(seen_sequence)

    async def _wait_before_retry(self, seen_sequence: int) -> None:
        """Wait until a claim may be sent again: for the next shard map, or for the interval."""
        with anyio.move_on_after(RETRY_INTERVAL_S):
            await self._shards.changes.wait_for_change(seen_sequence)

    async def _send_claim(self, routed: RoutedClaim) -> claims.ClaimAnswer | None:
        """Send a claim to the owner.

        :return: the answer, or ``None`` if there is none because the owner is leaving; the claim
            may be sent again, because the request runs only after an answer that grants it.
        :raises UnavailableError: if the owner is unavailable otherwise; it may have granted the
            key before, so ``ran`` is ``unknown``.
        """
        link = self._shards.link
        revision = link.shard_map.revision if link is not None else 0
        message = calls.ClaimKey(routed.claim, revision)
        try:
            peer = self._sessions.peer(routed.owner.worker)
            reply = await peer.call(message, min(CLAIM_TIMEOUT_S, routed.claim.remaining_s))
        except errors.PeerError as error:
            if self._is_leaving(routed.owner):
                return None
            raise errors.UnavailableError(
                f"the owner of the key's shard is unavailable: {error.detail}",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=CLAIM_TIMEOUT_S,
            ) from error
        return messages.expect(reply, claims.ClaimAnswer)

    def _is_leaving(self, owner: shards.ShardOwner) -> bool:
        """Return whether an owner drains, or drained and left so recently that a map may follow."""
        member = self._table.get(owner.worker)
        if member is None or not member.report.draining:
            return False
        if member.report.identity.incarnation != owner.incarnation:
            return False
        if member.disconnected_at_s is None:
            return True
        return self._clock.now_s() - member.disconnected_at_s < HANDOVER_TIMEOUT_S

    def _route_claim(self, request: work.Request, key: str, remaining_s: float) -> RoutedClaim:
        link = self._shards.link
        if link is None:
            raise errors.UnavailableError(
                "no shard map has been received yet",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=CLAIM_TIMEOUT_S,
            )
        claim = claims.Claim(
            team=request.team,
            key=key,
            digest=claims.content_digest(request.kind, request.payload),
            request_id=request.request_id,
            remaining_s=remaining_s,
            first_sent_s=identifiers.key_creation_time_s(key),
        )
        return RoutedClaim(claim, link.shard_map.owner_of(request.team, key))

    async def _execute(
        self,
        routed: RoutedClaim,
        request: work.Request,
        execute: Callable[[work.Request, answers.Progress], Awaitable[answers.Answer]],
    ) -> answers.Answer:
        message: calls.SettleClaim | calls.ReleaseClaim = calls.SettleClaim(routed.claim, None)
        progress = answers.Progress()
        try:
            answer = await execute(request, progress)
            message = calls.SettleClaim(routed.claim, encode_answer(answer))
            return answer
        except errors.PapayasparError as error:
            if error.ran is errors.Ran.NO:
                message = calls.ReleaseClaim(routed.claim)
            raise
        except anyio.get_cancelled_exc_class():
            # At shutdown, the HTTP server cancels its asyncio tasks directly, which the
            # dispatcher's shielded cancel scope does not prevent.
            if not progress.is_sent:
                message = calls.ReleaseClaim(routed.claim)
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await self._send_outcome(routed, message)

    async def _send_outcome(
        self, routed: RoutedClaim, message: calls.SettleClaim | calls.ReleaseClaim
    ) -> None:
        """Send the outcome to the owner; if that fails, the key stays marked as possibly run."""
        for _ in range(SETTLE_ATTEMPTS_MAX):
            try:
                peer = self._sessions.peer(routed.owner.worker)
                reply = await peer.call(message, CLAIM_TIMEOUT_S)
                if messages.expect(reply, calls.ClaimNoted).noted:
                    return
            except errors.PapayasparError:
                # The owner is unreachable or has changed; it is looked up again below.
                pass
            await anyio.sleep(RETRY_INTERVAL_S)
            link = self._shards.link
            if link is not None:
                owner = link.shard_map.owner_of(routed.claim.team, routed.claim.key)
                routed = attrs.evolve(routed, owner=owner)


def encode_answer(answer: answers.Answer) -> bytes:
    """Return the encoded form of an answer, which the owner of the key stores."""
    return _CONVERTER.dumps(answer).encode()


def decode_answer(data: bytes) -> answers.Answer:
    """Return the answer encoded by :func:`encode_answer`."""
    return _CONVERTER.loads(data, answers.Answer)
