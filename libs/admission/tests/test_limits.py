"""Tests of concurrency limits and retry budgets."""

import pytest

from papayaspar_admission import budgets, limits
from papayaspar_model import clock, rulesets


@pytest.fixture
def limit():
    return limits.ConcurrencyLimit(slots=8, connections=64)


@pytest.fixture
def rounds(limit):
    """Send full rounds that all end alike."""

    def send(count, signal, duration_s=1.0):
        for _ in range(count):
            taken = 0
            while limit.try_acquire():
                taken += 1
            for _ in range(taken):
                limit.release(signal, "check", duration_s)

    return send


def test_a_limit_starts_at_the_slots_and_is_kept(limit):
    assert [limit.try_acquire() for _ in range(9)] == [True] * 8 + [False]
    assert limit.free == 0


def test_a_limit_grows_slowly_up_to_the_connections(limit, rounds):
    rounds(4, limits.Signal.DONE)
    assert 8 <= limit.limit <= 12
    rounds(5000, limits.Signal.DONE)
    assert limit.limit == 64


def test_a_limit_shrinks_when_the_target_refuses_and_recovers(limit, rounds):
    rounds(1, limits.Signal.BUSY)
    assert limit.limit == 6
    rounds(40, limits.Signal.BUSY)
    assert limit.limit == 1
    rounds(100, limits.Signal.DONE)
    assert limit.limit >= 8


def test_a_limit_shrinks_when_the_target_slows(limit, rounds):
    rounds(3, limits.Signal.DONE, duration_s=1.0)
    before = limit.limit
    rounds(4, limits.Signal.DONE, duration_s=6.0)
    assert limit.limit < before


def test_other_failures_leave_the_limit_alone(limit, rounds):
    rounds(10, limits.Signal.IGNORED)
    assert (limit.limit, limit.in_flight) == (8, 0)


@pytest.fixture
def time_source():
    return clock.ManualClock()


def test_a_retry_budget_is_a_share_of_fresh_requests_plus_a_floor(time_source):
    budget = budgets.RetryBudget(time_source, rulesets.RetryBudget("r", 0.1, 2.0))
    for _ in range(100):
        budget.record_request()
    assert sum(budget.try_spend() for _ in range(100)) in (11, 12)
    time_source.advance(3600)
    assert sum(budget.try_spend() for _ in range(100)) == 2


def test_a_retry_budget_follows_the_rules(time_source):
    budget = budgets.RetryBudget(time_source, rulesets.RetryBudget("r", 0.5, 10.0))
    budget.apply(rulesets.RetryBudget("r", 0.0, 0.0))
    budget.record_request()
    assert not budget.try_spend()
