"""Shared fixtures: entries' jobs and their runs on scripted agents."""

import random
import types

import pytest
import trio

from papayaspar_entry import gang_runs, job_manager
from papayaspar_estimates import quantiles
from papayaspar_events import journal, metrics
from papayaspar_model import causality, clock, errors, rulesets, signals, workers
from papayaspar_placement import completions, fleet, queues, shape_keeping
from papayaspar_slots import launches, messages, peers, timings


class ScriptedAgents(peers.GangAgents):
    """Agents whose gangs end in given states; the first answer about each end is lost.

    :param states: states in which the gangs end, in turn; the last one stays.
    :param run_s: time that each gang runs, in seconds.
    :param safe_after_s: time from a gang's end until no part can be running, in seconds.
    """

    def __init__(self, *states, run_s=0.0, safe_after_s=0.0):
        self.states = states
        self.run_s = run_s
        self.safe_after_s = safe_after_s
        self.ends_told = []
        self.launched = []
        self.ends_s = []
        self.lost_answers = set()

    async def launch(self, worker, launch):
        """Record the launched attempt."""
        self.launched.append(launch.fence)
        self.ends_s.append(trio.current_time() + self.run_s)
        return messages.GangStatus(launch.fence, messages.GangState.ARMING, 2, 0, 0.0, None)

    async def inquire(self, worker, inquiry):
        """Return the state of the gang after a wait for its end, or lose the answer."""
        number = self.launched.index(inquiry.fence)
        remaining_s = max(0.0, self.ends_s[number] - trio.current_time())
        await trio.sleep(min(inquiry.wait_s, remaining_s))
        if remaining_s > inquiry.wait_s:
            return messages.GangStatus(inquiry.fence, messages.GangState.RUNNING, 2, 2, 1.0, None)
        if inquiry.fence not in self.lost_answers:
            self.lost_answers.add(inquiry.fence)
            raise errors.PeerError("the stream was lost", ran=errors.Ran.UNKNOWN)
        state = self.states[min(number, len(self.states) - 1)]
        self.ends_told.append(inquiry.fence)
        return messages.GangStatus(inquiry.fence, state, 2, 2, 40.0, self.safe_after_s)

    async def cancel(self, worker, fence):
        """Return the status of an unknown gang."""
        return messages.GangStatus(fence, messages.GangState.CANCELLED, 0, 0, 0.0, 0.0)

    async def reserve(self, worker, claim):
        """Grant everything."""

    async def unreserve(self, worker, fence):
        """Do nothing."""

    async def acknowledge(self, worker, fence):
        """Do nothing."""

    async def inquire_part(self, worker, fence):
        """Fail: the agent is unreachable."""
        raise errors.PeerError("no stream")

    async def preempt(self, worker, fence):
        """Do nothing."""


@pytest.fixture
def make_agents():
    return ScriptedAgents


@pytest.fixture
def make_journal():
    """Return a function that makes the event journal of one entry."""

    def make(name="entry-1"):
        hybrid_clock = causality.HybridClock(clock.LoopClock())
        return journal.Journal(name, "dc-1", hybrid_clock, metrics.Metrics())

    return make


@pytest.fixture
def make_runs(make_journal):
    """Return a function that makes the runs of one entry; the agents are shared by all entries."""

    def make(agents, estimator=None):
        times = timings.Timings()
        launcher = launches.Launcher("entry-1", agents, random.Random(1), times)
        estimator = estimator or completions.CompletionEstimator(quantiles.DurationEstimator())
        return gang_runs.GangRuns(agents, launcher, estimator, make_journal(), times)

    return make


@pytest.fixture
def make_manager(make_runs, make_journal):
    """Return a function that makes the job manager of an entry that sees itself alone.

    It must be called in virtual time. The entry learns run times into ``run_times``, and its view
    of the fleet has reports of two free workers unless another one is given.
    """

    def make(log, agents, run_times=None, view=None):
        if view is None:
            view = fleet.FleetView()
        for name in ("w0", "w1"):
            identity = workers.WorkerIdentity(name, 1, "r", "dc", "region")
            view.observe(workers.WorkerReport(identity, workers.Capacity(), 1, 0, False), 0.0)
        rules = types.SimpleNamespace(
            current=rulesets.RuleSet(revision=1, teams=(rulesets.Team("t", 1),)),
            changes=signals.ChangeSignal(),
        )
        homes = types.SimpleNamespace(packed=types.SimpleNamespace(homes=()))
        links = types.SimpleNamespace(live_addresses=("e1",), own_address="e1")
        if run_times is None:
            run_times = quantiles.DurationEstimator()
        estimator = completions.CompletionEstimator(run_times)
        queue = queues.JobQueue(shape_keeping.ShapeKeeping(estimator), estimator)
        return job_manager.JobManager(
            log,
            rules,
            homes,
            links,
            view,
            queue,
            make_runs(agents, estimator),
            make_journal(),
            clock.LoopClock(),
        )

    return make
