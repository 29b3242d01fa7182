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


def test_success_of_a_run_that_started_before_a_failure_does_not_clear_it():
    outcomes = health.Outcomes()
    outcomes.record_failure("job-1", 10.0, started_s=9.9)
    outcomes.record_success(started_s=5.0)
    assert outcomes.trial(20.0, 5.0) is health.Trial.OPEN
    outcomes.record_success(started_s=11.0)
    assert outcomes.trial(20.0, 11.0) is health.Trial.NONE


def test_worker_is_tried_again_after_a_pause_that_grows_with_failed_trials():
    outcomes = health.Outcomes()
    outcomes.record_failure("job-1", 10.0, started_s=9.9)
    assert outcomes.trial(10.0, 9.9) is health.Trial.CLOSED
    assert outcomes.trial(10.0 + health.TRIAL_PAUSE_S, 9.9) is health.Trial.OPEN
    assert outcomes.trial(11.0, 10.9) is health.Trial.CLOSED
    outcomes.record_failure("job-1", 11.0, started_s=10.9)
    assert outcomes.trial(11.0 + health.TRIAL_PAUSE_S, 10.9) is health.Trial.CLOSED
    assert outcomes.trial(11.0 + 2 * health.TRIAL_PAUSE_S, 10.9) is health.Trial.OPEN


def test_runs_that_fail_together_count_as_one_failed_trial():
    outcomes = health.Outcomes()
    for _ in range(8):
        outcomes.record_failure("job-1", 10.0, started_s=9.9)
    assert outcomes.failed_trials == 1


def test_pauses_stay_bounded_over_thousands_of_failures():
    outcomes = health.Outcomes()
    newest_s = 2999 * 35.0
    outcomes.record_failure("job", 0.0)
    for number in range(3000):
        outcomes.record_failure(f"job-{number}", number * 35.0)
    assert outcomes.ejected_until_s == newest_s + health.EJECTION_MAX_S
    assert outcomes.trial(newest_s + health.TRIAL_PAUSE_MAX_S - 0.1, 0.0) is health.Trial.CLOSED
    assert outcomes.trial(newest_s + health.TRIAL_PAUSE_MAX_S, 0.0) is health.Trial.OPEN


# Guards against failures of any age that eject a worker, and ejections that grow over hours.
def test_failures_and_ejections_are_forgotten():
    outcomes = health.Outcomes()
    outcomes.record_failure("job-1", 0.0)
    assert not outcomes.record_failure("job-2", health.FAILURE_KEPT_S)
    assert outcomes.record_failure("job-3", 2 * health.FAILURE_KEPT_S - 0.1)
    later_s = outcomes.ejected_until_s + health.FAILURE_KEPT_S
    assert not outcomes.record_failure("job-4", later_s)
    assert outcomes.record_failure("job-5", later_s)
    assert not outcomes.is_ejected(later_s + health.EJECTION_S)


# Guards against a worker that stays on trial for as long as nobody tries it.
def test_trial_ends_by_itself():
    outcomes = health.Outcomes()
    outcomes.record_failure("job-1", 10.0, started_s=9.9)
    assert outcomes.trial(10.0 + health.TRIAL_MAX_S - 0.1, 9.9) is health.Trial.OPEN
    assert outcomes.trial(10.0 + health.TRIAL_MAX_S, 9.9) is health.Trial.NONE
