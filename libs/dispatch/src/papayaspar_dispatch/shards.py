"""Which agent owns each shard of the idempotency keys: a chain of maps on the log.

A map names its parent, and the first valid child of the head wins, for every reader alike.
Ownership moves only on evidence that the former owner can't grant any more, never on its silence.
"""

import enum
import random
from collections.abc import Sequence

import attrs
import xxhash

from papayaspar_model import errors, identifiers, workers

STREAM = "claim-shards"
SHARDS = 256
NO_EPOCH = 0
FIRST_EPOCH = 1
MAP_ID_PREFIX = "map"


class ShardMapError(errors.PapayasparError):
    """A map is malformed, or does not follow from its parent."""

    code = "shard_map_invalid"
    status = 409
    title = "The map of claim shards is not valid"


class EvidenceKind(enum.Enum):
    """Why a former owner can't grant claims any more."""

    SURRENDERED = "surrendered"
    REPLACED = "replaced"
    RETIRED = "retired"


@attrs.frozen
class Evidence:
    """Evidence that one incarnation of a worker grants no more claims.

    :param kind: what kind of evidence it is.
    :param worker: the former owner's worker.
    :param incarnation: the former owner's incarnation.
    :param newer_incarnation: of the same worker, when it was replaced.
    :param operator: who retired it, when an operator did.
    :param shards: the shards it surrendered, when it did.
    :param through_epoch: for a surrender or a retirement, the newest epoch of ownership that it
        speaks of; what the same incarnation is given later, it does not cover.
    """

    kind: EvidenceKind
    worker: str
    incarnation: int
    newer_incarnation: int = 0
    operator: str = ""
    shards: tuple[int, ...] = ()
    through_epoch: int = NO_EPOCH

    def covers(self, shard: int, owner: "ShardOwner") -> bool:
        """Return whether a shard may move away from an owner.

        :param shard: number of the shard.
        :param owner: its former owner.
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

    :param worker: name of its worker.
    :param incarnation: life of the worker's agent.
    :param epoch: revision of the map that gave it the shard.
    :param previous_epoch: epoch of the owner before, 0 for none.
    """

    worker: str
    incarnation: int
    epoch: int
    previous_epoch: int = NO_EPOCH


@attrs.frozen
class ShardMap:
    """One revision of the ownership of all shards.

    :param revision: number of the revision, from 1.
    :param map_id: name of this map, unlike that of any other proposal.
    :param parent_id: name of the map it follows; empty for a founding map.
    :param owners: owner of each shard, by number.
    :param evidence: why shards could move.
    :param founded_by: operator who founds ownership anew after the log has forgotten it.
    :param restated_through: for a record that repeats an accepted map before retention takes it:
        the map is the head of all records before this offset.
    """

    revision: int
    map_id: str
    parent_id: str
    owners: tuple[ShardOwner, ...]
    evidence: tuple[Evidence, ...] = ()
    founded_by: str = ""
    restated_through: int | None = None

    def owner_of(self, team: str, key: str) -> ShardOwner:
        """Return the owner of a key's shard."""
        return self.owners[shard_of(team, key, len(self.owners))]


def shard_of(team: str, key: str, shards: int = SHARDS) -> int:
    """Return the shard of an idempotency key.

    :param team: whose key; teams do not share keys.
    :param key: the caller's key.
    :param shards: number of shards.
    """
    return xxhash.xxh3_64_intdigest(f"{len(team)}:{team}{key}".encode()) % shards


def found(
    candidates: Sequence[workers.WorkerIdentity],
    rng: random.Random | None = None,
    shards: int = SHARDS,
    founded_by: str = "",
    revision: int = FIRST_EPOCH,
) -> ShardMap:
    """Return the first map.

    :param candidates: workers that may own shards, at least one.
    :param rng: source of the map's name.
    :param shards: number of shards.
    :param founded_by: operator, when the log has forgotten an earlier map.
    :param revision: above any that a process may still know, when an operator founds.
    """
    map_id = identifiers.new_id(MAP_ID_PREFIX, rng)
    owners: list[ShardOwner] = []
    for shard in range(shards):
        chosen = _rendezvous(shard, candidates)
        owners.append(ShardOwner(chosen.worker, chosen.incarnation, epoch=revision))
    return ShardMap(revision, map_id, "", tuple(owners), founded_by=founded_by)


