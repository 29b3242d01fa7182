"""Tests of the hybrid logical clock."""

import pytest

from papayaspar_model import causality, clock


@pytest.fixture
def source():
    return clock.ManualClock(1_000_000.0)


def test_effect_has_a_later_stamp_than_its_cause(source):
    ahead = causality.HybridClock(clock.ManualClock(1_000_060.0))
    behind = causality.HybridClock(source)
    cause = ahead.tick()
    behind.observe(cause)
    assert behind.tick() > cause


def test_stamp_from_the_far_future_is_ignored(source):
    stamps = causality.HybridClock(source)
    stamps.observe(1 << 62)
    assert causality.stamp_wall_s(stamps.tick()) == 1_000_000.0
