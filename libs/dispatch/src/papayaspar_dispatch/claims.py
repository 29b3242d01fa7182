"""Claims of idempotency keys, which make non-idempotent requests run at most once.

The agent that owns the shard of a key grants a claim once. It keeps the key, a digest of the
content and the answer for the retry horizon, so a repeated key gets the same answer, or an error
which states that the request may have run.
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
    """Decision of a shard's owner on a claim.

    Only ``GRANTED`` permits the request to run. ``SETTLED``: a request with the key ran, and its
    answer is returned. ``PENDING``: another request holds the claim, and its result is not recorded
    yet. ``UNKNOWN``: a request with the key may have run. ``CONFLICT``: the key was granted with
    other content. ``FROZEN``: the agent has handed the shard over, or its shard map is older than
    the entry's. ``NOT_OWNER``: the agent does not own the shard. After ``CONFLICT``, ``FROZEN`` and
    ``NOT_OWNER`` the request did not run under this request id.
    """

    GRANTED = "granted"
    SETTLED = "settled"
    PENDING = "pending"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    FROZEN = "frozen"
    NOT_OWNER = "not_owner"


class ClaimState(enum.Enum):
    """State of a granted claim."""

    PENDING = "pending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """Claim of an entry to run a non-idempotent request.

    :param team: team of the request.
    :param key: the caller's idempotency key.
    :param digest: digest of the content, see :func:`content_digest`.
    :param request_id: identifier that the entry gave to this request.
    :param remaining_s: seconds until the request's deadline.
    :param first_sent_s: Unix time before which the key can't have been sent, from the key or from
        the caller's header; ``None`` if neither contains one.
    """

    team: str
    key: str
    digest: str
    request_id: str
    remaining_s: float
    first_sent_s: float | None = None


@attrs.frozen
class ClaimAnswer:
    """Answer of a shard's owner to a claim.

    :param verdict: the decision.
    :param request_id: identifier of the request that holds the claim, or empty.
    :param answer: answer of the request that ran, if the verdict is ``SETTLED``.
    """

    verdict: Verdict
    request_id: str = ""
    answer: bytes = b""


@attrs.define
class ClaimRecord:
    """Record of one granted key.

    :param digest: digest of the content.
    :param request_id: identifier of the request that holds the claim.
    :param deadline_s: reading of the owner's clock after which a pending claim counts as unknown.
    :param expires_at_s: reading of the owner's clock after which the key is removed.
    :param state: state of the claim.
    :param answer: answer of the request, if the state is ``ANSWERED``.
    """

    digest: str
    request_id: str
    deadline_s: float
    expires_at_s: float
    state: ClaimState = ClaimState.PENDING
    answer: bytes = b""


@attrs.define
class ClaimUsage:
    """Memory usage of all shards of one agent.

    :param claims: number of keys.
    :param claim_bytes: size of keys and their records in bytes.
    :param answer_bytes: size of answers in bytes.
    """

    claims: int = 0
    claim_bytes: int = 0
    answer_bytes: int = 0


@attrs.frozen
class ClaimLimits:
    """Limits of the memory usage of one agent's claims.

    :param claims_max: maximum number of keys.
    :param claim_bytes_max: maximum size of keys and their records in bytes.
    :param answer_bytes_max: maximum size of answers in bytes; an answer that exceeds it is
        dropped, its key is kept.
    """

    claims_max: int = CLAIMS_MAX
    claim_bytes_max: int = CLAIM_BYTES_MAX
    answer_bytes_max: int = ANSWER_BYTES_MAX


def content_digest(kind: str, payload: bytes) -> str:
    """Return the digest that shows whether two requests with one key have the same content.

    :param kind: kind of work.
    :param payload: body for the target.
    """
    return xxhash.xxh3_128_hexdigest(kind.encode() + b"\0" + payload)


@attrs.frozen
class ExportedClaim:
    """One granted key for the next owner; times are remaining seconds, not clock readings.

    :param name: the key, qualified with its team.
    :param digest: digest of the content.
    :param request_id: identifier of the request that holds the claim.
    :param deadline_left_s: seconds until a pending claim counts as unknown.
    :param forget_left_s: seconds until the key is removed.
    :param state: state of the claim.
    :param answer: answer of the request, if the state is ``ANSWERED``.
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
    """The claims of one shard, exported by its owner for the next owner.

    :param shard: number of the shard.
    :param epoch: epoch of the exporting owner.
    :param unseen_left_s: seconds for which the exporting owner still had to refuse unseen keys.
    :param unseen_before_wall_s: Unix time; the exporting owner refused unseen keys that were first
        sent before it.
    :param claims: the keys, oldest first.
    """

    shard: int
    epoch: int
    unseen_left_s: float
    unseen_before_wall_s: float
    claims: tuple[ExportedClaim, ...]
