"""Handovers of keys that reach an owner after it has handed its own keys over."""

import random

from papayaspar_dispatch import claims, shard_chains, shards

Verdict = claims.Verdict
ANSWER = b"printed"


# Guards against an answer that is lost: the second owner leaves before it gets the claims of the
# first one, the third one takes its claims over, and a second entry asks the second owner again.
def test_claims_that_reached_a_leaving_owner_late_are_handed_over(
    owner, new_table, initial_map, new_child_map, make_identity, make_claim
):
    owner.claim(make_claim(), 1)
    owner.settle(make_claim(), ANSWER)
    first_exports = owner.hand_over()
    second_map = new_child_map(initial_map)
    second = new_table("w2")
    second.adopt(shard_chains.ChainLink(second_map, 2))
    exports = second.hand_over()
    proof = shards.Evidence(shards.EvidenceKind.REPLACED, "w2", 1, newer_incarnation=2)
    third_map = shards.reassign(second_map, [proof], [make_identity("w3")], random.Random(3))
    third = new_table("w3")
    third.adopt(shard_chains.ChainLink(third_map, 3))
    assert all(third.take_over(export) for export in exports)
    noted = [second.take_over(export) for export in first_exports]
    if all(noted):
        for export in second.hand_over():
            third.take_over(export)
        answer = third.claim(make_claim(request_id="req-2"), 3)
        assert (answer.verdict, answer.answer) == (Verdict.SETTLED, ANSWER)
