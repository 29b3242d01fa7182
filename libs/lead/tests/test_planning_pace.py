"""Planning rounds of a lead whose agents report all the time.

The lead of 160 workers planned without a pause: each order passed through several coroutines, each
of which waited for a whole round, so that half of the jobs started later than after 0.9 s.
"""

import attrs
import pytest

from papayaspar_jobs import specs, tasks
from papayaspar_lead import scheduling
from papayaspar_runs import messages, workers

KEY = tasks.TaskKey("0" * 16, 0, 0, 0)


@pytest.fixture
def state() -> messages.AgentState:
    """Return the state of a ready worker with one run."""
    heartbeat = workers.Heartbeat(
        "w-1", "pool", workers.Condition.READY, specs.Resources(1000, 100, 1), ("a",), "r1-0", 1, 7
    )
    return messages.AgentState(
        "node-1",
        heartbeat,
        tasks.Incarnation("w-1", 7),
        is_answering=True,
        runs=(workers.RunStatus(KEY, 1, percent=10.0),),
    )


def test_progress_alone_needs_no_planning(state):
    newer = attrs.evolve(
        state,
        heartbeat=attrs.evolve(state.heartbeat, sequence=2, clock_ms=5),
        runs=(workers.RunStatus(KEY, 1, "checkpoint", 20.0, 3.0),),
        sequence=2,
    )
    assert not newer.has_more_than_progress(state)


@pytest.mark.parametrize(
    "changes",
    [
        {"ends": (workers.RunResult(1, KEY, 1, tasks.EndKind.DONE),)},
        {"runs": ()},
        {"runs": (workers.RunStatus(KEY, 2),)},
        {"is_answering": False},
        {"has_lapsed": True},
        {"incarnation": tasks.Incarnation("w-1", 8)},
        {"heartbeat": None},
    ],
)
def test_changes_that_may_free_or_take_capacity_need_planning(state, changes):
    assert attrs.evolve(state, **changes).has_more_than_progress(state)


def test_draining_worker_needs_planning(state):
    draining = attrs.evolve(state.heartbeat, condition=workers.Condition.DRAINING)
    assert attrs.evolve(state, heartbeat=draining).has_more_than_progress(state)


def test_results_that_were_reported_before_need_no_planning(state):
    ended = attrs.evolve(state, ends=(workers.RunResult(1, KEY, 1, tasks.EndKind.DONE),))
    assert not attrs.evolve(ended, sequence=2).has_more_than_progress(ended)


@pytest.mark.parametrize("round_s", [0.002, 0.02, 0.1])
def test_planning_leaves_time_for_orders(round_s):
    pause_s = scheduling.planning_pause_s(round_s)
    assert round_s / (round_s + pause_s) <= scheduling.PLAN_TIME_SHARE + 1e-9


def test_planning_pause_is_bounded():
    assert scheduling.planning_pause_s(10.0) == scheduling.PLAN_INTERVAL_S
