"""Tests of concurrency limits and retry budgets."""

import pytest

from papayaspar_admission import budgets, limits
from papayaspar_model import clock, rulesets


@pytest.fixture
def limit():
    return limits.ConcurrencyLimit(slots=8, connections=64)


@pytest.fixture
def send_rounds(limit):
    """Return a function that sends full rounds of requests with the same result."""

    def send(count, signal, duration_s=1.0):
        for _ in range(count):
            acquired = 0
            while limit.try_acquire():
                acquired += 1
            for _ in range(acquired):
                limit.release(signal, "check", duration_s)

    return send


def test_initial_limit_is_the_number_of_slots(limit):
    assert [limit.try_acquire() for _ in range(9)] == [True] * 8 + [False]
    assert limit.free == 0


def test_limit_increases_slowly_up_to_the_connections(limit, send_rounds):
    send_rounds(4, limits.Signal.DONE)
    assert 8 <= limit.limit <= 12
    send_rounds(5000, limits.Signal.DONE)
    assert limit.limit == 64


def test_limit_decreases_when_the_target_refuses_and_recovers(limit, send_rounds):
    send_rounds(1, limits.Signal.BUSY)
    assert limit.limit == 6
    send_rounds(40, limits.Signal.BUSY)
    assert limit.limit == 1
    send_rounds(100, limits.Signal.DONE)
    assert limit.limit >= 8


def test_limit_decreases_when_the_target_slows_down(limit, send_rounds):
    send_rounds(3, limits.Signal.DONE, duration_s=1.0)
    previous_limit = limit.limit
    send_rounds(4, limits.Signal.DONE, duration_s=6.0)
    assert limit.limit < previous_limit


def test_failures_unrelated_to_load_do_not_change_the_limit(limit, send_rounds):
    send_rounds(10, limits.Signal.IGNORED)
    assert (limit.limit, limit.in_flight) == (8, 0)


@pytest.fixture
def clock_source():
    return clock.ManualClock()


def test_retry_budget_is_a_share_of_first_attempts_plus_a_floor(clock_source):
    budget = budgets.RetryBudget(clock_source, rulesets.RetryBudget("r", 0.1, 2.0))
    for _ in range(100):
        budget.record_request()
    assert sum(budget.try_spend() for _ in range(100)) in (11, 12)
    clock_source.advance(3600)
    assert sum(budget.try_spend() for _ in range(100)) == 2


def test_retry_budget_follows_changed_rules(clock_source):
    budget = budgets.RetryBudget(clock_source, rulesets.RetryBudget("r", 0.5, 10.0))
    budget.apply(rulesets.RetryBudget("r", 0.0, 0.0))
    budget.record_request()
    assert not budget.try_spend()
