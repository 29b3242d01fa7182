"""Tests of runs of gangs: a lead that is unreachable, and which ends count as failures."""

import pytest
import trio
import trio.testing

from papayaspar_entry import gang_runs, job_table
from papayaspar_estimates import quantiles
from papayaspar_model import errors, work, workers
from papayaspar_placement import completions, entitlements, preemptions, queues
from papayaspar_slots import claims, messages, peers

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
def runs(agents, make_runs):
    return make_runs(agents)


@pytest.fixture
def tracked():
    shape = work.Shape(2, 8)
    job = work.Job("job-1", "t", "k", work.Urgency.NORMAL, shape, 60.0, True, True)
    return job_table.TrackedJob(job, 0.0, 0)


@pytest.fixture
def launch(tracked):
    """Return a function that launches an attempt of the job and follows it to its result."""

    async def launch_on(runs):
        tasks = tuple(workers.AcceleratorRange(f"w{n}", tuple(range(8))) for n in range(2))
        plan = preemptions.PreemptionPlan(workers.Placement(tasks))
        decision = queues.Decision(tracked.job, plan, 0.0, False)
        result = await runs.launch(tracked, decision, runs.next_attempt())
        await trio.sleep(1.0)
        return result

    return launch_on


@pytest.fixture
def adopt(tracked):
    """Return a function that follows a run of the job that another entry launched."""

    async def adopt_by(runs, fence):
        held = tuple(workers.AcceleratorRange(f"w{n}", tuple(range(8))) for n in range(2))
        name = entitlements.GangName(fence.job_id, fence.attempt)
        running = entitlements.RunningGang(name, "t", held, True, True, 0.0, 60.0, "w0")
        return await runs.adopt(tracked, running)

    return adopt_by


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


def test_a_job_fails_with_the_last_of_its_failed_runs(make_runs, make_agents, launch):
    agents = make_agents(messages.GangState.FAILED)
    runs = make_runs(agents)

    async def scenario():
        for _ in range(gang_runs.FAILURES_MAX - 1):
            assert (await launch(runs)).ended is None
        return await launch(runs)

    result = trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert result.ended.state is work.JobState.FAILED
    assert result.ended.attempt == agents.launched[-1].attempt
    assert len(set(agents.launched)) == gang_runs.FAILURES_MAX


@pytest.mark.parametrize("state", [messages.GangState.LOST, messages.GangState.PREEMPTED])
def test_runs_that_end_for_other_reasons_are_no_failures(make_runs, make_agents, launch, state):
    agents = make_agents(state)
    runs = make_runs(agents)

    async def scenario():
        for _ in range(3 * gang_runs.FAILURES_MAX):
            assert (await launch(runs)).ended is None

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(set(agents.launched)) == 3 * gang_runs.FAILURES_MAX


def test_another_entry_that_follows_the_same_runs_adds_no_failures(
    make_runs, make_agents, launch, adopt
):
    """Entries that take each other for dead follow the same runs of a job."""
    agents = make_agents(messages.GangState.FAILED)
    first, second = make_runs(agents), make_runs(agents)

    async def scenario():
        for _ in range(gang_runs.FAILURES_MAX - 1):
            assert (await launch(first)).ended is None
            assert (await adopt(second, agents.launched[-1])).ended is None
        last = await launch(first)
        assert last.ended.state is work.JobState.FAILED
        assert (await adopt(second, agents.launched[-1])).ended == last.ended

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    ("states", "observed"),
    [
        ((messages.GangState.DONE,), 1),
        ((messages.GangState.PREEMPTED, messages.GangState.DONE), 0),
        ((messages.GangState.LOST, messages.GangState.DONE), 0),
    ],
)
def test_run_time_of_a_job_is_observed_only_if_one_run_did_all_its_work(
    make_runs, make_agents, launch, tracked, states, observed
):
    """The last run of a job that resumed from a checkpoint did only a part of the work."""
    run_times = quantiles.DurationEstimator()
    estimator = completions.CompletionEstimator(run_times)
    runs = make_runs(make_agents(*states), estimator)

    async def scenario():
        for _ in states:
            estimator.record_start(tracked.job)
            result = await launch(runs)
        assert result.ended.state is work.JobState.DONE

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(run_times) == observed
