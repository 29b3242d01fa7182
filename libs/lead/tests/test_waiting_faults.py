"""Units that wait too long: faults of docs/notes/waiting.md, and open ones that the model excludes.

Each test is one fault, on the simulation that the model uses. The bounds
are the callers': 3 s beside room for twice the demand, and ``reclaim_ms`` for guaranteed work.
"""

import pytest

from papayaspar_jobs import specs
from papayaspar_scheduling import health

from . import simulated_workers, waiting_liveness, waiting_simulation

pytestmark = pytest.mark.anyio

URGENT, NORMAL, BULK = waiting_simulation.QUEUES
ONE = specs.Resources(1000, 1000, 1)
# Longest time that a test waits for what it needs, in seconds.
WAIT_LIMIT_S = 120.0
HOUR_MS = 3_600_000
SPECIAL_NODE, SECOND_SPECIAL_NODE, OTHER_NODE, LAST_NODE, _ = simulated_workers.NODES
SPECIAL = simulated_workers.SPECIAL


def _keep(simulation, *nodes):
    """Let all workers leave but those on some VMs."""
    for node, worker in simulation.workers.items():
        if node not in nodes:
            simulation.leave(worker)
    simulation.tick()


def _pass(simulation, seconds):
    for _ in range(round(seconds / waiting_simulation.TICK_S)):
        simulation.tick()


def _wait_until(simulation, condition):
    """Let time pass until a condition holds."""
    for _ in range(round(WAIT_LIMIT_S / waiting_simulation.TICK_S)):
        if condition():
            return
        simulation.tick()
    raise AssertionError("the condition does not hold")


def _submit(simulation, step, queue=NORMAL, team="other", payload=""):
    return simulation.submit(step, queue, team, payload)


def _fill_special(simulation):
    """Fill the workers with the label with tasks that last."""
    for node in simulated_workers.SPECIAL_NODES:
        if simulation.workers[node].incarnation is None:
            continue
        full = specs.Step(
            1, simulated_workers.CAPACITY, HOUR_MS, is_lasting=True, required_label=SPECIAL
        )
        _submit(simulation, full, BULK)
    _pass(simulation, 1.0)


def _is_assigned(simulation, job_id):
    active = simulation.work.job(job_id)
    return active is not None and active.progress.is_active


def _start_s(simulation, job_id, longest_s):
    """Return after which time a job has started, in seconds; infinite if it has not."""
    submitted_s = simulation.now_s
    while simulation.now_s - submitted_s < longest_s:
        simulation.tick()
        if _is_assigned(simulation, job_id):
            return simulation.now_s - submitted_s
    return float("inf")


# Guards against a team whose tasks fail at once on every worker, and which so ejects all of them
# for another team (F1).
@pytest.mark.xfail(strict=False, reason="KNOWN-RED.txt: one team's failures eject all workers (F1)")
async def test_failures_of_one_team_keep_no_worker_from_another(simulation):
    for _ in range(2):
        _submit(simulation, specs.Step(5, simulated_workers.CAPACITY, 60_000), payload="bad")
        _pass(simulation, 2.0)
    job_id = _submit(simulation, specs.Step(1, ONE, 60_000), URGENT, "guaranteed")
    assert _start_s(simulation, job_id, 60.0) <= waiting_liveness.WAIT_MAX_S


# Guards against two failures an hour apart, each after progress, that eject a worker (F2).
async def test_failures_an_hour_apart_eject_no_worker(simulation):
    _keep(simulation, SPECIAL_NODE)
    for _ in range(2):
        _submit(simulation, specs.Step(1, ONE, 4000), payload="late")
        _pass(simulation, 5.0)
        simulation.clock.advance(HOUR_MS / waiting_simulation.MILLISECONDS_PER_SECOND)
        _pass(simulation, 5.0)
    assert simulation.work.outcomes(SPECIAL_NODE).ejections == 0


