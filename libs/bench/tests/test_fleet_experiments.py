"""Tests of the experiments over placement: that they repeat, and that they notice faults."""

import attrs
import pytest

from papayaspar_bench import fragmentation, guarantees
from papayaspar_placement import fleet, preemptions, queues


@pytest.fixture
def short(monkeypatch):
    """Shorten both experiments to today's fleet and less than two hours."""
    monkeypatch.setattr(guarantees, "DEPLOYMENTS", guarantees.DEPLOYMENTS[:1])
    monkeypatch.setattr(guarantees, "UNTIL_S", 3600.0)
    today = attrs.evolve(fragmentation.DEPLOYMENTS[0], until_s=3600.0)
    monkeypatch.setattr(fragmentation, "DEPLOYMENTS", (today,))
    monkeypatch.setattr(fragmentation, "WARM_UP_S", 600.0)


def test_same_seed_gives_the_same_outcome(short):
    for experiment in (fragmentation.Fragmentation(), guarantees.Guarantees()):
        assert experiment.run(7) == experiment.run(7)


def test_guarantees_hold_on_a_full_fleet(short):
    outcome = guarantees.Guarantees().run(7)
    assert outcome.violations == ()
    assert outcome.figures["today_least_lost_work_claims_due"] > 10
    assert outcome.figures["today_least_lost_work_fleet_held_ratio"] > 0.9


def test_claims_that_are_not_reclaimed_are_noticed(short, monkeypatch):
    monkeypatch.setattr(preemptions.LeastLostWork, "plan", lambda self, job, view: None)
    violations = guarantees.Guarantees().run(7).violations
    assert any("late" in text or "never started" in text for text in violations)


def test_unstoppable_work_on_a_home_is_noticed(short, monkeypatch):
    monkeypatch.setattr("papayaspar_placement.inventory.WorkerView.may_hold", lambda *_: True)
    violations = guarantees.Guarantees().run(7).violations
    assert any("can't leave" in text for text in violations)


def test_starts_on_held_accelerators_are_noticed(short, monkeypatch):
    monkeypatch.setattr(fleet.FleetView, "assume", lambda *_: None)
    monkeypatch.setattr(queues.JobQueue, "_moves", lambda *_: [])
    monkeypatch.setattr(guarantees, "UNTIL_S", 1500.0)
    violations = guarantees.Guarantees().run(7).violations
    assert any("held accelerators" in text for text in violations)
