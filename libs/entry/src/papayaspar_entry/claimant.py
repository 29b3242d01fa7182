"""Non-idempotent requests with a key: claimed once, run at most once, answered the same again."""

from collections.abc import Awaitable, Callable

import anyio
import attrs
from cattrs.preconf import json as cattrs_json

from papayaspar_dispatch import calls, claims
from papayaspar_entry import answers, sessions, shardkeeper
from papayaspar_model import clock, errors, identifiers, work
from papayaspar_wire import messages

CLAIM_TIMEOUT_S = 2.0
SETTLE_TRIES = 30
PAUSE_S = 0.1
UNKNOWN_PATIENCE_S = 1.5

_CONVERTER = cattrs_json.make_converter()


@attrs.frozen
class Claimed:
    """A claim and who owns its shard.

    :param claim: the claim.
    :param owner: worker of the owner.
    """

    claim: claims.Claim
    owner: str


class Claimant:
    """Asks the owner of a key's shard before a request runs, and tells it the answer.

    :param links: streams to the agents.
    :param keeper: owners of the shards.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        links: sessions.Sessions,
        keeper: shardkeeper.Shardkeeper,
        clock_source: clock.Clock,
    ) -> None:
        self._sessions = links
        self._keeper = keeper
        self._clock = clock_source

    async def run(
        self,
        request: work.Request,
        key: str,
        execute: Callable[[work.Request, answers.Progress], Awaitable[answers.Answer]],
    ) -> answers.Answer:
        """Run a request at most once for its key.

        :param request: the request.
        :param key: its idempotency key.
        :param execute: runs it.
        :return: its answer, or the one that an earlier sending of the key had.
        :raises OutcomeUnknownError: when the key may have run without an answer that is known.
        """
        claimed, answer = await self._claim(request, key)
        if answer is not None:
            return attrs.evolve(answer, request_id=request.request_id)
        return await self._execute(claimed, request, execute)

    async def _claim(
        self, request: work.Request, key: str
    ) -> tuple[Claimed, answers.Answer | None]:
        started_s = self._clock.now_s()
        while True:
            remaining_s = request.deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                raise errors.DeadlineError("the key could not be claimed", ran=errors.Ran.UNKNOWN)
            claimed = self._claimed(request, key, remaining_s)
            said = await self._ask(claimed)
            if said.verdict is claims.Verdict.GRANTED:
                return claimed, None
            if said.verdict is claims.Verdict.SETTLED:
                return claimed, decode_answer(said.answer)
            # A new owner of the shard may be about to hear from the one before.
            is_patient = self._clock.now_s() - started_s < UNKNOWN_PATIENCE_S
            if said.verdict is claims.Verdict.UNKNOWN and not is_patient:
                raise errors.OutcomeUnknownError("an earlier sending of the key may have run")
            if said.verdict is claims.Verdict.CONFLICT:
                raise errors.ConflictError(
                    "the key came with other content before", field="Idempotency-Key"
                )
            # Another sending is in progress, or the shard is changing hands.
            await anyio.sleep(PAUSE_S)

    async def _ask(self, claimed: Claimed) -> claims.ClaimAnswer:
        """Ask the owner; one that is away may have granted the key to somebody before."""
        link = self._keeper.link
        revision = link.shard_map.revision if link is not None else 0
        message = calls.ClaimKey(claimed.claim, revision)
        try:
            peer = self._sessions.peer(claimed.owner)
            reply = await peer.call(message, min(CLAIM_TIMEOUT_S, claimed.claim.remaining_s))
        except errors.PeerError as error:
            raise errors.UnavailableError(
                f"the owner of the key's shard is away: {error.detail}",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=CLAIM_TIMEOUT_S,
            ) from error
        return messages.expect(reply, claims.ClaimAnswer)

    def _claimed(self, request: work.Request, key: str, remaining_s: float) -> Claimed:
        link = self._keeper.link
        if link is None:
            raise errors.UnavailableError(
                "the owners of keys are not known yet",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=CLAIM_TIMEOUT_S,
            )
        claim = claims.Claim(
            team=request.team,
            key=key,
            digest=claims.digest_of(request.kind, request.payload),
            request_id=request.request_id,
            remaining_s=remaining_s,
            first_sent_s=identifiers.key_time_s(key),
        )
        return Claimed(claim, link.shard_map.owner_of(request.team, key).worker)

    async def _execute(
        self,
        claimed: Claimed,
        request: work.Request,
        execute: Callable[[work.Request, answers.Progress], Awaitable[answers.Answer]],
    ) -> answers.Answer:
        message: calls.SettleClaim | calls.ReleaseClaim = calls.SettleClaim(claimed.claim, None)
        progress = answers.Progress()
        try:
            answer = await execute(request, progress)
            message = calls.SettleClaim(claimed.claim, encode_answer(answer))
            return answer
        except errors.PapayasparError as error:
            if error.ran is errors.Ran.NO:
                message = calls.ReleaseClaim(claimed.claim)
            raise
        except anyio.get_cancelled_exc_class():
            # A server that stops cancels its tasks in spite of the dispatcher's shield.
            if not progress.is_sent:
                message = calls.ReleaseClaim(claimed.claim)
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await self._tell(claimed, message)

    async def _tell(
        self, claimed: Claimed, message: calls.SettleClaim | calls.ReleaseClaim
    ) -> None:
        """Tell the owner how it ended; if that fails the key counts as possibly run."""
        for _ in range(SETTLE_TRIES):
            try:
                reply = await self._sessions.peer(claimed.owner).call(message, CLAIM_TIMEOUT_S)
                if messages.expect(reply, calls.ClaimNoted).noted:
                    return
            except errors.PapayasparError:
                # The owner can't be reached or is another by now: it is looked up again below.
                pass
            await anyio.sleep(PAUSE_S)
            link = self._keeper.link
            if link is not None:
                owner = link.shard_map.owner_of(claimed.claim.team, claimed.claim.key)
                claimed = attrs.evolve(claimed, owner=owner.worker)


def encode_answer(answer: answers.Answer) -> bytes:
    """Return the bytes by which an owner remembers an answer."""
    return _CONVERTER.dumps(answer).encode()


def decode_answer(data: bytes) -> answers.Answer:
    """Return the answer that an owner remembered."""
    return _CONVERTER.loads(data, answers.Answer)
