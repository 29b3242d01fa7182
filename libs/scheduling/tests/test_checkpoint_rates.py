"""Checkpoints that come faster than the store takes them: the dearest work is stored most often.

The load is a pool full of checkpointed tasks of uneven size, which loses power without notice.
"""

import attrs
import pytest

from papayaspar_jobs import specs
from papayaspar_scheduling import checkpoint_rates, stop_costs

SMALL = specs.Step(1, specs.Resources(2_800, 1000, 1), 16_000, is_checkpointed=True)
LARGE = specs.Step(1, specs.Resources(26_000, 1000, 8), 16_000, is_checkpointed=True)


def _rates(*counted):
    rates = checkpoint_rates.CheckpointRates()
    for step, count in counted:
        for _ in range(count):
            rates.add(step)
    return rates


def test_few_tasks_are_stored_at_the_shortest_interval():
    rates = _rates((SMALL, 100), (LARGE, 20))
    assert rates.interval_s(SMALL) == checkpoint_rates.INTERVAL_MIN_S
    assert rates.interval_s(LARGE) == checkpoint_rates.INTERVAL_MIN_S


def test_equal_tasks_share_the_rate_of_the_store():
    rates = _rates((SMALL, 2000))
    assert rates.interval_s(SMALL) == pytest.approx(2000 / checkpoint_rates.STORED_PER_S)


def test_store_is_not_asked_for_more_than_it_takes():
    rates = _rates((SMALL, 3000), (LARGE, 500))
    stored_per_s = 3000 / rates.interval_s(SMALL) + 500 / rates.interval_s(LARGE)
    assert stored_per_s <= checkpoint_rates.STORED_PER_S * 1.001


def test_loss_of_all_workers_repeats_less_than_with_equal_intervals():
    rates = _rates((SMALL, 3000), (LARGE, 500))
    equal_s = 3500 / checkpoint_rates.STORED_PER_S
    lost, lost_equal = 0.0, 0.0
    for step, count in ((SMALL, 3000), (LARGE, 500)):
        lost += count * stop_costs.cores(step) * rates.interval_s(step)
        lost_equal += count * stop_costs.cores(step) * equal_s
    assert lost < 0.8 * lost_equal


def test_ended_tasks_and_tasks_without_checkpoints_do_not_count():
    unsaved = attrs.evolve(SMALL, is_checkpointed=False)
    rates = _rates((SMALL, 1000), (unsaved, 5000))
    for _ in range(1000):
        rates.remove(SMALL)
    rates.remove(unsaved)
    assert rates.interval_s(SMALL) == checkpoint_rates.INTERVAL_MIN_S