# Guards against tasks that last and fail at once: their trials are the only ones, and with each
# failure the worker's pause begins again for all others (F4).
async def test_tasks_that_fail_again_and_again_keep_no_other_from_a_worker(simulation):
    _keep(simulation, SPECIAL_NODE, OTHER_NODE)
    _submit(
        simulation, specs.Step(1, ONE, 1000, is_lasting=True, required_label=SPECIAL), payload="bad"
    )
    _pass(simulation, 20.0)
    job_id = _submit(simulation, specs.Step(1, ONE, 60_000, required_label=SPECIAL))
    assert _start_s(simulation, job_id, 60.0) <= waiting_liveness.WAIT_MAX_S


# Guards against a unit with one failed run that waits for its estimate beside an idle worker on
# trial, which nobody else tries, while the other worker that could hold it is full (F5).
async def test_unit_that_has_failed_does_not_wait_beside_an_idle_worker_on_trial(simulation):
    nodes = (OTHER_NODE, LAST_NODE)
    _keep(simulation, SPECIAL_NODE, SECOND_SPECIAL_NODE, *nodes)
    _fill_special(simulation)
    for node in nodes:
        simulation.workers[node].is_failing = True
    step = specs.Step(1, simulated_workers.CAPACITY, HOUR_MS)
    first_id, second_id = (_submit(simulation, step, BULK) for _ in nodes)
    _wait_until(simulation, lambda: all(simulation.work.outcomes(node).failed_s for node in nodes))
    simulation.cancel(first_id)
    simulation.leave(simulation.workers[LAST_NODE])
    simulation.workers[OTHER_NODE].is_failing = False
    _pass(simulation, health.TRIAL_PAUSE_S)
    assert not _is_assigned(simulation, second_id)
    assert _start_s(simulation, second_id, 60.0) <= waiting_liveness.WAIT_MAX_S


# Guards against a unit that one worker refused to start and that never runs there again, as long
# as a worker that is full for ever could hold it if idle (F6).
async def test_unit_whose_start_was_refused_runs_on_the_worker_that_is_well_again(simulation):
    _keep(simulation, SPECIAL_NODE, OTHER_NODE)
    _fill_special(simulation)
    refusing = simulation.workers[OTHER_NODE]
    refusing.is_refusing = True
    job_id = _submit(simulation, specs.Step(1, ONE, HOUR_MS))
    _pass(simulation, 1.0)
    refusing.is_refusing = False
    assert _start_s(simulation, job_id, 60.0) <= waiting_liveness.WAIT_MAX_S


# Guards against a unit that never runs again on the worker on which a run of it failed, which is
# well and idle, as long as a worker that is full for ever could hold it if idle; a new lead knows
# of the failure from the record alone.
@pytest.mark.parametrize("count", [1, 4])
@pytest.mark.parametrize("has_new_lead", [False, True])
async def test_unit_that_has_failed_runs_again_beside_a_full_worker(
    simulation, count, has_new_lead
):
    _keep(simulation, SPECIAL_NODE, OTHER_NODE)
    _fill_special(simulation)
    failing = simulation.workers[OTHER_NODE]
    failing.is_failing = True
    job_id = _submit(simulation, specs.Step(count, ONE, HOUR_MS, is_gang=True))
    _wait_until(simulation, lambda: simulation.work.outcomes(OTHER_NODE).failed_s)
    failing.is_failing = False
    assert not _is_assigned(simulation, job_id)
    if has_new_lead:
        simulation.lose_lead(stored_count=count, gap_s=0.0)
    longest_s = health.EJECTION_S + waiting_liveness.WAIT_MAX_S
    assert _start_s(simulation, job_id, 60.0) <= longest_s


