"""Repeated handovers of keys against the memory limits, beside killed senders and owners."""

import itertools
import random

import pytest

from papayaspar_dispatch import claims, shard_chains, shards

Verdict = claims.Verdict
KEYS = tuple(f"print-{number}" for number in range(12))
ANSWER = b"printed"
LATER_S = 5.0


@pytest.fixture
def leaving(owner, make_claim):
    """Return the owner of all shards, with some answered and some pending keys."""
    for key in KEYS:
        owner.claim(make_claim(key), 1)
    for key in KEYS[::2]:
        owner.settle(make_claim(key), ANSWER)
    return owner


@pytest.fixture
def second_map(initial_map, new_child_map):
    """Return the map in which ``w2`` owns all shards of ``w1``."""
    return new_child_map(initial_map)


@pytest.fixture
def new_owner(leaving, new_table, second_map):
    """Return the table of ``w2``, in which exactly the keys of ``w1`` fit."""
    usage = leaving.usage
    table = new_table(
        "w2",
        claims_max=usage.claims,
        claim_bytes_max=usage.claim_bytes,
        answer_bytes_max=usage.answer_bytes,
    )
    table.adopt(shard_chains.ChainLink(second_map, 2))
    return table


def usage_of(table):
    """Return the memory usage of a table."""
    return (table.usage.claims, table.usage.claim_bytes, table.usage.answer_bytes)


def check_keys(table, make_claim, revision):
    """Check that each key has the state that it had at its first owner."""
    for index, key in enumerate(KEYS):
        repeated = table.claim(make_claim(key, "req-2"), revision)
        if index % 2:
            assert repeated.verdict is Verdict.PENDING
            continue
        assert (repeated.verdict, repeated.answer) == (Verdict.SETTLED, ANSWER)


# Guards against keys that count once for each sender: the first sender dies after a part of the
# shards, its answers lost, and a second one gets and sends the claims of all shards, repeatedly.
@pytest.mark.parametrize("sent_first", range(5))
@pytest.mark.parametrize("seed", range(3))
def test_keys_count_once_after_their_first_sender_died(
    leaving, new_owner, make_claim, manual_clock, sent_first, seed
):
    expected = usage_of(leaving)
    rng = random.Random(seed)
    exports = list(leaving.hand_over())
    rng.shuffle(exports)
    for export in exports[:sent_first]:
        assert new_owner.take_over(export)
    manual_clock.advance(LATER_S)
    repeated_exports = list(leaving.hand_over()) * 2
    rng.shuffle(repeated_exports)
    for export in repeated_exports:
        assert new_owner.take_over(export)
    assert usage_of(new_owner) == expected
    check_keys(new_owner, make_claim, 2)


# Guards against memory that stays used: the keys were imported repeatedly, and are removed when
# they expire, or when the shards go to another owner, whose map arrives repeatedly.
@pytest.mark.parametrize("is_expired", [False, True])
def test_repeatedly_imported_keys_are_removed_once(
    leaving, new_owner, second_map, make_identity, make_claim, manual_clock, is_expired
):
    exports = leaving.hand_over()
    for export in exports * 3:
        assert new_owner.take_over(export)
    if is_expired:
        manual_clock.advance(claims.RETRY_HORIZON_S + claims.DEADLINE_MAX_S)
        for key in KEYS:
            assert new_owner.claim(make_claim(key, "req-2"), 2).verdict is Verdict.GRANTED
        assert new_owner.usage.claims == len(KEYS)
        assert new_owner.usage.answer_bytes == 0
        return
    proof = shards.Evidence(shards.EvidenceKind.REPLACED, "w2", 1, newer_incarnation=2)
    third_map = shards.reassign(second_map, [proof], [make_identity("w3")], random.Random(3))
    for _ in range(3):
        new_owner.adopt(shard_chains.ChainLink(third_map, 3))
        assert usage_of(new_owner) == (0, 0, 0)
        assert not any(new_owner.take_over(export) for export in exports)


