"""Workers judged by outcomes: load with workers that fail all they start."""

from papayaspar_scheduling import health


def test_failures_of_two_jobs_eject():
    outcomes = health.Outcomes()
    assert not outcomes.failed("job-1", 10.0)
    assert not outcomes.failed("job-1", 10.1)
    assert outcomes.failed("job-2", 10.2)
    assert outcomes.is_ejected(10.3)
    assert not outcomes.is_ejected(10.2 + health.EJECTION_S)


def test_success_between_failures_clears_them():
    outcomes = health.Outcomes()
    outcomes.failed("job-1", 10.0)
    outcomes.succeeded()
    assert not outcomes.failed("job-2", 10.2)


def test_first_outcome_after_an_ejection_decides():
    outcomes = health.Outcomes()
    outcomes.failed("job-1", 0.0)
    outcomes.failed("job-2", 0.0)
    assert outcomes.failed("job-3", health.EJECTION_S)
    assert outcomes.is_ejected(health.EJECTION_S * 2.9)


def test_worker_that_takes_far_longer_than_estimated_is_slow_until_it_recovers():
    outcomes = health.Outcomes()
    outcomes.paced(1.4)
    assert outcomes.slowness == 1.0
    outcomes.paced(6.5)
    assert outcomes.slowness == 6.5
    outcomes.paced(1.1)
    assert outcomes.slowness == 1.0
