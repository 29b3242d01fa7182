"""Messages about claims and shard maps between processes, independent of their encoding."""

import attrs

from papayaspar_dispatch import claims, shard_chains


@attrs.frozen
class ClaimKey:
    """Call from an entry to a shard's owner to claim a key; answered with ``ClaimAnswer``.

    :param claim: the claim.
    :param map_revision: revision of the shard map from which the entry chose the owner.
    """

    claim: claims.Claim
    map_revision: int


@attrs.frozen
class SettleClaim:
    """Call from an entry to the owner after a granted request ended.

    Answered with :class:`ClaimNoted`.

    :param claim: the claim that was granted.
    :param answer: answer of the request, or ``None`` if it may have run without an answer.
    """

    claim: claims.Claim
    answer: bytes | None


@attrs.frozen
class ReleaseClaim:
    """Call from an entry to the owner after a granted request did not run.

    Answered with :class:`ClaimNoted`.

    :param claim: the claim that was granted.
    """

    claim: claims.Claim


@attrs.frozen
class ClaimNoted:
    """Answer to ``SettleClaim``, ``ReleaseClaim`` and ``TakeOverShard``.

    :param noted: whether the owner recorded the change.
    """

    noted: bool


@attrs.frozen
class ShardsInForce:
    """Notification of the newest shard map.

    :param link: the map and the log offset through which it is the newest.
    """

    link: shard_chains.ChainLink


@attrs.frozen
class ShardsWanted:
    """Call to an agent for its newest shard map; answered with ``ShardsHeld``."""


@attrs.frozen
class ShardsHeld:
    """The newest shard map of an agent.

    :param link: the map, or ``None`` if the agent has none.
    """

    link: shard_chains.ChainLink | None


@attrs.frozen
class SurrenderShards:
    """Call from an entry to a draining agent to hand over its shards.

    It is sent only while the log accepts a new shard map.
    Answered with :class:`ShardsSurrendered`.
    """


@attrs.frozen
class ShardsSurrendered:
    """Answer of a draining agent, which grants no further claims.

    :param worker: name of the agent's worker.
    :param incarnation: incarnation of the agent.
    :param exports: claims of its shards, for the next owners.
    """

    worker: str
    incarnation: int
    exports: tuple[claims.ShardExport, ...]


@attrs.frozen
class TakeOverShard:
    """Call from an entry to the next owner of a shard; answered with ``ClaimNoted``.

    :param export: claims recorded by the previous owner.
    """

    export: claims.ShardExport


ALL: tuple[type, ...] = (
    ClaimKey,
    SettleClaim,
    ReleaseClaim,
    ClaimNoted,
    ShardsInForce,
    ShardsWanted,
    ShardsHeld,
    SurrenderShards,
    ShardsSurrendered,
    TakeOverShard,
    claims.ClaimAnswer,
)
