"""Claims at their owner: one grant, remembered answers, hand-over, bounded memory."""

import pytest

from papayaspar_dispatch import claims, shard_chains, shards
from papayaspar_model import errors

Verdict = claims.Verdict


def test_a_key_is_granted_once_and_its_answer_is_remembered(owner, claim, source):
    assert owner.claim(claim(), 1).verdict is Verdict.GRANTED
    assert owner.claim(claim(), 1).verdict is Verdict.GRANTED
    assert owner.claim(claim(request_id="req-2"), 1).verdict is Verdict.PENDING
    assert owner.settle(claim(), b"printed")
    again = owner.claim(claim(request_id="req-3"), 1)
    assert (again.verdict, again.answer) == (Verdict.SETTLED, b"printed")
    source.advance(claims.RETRY_HORIZON_S - 1.0)
    assert owner.claim(claim(request_id="req-4"), 1).verdict is Verdict.SETTLED


def test_other_content_under_a_key_is_a_conflict(owner, claim):
    owner.claim(claim(), 1)
    assert owner.claim(claim(digest="d2", request_id="req-2"), 1).verdict is Verdict.CONFLICT


def test_a_pending_claim_is_unknown_after_its_deadline_until_its_holder_speaks(
    owner, claim, source
):
    owner.claim(claim(), 1)
    source.advance(31.0)
    assert owner.claim(claim(request_id="req-2"), 1).verdict is Verdict.UNKNOWN
    owner.settle(claim(), b"printed")
    assert owner.claim(claim(request_id="req-2"), 1).answer == b"printed"


def test_a_claim_that_did_not_run_is_given_back_by_its_holder_only(owner, claim):
    owner.claim(claim(), 1)
    assert not owner.release(claim(request_id="req-2"))
    assert owner.release(claim())
    assert owner.claim(claim(request_id="req-2"), 1).verdict is Verdict.GRANTED
    owner.settle(claim(request_id="req-2"), None)
    assert owner.claim(claim(request_id="req-3"), 1).verdict is Verdict.UNKNOWN


def test_a_full_table_refuses_new_keys_and_forgets_none(new_table, founding, claim, source):
    table = new_table("w1", claims_max=2)
    table.adopt(shard_chains.ChainLink(founding, 1))
    for key in ("a", "b"):
        table.claim(claim(key), 1)
    with pytest.raises(errors.OverloadedError) as caught:
        table.claim(claim("c"), 1)
    assert caught.value.ran is errors.Ran.NO
    assert table.claim(claim("a", "req-2"), 1).verdict is Verdict.PENDING
    source.advance(claims.RETRY_HORIZON_S + 31.0)
    assert table.claim(claim("c"), 1).verdict is Verdict.GRANTED
    assert table.use.claims <= 2


def test_an_answer_too_large_to_keep_leaves_the_key(new_table, founding, claim):
    table = new_table("w1", answer_bytes_max=4)
    table.adopt(shard_chains.ChainLink(founding, 1))
    table.claim(claim(), 1)
    table.settle(claim(), b"longer than four bytes")
    assert table.claim(claim(request_id="req-2"), 1).verdict is Verdict.UNKNOWN
    assert table.use.answer_bytes == 0


def test_a_new_owner_never_grants_what_its_predecessor_may_have(
    new_table, founding, successor, claim, source
):
    table = new_table("w2")
    table.adopt(shard_chains.ChainLink(successor(founding), 2))
    early_s = source.wall_s()
    assert table.claim(claim("a"), 2).verdict is Verdict.UNKNOWN
    assert table.claim(claim("b", first_sent_s=early_s), 2).verdict is Verdict.UNKNOWN
    source.advance(claims.CLOCK_SKEW_MARGIN_S + 1.0)
    late = claim("c", first_sent_s=source.wall_s())
    assert table.claim(late, 2).verdict is Verdict.GRANTED
    source.advance(claims.RETRY_HORIZON_S)
    assert table.claim(claim("a"), 2).verdict is Verdict.GRANTED
    assert table.claim(claim("b", first_sent_s=early_s), 2).verdict is Verdict.UNKNOWN


def test_a_hand_over_moves_the_memory_and_closes_the_window(
    owner, new_table, founding, successor, claim
):
    owner.claim(claim("a"), 1)
    owner.settle(claim("a"), b"printed")
    exports = owner.surrender()
    assert owner.claim(claim("b"), 1).verdict is Verdict.FROZEN
    assert not owner.settle(claim("a"), b"late")
    moved = successor(founding, kind=shards.EvidenceKind.SURRENDERED)
    table = new_table("w2")
    table.adopt(shard_chains.ChainLink(moved, 2))
    assert all(table.take_over(export) for export in exports)
    assert table.claim(claim("a", "req-2"), 2).answer == b"printed"
    assert table.claim(claim("b"), 2).verdict is Verdict.GRANTED


def test_a_hand_over_from_an_older_epoch_is_refused(
    owner, new_table, founding, successor, claim, identity
):
    exports = owner.surrender()
    second = successor(founding, "w2")
    proof = shards.Evidence(shards.EvidenceKind.RETIRED, "w2", 1, operator="ann", through_epoch=2)
    third = shards.reassign(second, [proof], [identity("w3")])
    table = new_table("w3")
    table.adopt(shard_chains.ChainLink(third, 3))
    assert not any(table.take_over(export) for export in exports)
    assert table.claim(claim(), 3).verdict is Verdict.UNKNOWN


def test_an_owner_behind_the_entry_and_one_that_lost_the_shard_grant_nothing(
    owner, founding, successor, claim
):
    assert owner.claim(claim(), 2).verdict is Verdict.FROZEN
    owner.adopt(shard_chains.ChainLink(successor(founding), 2))
    assert owner.claim(claim(), 2).verdict is Verdict.NOT_OWNER
    owner.adopt(shard_chains.ChainLink(founding, 1))
    assert owner.claim(claim(), 2).verdict is Verdict.NOT_OWNER


def test_another_life_of_the_worker_owns_nothing(new_table, founding, claim):
    table = new_table("w1", incarnation=2)
    table.adopt(shard_chains.ChainLink(founding, 1))
    assert table.claim(claim(), 1).verdict is Verdict.NOT_OWNER
