"""Tests of runs of gangs: a lead that can't be reached for a while loses nothing."""

import random

import pytest
import trio
import trio.testing

from papayaspar_entry import gang_runs, job_table
from papayaspar_events import journal, metrics
from papayaspar_model import causality, clock, errors, work, workers
from papayaspar_placement import durations, ends, entitlements
from papayaspar_slots import claims, launches, messages, peers, terms

UNREACHABLE_S = 6.0
FENCE = claims.Fence("job-1", 7)


class FakeAgents(peers.GangAgents):
    """A lead that is out of reach at first, and whose gang then ends well."""

    def __init__(self):
        self.cancelled = []

    async def inquire(self, worker, inquiry):
        """Answer once reachable: running first, then done."""
        if trio.current_time() < UNREACHABLE_S:
            raise errors.PeerError("no stream")
        state = messages.GangState.RUNNING
        if trio.current_time() > 2 * UNREACHABLE_S:
            state = messages.GangState.DONE
        await trio.sleep(inquiry.wait_s)
        return messages.GangStatus(FENCE, state, 1, 1, 5.0, 0.0)

    async def cancel(self, worker, fence):
        """Remember that the gang was ended."""
        self.cancelled.append(fence)
        return messages.GangStatus(fence, messages.GangState.CANCELLED, 1, 1, 5.0, 0.0)

    async def reserve(self, worker, claim):
        """Not used here."""

    async def unreserve(self, worker, fence):
        """Not used here."""

    async def launch(self, worker, launch):
        """Not used here."""

    async def acknowledge(self, worker, fence):
        """Not used here."""

    async def inquire_part(self, worker, fence):
        """Know nothing."""
        raise errors.PeerError("no stream")


@pytest.fixture
def agents():
    return FakeAgents()


@pytest.fixture
def runs(agents):
    stamps = causality.HybridClock(clock.ManualClock(1.0))
    record = journal.Journal("entry-1", "dc-1", stamps, metrics.Metrics())
    times = terms.Terms()
    launcher = launches.Launcher("entry-1", agents, random.Random(1), times)
    expected = ends.EndEstimator(durations.DurationEstimator())
    return gang_runs.GangRuns(agents, launcher, expected, record, times)


def test_an_adopted_gang_whose_lead_is_out_of_reach_for_a_while_is_left_alone(runs, agents):
    shape = work.Shape(1, 8)
    job = work.Job("job-1", "t", "k", work.Urgency.NORMAL, shape, 60.0, True, True)
    known = job_table.KnownJob(job, 0.0, 0)
    place = workers.AcceleratorRange("w1", tuple(range(8)))
    running = entitlements.RunningGang(
        entitlements.GangName("job-1", 7), "t", (place,), True, True, 0.0, 60.0, "w1"
    )

    async def scenario():
        return await runs.adopt(known, running)

    end = trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert end.ended.state is work.JobState.DONE
    assert agents.cancelled == []
