"""The chain of shard maps: one winner for all readers, ownership moved only on evidence."""

import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from papayaspar_dispatch import shard_chains, shard_records, shards

encode = shard_records.encode


@pytest.fixture
def chain(founding):
    made = shard_chains.ShardChain()
    made.observe(0, encode(founding))
    return made


def test_the_first_valid_child_wins_for_every_reader(chain, founding, successor):
    first, second = successor(founding, "w2"), successor(founding, "w3")
    assert chain.observe(1, encode(first)) == first
    assert chain.observe(2, encode(second)) is None
    assert chain.link == shard_chains.ChainLink(first, 3)


def test_ownership_does_not_move_without_evidence(chain, founding, successor):
    stolen = attrs.evolve(successor(founding), evidence=())
    assert chain.observe(1, encode(stolen)) is None
    same_life = shards.Evidence(shards.EvidenceKind.REPLACED, "w1", 1, newer_incarnation=1)
    assert chain.observe(2, encode(attrs.evolve(stolen, evidence=(same_life,)))) is None
    nobody = shards.Evidence(shards.EvidenceKind.RETIRED, "w1", 1, through_epoch=1)
    assert chain.observe(3, encode(attrs.evolve(stolen, evidence=(nobody,)))) is None
    partial = shards.Evidence(
        shards.EvidenceKind.SURRENDERED, "w1", 1, shards=(0,), through_epoch=1
    )
    assert chain.observe(4, encode(attrs.evolve(stolen, evidence=(partial,)))) is None


def test_a_surrender_says_nothing_of_what_its_worker_is_given_later(founding, identity):
    surrendered = shards.Evidence(
        shards.EvidenceKind.SURRENDERED, "w1", 1, shards=(0, 1, 2, 3), through_epoch=1
    )
    again = shards.reassign(founding, [surrendered], [identity("w1")])
    assert {owner.epoch for owner in again.owners} == {2}
    assert shards.reassign(again, [surrendered], [identity("w2")]) is None


def test_a_retired_worker_is_no_candidate(founding, identity):
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w1", 1, operator="ann", through_epoch=1)
    assert shards.reassign(founding, [proof], [identity("w1")]) is None
    child = shards.reassign(founding, [proof], [identity("w1"), identity("w2")])
    assert {owner.worker for owner in child.owners} == {"w2"}


def test_a_newer_life_of_the_owner_is_evidence(founding, identity):
    assert shards.replaced_owners(founding, [identity("w1", 1)]) == ()
    (proof,) = shards.replaced_owners(founding, [identity("w1", 3), identity("w2")])
    child = shards.reassign(founding, [proof], [identity("w1", 3), identity("w2")])
    shards.check_child(founding, child)
    assert {owner.epoch for owner in child.owners} == {2}


def test_a_reader_of_a_trimmed_log_takes_no_loser_for_the_winner(founding, successor):
    loser, winner = successor(founding, "w3"), successor(founding, "w2")
    late = shard_chains.ShardChain()
    late.observe_gap(2)
    late.observe(2, encode(loser))
    assert late.link is None
    late.adopt(shard_chains.ChainLink(founding, 1))
    assert late.link is None
    late.adopt(shard_chains.ChainLink(winner, 2))
    assert late.link.shard_map == winner


def test_a_reader_that_lost_records_waits_for_a_link(chain, founding, successor):
    loser, winner = successor(founding, "w3"), successor(founding, "w2")
    chain.observe_gap(2)
    assert chain.observe(2, encode(loser)) is None
    restated = attrs.evolve(winner, restated_through=2)
    assert chain.observe(3, encode(restated)) == winner
    assert chain.link == shard_chains.ChainLink(winner, 4)


def test_records_after_a_link_are_followed_once_it_is_known(founding, successor, identity):
    second = successor(founding)
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w2", 1, operator="ann", through_epoch=2)
    third = shards.reassign(second, [proof], [identity("w3")])
    late = shard_chains.ShardChain()
    late.observe_gap(2)
    late.observe(2, encode(third))
    assert late.adopt(shard_chains.ChainLink(second, 2)) == third


def test_an_operator_founds_anew_above_any_known_revision(chain, identity):
    low = shards.found([identity("w2")], shards=4, founded_by="ann", revision=1)
    assert chain.observe(1, encode(low)) is None
    high = shards.found([identity("w2")], shards=4, founded_by="ann", revision=9)
    assert chain.observe(2, encode(high)) == high


def test_a_founding_map_counts_only_as_the_first_record(identity):
    late = shard_chains.ShardChain()
    late.observe_gap(5)
    assert late.observe(5, encode(shards.found([identity("w2")], shards=4))) is None


def test_keys_of_teams_are_apart():
    found = {shards.shard_of(team, "print-1") for team in ("a", "b", "c", "d", "e")}
    assert len(found) > 1
    assert shards.shard_of("a", "bc") != shards.shard_of("ab", "c")


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_bytes_decode_or_raise_the_typed_error(data):
    with pytest.raises(shards.ShardMapError):
        shard_records.decode(data)


def test_a_map_comes_back_from_its_record(founding, successor):
    child = successor(founding)
    assert shard_records.decode(encode(child)) == child
    data = bytearray(encode(child))
    rng = random.Random(4)
    for _ in range(300):
        broken = bytearray(data)
        broken[rng.randrange(len(broken))] = rng.randrange(256)
        try:
            shard_records.decode(bytes(broken))
        except shards.ShardMapError:
            continue
