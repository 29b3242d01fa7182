"""Shard maps, which assign each shard of the idempotency keys to an agent.

Maps form a chain on the log: a map names its parent, and every reader accepts the first valid child
of the head. A shard is reassigned only on evidence that its owner can no longer grant claims; a
missing heartbeat is no such evidence.
"""

import enum
import random
from collections.abc import Sequence

import attrs
import xxhash

from papayaspar_model import errors, identifiers, workers

STREAM = "claim-shards"
SHARD_COUNT = 256
NO_EPOCH = 0
FIRST_EPOCH = 1
MAP_ID_PREFIX = "map"


class ShardMapError(errors.PapayasparError):
    """A shard map is malformed, or is not a valid child of its parent."""

    code = "shard_map_invalid"
    status = 409
    title = "The map of claim shards is not valid"


class EvidenceKind(enum.Enum):
    """Reason why a former owner can no longer grant claims."""

    SURRENDERED = "surrendered"
    REPLACED = "replaced"
    RETIRED = "retired"


@attrs.frozen
class Evidence:
    """Evidence that one incarnation of a worker grants no further claims.

    :param kind: kind of the evidence.
    :param worker: name of the former owner's worker.
    :param incarnation: incarnation of the former owner.
    :param newer_incarnation: newer incarnation of the same worker, for ``REPLACED``.
    :param operator: operator who retired the worker, for ``RETIRED``.
    :param shards: numbers of the shards that were handed over, for ``SURRENDERED``.
    :param through_epoch: newest ownership epoch that the evidence covers, for ``SURRENDERED`` and
        ``RETIRED``; it does not cover shards that the same incarnation is assigned later.
    """

    kind: EvidenceKind
    worker: str
    incarnation: int
    newer_incarnation: int = 0
    operator: str = ""
    shards: tuple[int, ...] = ()
    through_epoch: int = NO_EPOCH

    def covers(self, shard: int, owner: "ShardOwner") -> bool:
        """Return whether the evidence permits reassigning a shard.

        :param shard: number of the shard.
        :param owner: current owner of the shard.
        """
        if (self.worker, self.incarnation) != (owner.worker, owner.incarnation):
            return False
        if self.kind is EvidenceKind.REPLACED:
            return self.newer_incarnation > owner.incarnation
        if owner.epoch > self.through_epoch:
            return False
        if self.kind is EvidenceKind.SURRENDERED:
            return shard in self.shards
        return bool(self.operator)


@attrs.frozen
class ShardOwner:
    """The owner of one shard.

    :param worker: name of the owner's worker.
    :param incarnation: incarnation of the worker's agent.
    :param epoch: revision of the map that assigned the shard to it.
    :param previous_epoch: epoch of the previous owner, 0 for none.
    """

    worker: str
    incarnation: int
    epoch: int
    previous_epoch: int = NO_EPOCH


@attrs.frozen
class ShardMap:
    """One revision of the ownership of all shards.

    :param revision: number of the revision, from 1.
    :param map_id: identifier of this map, unique among all proposals.
    :param parent_id: identifier of the parent map; empty for an initial map.
    :param owners: owner of each shard, by shard number.
    :param evidence: evidence that permits the reassignments.
    :param founded_by: operator who proposed this initial map after the log trimmed the previous
        ones; empty otherwise.
    :param restated_through: log offset, for a restated map, which repeats an accepted map before
        retention trims it: the map is the head of all records before this offset.
    """

    revision: int
    map_id: str
    parent_id: str
    owners: tuple[ShardOwner, ...]
    evidence: tuple[Evidence, ...] = ()
    founded_by: str = ""
    restated_through: int | None = None

    def owner_of(self, team: str, key: str) -> ShardOwner:
        """Return the owner of the shard of an idempotency key."""
        return self.owners[shard_of(team, key, len(self.owners))]


def shard_of(team: str, key: str, shards: int = SHARD_COUNT) -> int:
    """Return the shard of an idempotency key.

    :param team: team of the key; teams do not share keys.
    :param key: the caller's key.
    :param shards: number of shards.
    """
    return xxhash.xxh3_64_intdigest(f"{len(team)}:{team}{key}".encode()) % shards


