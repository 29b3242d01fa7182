"""Tests of identifiers and idempotency keys."""

import random
import uuid

import pytest

from papayaspar_model import identifiers


@pytest.fixture
def rng():
    return random.Random(7)


def test_new_ids_are_unique(rng):
    new_ids = {identifiers.new_id("req", rng) for _ in range(1000)}
    assert len(new_ids) == 1000


def test_key_time_is_read_from_a_version_7_uuid():
    value = (1_700_000_000_123 << 80) | (7 << 76) | (2 << 62) | 5
    assert identifiers.key_creation_time_s(str(uuid.UUID(int=value))) == 1_700_000_000.123


@pytest.mark.parametrize("key", ["", "order-17", str(uuid.UUID(int=4))])
def test_key_time_is_none_for_other_keys(key):
    assert identifiers.key_creation_time_s(key) is None
