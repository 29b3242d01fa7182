"""Fixtures: a clock moved by hand, workers, and claim tables under a founding map."""

import random

import pytest

from papayaspar_dispatch import claim_tables, claims, shard_chains, shards
from papayaspar_model import clock, workers

SHARD_COUNT = 4


@pytest.fixture
def source():
    return clock.ManualClock(1_000_000.0)


@pytest.fixture
def identity():
    """Return a maker of worker identities."""

    def make(worker, incarnation=1):
        return workers.WorkerIdentity(worker, incarnation, "r1", "dc1", "region1")

    return make


@pytest.fixture
def founding(identity):
    """Return the first map, with one owner of everything."""
    return shards.found([identity("w1")], random.Random(1), SHARD_COUNT)


@pytest.fixture
def new_table(source):
    """Return a maker of claim tables."""

    def make(worker, incarnation=1, **limits):
        return claim_tables.ClaimTable(worker, incarnation, source, claims.ClaimLimits(**limits))

    return make


@pytest.fixture
def owner(new_table, founding):
    """Return the table of the worker that owns every shard."""
    table = new_table("w1")
    table.adopt(shard_chains.ChainLink(founding, 1))
    return table


@pytest.fixture
def claim():
    """Return a maker of claims."""

    def make(key="print-1", request_id="req-1", digest="d1", first_sent_s=None):
        return claims.Claim("photo", key, digest, request_id, 30.0, first_sent_s)

    return make


@pytest.fixture
def successor(identity):
    """Return a maker of the map that gives a former owner's shards to another worker."""

    def make(head, worker="w2", kind=shards.EvidenceKind.RETIRED):
        proof = shards.Evidence(
            kind,
            "w1",
            1,
            2,
            operator="ann",
            shards=tuple(range(len(head.owners))),
            through_epoch=head.revision,
        )
        return shards.reassign(head, [proof], [identity(worker)], random.Random(2))

    return make
