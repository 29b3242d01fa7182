"""Encoding of shard maps as records of the log: JSON in UTF-8."""

import json

import attrs

from papayaspar_dispatch import shards

SHARDS_MAX = 65_536


def encode(shard_map: shards.ShardMap) -> bytes:
    """Return the record of a shard map; each owner is listed once and referenced by index.

    :param shard_map: the map.
    """
    owner_indexes: dict[tuple[str, int], int] = {}
    shard_rows: list[list[int]] = []
    for owner in shard_map.owners:
        index = owner_indexes.setdefault((owner.worker, owner.incarnation), len(owner_indexes))
        shard_rows.append([index, owner.epoch, owner.previous_epoch])
    record = {
        "revision": shard_map.revision,
        "map_id": shard_map.map_id,
        "parent_id": shard_map.parent_id,
        "workers": [[worker, incarnation] for worker, incarnation in owner_indexes],
        "shards": shard_rows,
        "evidence": [_evidence_fields(proof) for proof in shard_map.evidence],
        "founded_by": shard_map.founded_by,
        "restated_through": shard_map.restated_through,
    }
    return json.dumps(record, separators=(",", ":")).encode()


def decode(data: bytes) -> shards.ShardMap:
    """Return the shard map in a record.

    :param data: bytes of the record.
    :raises papayaspar_dispatch.shards.ShardMapError: if the record is malformed.
    """
    try:
        fields = json.loads(data)
        incarnations = [
            (_parse_text(worker), _parse_number(incarnation))
            for worker, incarnation in fields["workers"]
        ]
        owners: list[shards.ShardOwner] = []
        for index, epoch, previous_epoch in fields["shards"]:
            worker, incarnation = incarnations[_parse_number(index)]
            owners.append(
                shards.ShardOwner(
                    worker, incarnation, _parse_number(epoch), _parse_number(previous_epoch)
                )
            )
        shard_map = shards.ShardMap(
            revision=_parse_number(fields["revision"]),
            map_id=_parse_text(fields["map_id"]),
            parent_id=_parse_text(fields["parent_id"]),
            owners=tuple(owners),
            evidence=tuple(
                _decode_evidence(evidence_fields) for evidence_fields in fields["evidence"]
            ),
            founded_by=_parse_text(fields["founded_by"]),
            restated_through=_parse_optional_number(fields["restated_through"]),
        )
    except (ValueError, TypeError, KeyError, IndexError, RecursionError) as error:
        raise shards.ShardMapError(f"malformed record: {error!r}") from error
    if not 0 < len(shard_map.owners) <= SHARDS_MAX or shard_map.revision < 1:
        raise shards.ShardMapError(
            "malformed record: the number of shards or the revision is out of range"
        )
    return shard_map


def _evidence_fields(proof: shards.Evidence) -> dict[str, object]:
    """Return the JSON object of one piece of evidence."""
    fields = attrs.asdict(proof)
    fields["kind"] = proof.kind.value
    return fields


def _decode_evidence(fields: dict[str, object]) -> shards.Evidence:
    """Return the evidence in a JSON object."""
    shard_numbers = fields["shards"]
    if not isinstance(shard_numbers, list):
        raise shards.ShardMapError("malformed record: shards is not a list")
    return shards.Evidence(
        kind=shards.EvidenceKind(fields["kind"]),
        worker=_parse_text(fields["worker"]),
        incarnation=_parse_number(fields["incarnation"]),
        newer_incarnation=_parse_number(fields["newer_incarnation"]),
        operator=_parse_text(fields["operator"]),
        shards=tuple(_parse_number(shard) for shard in shard_numbers),
        through_epoch=_parse_number(fields["through_epoch"]),
    )


def _parse_text(value: object) -> str:
    """Return a value that must be a string."""
    if not isinstance(value, str):
        raise shards.ShardMapError("malformed record: not a string")
    return value


def _parse_number(value: object) -> int:
    """Return a value that must be a non-negative integer."""
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise shards.ShardMapError("malformed record: not a non-negative integer")
    return value


def _parse_optional_number(value: object) -> int | None:
    """Return a value that must be a non-negative integer or ``None``."""
    if value is None:
        return None
    return _parse_number(value)