def reassign(
    head: ShardMap,
    evidence: Sequence[Evidence],
    candidates: Sequence[workers.WorkerIdentity],
    rng: random.Random | None = None,
) -> ShardMap | None:
    """Return a child of a map in which the shards of former owners have new ones.

    :param head: the map to follow.
    :param evidence: what is known of former owners.
    :param candidates: workers that may own shards and are not leaving.
    :param rng: source of the map's name.
    :return: the child, or ``None`` when nothing moves or nobody can take it.
    """
    retired = {
        (proof.worker, proof.incarnation)
        for proof in evidence
        if proof.kind is EvidenceKind.RETIRED
    }
    candidates = [one for one in candidates if (one.worker, one.incarnation) not in retired]
    if not candidates:
        return None
    revision = head.revision + 1
    owners = list(head.owners)
    used: set[Evidence] = set()
    for shard, owner in enumerate(head.owners):
        proof = _covering(evidence, shard, owner)
        if proof is None:
            continue
        used.add(proof)
        chosen = _rendezvous(shard, candidates)
        owners[shard] = ShardOwner(chosen.worker, chosen.incarnation, revision, owner.epoch)
    if not used:
        return None
    kept = tuple(proof for proof in evidence if proof in used)
    map_id = identifiers.new_id(MAP_ID_PREFIX, rng)
    return ShardMap(revision, map_id, head.map_id, tuple(owners), kept)


def replaced_owners(
    head: ShardMap, identities: Sequence[workers.WorkerIdentity]
) -> tuple[Evidence, ...]:
    """Return evidence for each owner of which a newer incarnation has announced itself.

    :param head: the map in force.
    :param identities: incarnations that announced themselves.
    """
    newest: dict[str, int] = {}
    for identity in identities:
        newest[identity.worker] = max(identity.incarnation, newest.get(identity.worker, 0))
    found_evidence: dict[tuple[str, int], Evidence] = {}
    for owner in head.owners:
        newer = newest.get(owner.worker, 0)
        if newer <= owner.incarnation:
            continue
        found_evidence[(owner.worker, owner.incarnation)] = Evidence(
            EvidenceKind.REPLACED, owner.worker, owner.incarnation, newer_incarnation=newer
        )
    return tuple(found_evidence.values())


def check_child(head: ShardMap, child: ShardMap) -> None:
    """Raise :class:`ShardMapError` unless a map follows from its parent.

    :param head: the parent.
    :param child: the map that names it.
    """
    if child.parent_id != head.map_id or child.revision != head.revision + 1:
        raise ShardMapError("another map was accepted first")
    if len(child.owners) != len(head.owners):
        raise ShardMapError("the number of shards differs", field="owners")
    for shard, (before, after) in enumerate(zip(head.owners, child.owners, strict=True)):
        if before == after:
            continue
        if after.epoch != child.revision or after.previous_epoch != before.epoch:
            raise ShardMapError(f"shard {shard} has a wrong epoch", field="owners")
        if _covering(child.evidence, shard, before) is None:
            raise ShardMapError(f"shard {shard} moves without evidence", field="evidence")


def _covering(evidence: Sequence[Evidence], shard: int, owner: ShardOwner) -> Evidence | None:
    """Return the first evidence that lets a shard move."""
    for proof in evidence:
        if proof.covers(shard, owner):
            return proof
    return None


def _rendezvous(shard: int, candidates: Sequence[workers.WorkerIdentity]) -> workers.WorkerIdentity:
    """Return the candidate with the highest hash for a shard."""
    return max(
        candidates,
        key=lambda one: (xxhash.xxh3_64_intdigest(f"{shard}/{one.worker}".encode()), one.worker),
    )
