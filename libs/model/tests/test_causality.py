"""Tests of the hybrid logical clock."""

import pytest

from papayaspar_model import causality, clock


@pytest.fixture
def clock_source():
    return clock.ManualClock(1_000_000.0)


def test_effect_has_a_later_stamp_than_its_cause(clock_source):
    ahead_clock = causality.HybridClock(clock.ManualClock(1_000_060.0))
    behind_clock = causality.HybridClock(clock_source)
    cause = ahead_clock.tick()
    behind_clock.observe(cause)
    assert behind_clock.tick() > cause


def test_stamp_from_the_far_future_is_ignored(clock_source):
    hybrid_clock = causality.HybridClock(clock_source)
    hybrid_clock.observe(1 << 62)
    assert causality.stamp_wall_s(hybrid_clock.tick()) == 1_000_000.0
