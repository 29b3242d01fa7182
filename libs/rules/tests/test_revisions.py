"""Tests of the chain of revisions, which all readers must resolve to the same head."""

import random

import attrs
import hypothesis
import pytest
from hypothesis import strategies as st

from papayaspar_model import errors
from papayaspar_rules import faults, records, relays, revisions

TWO_TEAMS = "team a weight=1 # asked by A\nteam b weight=1 # asked by A\n"
ONE_TEAM = "team a weight={} # asked by A\n"


def record(revision: int, parent: int, publish_id: str, text: str | None = None):
    rules = ONE_TEAM.format(revision) if text is None else text
    return records.RevisionRecord(revision, parent, publish_id, "ann", rules, 1.0)


def observe(
    chain: revisions.Chain, *revision_records: records.RevisionRecord
) -> list[revisions.Verdict]:
    verdicts = []
    for revision_record in revision_records:
        verdicts.append(chain.observe(chain.next_offset, records.encode(revision_record)))
    return verdicts


@pytest.fixture
def chain() -> revisions.Chain:
    return revisions.Chain()


def test_first_valid_child_wins_and_other_records_are_ignored(chain):
    verdicts = observe(
        chain,
        record(1, 0, "p1", "nonsense"),
        record(1, 0, "p2"),
        record(1, 0, "p3"),
        record(3, 1, "p4"),
        record(2, 1, "p5"),
        record(1, 0, "p2"),
    )
    assert [verdict.value for verdict in verdicts] == [
        "invalid",
        "accepted",
        "conflict",
        "conflict",
        "accepted",
        "duplicate",
    ]
    assert (chain.rules.revision, chain.rules.publish_id) == (2, "p5")
    assert [chain.find_outcome(name).value for name in ("p1", "p2", "p3", "p5", "p6")] == [
        "lost",
        "won",
        "lost",
        "won",
        "unseen",
    ]
    assert [entry.revision for entry in chain.history()] == [2, 1]


def test_malformed_record_is_ignored_and_the_head_stays_known(chain):
    observe(chain, record(1, 0, "p1"))
    assert chain.observe(1, b"\xff garbage") is revisions.Verdict.INVALID
    assert chain.is_current
    assert observe(chain, record(2, 1, "p2")) == [revisions.Verdict.ACCEPTED]


def test_reader_that_starts_after_trimming_adopts_the_snapshot(chain):
    observe(chain, record(1, 0, "p1"), record(2, 1, "p2"))
    late_reader = revisions.Chain()
    late_reader.skip_trimmed(2)
    assert not late_reader.is_current
    snapshot = records.encode(chain.snapshot())
    for reader in (chain, late_reader):
        reader.observe(2, snapshot)
        observe(reader, record(3, 2, "p3"))
        assert (reader.rules.revision, reader.is_current) == (3, True)
        assert reader.snapshot_offset == 2


def test_outdated_snapshot_is_not_used_as_base_by_a_late_reader(chain):
    """A reader that starts from an outdated snapshot must not accept a rejected revision 2."""
    observe(chain, record(1, 0, "p1"))
    outdated = chain.snapshot()
    observe(chain, record(2, 1, "winner"), outdated, record(2, 1, "loser"))
    late_reader = revisions.Chain()
    late_reader.skip_trimmed(2)
    late_reader.observe(2, records.encode(outdated))
    assert (
        late_reader.observe(3, records.encode(record(2, 1, "loser"))) is revisions.Verdict.PENDING
    )
    assert late_reader.rules.revision == 1
    late_reader.observe(4, records.encode(chain.snapshot()))
    assert (late_reader.rules.publish_id, late_reader.is_current) == ("winner", True)


def test_records_between_a_snapshot_and_its_as_of_offset_are_replayed(chain):
    observe(chain, record(1, 0, "p1"))
    snapshot = chain.snapshot()
    late_reader = revisions.Chain()
    late_reader.skip_trimmed(1)
    late_reader.observe(1, records.encode(record(2, 1, "p2")))
    late_reader.observe(2, records.encode(snapshot))
    assert (late_reader.rules.publish_id, late_reader.find_outcome("p2")) == (
        "p2",
        revisions.PublishOutcome.WON,
    )


def test_head_from_a_peer_is_adopted_and_an_older_one_ignored(chain):
    observe(chain, record(1, 0, "p1"))
    older = chain.snapshot()
    observe(chain, record(2, 1, "p2"))
    reader = revisions.Chain()
    assert reader.adopt(chain.snapshot()) is revisions.Verdict.ACCEPTED
    assert reader.adopt(older) is revisions.Verdict.DUPLICATE
    assert (reader.rules.revision, reader.next_offset, reader.is_current) == (2, 0, True)


