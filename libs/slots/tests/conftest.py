"""Shared fixtures of the tests of slots and gangs."""

import pytest

from papayaspar_model import clock, rulesets, workers
from papayaspar_slots import claims, ledger


@pytest.fixture
def manual_clock():
    return clock.ManualClock(1000.0)


@pytest.fixture
def home():
    """Return a home of team ``anchor`` on accelerators 0 to 3 of worker ``w0``."""
    tasks = (workers.AcceleratorRange("w0", (0, 1, 2, 3)),)
    return rulesets.Home("anchor-4", "anchor", 0, tasks)


@pytest.fixture
def make_ledger(manual_clock, home):
    def make(previous_life_s=0.0):
        capacity = workers.Capacity(slots=2, accelerators=8)
        made = ledger.Ledger("w0", capacity, manual_clock, previous_life_s)
        made.set_homes((home,), 1)
        return made

    return make


@pytest.fixture
def make_claim():
    def make(job="job-1", attempt=1, accelerators=(0,), **changes):
        fields = {
            "fence": claims.Fence(job, attempt),
            "owner": "entry-1",
            "team": "guest",
            "tasks": (claims.TaskShare(0, tuple(accelerators)),),
            "lead_worker": "w0",
            "stoppable": True,
            "checkpoint": True,
            "run_time_s": 60.0,
        }
        return claims.Claim(**(fields | changes))

    return make


@pytest.fixture
def anchor_claim(make_claim):
    """Return a claim on the whole home of the guarantee."""
    return make_claim("job-anchor", accelerators=(0, 1, 2, 3), team="anchor", guarantee="anchor-4")
