"""Ejection of workers on which runs fail, and detection of slow workers."""

from papayaspar_scheduling import health


def test_consecutive_failures_of_two_jobs_eject_a_worker():
    outcomes = health.Outcomes()
    assert not outcomes.record_failure("job-1", 10.0)
    assert not outcomes.record_failure("job-1", 10.1)
    assert outcomes.record_failure("job-2", 10.2)
    assert outcomes.is_ejected(10.3)
    assert not outcomes.is_ejected(10.2 + health.EJECTION_S)


def test_success_clears_earlier_failures():
    outcomes = health.Outcomes()
    outcomes.record_failure("job-1", 10.0)
    outcomes.record_success()
    assert not outcomes.record_failure("job-2", 10.2)


def test_single_failure_after_an_ejection_ejects_for_longer():
    outcomes = health.Outcomes()
    outcomes.record_failure("job-1", 0.0)
    outcomes.record_failure("job-2", 0.0)
    assert outcomes.record_failure("job-3", health.EJECTION_S)
    assert outcomes.is_ejected(health.EJECTION_S * 2.9)


def test_worker_is_slow_while_its_runs_take_a_multiple_of_their_estimate():
    outcomes = health.Outcomes()
    outcomes.record_pace(1.4)
    assert outcomes.slowness == 1.0
    outcomes.record_pace(6.5)
    assert outcomes.slowness == 6.5
    outcomes.record_pace(1.1)
    assert outcomes.slowness == 1.0
