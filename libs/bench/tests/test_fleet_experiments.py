"""Tests of the placement experiments: they are reproducible and detect faults."""

import attrs
import pytest

from papayaspar_bench import fragmentation, guarantees
from papayaspar_placement import fleet, preemptions, queues


@pytest.fixture
def shorten_experiments(monkeypatch):
    """Limit both experiments to the deployment ``today`` and to one hour of arrivals."""
    monkeypatch.setattr(guarantees, "DEPLOYMENTS", guarantees.DEPLOYMENTS[:1])
    monkeypatch.setattr(guarantees, "RUN_END_S", 3600.0)
    today = attrs.evolve(fragmentation.DEPLOYMENTS[0], arrivals_end_s=3600.0)
    monkeypatch.setattr(fragmentation, "DEPLOYMENTS", (today,))
    monkeypatch.setattr(fragmentation, "WARM_UP_S", 600.0)


def test_same_seed_gives_the_same_outcome(shorten_experiments):
    for experiment in (fragmentation.Fragmentation(), guarantees.Guarantees()):
        assert experiment.run(7) == experiment.run(7)


def test_guarantees_hold_on_a_full_fleet(shorten_experiments):
    outcome = guarantees.Guarantees().run(7)
    assert outcome.violations == ()
    assert outcome.figures["today_least_lost_work_claims_due"] > 10
    assert outcome.figures["today_least_lost_work_fleet_held_ratio"] > 0.9


def test_claims_that_start_late_without_preemption_are_detected(shorten_experiments, monkeypatch):
    monkeypatch.setattr(preemptions.LeastLostWork, "plan", lambda self, job, view: None)
    violations = guarantees.Guarantees().run(7).violations
    assert any("late" in text or "never started" in text for text in violations)


def test_unstoppable_work_on_a_home_of_another_team_is_detected(shorten_experiments, monkeypatch):
    monkeypatch.setattr("papayaspar_placement.inventory.WorkerView.may_hold", lambda *_: True)
    violations = guarantees.Guarantees().run(7).violations
    assert any("is not stoppable" in text for text in violations)


def test_starts_on_held_accelerators_are_detected(shorten_experiments, monkeypatch):
    monkeypatch.setattr(fleet.FleetView, "assume", lambda *_: None)
    monkeypatch.setattr(queues.JobQueue, "_moves", lambda *_: [])
    monkeypatch.setattr(guarantees, "RUN_END_S", 1500.0)
    violations = guarantees.Guarantees().run(7).violations
    assert any("held accelerators" in text for text in violations)