@pytest.mark.parametrize("receives_snapshot", [True, False])
def test_outcomes_are_known_after_the_head_came_from_a_peer_first(chain, receives_snapshot):
    reader = revisions.Chain()
    log = [record(1, 0, "winner"), record(1, 0, "loser"), record(2, 1, "next")]
    observe(chain, *log)
    if receives_snapshot:
        reader.adopt(chain.snapshot())
    observe(reader, *log)
    outcomes = [reader.find_outcome(name).value for name in ("winner", "loser", "next")]
    assert outcomes == ["won", "lost", "won"]


def test_outcome_of_a_record_before_an_adopted_head_is_known_without_older_records(chain):
    observe(chain, record(1, 0, "p1"), record(2, 1, "winner"), record(2, 1, "loser"))
    reader = revisions.Chain()
    reader.adopt(chain.snapshot())
    reader.skip_trimmed(2)
    assert reader.observe(2, records.encode(record(2, 1, "loser"))) is revisions.Verdict.CONFLICT
    observe(reader, record(3, 2, "p3"))
    assert (reader.rules.revision, reader.find_outcome("loser").value) == (3, "lost")


def test_snapshot_as_of_a_later_offset_is_invalid(chain):
    observe(chain, record(1, 0, "p1"))
    later_snapshot = chain.snapshot()
    assert revisions.Chain().observe(0, records.encode(later_snapshot)) is revisions.Verdict.INVALID


def test_proposals_are_checked_before_they_are_appended(chain):
    proposal = chain.propose(0, "p1", "ann", ONE_TEAM.format(1), 2.0)
    assert observe(chain, proposal) == [revisions.Verdict.ACCEPTED]
    with pytest.raises(errors.RevisionConflictError):
        chain.propose(0, "p2", "bob", ONE_TEAM.format(2), 2.0)
    with pytest.raises(faults.InvalidRulesError):
        chain.propose(1, "p2", "bob", "nonsense", 2.0)
    chain.skip_trimmed(9)
    with pytest.raises(errors.LogUnavailableError):
        chain.propose(1, "p2", "bob", ONE_TEAM.format(2), 2.0)


def test_publish_contains_only_the_rules_that_differ(chain):
    observe(chain, chain.propose(0, "p1", "ann", TWO_TEAMS, 1.0))
    change = chain.propose(1, "p2", "ann", TWO_TEAMS.replace("b weight=1", "b weight=2"), 1.0)
    assert (change.is_change, change.text) == (True, "+ team b weight=2 # asked by A\n")
    reader = revisions.Chain()
    reader.adopt(chain.snapshot())
    observe(chain, change)
    (forwarded,) = chain.records_since(1)
    assert reader.adopt(forwarded) is revisions.Verdict.ACCEPTED
    assert reader.rules == chain.rules
    assert revisions.Chain().adopt(forwarded) is revisions.Verdict.PENDING
    assert (chain.records_since(0), chain.records_since(2)) == ((chain.snapshot(),), ())


def test_relay_forwards_records_and_merges_many_changes(chain, monkeypatch):
    monkeypatch.setattr(relays, "CHANGES_MAX", 3)
    relay = relays.Relay()
    observe(chain, chain.propose(0, "p0", "ann", TWO_TEAMS, 1.0))
    for number in range(1, 8):
        for forwarded in chain.records_since(relay.revision):
            assert relay.apply(forwarded)
            assert not relay.apply(forwarded)
        assert len(relay.revision_records()) <= 3
        reader = revisions.Chain()
        for forwarded in relay.revision_records():
            reader.adopt(forwarded)
        assert (reader.rules, reader.is_current) == (chain.rules, True)
        text = TWO_TEAMS.replace("b weight=1", f"b weight={number + 1}")
        observe(chain, chain.propose(number, f"p{number}", "ann", text, 1.0))


@pytest.mark.parametrize(
    "text",
    [
        "team c weight=1 # asked by A",
        "* team c",
        "- team d",
        "- team",
        "- team a b",
        "- tram a",
        "+ team c weight=x # asked by A",
        "- team a",
        "+ quota q2 team=a slots=1 # asked by A",
    ],
)
def test_change_that_does_not_apply_is_not_a_valid_child(chain, text):
    """A second quota of a team is rejected although each quota is on line 1 of its own text."""
    quota = "quota q1 team=a slots=1 # asked by A\n"
    observe(chain, record(1, 0, "p1", quota + TWO_TEAMS))
    change = attrs.evolve(record(2, 1, "p2", text), is_change=True)
    assert observe(chain, change) == [revisions.Verdict.INVALID]
    assert chain.rules.revision == 1


