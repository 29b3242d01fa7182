"""Fixtures: a manual clock, worker identities, and claim tables with an initial shard map."""

import random

import pytest

from papayaspar_dispatch import claim_tables, claims, shard_chains, shards
from papayaspar_model import clock, workers

SHARD_COUNT = 4


@pytest.fixture
def manual_clock():
    return clock.ManualClock(1_000_000.0)


@pytest.fixture
def make_identity():
    """Return a factory of worker identities."""

    def make(worker, incarnation=1):
        return workers.WorkerIdentity(worker, incarnation, "r1", "dc1", "region1")

    return make


@pytest.fixture
def initial_map(make_identity):
    """Return the initial map, in which one worker owns every shard."""
    return shards.create_initial_map([make_identity("w1")], random.Random(1), SHARD_COUNT)


@pytest.fixture
def new_table(manual_clock):
    """Return a factory of claim tables."""

    def make(worker, incarnation=1, **limits):
        return claim_tables.ClaimTable(
            worker, incarnation, manual_clock, claims.ClaimLimits(**limits)
        )

    return make


@pytest.fixture
def owner(new_table, initial_map):
    """Return the claim table of the worker that owns every shard."""
    table = new_table("w1")
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    return table


@pytest.fixture
def make_claim():
    """Return a factory of claims."""

    def make(key="print-1", request_id="req-1", digest="d1", first_sent_s=None):
        return claims.Claim("photo", key, digest, request_id, 30.0, first_sent_s)

    return make


@pytest.fixture
def new_child_map(make_identity):
    """Return a factory of child maps that assign the shards of ``w1`` to another worker."""

    def make(head, worker="w2", kind=shards.EvidenceKind.RETIRED):
        evidence = shards.Evidence(
            kind,
            "w1",
            1,
            2,
            operator="ann",
            shards=tuple(range(len(head.owners))),
            through_epoch=head.revision,
        )
        return shards.reassign(head, [evidence], [make_identity(worker)], random.Random(2))

    return make
