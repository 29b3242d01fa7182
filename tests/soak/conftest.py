"""Fixtures of the plays over real processes."""

import pytest


@pytest.fixture
def anyio_backend():
    """Run the tests on asyncio, as the programs do."""
    return "asyncio"
