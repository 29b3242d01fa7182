"""Order of urgent work while a wide job fills the fleet and short jobs arrive after it."""

import pytest

from papayaspar_scheduling import ordering

URGENT = ordering.Rank.URGENT


def _wait(cluster, make_step, estimate_ms, accepted_s, stretch=1.5, fixed_s=0.25):
    objective_s = stretch * estimate_ms / 1000.0 + fixed_s
    return cluster.add_waiting_unit(
        make_step(estimate_ms=estimate_ms),
        URGENT,
        objective_s=accepted_s + objective_s,
        worthless_after_s=2.0 * objective_s,
    )


def _first_served(cluster, order, now_s):
    return min(cluster.waiting, key=lambda demand: order.key(demand, now_s)).unit


@pytest.mark.parametrize("now_s", [102.5, 104.0, 106.0])
def test_late_short_check_is_served_before_long_work(cluster, make_step, now_s):
    """A check of 2 s waited 17 s and was worthless.

    Seen on the simulated day booth-cloud quiet-1, seed 774334777350.
    """
    _wait(cluster, make_step, 13_800, accepted_s=98.0)
    short = _wait(cluster, make_step, 2_000, accepted_s=100.0)
    assert _first_served(cluster, ordering.ByNextValueLoss(), now_s) is short


def test_work_in_time_is_served_before_late_work_that_would_make_it_late(cluster, make_step):
    """Checks in time waited behind long late work.

    Late work has only a fifth to a third of the value of work in time. Seen on the simulated day
    kowhai-spar trouble-2, seed 11.
    """
    _wait(cluster, make_step, 13_800, accepted_s=75.0)
    short = _wait(cluster, make_step, 2_000, accepted_s=100.0)
    assert _first_served(cluster, ordering.ByNextValueLoss(), 100.5) is short


def test_long_work_that_has_waited_is_served_before_a_new_short_check(cluster, make_step):
    long = _wait(cluster, make_step, 13_800, accepted_s=49.0)
    _wait(cluster, make_step, 2_000, accepted_s=100.0)
    assert _first_served(cluster, ordering.ByNextValueLoss(), 95.0) is long


def test_worthless_work_is_served_last(cluster, make_step):
    _wait(cluster, make_step, 2_000, accepted_s=80.0)
    useful = _wait(cluster, make_step, 13_800, accepted_s=100.0)
    assert _first_served(cluster, ordering.ByNextValueLoss(), 100.0) is useful
