"""Tests of the components of the admission queue."""

import random

import pytest

from papayaspar_admission import drains, fairness, heaps, reserves
from papayaspar_estimates import averages


def test_keyed_heap_matches_sorted_order():
    rng = random.Random(3)
    heap = heaps.KeyedHeap()
    expected = {}
    for _ in range(3000):
        key = rng.randrange(50)
        if rng.random() < 0.3:
            heap.discard(key)
            expected.pop(key, None)
        else:
            expected[key] = rng.random()
            heap.put(key, expected[key])
        assert heap.peek() == min(expected, key=expected.get, default=None)
        assert len(heap) == len(expected)
    assert len(heap._heap) <= 2 * 50 + heaps.SLACK_ENTRIES


def test_reactivated_flow_has_no_credit_and_does_not_wait():
    flows = fairness.FairQueue()
    flows.activate("busy", 1.0, 1.0)
    for _ in range(100):
        flows.charge("busy", 1.0)
    flows.activate("fresh", 1.0, 1.0)
    served = []
    for _ in range(10):
        served.append(flows.peek())
        flows.charge(served[-1], 1.0)
    assert served[0] == "fresh"
    assert served.count("fresh") in (5, 6)


def test_idle_flows_are_dropped():
    flows = fairness.FairQueue()
    for number in range(10_000):
        flows.activate(number, 1.0, 1.0)
        flows.charge(number, 1.0)
        flows.deactivate(number)
    flows.activate("last", 1.0, 1.0)
    for _ in range(3):
        flows.charge("last", 1.0)
    assert len(flows) == 1


def test_durations_are_averaged_and_kinds_are_bounded():
    expected = averages.Durations(kinds_max=10)
    for number in range(100):
        expected.observe(f"kind-{number}", 5.0)
    assert len(expected) == 10
    expected.observe("kind-99", 7.0)
    assert expected.expected_s("kind-99") == 6.0
    assert expected.expected_s("kind-0") == averages.DEFAULT_DURATION_S


def test_wait_estimate_increases_while_a_queue_is_stalled():
    drain = drains.DrainRate()
    assert drain.wait_s(0.0, 5) is None
    for now_s in range(5):
        drain.record_start(float(now_s), backlogged=True)
    assert drain.wait_s(4.5, 3) == pytest.approx(3.0)
    assert drain.wait_s(14.0, 3) == pytest.approx(30.0)


def test_reserve_follows_demand_and_decays():
    reserve = reserves.Reserve()
    reserve.update("a", in_flight=6, waiting=0, guaranteed=8, now_s=0.0)
    reserve.update("a", in_flight=0, waiting=0, guaranteed=8, now_s=1.0)
    assert reserve.total(100, 1.0) == 6
    assert reserve.total(20, 1.0) == 2
    assert reserve.total(9, 1.0) == 0
    assert reserve.total(100, reserves.PEAK_HOLD_S + 100) == reserves.TEAM_MIN_SLOTS
    reserve.remove("a")
    assert reserve.total(100, 200.0) == 0
