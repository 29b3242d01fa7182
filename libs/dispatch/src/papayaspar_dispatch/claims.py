"""Claims of non-idempotent requests, kept by the agent that owns the key's shard.

A claim is granted once. Its owner remembers the key, a digest of the content and the answer for
the retry horizon, so a key that comes again gets the same answer or learns that it may have run.
"""

import enum

import attrs
import xxhash

RETRY_HORIZON_S = 900.0
CLOCK_SKEW_MARGIN_S = 10.0
DEADLINE_MAX_S = 300.0
CLAIMS_MAX = 20_000
CLAIM_BYTES_MAX = 8 * 1024 * 1024
ANSWER_BYTES_MAX = 4 * 1024 * 1024
CLAIM_OVERHEAD_BYTES = 400


class Verdict(enum.Enum):
    """What the owner of a key's shard says to a claim.

    Only ``GRANTED`` lets the request run. After ``CONFLICT``, ``FROZEN`` and ``NOT_OWNER`` it was
    not run under this sending.
    """

    GRANTED = "granted"
    SETTLED = "settled"
    PENDING = "pending"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    FROZEN = "frozen"
    NOT_OWNER = "not_owner"


class ClaimState(enum.Enum):
    """Where a claim that was granted stands."""

    PENDING = "pending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """An entry's wish to run a non-idempotent request.

    :param team: whose request.
    :param key: the caller's idempotency key.
    :param digest: digest of the content, see :func:`digest_of`.
    :param request_id: the entry's name for this sending.
    :param remaining_s: time left until the request's deadline.
    :param first_sent_s: Unix time before which the key can't have been sent, from the key or from
        the caller's header; ``None`` when nothing says so.
    """

    team: str
    key: str
    digest: str
    request_id: str
    remaining_s: float
    first_sent_s: float | None = None


@attrs.frozen
class ClaimAnswer:
    """What the owner says.

    :param verdict: the decision.
    :param request_id: the sending that holds the claim, if one does.
    :param answer: the answer of the sending that ran, when settled.
    """

    verdict: Verdict
    request_id: str = ""
    answer: bytes = b""


@attrs.define
class ClaimRecord:
    """One key that was granted.

    :param digest: digest of the content.
    :param request_id: the sending that holds the claim.
    :param deadline_s: reading of the owner's clock after which a pending claim counts as unknown.
    :param forget_at_s: reading of the owner's clock after which the key is forgotten.
    :param state: where it stands.
    :param answer: the answer, when there is one.
    """

    digest: str
    request_id: str
    deadline_s: float
    forget_at_s: float
    state: ClaimState = ClaimState.PENDING
    answer: bytes = b""


@attrs.define
class ClaimUse:
    """Memory that all shards of one agent use together.

    :param claims: keys remembered.
    :param claim_bytes: bytes of keys and their records.
    :param answer_bytes: bytes of answers.
    """

    claims: int = 0
    claim_bytes: int = 0
    answer_bytes: int = 0


@attrs.frozen
class ClaimLimits:
    """Bounds on the memory of one agent's claims.

    :param claims_max: most keys remembered.
    :param claim_bytes_max: most bytes of keys and their records.
    :param answer_bytes_max: most bytes of answers; an answer beyond it is not kept, its key is.
    """

    claims_max: int = CLAIMS_MAX
    claim_bytes_max: int = CLAIM_BYTES_MAX
    answer_bytes_max: int = ANSWER_BYTES_MAX


def digest_of(kind: str, payload: bytes) -> str:
    """Return the digest by which two sendings of one key are compared.

    :param kind: kind of work.
    :param payload: body for the target.
    """
    return xxhash.xxh3_128_hexdigest(kind.encode() + b"\0" + payload)


@attrs.frozen
class ExportedClaim:
    """One remembered key on its way to the next owner; times are left over, not readings.

    :param name: name of the key over all teams.
    :param digest: digest of the content.
    :param request_id: the sending that holds the claim.
    :param deadline_left_s: seconds until a pending claim counts as unknown.
    :param forget_left_s: seconds until the key is forgotten.
    :param state: where it stands.
    :param answer: the answer, when there is one.
    """

    name: str
    digest: str
    request_id: str
    deadline_left_s: float
    forget_left_s: float
    state: ClaimState
    answer: bytes


@attrs.frozen
class ShardExport:
    """The memory of one shard, handed from its owner to the next.

    :param shard: number of the shard.
    :param epoch: epoch of the owner that gives it away.
    :param unseen_left_s: seconds for which that owner still had to refuse unseen keys.
    :param unseen_before_wall_s: keys made before this Unix time are what it refused.
    :param claims: the keys, oldest first.
    """

    shard: int
    epoch: int
    unseen_left_s: float
    unseen_before_wall_s: float
    claims: tuple[ExportedClaim, ...]