# Guards against a unit that is sent to a worker that refuses it again and again, and never to the
# other one, on which it failed once, and which is well and idle.
@pytest.mark.parametrize(
    ("refusing", "failing"), [(OTHER_NODE, LAST_NODE), (LAST_NODE, OTHER_NODE)]
)
async def test_unit_that_one_worker_refuses_for_ever_runs_on_the_other(
    simulation, refusing, failing
):
    _keep(simulation, refusing, failing)
    simulation.workers[refusing].is_refusing = simulation.workers[failing].is_failing = True
    job_id = _submit(simulation, specs.Step(1, ONE, HOUR_MS))
    _wait_until(simulation, lambda: simulation.work.outcomes(failing).failed_s)
    simulation.workers[failing].is_failing = False
    _pass(simulation, health.EJECTION_S + waiting_liveness.WAIT_MAX_S)
    (task,) = simulation.work.tasks_on_node(failing)
    assert task.key.job_id == job_id


# Guards against a worker on trial that takes one unit for minutes, since that is too long to show
# progress early, while others wait beside it.
async def test_long_work_on_a_worker_on_trial_keeps_no_other_from_it(simulation):
    _keep(simulation, SPECIAL_NODE, SECOND_SPECIAL_NODE, OTHER_NODE)
    _fill_special(simulation)
    simulation.workers[OTHER_NODE].is_failing = True
    failed_id = _submit(simulation, specs.Step(1, ONE, HOUR_MS))
    _wait_until(simulation, lambda: simulation.work.outcomes(OTHER_NODE).failed_s)
    simulation.cancel(failed_id)
    simulation.workers[OTHER_NODE].is_failing = False
    job_ids = [_submit(simulation, specs.Step(1, ONE, HOUR_MS)) for _ in range(2)]
    for job_id in job_ids:
        longest_s = health.TRIAL_PAUSE_MAX_S + waiting_liveness.WAIT_MAX_S
        assert _start_s(simulation, job_id, 60.0) <= longest_s


# Guards against guaranteed urgent work that never starts beside tasks that last, of another team
# (F13).
@pytest.mark.xfail(strict=False, reason="KNOWN-RED.txt: tasks that last are never preempted (F13)")
async def test_guaranteed_work_starts_beside_tasks_that_last(simulation):
    lasting = specs.Step(5, simulated_workers.CAPACITY, 1000, is_lasting=True)
    _submit(simulation, lasting, BULK)
    _pass(simulation, 10.0)
    job_id = _submit(simulation, specs.Step(1, ONE, 4000), URGENT, "guaranteed")
    assert _start_s(simulation, job_id, 30.0) <= waiting_liveness.RECLAIM_MAX_S


# Guards against guaranteed urgent work that waits beside other work whose starts have no answer
# yet, since that is never preempted (row U6).
@pytest.mark.xfail(strict=False, reason="KNOWN-RED.txt: starting units are never preempted (U6)")
async def test_guaranteed_work_starts_beside_units_that_are_being_started(simulation):
    simulation.start_delay_s = 8.0
    _submit(simulation, specs.Step(5, simulated_workers.CAPACITY, HOUR_MS), BULK)
    _pass(simulation, 1.0)
    job_id = _submit(simulation, specs.Step(1, ONE, 4000), URGENT, "guaranteed")
    assert _start_s(simulation, job_id, 30.0) <= waiting_liveness.RECLAIM_MAX_S


# Guards against a run that counts as stalled as soon as it is listed, and ejects its worker: its
# assignment waited for the store, and the answer to its start was lost, so that its start time is
# that of the assignment (found by the model).
async def test_run_whose_start_was_not_answered_after_an_outage_is_not_stalled(simulation):
    _keep(simulation, SPECIAL_NODE)
    _pass(simulation, 5.0)
    simulation.store_away_until_s = simulation.now_s + 4.0
    simulation.workers[SPECIAL_NODE].loses_answers = True
    _submit(simulation, specs.Step(1, ONE, 60_000))
    _pass(simulation, 6.0)
    assert not simulation.work.outcomes(SPECIAL_NODE).is_ejected(simulation.now_s)