def random_text(rng: random.Random) -> str:
    """Return rules of several teams that differ a little from one text to the next."""
    lines = []
    for number in range(rng.randrange(6, 9)):
        lines.append(f"team t{number} weight={rng.choice((1, 1, 1, 2))} # asked by A\n")
    return "".join(lines)


def random_log(rng: random.Random) -> list[bytes]:
    """Return a log written by several entries, each of which reads it with its own lag."""
    log: list[bytes] = []
    entries = [revisions.Chain() for _ in range(3)]
    for number in range(rng.randrange(5, 40)):
        entry = rng.choice(entries)
        while entry.next_offset < len(log) and rng.random() < 0.8:
            entry.observe(entry.next_offset, log[entry.next_offset])
        revision = entry.rules.revision
        choice = rng.random()
        if choice < 0.1:
            log.append(b"garbage")
        elif choice < 0.4:
            log.append(records.encode(entry.snapshot()))
        elif choice < 0.5:
            log.append(records.encode(record(revision + 1, revision, f"p{number}", "bad")))
        else:
            text = random_text(rng)
            log.append(records.encode(entry.propose(revision, f"p{number}", "ann", text, 1.0)))
    full_reader = revisions.Chain()
    for offset, data in enumerate(log):
        full_reader.observe(offset, data)
    return [*log, records.encode(full_reader.snapshot())]


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.integers(0, 2**32))
def test_readers_that_start_at_any_offset_agree_on_the_head(seed):
    log = random_log(random.Random(seed))
    reference = revisions.Chain()
    heads = []
    for offset, data in enumerate(log):
        reference.observe(offset, data)
        heads.append(reference.rules)
    for start in range(len(log)):
        reader = revisions.Chain()
        reader.skip_trimmed(start)
        highest_revision = 0
        for offset in range(start, len(log)):
            reader.observe(offset, log[offset])
            assert reader.rules.revision >= highest_revision
            highest_revision = reader.rules.revision
            if reader.is_current:
                assert reader.rules == heads[offset]
        assert reader.rules == reference.rules


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.integers(0, 2**32))
def test_readers_with_gaps_and_peers_never_revert_to_an_older_revision(seed):
    rng = random.Random(seed)
    log = random_log(rng)
    reference = revisions.Chain()
    snapshots = []
    for offset, data in enumerate(log):
        reference.observe(offset, data)
        snapshots.append(reference.snapshot())
    reader = revisions.Chain()
    peer = revisions.Chain()
    highest_revision = 0
    while reader.next_offset < len(log):
        action = rng.random()
        if peer.next_offset < len(log) and rng.random() < 0.5:
            peer.observe(peer.next_offset, log[peer.next_offset])
        if action < 0.1:
            reader.adopt(rng.choice(snapshots))
        elif action < 0.3:
            for forwarded in peer.records_since(reader.rules.revision):
                reader.adopt(forwarded)
        elif action < 0.4:
            reader.skip_trimmed(rng.randrange(len(log)))
        else:
            reader.observe(reader.next_offset, log[reader.next_offset])
        assert reader.rules.revision >= highest_revision
        highest_revision = reader.rules.revision
        known_offset = reader.snapshot().as_of_offset
        assert reader.is_current is (known_offset >= reader.next_offset)
        if known_offset:
            assert reader.rules.publish_id == snapshots[known_offset - 1].publish_id
    assert reader.rules == reference.rules


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.binary()
    | st.recursive(st.none() | st.integers() | st.floats() | st.text(), st.lists).map(
        lambda value: repr(value).encode()
    )
)
def test_bytes_that_are_not_a_record_raise_invalid_record_error(data):
    with pytest.raises(faults.InvalidRecordError):
        records.decode(data)


@pytest.mark.parametrize(
    ("field", "value"),
    [("revision", b"true"), ("parent", b"-1"), ("published_wall_s", b"1e999"), ("text", b"1")],
)
def test_record_with_a_field_of_the_wrong_type_is_rejected(field, value):
    good = records.encode(record(1, 0, "p"))
    start = good.index(f'"{field}":'.encode()) + len(field) + 3
    end = good.index(b',"', start)
    with pytest.raises(faults.InvalidRecordError) as caught:
        records.decode(good[:start] + value + good[end:])
    assert caught.value.field == field
