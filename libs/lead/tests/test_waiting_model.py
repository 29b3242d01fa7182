"""Property test: what a lead starts, counts and lets wait, beside workers and teams that fail.

It plays random faults in virtual time on the real scheduler. Attempts count once for a run, nothing
starts on a worker that is known to be bad, and a unit starts within the callers' bounds where sound
workers have room for it. The open faults that `waiting_liveness` excludes by name have a test each
in `test_waiting_faults.py`. With ``WAITING_EXAMPLES=5000`` in its
environment, the test runs that many random examples; failing ones are printed with all steps.
"""

import os

import hypothesis
import loguru
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from papayaspar_events import journal
from papayaspar_jobs import specs

from . import simulated_workers, waiting_checks, waiting_liveness, waiting_simulation

pytestmark = pytest.mark.anyio

EXAMPLES = 150
STEPS = 30
TICKS_MAX = 24
JOBS_MAX = 4

NODE = st.sampled_from(simulated_workers.NODES)
RARELY = st.sampled_from([False, False, False, True])
ACCELERATORS = st.sampled_from([1, 2, 4, 8])
STEP = st.builds(
    specs.Step,
    st.sampled_from([1, 1, 2, 3, 4]),
    room=st.builds(specs.Resources, st.just(1000), st.just(1000), ACCELERATORS),
    estimate_ms=st.sampled_from([1000, 4000, 20_000, 60_000]),
    is_gang=st.booleans(),
    is_lasting=RARELY,
    required_label=st.sampled_from(["", "", simulated_workers.SPECIAL]),
)
QUEUE = st.sampled_from(waiting_simulation.QUEUES)
TEAM = st.sampled_from([team.name for team in waiting_simulation.TEAMS])
PAYLOAD = st.sampled_from(["", "", "", simulated_workers.BAD, simulated_workers.LATE])
JOBS = st.lists(st.tuples(STEP, QUEUE, TEAM, PAYLOAD), min_size=1, max_size=JOBS_MAX)
TICKS = st.integers(1, TICKS_MAX)
STORED_COUNT = st.integers(0, 5)
GAP_S = st.sampled_from([0.0, 0.5, 2.0])


class WaitingMachine(stateful.RuleBasedStateMachine):
    """Callers, workers and a network that do what they like."""

    def __init__(self):
        super().__init__()
        bad_workers = waiting_checks.BadWorkersCheck()
        self.checks = waiting_checks.Checks(
            waiting_checks.AttemptsCheck(), bad_workers, waiting_liveness.WaitingCheck(bad_workers)
        )
        self.simulation = waiting_simulation.Simulation(self.checks)
        self.checks.set_simulation(self.simulation)
        self.job_ids = []

    def worker(self, node):
        return self.simulation.workers[node]

    @stateful.initialize(jobs=JOBS)
    def first_jobs_are_submitted(self, jobs):
        self.jobs_are_submitted(jobs)

    @stateful.rule(jobs=JOBS)
    def jobs_are_submitted(self, jobs):
        for step, queue, team, payload in jobs:
            self.job_ids.append(self.simulation.submit(step, queue, team, payload))

    @stateful.rule(jobs=JOBS, ticks=TICKS)
    def jobs_are_submitted_and_run(self, jobs, ticks):
        self.jobs_are_submitted(jobs)
        self.time_passes(ticks)

    @stateful.precondition(lambda self: self.job_ids)
    @stateful.rule(pick=st.integers(0, 99))
    def job_is_cancelled(self, pick):
        self.simulation.cancel(self.job_ids.pop(pick % len(self.job_ids)))

    @stateful.rule(ticks=TICKS)
    def time_passes(self, ticks):
        for _ in range(ticks):
            self.simulation.tick()

    @stateful.rule(node=NODE)
    def worker_begins_to_fail(self, node):
        self.worker(node).is_failing = True

    @stateful.rule(nodes=st.lists(NODE, min_size=1, max_size=3), ticks=TICKS)
    def workers_fail_for_a_while(self, nodes, ticks):
        for node in nodes:
            self.worker_begins_to_fail(node)
        self.time_passes(ticks)
        for node in nodes:
            self.worker_recovers(node)

    @stateful.rule(node=NODE)
    def worker_begins_to_refuse(self, node):
        self.worker(node).is_refusing = True

    @stateful.rule(node=NODE)
    def worker_recovers(self, node):
        self.worker(node).is_failing = self.worker(node).is_refusing = False

    @stateful.rule(node=NODE)
    def worker_drains(self, node):
        self.simulation.drain(self.worker(node))

    @stateful.rule(node=NODE)
    def worker_leaves(self, node):
        self.simulation.leave(self.worker(node))

    @stateful.rule(node=NODE)
    def worker_joins(self, node):
        self.simulation.join(self.worker(node))

    @stateful.rule(node=NODE, ticks=TICKS)
    def stream_is_cut(self, node, ticks):
        self.worker(node).cut_until_s = self.simulation.now_s + ticks * waiting_simulation.TICK_S

    @stateful.rule(node=NODE)
    def answer_is_lost(self, node):
        self.worker(node).loses_answers = True

    @stateful.rule(ticks=TICKS)
    def store_is_away(self, ticks):
        away_s = ticks * waiting_simulation.TICK_S
        self.simulation.store_away_until_s = self.simulation.now_s + away_s

    @stateful.rule(delay_s=st.sampled_from([0.0, 0.5, 2.0]))
    def starts_take_time(self, delay_s):
        self.simulation.start_delay_s = delay_s

    @stateful.rule(stored_count=STORED_COUNT, gap_s=GAP_S)
    def lead_is_replaced(self, stored_count, gap_s):
        self.simulation.lose_lead(stored_count, gap_s)

    @stateful.rule(
        count=st.integers(2, 4), ticks=st.integers(1, 8), stored_count=STORED_COUNT, gap_s=GAP_S
    )
    def lead_is_replaced_beside_a_gang_that_fails(self, count, ticks, stored_count, gap_s):
        gang = specs.Step(count, simulated_workers.CAPACITY, 1000, is_gang=True)
        job = (gang, waiting_simulation.QUEUES[0], "other", simulated_workers.BAD)
        self.jobs_are_submitted_and_run([job], ticks)
        self.lead_is_replaced(stored_count, gap_s)

    @stateful.invariant()
    def a_moment_passes(self):
        self.simulation.tick()


@pytest.fixture
def options():
    """Return the settings, while the journal writes no lines."""
    examples = os.environ.get("WAITING_EXAMPLES")
    loguru.logger.disable(journal.__name__)
    yield hypothesis.settings(
        max_examples=int(examples or EXAMPLES),
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=examples is None,
        database=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    loguru.logger.enable(journal.__name__)


# The links of a lead can only be made in an event loop; nothing waits in it.
async def test_attempts_starts_and_waits_hold_in_any_order_of_events(options):
    stateful.run_state_machine_as_test(WaitingMachine, settings=options)
