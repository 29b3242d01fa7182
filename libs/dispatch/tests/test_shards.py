"""The chain of shard maps: all readers accept the same map, and moves require evidence."""

import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from papayaspar_dispatch import shard_chains, shard_records, shards

encode = shard_records.encode


@pytest.fixture
def chain(initial_map):
    new_chain = shard_chains.ShardChain()
    new_chain.observe(0, encode(initial_map))
    return new_chain


def test_every_reader_accepts_the_first_valid_child(chain, initial_map, new_child_map):
    first, second = new_child_map(initial_map, "w2"), new_child_map(initial_map, "w3")
    assert chain.observe(1, encode(first)) == first
    assert chain.observe(2, encode(second)) is None
    assert chain.link == shard_chains.ChainLink(first, 3)


def test_ownership_does_not_move_without_evidence(chain, initial_map, new_child_map):
    without_evidence = attrs.evolve(new_child_map(initial_map), evidence=())
    assert chain.observe(1, encode(without_evidence)) is None
    same_incarnation = shards.Evidence(shards.EvidenceKind.REPLACED, "w1", 1, newer_incarnation=1)
    assert (
        chain.observe(2, encode(attrs.evolve(without_evidence, evidence=(same_incarnation,))))
        is None
    )
    no_operator = shards.Evidence(shards.EvidenceKind.RETIRED, "w1", 1, through_epoch=1)
    assert chain.observe(3, encode(attrs.evolve(without_evidence, evidence=(no_operator,)))) is None
    one_shard_only = shards.Evidence(
        shards.EvidenceKind.SURRENDERED, "w1", 1, shards=(0,), through_epoch=1
    )
    assert (
        chain.observe(4, encode(attrs.evolve(without_evidence, evidence=(one_shard_only,)))) is None
    )


def test_a_handover_does_not_cover_later_assignments_to_the_same_worker(initial_map, make_identity):
    handed_over = shards.Evidence(
        shards.EvidenceKind.SURRENDERED, "w1", 1, shards=(0, 1, 2, 3), through_epoch=1
    )
    reassigned = shards.reassign(initial_map, [handed_over], [make_identity("w1")])
    assert {owner.epoch for owner in reassigned.owners} == {2}
    assert shards.reassign(reassigned, [handed_over], [make_identity("w2")]) is None


def test_a_retired_worker_is_not_a_candidate(initial_map, make_identity):
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w1", 1, operator="ann", through_epoch=1)
    assert shards.reassign(initial_map, [proof], [make_identity("w1")]) is None
    child = shards.reassign(initial_map, [proof], [make_identity("w1"), make_identity("w2")])
    assert {owner.worker for owner in child.owners} == {"w2"}


def test_a_newer_incarnation_of_the_owner_is_evidence(initial_map, make_identity):
    assert shards.replacement_evidence(initial_map, [make_identity("w1", 1)]) == ()
    (proof,) = shards.replacement_evidence(
        initial_map, [make_identity("w1", 3), make_identity("w2")]
    )
    child = shards.reassign(initial_map, [proof], [make_identity("w1", 3), make_identity("w2")])
    shards.check_child(initial_map, child)
    assert {owner.epoch for owner in child.owners} == {2}


def test_a_reader_of_a_trimmed_log_does_not_accept_a_rejected_map(initial_map, new_child_map):
    rejected, accepted = new_child_map(initial_map, "w3"), new_child_map(initial_map, "w2")
    new_reader = shard_chains.ShardChain()
    new_reader.observe_gap(2)
    new_reader.observe(2, encode(rejected))
    assert new_reader.link is None
    new_reader.adopt(shard_chains.ChainLink(initial_map, 1))
    assert new_reader.link is None
    new_reader.adopt(shard_chains.ChainLink(accepted, 2))
    assert new_reader.link.shard_map == accepted


def test_a_reader_that_missed_records_waits_for_a_link(chain, initial_map, new_child_map):
    rejected, accepted = new_child_map(initial_map, "w3"), new_child_map(initial_map, "w2")
    chain.observe_gap(2)
    assert chain.observe(2, encode(rejected)) is None
    restated = attrs.evolve(accepted, restated_through=2)
    assert chain.observe(3, encode(restated)) == accepted
    assert chain.link == shard_chains.ChainLink(accepted, 4)


def test_deferred_records_are_applied_once_their_link_is_known(
    initial_map, new_child_map, make_identity
):
    second = new_child_map(initial_map)
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w2", 1, operator="ann", through_epoch=2)
    third = shards.reassign(second, [proof], [make_identity("w3")])
    new_reader = shard_chains.ShardChain()
    new_reader.observe_gap(2)
    new_reader.observe(2, encode(third))
    assert new_reader.adopt(shard_chains.ChainLink(second, 2)) == third


def test_an_operators_initial_map_needs_a_higher_revision_than_the_head(chain, make_identity):
    low_revision = shards.create_initial_map(
        [make_identity("w2")], shards=4, founded_by="ann", revision=1
    )
    assert chain.observe(1, encode(low_revision)) is None
    high_revision = shards.create_initial_map(
        [make_identity("w2")], shards=4, founded_by="ann", revision=9
    )
    assert chain.observe(2, encode(high_revision)) == high_revision


def test_an_initial_map_is_accepted_only_as_the_first_record(make_identity):
    new_reader = shard_chains.ShardChain()
    new_reader.observe_gap(5)
    assert (
        new_reader.observe(5, encode(shards.create_initial_map([make_identity("w2")], shards=4)))
        is None
    )


def test_teams_do_not_share_keys():
    shard_numbers = {shards.shard_of(team, "print-1") for team in ("a", "b", "c", "d", "e")}
    assert len(shard_numbers) > 1
    assert shards.shard_of("a", "bc") != shards.shard_of("ab", "c")


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_decode_or_raise_the_typed_error(data):
    with pytest.raises(shards.ShardMapError):
        shard_records.decode(data)


def test_a_map_is_decoded_from_its_record_and_corrupt_records_raise_the_typed_error(
    initial_map, new_child_map
):
    child = new_child_map(initial_map)
    assert shard_records.decode(encode(child)) == child
    data = bytearray(encode(child))
    rng = random.Random(4)
    for _ in range(300):
        corrupted = bytearray(data)
        corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        try:
            shard_records.decode(bytes(corrupted))
        except shards.ShardMapError:
            continue
