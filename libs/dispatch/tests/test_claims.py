"""Claims at the owner of a shard: one grant, stored answers, handover, memory limits."""

import pytest

from papayaspar_dispatch import claims, shard_chains, shards
from papayaspar_model import errors

Verdict = claims.Verdict


def test_a_key_is_granted_to_one_request_and_its_answer_is_stored(owner, make_claim, manual_clock):
    assert owner.claim(make_claim(), 1).verdict is Verdict.GRANTED
    assert owner.claim(make_claim(), 1).verdict is Verdict.GRANTED
    assert owner.claim(make_claim(request_id="req-2"), 1).verdict is Verdict.PENDING
    assert owner.settle(make_claim(), b"printed")
    repeated = owner.claim(make_claim(request_id="req-3"), 1)
    assert (repeated.verdict, repeated.answer) == (Verdict.SETTLED, b"printed")
    manual_clock.advance(claims.RETRY_HORIZON_S - 1.0)
    assert owner.claim(make_claim(request_id="req-4"), 1).verdict is Verdict.SETTLED


def test_a_repeated_key_with_other_content_is_a_conflict(owner, make_claim):
    owner.claim(make_claim(), 1)
    assert owner.claim(make_claim(digest="d2", request_id="req-2"), 1).verdict is Verdict.CONFLICT


def test_a_pending_claim_is_unknown_from_its_deadline_until_it_is_settled(
    owner, make_claim, manual_clock
):
    owner.claim(make_claim(), 1)
    manual_clock.advance(31.0)
    assert owner.claim(make_claim(request_id="req-2"), 1).verdict is Verdict.UNKNOWN
    owner.settle(make_claim(), b"printed")
    assert owner.claim(make_claim(request_id="req-2"), 1).answer == b"printed"


def test_only_the_request_that_holds_a_claim_can_release_it(owner, make_claim):
    owner.claim(make_claim(), 1)
    assert not owner.release(make_claim(request_id="req-2"))
    assert owner.release(make_claim())
    assert owner.claim(make_claim(request_id="req-2"), 1).verdict is Verdict.GRANTED
    owner.settle(make_claim(request_id="req-2"), None)
    assert owner.claim(make_claim(request_id="req-3"), 1).verdict is Verdict.UNKNOWN


def test_a_full_table_refuses_new_keys_and_keeps_the_old_ones(
    new_table, initial_map, make_claim, manual_clock
):
    table = new_table("w1", claims_max=2)
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    for key in ("a", "b"):
        table.claim(make_claim(key), 1)
    with pytest.raises(errors.OverloadedError) as caught:
        table.claim(make_claim("c"), 1)
    assert caught.value.ran is errors.Ran.NO
    assert table.claim(make_claim("a", "req-2"), 1).verdict is Verdict.PENDING
    manual_clock.advance(claims.RETRY_HORIZON_S + 31.0)
    assert table.claim(make_claim("c"), 1).verdict is Verdict.GRANTED
    assert table.usage.claims <= 2


def test_an_answer_over_the_memory_limit_is_dropped_and_its_key_kept(
    new_table, initial_map, make_claim
):
    table = new_table("w1", answer_bytes_max=4)
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    table.claim(make_claim(), 1)
    table.settle(make_claim(), b"longer than four bytes")
    assert table.claim(make_claim(request_id="req-2"), 1).verdict is Verdict.UNKNOWN
    assert table.usage.answer_bytes == 0


def test_a_new_owner_never_grants_a_key_that_the_previous_one_may_have_granted(
    new_table, initial_map, new_child_map, make_claim, manual_clock
):
    table = new_table("w2")
    table.adopt(shard_chains.ChainLink(new_child_map(initial_map), 2))
    before_reassignment_s = manual_clock.wall_s()
    assert table.claim(make_claim("a"), 2).verdict is Verdict.UNKNOWN
    assert (
        table.claim(make_claim("b", first_sent_s=before_reassignment_s), 2).verdict
        is Verdict.UNKNOWN
    )
    manual_clock.advance(claims.CLOCK_SKEW_MARGIN_S + 1.0)
    after_reassignment = make_claim("c", first_sent_s=manual_clock.wall_s())
    assert table.claim(after_reassignment, 2).verdict is Verdict.GRANTED
    manual_clock.advance(claims.RETRY_HORIZON_S)
    assert table.claim(make_claim("a"), 2).verdict is Verdict.GRANTED
    assert (
        table.claim(make_claim("b", first_sent_s=before_reassignment_s), 2).verdict
        is Verdict.UNKNOWN
    )


def test_a_handover_transfers_claims_and_ends_the_refusal_of_unseen_keys(
    owner, new_table, initial_map, new_child_map, make_claim
):
    owner.claim(make_claim("a"), 1)
    owner.settle(make_claim("a"), b"printed")
    exports = owner.hand_over()
    assert owner.claim(make_claim("b"), 1).verdict is Verdict.FROZEN
    assert not owner.settle(make_claim("a"), b"late")
    reassigned = new_child_map(initial_map, kind=shards.EvidenceKind.SURRENDERED)
    table = new_table("w2")
    table.adopt(shard_chains.ChainLink(reassigned, 2))
    assert all(table.take_over(export) for export in exports)
    assert table.claim(make_claim("a", "req-2"), 2).answer == b"printed"
    assert table.claim(make_claim("b"), 2).verdict is Verdict.GRANTED


def test_a_handover_from_an_older_epoch_is_refused(
    owner, new_table, initial_map, new_child_map, make_claim, make_identity
):
    exports = owner.hand_over()
    second = new_child_map(initial_map, "w2")
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w2", 1, operator="ann", through_epoch=2)
    third = shards.reassign(second, [proof], [make_identity("w3")])
    table = new_table("w3")
    table.adopt(shard_chains.ChainLink(third, 3))
    assert not any(table.take_over(export) for export in exports)
    assert table.claim(make_claim(), 3).verdict is Verdict.UNKNOWN


def test_an_agent_with_an_older_map_and_a_former_owner_grant_nothing(
    owner, initial_map, new_child_map, make_claim
):
    assert owner.claim(make_claim(), 2).verdict is Verdict.FROZEN
    owner.adopt(shard_chains.ChainLink(new_child_map(initial_map), 2))
    assert owner.claim(make_claim(), 2).verdict is Verdict.NOT_OWNER
    owner.adopt(shard_chains.ChainLink(initial_map, 1))
    assert owner.claim(make_claim(), 2).verdict is Verdict.NOT_OWNER


def test_another_incarnation_of_the_worker_owns_nothing(new_table, initial_map, make_claim):
    table = new_table("w1", incarnation=2)
    table.adopt(shard_chains.ChainLink(initial_map, 1))
    assert table.claim(make_claim(), 1).verdict is Verdict.NOT_OWNER


def test_a_repeated_handover_counts_once_against_the_memory_limits(
    owner, new_table, initial_map, new_child_map, make_claim
):
    for key in ("a", "b", "c"):
        owner.claim(make_claim(key), 1)
        owner.settle(make_claim(key), b"printed")
    exports = owner.hand_over()
    table = new_table("w2", claims_max=3, answer_bytes_max=21)
    table.adopt(shard_chains.ChainLink(new_child_map(initial_map), 2))
    for _ in range(3):
        assert all(table.take_over(export) for export in exports)
        assert (table.usage.claims, table.usage.answer_bytes) == (3, 21)