# Guards against claims of an earlier handover that count at an owner which did not follow directly:
# the new owner is killed and restarted with the same name, while the sender still repeats.
def test_a_restarted_owner_takes_over_no_claims_of_the_owner_before_it(
    leaving, new_owner, second_map, new_table, make_identity, make_claim
):
    exports = leaving.hand_over()
    for export in exports:
        assert new_owner.take_over(export)
    proof = shards.Evidence(shards.EvidenceKind.REPLACED, "w2", 1, newer_incarnation=2)
    third_map = shards.reassign(second_map, [proof], [make_identity("w2", 2)], random.Random(3))
    restarted = new_table("w2", incarnation=2)
    restarted.adopt(shard_chains.ChainLink(third_map, 3))
    for export in exports * 3:
        assert not restarted.take_over(export)
    assert usage_of(restarted) == (0, 0, 0)
    # The killed owner may have granted more keys, so none is granted again.
    for key in KEYS:
        assert restarted.claim(make_claim(key, "req-2"), 3).verdict is Verdict.UNKNOWN


# Guards against keys that count at each of several handovers in series, each of them repeated.
def test_keys_count_once_after_handovers_in_series(
    leaving, new_table, initial_map, make_identity, make_claim, manual_clock
):
    expected = usage_of(leaving)
    limits = dict(zip(("claims_max", "claim_bytes_max", "answer_bytes_max"), expected, strict=True))
    table = leaving
    shard_map = initial_map
    for number, name in enumerate(("w2", "w3", "w2"), start=2):
        exports = table.hand_over()
        former = shard_map.owners[0]
        proof = shards.Evidence(
            shards.EvidenceKind.SURRENDERED,
            former.worker,
            former.incarnation,
            shards=tuple(export.shard for export in exports),
            through_epoch=shard_map.revision,
        )
        identity = make_identity(name, number)
        shard_map = shards.reassign(shard_map, [proof], [identity], random.Random(number))
        table = new_table(name, incarnation=number, **limits)
        table.adopt(shard_chains.ChainLink(shard_map, number))
        for export in itertools.chain(exports, reversed(exports), exports):
            assert table.take_over(export)
        assert usage_of(table) == expected
        manual_clock.advance(LATER_S)
    check_keys(table, make_claim, shard_map.revision)


# Guards against a part of the keys that counts although their handover was refused: the table has
# too little memory for the largest shard, and the sender repeats.
def test_a_refused_handover_counts_nothing(leaving, new_table, second_map):
    exports = leaving.hand_over()
    largest = max(exports, key=lambda export: len(export.claims))
    table = new_table("w2", claims_max=len(largest.claims) - 1)
    table.adopt(shard_chains.ChainLink(second_map, 2))
    for _ in range(3):
        assert not table.take_over(largest)
        assert usage_of(table) == (0, 0, 0)


# Guards against a key that is in use again after it was released: its request did not run, the new
# owner released it, and a repeated handover, whose first answer was lost, brings it back.
def test_a_released_key_stays_released_after_a_repeated_handover(leaving, new_owner, make_claim):
    exports = leaving.hand_over()
    for export in exports:
        assert new_owner.take_over(export)
    pending_key = KEYS[1]
    assert new_owner.release(make_claim(pending_key))
    for export in exports:
        assert new_owner.take_over(export)
    assert new_owner.usage.claims == len(KEYS) - 1
    # No request with the key has run, so the next one may.
    assert new_owner.claim(make_claim(pending_key, "req-2"), 2).verdict is Verdict.GRANTED


# Guards against a time of refusal that starts again with each repeated handover: the former owner
# refused keys that it hadn't seen for a rest of time, which is the same for each repetition.
def test_a_repeated_handover_does_not_restart_the_refusal_of_unseen_keys(
    new_owner, new_table, second_map, make_identity, make_claim, manual_clock
):
    # The former owner never got the claims of the owner before it.
    exports = new_owner.hand_over()
    proof = shards.Evidence(
        shards.EvidenceKind.SURRENDERED,
        "w2",
        1,
        shards=tuple(export.shard for export in exports),
        through_epoch=second_map.revision,
    )
    third_map = shards.reassign(second_map, [proof], [make_identity("w3")], random.Random(3))
    table = new_table("w3")
    table.adopt(shard_chains.ChainLink(third_map, 3))
    for _ in range(3):
        assert all(table.take_over(export) for export in exports)
        manual_clock.advance(LATER_S)
    manual_clock.advance(claims.RETRY_HORIZON_S - 2 * LATER_S)
    assert table.claim(make_claim("unseen"), 3).verdict is Verdict.GRANTED
