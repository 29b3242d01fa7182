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


def newer_life(report):
    return attrs.evolve(report, identity=attrs.evolve(report.identity, incarnation=6), sequence=0)


def test_a_replaced_worker_is_another_member(table, report):
    assert table.observe(report) is members.Change.JOINED
    assert table.observe(newer_life(report)) is members.Change.REPLACED
    assert table.observe(report) is members.Change.STALE
    assert table.get("w1").report.identity.incarnation == 6


def test_the_end_of_an_old_stream_does_not_lose_the_new_life(table, report):
    table.observe(report)
    table.observe(newer_life(report))
    assert not table.lose(report.identity, 1.0)
    assert table.get("w1").is_usable


def test_reports_out_of_order_do_not_undo_a_drain(table, report):
    table.observe(attrs.evolve(report, sequence=9, draining=True))
    assert table.observe(attrs.evolve(report, sequence=8)) is members.Change.STALE
    assert not table.get("w1").is_usable


def test_slots_count_what_this_entry_assigned(table, report):
    table.observe(attrs.evolve(report, busy_slots=3))
    table.get("w1").assigned_slots = 5
    assert table.get("w1").free_slots == 3
    assert table.open_slots() == 8


def test_a_sample_has_each_member_once_and_forgets_those_that_left(table, report):
    for number in range(5):
        identity = attrs.evolve(report.identity, worker=f"w{number}")
        table.observe(attrs.evolve(report, identity=identity))
    table.forget("w3")
    assert sorted(member.name for member in table.sample(9)) == ["w0", "w1", "w2", "w4"]
    assert len({member.name for member in table.sample(3)}) == 3
    assert [member.name for member in table.all()] == ["w0", "w1", "w2", "w4"]
