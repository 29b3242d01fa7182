"""Tests of runs of gangs: a lead that is temporarily unreachable."""

import random

import pytest
import trio
import trio.testing

from papayaspar_entry import gang_runs, job_table
from papayaspar_events import journal, metrics
from papayaspar_model import causality, clock, errors, work, workers
from papayaspar_placement import completions, durations, entitlements
from papayaspar_slots import claims, launches, messages, peers, timings

UNREACHABLE_S = 6.0
FENCE = claims.Fence("job-1", 7)


class FakeAgents(peers.GangAgents):
    """Lead that is unreachable at first, and whose gang then completes successfully."""

    def __init__(self):
        self.cancelled = []

    async def inquire(self, worker, inquiry):
        """Fail while unreachable; then report the gang as running, later as done."""
        if trio.current_time() < UNREACHABLE_S:
            raise errors.PeerError("no stream")
        state = messages.GangState.RUNNING
        if trio.current_time() > 2 * UNREACHABLE_S:
            state = messages.GangState.DONE
        await trio.sleep(inquiry.wait_s)
        return messages.GangStatus(FENCE, state, 1, 1, 5.0, 0.0)

    async def cancel(self, worker, fence):
        """Record the cancelled gang."""
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
        """Fail: the agent is unreachable."""
        raise errors.PeerError("no stream")


@pytest.fixture
def agents():
    return FakeAgents()


@pytest.fixture
def runs(agents):
    hybrid_clock = causality.HybridClock(clock.ManualClock(1.0))
    event_journal = journal.Journal("entry-1", "dc-1", hybrid_clock, metrics.Metrics())
    times = timings.Timings()
    launcher = launches.Launcher("entry-1", agents, random.Random(1), times)
    estimator = completions.CompletionEstimator(durations.DurationEstimator())
    return gang_runs.GangRuns(agents, launcher, estimator, event_journal, times)


def test_adopted_gang_is_not_cancelled_while_its_lead_is_unreachable(runs, agents):
    shape = work.Shape(1, 8)
    job = work.Job("job-1", "t", "k", work.Urgency.NORMAL, shape, 60.0, True, True)
    tracked = job_table.TrackedJob(job, 0.0, 0)
    accelerators = workers.AcceleratorRange("w1", tuple(range(8)))
    running = entitlements.RunningGang(
        entitlements.GangName("job-1", 7), "t", (accelerators,), True, True, 0.0, 60.0, "w1"
    )

    async def scenario():
        return await runs.adopt(tracked, running)

    result = trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert result.ended.state is work.JobState.DONE
    assert agents.cancelled == []
