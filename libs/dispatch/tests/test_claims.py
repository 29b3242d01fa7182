"""Claims at the owner of a shard: one grant, stored answers, handover, memory limits."""

import pytest

from papayaspar_dispatch import claims, shard_chains, shards
from papayaspar_model import errors

Verdict = claims.Verdict


def test_a_key_is_granted_once_and_its_answer_is_kept(owner, claim, source):
    assert owner.claim(claim(), 1).verdict is Verdict.GRANTED
    assert owner.claim(claim(), 1).verdict is Verdict.GRANTED
    assert owner.claim(claim(request_id="req-2"), 1).verdict is Verdict.PENDING
    assert owner.settle(claim(), b"printed")
    repeated = owner.claim(claim(request_id="req-3"), 1)
    assert (repeated.verdict, repeated.answer) == (Verdict.SETTLED, b"printed")
    source.advance(claims.RETRY_HORIZON_S - 1.0)
    assert owner.claim(claim(request_id="req-4"), 1).verdict is Verdict.SETTLED


def test_a_repeated_key_with_other_content_is_a_conflict(owner, claim):
    owner.claim(claim(), 1)
    assert owner.claim(claim(digest="d2", request_id="req-2"), 1).verdict is Verdict.CONFLICT


def test_a_pending_claim_is_unknown_from_its_deadline_until_it_is_settled(owner, claim, source):
    owner.claim(claim(), 1)
    source.advance(31.0)
    assert owner.claim(claim(request_id="req-2"), 1).verdict is Verdict.UNKNOWN
    owner.settle(claim(), b"printed")
    assert owner.claim(claim(request_id="req-2"), 1).answer == b"printed"


def test_only_the_request_that_holds_a_claim_can_release_it(owner, claim):
    owner.claim(claim(), 1)
    assert not owner.release(claim(request_id="req-2"))
    assert owner.release(claim())
    assert owner.claim(claim(request_id="req-2"), 1).verdict is Verdict.GRANTED
    owner.settle(claim(request_id="req-2"), None)
    assert owner.claim(claim(request_id="req-3"), 1).verdict is Verdict.UNKNOWN


def test_a_full_table_refuses_new_keys_and_keeps_the_old_ones(
    new_table, initial_map, claim, source
):
    table = new_table("w1", claims_max=2)
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    for key in ("a", "b"):
        table.claim(claim(key), 1)
    with pytest.raises(errors.OverloadedError) as caught:
        table.claim(claim("c"), 1)
    assert caught.value.ran is errors.Ran.NO
    assert table.claim(claim("a", "req-2"), 1).verdict is Verdict.PENDING
    source.advance(claims.RETRY_HORIZON_S + 31.0)
    assert table.claim(claim("c"), 1).verdict is Verdict.GRANTED
    assert table.usage.claims <= 2


def test_an_answer_over_the_memory_limit_is_dropped_and_its_key_kept(new_table, initial_map, claim):
    table = new_table("w1", answer_bytes_max=4)
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    table.claim(claim(), 1)
    table.settle(claim(), b"longer than four bytes")
    assert table.claim(claim(request_id="req-2"), 1).verdict is Verdict.UNKNOWN
    assert table.usage.answer_bytes == 0


def test_a_new_owner_never_grants_a_key_that_the_previous_one_may_have_granted(
    new_table, initial_map, new_child_map, claim, source
):
    table = new_table("w2")
    table.adopt(shard_chains.ChainLink(new_child_map(initial_map), 2))
    before_reassignment_s = source.wall_s()
    assert table.claim(claim("a"), 2).verdict is Verdict.UNKNOWN
    assert table.claim(claim("b", first_sent_s=before_reassignment_s), 2).verdict is Verdict.UNKNOWN
    source.advance(claims.CLOCK_SKEW_MARGIN_S + 1.0)
    after_reassignment = claim("c", first_sent_s=source.wall_s())
    assert table.claim(after_reassignment, 2).verdict is Verdict.GRANTED
    source.advance(claims.RETRY_HORIZON_S)
    assert table.claim(claim("a"), 2).verdict is Verdict.GRANTED
    assert table.claim(claim("b", first_sent_s=before_reassignment_s), 2).verdict is Verdict.UNKNOWN


def test_a_handover_transfers_claims_and_ends_the_refusal_of_unseen_keys(
    owner, new_table, initial_map, new_child_map, claim
):
    owner.claim(claim("a"), 1)
    owner.settle(claim("a"), b"printed")
    exports = owner.hand_over()
    assert owner.claim(claim("b"), 1).verdict is Verdict.FROZEN
    assert not owner.settle(claim("a"), b"late")
    moved = new_child_map(initial_map, kind=shards.EvidenceKind.SURRENDERED)
    table = new_table("w2")
    table.adopt(shard_chains.ChainLink(moved, 2))
    assert all(table.take_over(export) for export in exports)
    assert table.claim(claim("a", "req-2"), 2).answer == b"printed"
    assert table.claim(claim("b"), 2).verdict is Verdict.GRANTED


def test_a_handover_from_an_older_epoch_is_refused(
    owner, new_table, initial_map, new_child_map, claim, identity
):
    exports = owner.hand_over()
    second = new_child_map(initial_map, "w2")
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w2", 1, operator="ann", through_epoch=2)
    third = shards.reassign(second, [proof], [identity("w3")])
    table = new_table("w3")
    table.adopt(shard_chains.ChainLink(third, 3))
    assert not any(table.take_over(export) for export in exports)
    assert table.claim(claim(), 3).verdict is Verdict.UNKNOWN


def test_an_agent_with_an_older_map_and_a_former_owner_grant_nothing(
    owner, initial_map, new_child_map, claim
):
    assert owner.claim(claim(), 2).verdict is Verdict.FROZEN
    owner.adopt(shard_chains.ChainLink(new_child_map(initial_map), 2))
    assert owner.claim(claim(), 2).verdict is Verdict.NOT_OWNER
    owner.adopt(shard_chains.ChainLink(initial_map, 1))
    assert owner.claim(claim(), 2).verdict is Verdict.NOT_OWNER


def test_another_incarnation_of_the_worker_owns_nothing(new_table, initial_map, claim):
    table = new_table("w1", incarnation=2)
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    assert table.claim(claim(), 1).verdict is Verdict.NOT_OWNER
