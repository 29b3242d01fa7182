"""Calls about claims that travel between processes, apart from their encoding."""

import attrs

from papayaspar_dispatch import claims, shard_chains


@attrs.frozen
class ClaimKey:
    """An entry's call to a shard's owner; answered with ``ClaimAnswer``.

    :param claim: the claim.
    :param map_revision: revision of the map by which the entry chose the owner.
    """

    claim: claims.Claim
    map_revision: int


@attrs.frozen
class SettleClaim:
    """An entry's call to the owner after a granted request ended; answered with ``ClaimNoted``.

    :param claim: the claim that was granted.
    :param answer: its answer, or ``None`` when it may have run without one.
    """

    claim: claims.Claim
    answer: bytes | None


@attrs.frozen
class ReleaseClaim:
    """An entry's call to the owner after a granted request did not run.

    :param claim: the claim that was granted.
    """

    claim: claims.Claim


@attrs.frozen
class ClaimNoted:
    """Answer to a settlement or a release.

    :param noted: whether the owner took note.
    """

    noted: bool


@attrs.frozen
class ShardsInForce:
    """The newest map of claim shards, passed on between processes.

    :param link: the map and how much of the log it covers.
    """

    link: shard_chains.ChainLink


@attrs.frozen
class ShardsWanted:
    """Ask an agent for the newest map it holds; answered with ``ShardsHeld``."""


@attrs.frozen
class ShardsHeld:
    """The newest map an agent holds.

    :param link: the map, or ``None``.
    """

    link: shard_chains.ChainLink | None


@attrs.frozen
class SurrenderShards:
    """An entry's call to a leaving agent while the log can take a new map.

    Answered with :class:`ShardsSurrendered`.
    """


@attrs.frozen
class ShardsSurrendered:
    """A leaving agent's answer: it grants nothing any more.

    :param worker: its worker.
    :param incarnation: its incarnation.
    :param exports: the memory of its shards.
    """

    worker: str
    incarnation: int
    exports: tuple[claims.ShardExport, ...]


@attrs.frozen
class TakeOverShard:
    """An entry's call to the next owner of a shard; answered with ``ClaimNoted``.

    :param export: what the owner before remembered.
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
