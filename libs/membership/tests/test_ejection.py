"""Tests of outlier ejection: which workers are ejected, how many, and how they are re-admitted."""

import random

import pytest

from papayaspar_membership import ejection
from papayaspar_model import clock

FAILURE, SUCCESS = ejection.Outcome.FAILURE, ejection.Outcome.SUCCESS
EjectionStatus = ejection.EjectionStatus


@pytest.fixture
def clock_source():
    return clock.ManualClock(50.0)


@pytest.fixture
def detector(clock_source):
    outlier_detector = ejection.OutlierDetector(clock_source, rng=random.Random(1))
    for number in range(9):
        outlier_detector.add(f"w{number}", 1)
    return outlier_detector


@pytest.fixture
def finish(detector):
    """Return a function that records outcomes of requests to a worker."""

    def record(worker, outcome, times=1):
        for _ in range(times):
            detector.finish(detector.begin(worker), outcome)

    return record


def test_consecutive_failures_eject_and_a_success_resets_the_count(detector, finish):
    finish("w0", FAILURE, 4)
    finish("w0", SUCCESS)
    finish("w0", FAILURE, 4)
    assert detector.admits("w0", idempotent=True)
    finish("w0", FAILURE)
    assert detector.status("w0") is EjectionStatus.EJECTED
    assert not detector.admits("w0", idempotent=True)


def test_failure_ratio_in_the_window_ejects(detector, finish):
    for _ in range(8):
        finish("w0", SUCCESS)
        finish("w0", FAILURE)
    assert detector.status("w0") is EjectionStatus.ADMITTED
    finish("w0", SUCCESS)
    finish("w0", FAILURE, 2)
    assert detector.status("w0") is EjectionStatus.EJECTED


@pytest.mark.parametrize("failure_ratio", [0.1, 0.3])
def test_work_that_fails_on_every_worker_ejects_none(detector, finish, clock_source, failure_ratio):
    rng = random.Random(3)
    for _ in range(20_000):
        clock_source.advance(0.01)
        outcome = FAILURE if rng.random() < failure_ratio else SUCCESS
        finish(f"w{rng.randrange(9)}", outcome)
        assert all(detector.status(f"w{n}") is EjectionStatus.ADMITTED for n in range(9))


def test_neutral_outcomes_do_not_eject(detector, finish):
    finish("w0", ejection.Outcome.NEUTRAL, 20)
    assert detector.status("w0") is EjectionStatus.ADMITTED


def test_failures_with_one_cause_count_once(detector, finish):
    finish("w0", FAILURE, 3)
    cause = object()
    in_flight = [detector.begin("w0") for _ in range(9)]
    for request in in_flight:
        detector.finish(request, FAILURE, cause)
    assert detector.status("w0") is EjectionStatus.ADMITTED
    detector.finish(detector.begin("w0"), FAILURE, object())
    assert detector.status("w0") is EjectionStatus.EJECTED


def test_a_trial_fails_although_its_cause_was_counted_before(detector, finish, clock_source):
    cause = object()
    finish("w0", FAILURE, 5)
    clock_source.advance(7.0)
    in_flight = [detector.begin("w0") for _ in range(2)]
    for request in in_flight:
        detector.finish(request, FAILURE, cause)
    assert detector.status("w0") is EjectionStatus.EJECTED
    clock_source.advance(14.0)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL


def test_share_of_ejected_workers_is_limited(detector, finish):
    for number in range(1, 9):
        finish(f"w{number}", SUCCESS, 20)
    for number in range(5):
        finish(f"w{number}", FAILURE, 25)
    ejected = [n for n in range(9) if detector.status(f"w{n}") is EjectionStatus.EJECTED]
    assert ejected == [0, 1, 2]


def test_at_most_one_worker_is_ejected_when_all_workers_fail(detector, finish):
    for _ in range(30):
        for number in range(9):
            finish(f"w{number}", FAILURE)
    not_admitted = [n for n in range(9) if detector.status(f"w{n}") is not EjectionStatus.ADMITTED]
    assert len(not_admitted) <= 1


def test_trials_are_single_and_idempotent_with_exponential_backoff(detector, finish, clock_source):
    finish("w0", FAILURE, 5)
    backoffs_s = []
    for _ in range(9):
        elapsed_s = 0.0
        while detector.status("w0") is EjectionStatus.EJECTED:
            clock_source.advance(0.5)
            elapsed_s += 0.5
        backoffs_s.append(elapsed_s)
        assert not detector.admits("w0", idempotent=False)
        assert detector.admits("w0", idempotent=True)
        trial = detector.begin("w0")
        assert not detector.admits("w0", idempotent=True)
        detector.finish(trial, FAILURE)
    assert backoffs_s[:6] == sorted(backoffs_s[:6])
    assert backoffs_s[0] <= 6.5
    assert 300.0 <= backoffs_s[-1] <= 375.5


def test_requests_sent_before_the_ejection_are_not_trials(detector, finish, clock_source):
    in_flight = [detector.begin("w0") for _ in range(4)]
    finish("w0", FAILURE, 5)
    clock_source.advance(7.0)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL
    for request in in_flight:
        detector.finish(request, SUCCESS)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL


def test_failures_of_requests_sent_before_the_ejection_do_not_eject_again(
    detector, finish, clock_source
):
    in_flight = [detector.begin("w0") for _ in range(9)]
    finish("w0", FAILURE, 5)
    clock_source.advance(7.0)
    finish("w0", SUCCESS, 3)
    assert detector.status("w0") is EjectionStatus.ADMITTED
    for request in in_flight:
        detector.finish(request, FAILURE)
    assert detector.status("w0") is EjectionStatus.ADMITTED


def test_a_late_trial_does_not_fail_the_next_one(detector, finish, clock_source):
    finish("w0", FAILURE, 5)
    clock_source.advance(7.0)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL
    first, late = detector.begin("w0"), detector.begin("w0")
    detector.finish(first, FAILURE)
    clock_source.advance(14.0)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL
    trial = detector.begin("w0")
    detector.finish(late, FAILURE)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL
    assert not detector.admits("w0", idempotent=True)
    detector.finish(trial, SUCCESS)
    finish("w0", SUCCESS, 2)
    assert detector.status("w0") is EjectionStatus.ADMITTED


def test_successful_trials_readmit_a_worker(detector, finish, clock_source):
    finish("w0", FAILURE, 5)
    clock_source.advance(7.0)
    finish("w0", SUCCESS, 2)
    assert detector.status("w0") is EjectionStatus.ON_TRIAL
    finish("w0", SUCCESS)
    assert detector.status("w0") is EjectionStatus.ADMITTED


def test_new_incarnation_is_not_affected_by_outcomes_of_the_old_one(detector, finish):
    in_flight = [detector.begin("w0") for _ in range(9)]
    finish("w0", FAILURE, 5)
    detector.add("w0", 2)
    for request in in_flight:
        detector.finish(request, FAILURE)
    assert detector.status("w0") is EjectionStatus.ADMITTED


def test_failures_increase_the_load_before_ejection(detector, finish):
    finish("w0", FAILURE, 4)
    finish("w1", SUCCESS, 4)
    assert detector.load("w0", 0, 8) > detector.load("w1", 7, 8)