def create_initial_map(
    candidates: Sequence[workers.WorkerIdentity],
    rng: random.Random | None = None,
    shards: int = SHARD_COUNT,
    founded_by: str = "",
    revision: int = FIRST_EPOCH,
) -> ShardMap:
    """Return an initial map, which has no parent.

    :param candidates: workers that may own shards, at least one.
    :param rng: random source of the map's identifier.
    :param shards: number of shards.
    :param founded_by: operator, if the log has trimmed the previous maps.
    :param revision: revision of the map; for an operator's map, higher than any revision that a
        process may still have.
    """
    map_id = identifiers.new_id(MAP_ID_PREFIX, rng)
    owners: list[ShardOwner] = []
    for shard in range(shards):
        chosen = _rendezvous_owner(shard, candidates)
        owners.append(ShardOwner(chosen.worker, chosen.incarnation, epoch=revision))
    return ShardMap(revision, map_id, "", tuple(owners), founded_by=founded_by)


def reassign(
    head: ShardMap,
    evidence: Sequence[Evidence],
    candidates: Sequence[workers.WorkerIdentity],
    rng: random.Random | None = None,
) -> ShardMap | None:
    """Return a child of a map that assigns the shards of former owners to new owners.

    :param head: the parent map.
    :param evidence: evidence about former owners.
    :param candidates: workers that may own shards and are not draining.
    :param rng: random source of the map's identifier.
    :return: the child, or ``None`` if no shard is reassigned or there is no candidate.
    """
    retired = {
        (proof.worker, proof.incarnation)
        for proof in evidence
        if proof.kind is EvidenceKind.RETIRED
    }
    candidates = [
        candidate
        for candidate in candidates
        if (candidate.worker, candidate.incarnation) not in retired
    ]
    if not candidates:
        return None
    revision = head.revision + 1
    owners = list(head.owners)
    used: set[Evidence] = set()
    for shard, owner in enumerate(head.owners):
        proof = _find_covering_evidence(evidence, shard, owner)
        if proof is None:
            continue
        used.add(proof)
        chosen = _rendezvous_owner(shard, candidates)
        owners[shard] = ShardOwner(chosen.worker, chosen.incarnation, revision, owner.epoch)
    if not used:
        return None
    used_evidence = tuple(proof for proof in evidence if proof in used)
    map_id = identifiers.new_id(MAP_ID_PREFIX, rng)
    return ShardMap(revision, map_id, head.map_id, tuple(owners), used_evidence)


def replacement_evidence(
    head: ShardMap, identities: Sequence[workers.WorkerIdentity]
) -> tuple[Evidence, ...]:
    """Return evidence for each owner that a newer incarnation has replaced.

    :param head: the map in force.
    :param identities: worker incarnations that have announced themselves.
    """
    newest_incarnations: dict[str, int] = {}
    for identity in identities:
        newest_incarnations[identity.worker] = max(
            identity.incarnation, newest_incarnations.get(identity.worker, 0)
        )
    evidence_by_owner: dict[tuple[str, int], Evidence] = {}
    for owner in head.owners:
        newest = newest_incarnations.get(owner.worker, 0)
        if newest <= owner.incarnation:
            continue
        evidence_by_owner[(owner.worker, owner.incarnation)] = Evidence(
            EvidenceKind.REPLACED, owner.worker, owner.incarnation, newer_incarnation=newest
        )
    return tuple(evidence_by_owner.values())


def check_child(head: ShardMap, child: ShardMap) -> None:
    """Raise :class:`ShardMapError` unless a map is a valid child of its parent.

    :param head: the parent map.
    :param child: the map that names it as parent.
    """
    if child.parent_id != head.map_id or child.revision != head.revision + 1:
        raise ShardMapError("the parent or the revision does not match the head")
    if len(child.owners) != len(head.owners):
        raise ShardMapError("the number of shards differs", field="owners")
    for shard, (previous_owner, owner) in enumerate(zip(head.owners, child.owners, strict=True)):
        if previous_owner == owner:
            continue
        if owner.epoch != child.revision or owner.previous_epoch != previous_owner.epoch:
            raise ShardMapError(f"shard {shard} has a wrong epoch", field="owners")
        if _find_covering_evidence(child.evidence, shard, previous_owner) is None:
            raise ShardMapError(f"shard {shard} is reassigned without evidence", field="evidence")


def _find_covering_evidence(
    evidence: Sequence[Evidence], shard: int, owner: ShardOwner
) -> Evidence | None:
    """Return the first evidence that permits reassigning a shard, or ``None``."""
    for proof in evidence:
        if proof.covers(shard, owner):
            return proof
    return None


def _rendezvous_owner(
    shard: int, candidates: Sequence[workers.WorkerIdentity]
) -> workers.WorkerIdentity:
    """Return the owner of a shard by rendezvous hashing: the candidate with the highest hash."""
    return max(
        candidates,
        key=lambda candidate: (
            xxhash.xxh3_64_intdigest(f"{shard}/{candidate.worker}".encode()),
            candidate.worker,
        ),
    )
