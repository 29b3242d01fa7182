"""Tests of the table of workers."""

import attrs
import pytest

from papayaspar_membership import members
from papayaspar_model import workers


@pytest.fixture
def table():
    return members.MemberTable()


@pytest.fixture
def report():
    identity = workers.WorkerIdentity("w1", 5, "r1", "dc1", "region1")
    return workers.WorkerReport(identity, workers.Capacity(), 1, 0, False)


def newer_incarnation(report):
    return attrs.evolve(report, identity=attrs.evolve(report.identity, incarnation=6), sequence=0)


def test_report_of_a_newer_incarnation_replaces_the_member(table, report):
    assert table.observe(report) is members.Change.JOINED
    assert table.observe(newer_incarnation(report)) is members.Change.REPLACED
    assert table.observe(report) is members.Change.STALE
    assert table.get("w1").report.identity.incarnation == 6


def test_closed_stream_of_an_old_incarnation_does_not_disconnect_the_new_one(table, report):
    table.observe(report)
    table.observe(newer_incarnation(report))
    assert not table.mark_disconnected(report.identity, 1.0)
    assert table.get("w1").is_usable


def test_out_of_order_report_does_not_revert_draining(table, report):
    table.observe(attrs.evolve(report, sequence=9, draining=True))
    assert table.observe(attrs.evolve(report, sequence=8)) is members.Change.STALE
    assert not table.get("w1").is_usable


def test_free_slots_account_for_requests_of_this_entry(table, report):
    table.observe(attrs.evolve(report, busy_slots=3))
    table.get("w1").assigned_slots = 5
    assert table.get("w1").free_slots == 3
    assert table.open_slots() == 8


def test_sample_has_distinct_members_and_no_removed_ones(table, report):
    for number in range(5):
        identity = attrs.evolve(report.identity, worker=f"w{number}")
        table.observe(attrs.evolve(report, identity=identity))
    table.remove("w3")
    assert sorted(member.name for member in table.sample(9)) == ["w0", "w1", "w2", "w4"]
    assert len({member.name for member in table.sample(3)}) == 3
    assert [member.name for member in table.all()] == ["w0", "w1", "w2", "w4"]
