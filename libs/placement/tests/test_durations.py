"""Tests of run time estimates."""

import random

import attrs
import pytest

from papayaspar_estimates import quantiles


@pytest.fixture
def estimator():
    return quantiles.DurationEstimator(max_kinds=3)


def test_steady_ratio_to_declared_run_time_is_applied(estimator, job_of):
    rng = random.Random(5)
    for number in range(100):
        declared_s = rng.uniform(10, 1000)
        estimator.observe(job_of(f"j{number}", run_time_s=declared_s), declared_s * 7)
    assert estimator.estimate_s(job_of("j", run_time_s=50.0)) == pytest.approx(350, rel=0.05)


def test_uninformative_declared_run_time_is_replaced_by_observations(estimator, job_of):
    rng = random.Random(5)
    for number in range(100):
        estimator.observe(job_of(f"j{number}", run_time_s=rng.uniform(10, 1000)), 60.0)
    assert estimator.estimate_s(job_of("j", run_time_s=900.0)) == pytest.approx(60, rel=0.05)


def test_declared_run_time_is_used_until_enough_observations(estimator, job_of):
    estimator.observe(job_of("j"), 9.0)
    assert estimator.estimate_s(job_of("j", run_time_s=40.0)) == 40.0


def test_number_of_kinds_is_bounded(estimator, job_of):
    for number in range(20):
        estimator.observe(attrs.evolve(job_of("j"), kind=f"kind-{number}"), 1.0)
    assert len(estimator) == 3


def test_overdue_job_is_assumed_to_be_half_done(estimator, job_of):
    assert estimator.remaining_s(job_of("j", run_time_s=10.0), 4.0) == 6.0
    assert estimator.remaining_s(job_of("j", run_time_s=10.0), 30.0) == 30.0
