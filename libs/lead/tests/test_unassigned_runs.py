"""Runs that a worker lists although the lead has not assigned them to it."""

import functools

import attrs
import pytest

from papayaspar_jobs import registries, specs, tasks
from papayaspar_runs import messages, workers
from papayaspar_store import records

pytestmark = pytest.mark.anyio

RUN_ON_THE_WORKER = 3
WHOLE_WORKER_STEP = specs.Step(1, specs.Resources(1000, 100, 8), 200)


def _key(spec):
    return tasks.TaskKey(spec.job_id, 0, 0, 0)


async def _start_by_hand(cluster, agent, spec, run):
    """Start a run of a job's first task on a worker, of which the lead knows nothing."""
    order = workers.StartOrder(_key(spec), run, "", "", agent.worker.clock_ms() + 6000, 0, "")
    await agent.worker.start(order)


async def _wait_succeeded(cluster, spec):
    await cluster.wait_until(
        lambda: cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED, timeout_s=15.0
    )


# Guards against a task that is started while another run of it is on a worker that lists it: the
# lead ordered the stop of that run and started the task elsewhere in the same moment (issue 32).
async def test_task_waits_for_the_end_of_a_run_that_a_worker_lists(start_cluster, make_job):
    spec = make_job(1, WHOLE_WORKER_STEP)
    async with start_cluster() as cluster:
        await cluster.add_agent("node-1")
        agent = await cluster.add_agent("node-2")
        agent.worker.run_time_s, agent.worker.stop_time_s = 60.0, 1.0
        await _start_by_hand(cluster, agent, spec, RUN_ON_THE_WORKER)
        entry = await cluster.add_entry("entry-1")
        await cluster.wait_until(lambda: entry.election.is_lead)
        scheduler = entry.election.scheduler
        await cluster.wait_until(lambda: scheduler.attached_nodes() == ("node-1", "node-2"))
        cluster.submit(spec)
        agent.worker.run_time_s = 0.2
        await _wait_succeeded(cluster, spec)
        assert cluster.run_recorder.overlaps == []
        assert cluster.run_recorder.restarts == []
        assert cluster.stored_task(_key(spec)).run > RUN_ON_THE_WORKER


# Guards against an assignment that is sent although a worker that was attached meanwhile lists
# another run of the task (issue 32).
async def test_task_that_is_being_started_is_not_sent_beside_a_listed_run(start_cluster, make_job):
    spec = make_job(1, WHOLE_WORKER_STEP)
    async with start_cluster() as cluster:
        entry = await cluster.add_entry("entry-1")
        await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: entry.election.is_lead)
        scheduler = entry.election.scheduler
        await cluster.wait_until(lambda: scheduler.attached_nodes() == ("node-2",))
        entry.store.responses_to_lose[records.TASKS_PARTITION] = 4
        cluster.submit(spec)
        await cluster.wait_until(lambda: bool(cluster.stored_task(_key(spec)).run))
        late = await cluster.add_agent("node-1")
        late.worker.run_time_s, late.worker.stop_time_s = 60.0, 5.0
        await _start_by_hand(cluster, late, spec, RUN_ON_THE_WORKER)
        late.worker.run_time_s = 0.2
        await _wait_succeeded(cluster, spec)
        assert cluster.run_recorder.overlaps == []
        assert cluster.run_recorder.restarts == []


async def _refuse_after_start(cluster, agent, start, order):
    """Execute a start order, and refuse it once the lead has read that the run is listed."""
    await start(order)
    scheduler = cluster.entries["entry-1"].election.scheduler
    await cluster.wait_until(lambda: bool(scheduler.link(agent.worker.name).state.runs))
    return messages.StartOutcome(False, workers.RefusalReason.INCARNATION)


# Guards against a refusal that outweighs the worker's own list: the task was started elsewhere
# beside the run that its worker had listed already (issue 32).
async def test_listed_run_is_kept_although_its_start_was_refused(start_cluster, make_job):
    spec = make_job(1)
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = 2.0
        await cluster.wait_until(lambda: agent.controller.state().is_answering)
        agent.controller.orders.start = functools.partial(
            _refuse_after_start, cluster, agent, agent.controller.orders.start
        )
        cluster.submit(spec)
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        await cluster.add_agent("node-2")
        await _wait_succeeded(cluster, spec)
        assert cluster.run_recorder.overlaps == []
        assert len(cluster.run_recorder.starts) == 1


async def _start_beside_another_run(cluster, agent, start, order):
    """Execute a start order after another run of its task has begun on the worker."""
    agent.controller.orders.start = start
    other = attrs.evolve(order, run=RUN_ON_THE_WORKER)
    expiry_ms = agent.worker.clock_ms() + 6000
    agent.worker.run_time_s = 60.0
    await agent.worker.start(other.for_worker(expiry_ms, agent.controller.token))
    agent.worker.run_time_s = 0.2
    await cluster.add_agent("node-1")
    scheduler = cluster.entries["entry-1"].election.scheduler
    await cluster.wait_until(lambda: scheduler.attached_nodes() == ("node-1", "node-2"))
    return await start(order)


# Guards against a refusal for another run of the task that is read as "no run of it is there": the
# task was started elsewhere before the worker's list was read (issue 32).
async def test_task_is_not_started_elsewhere_beside_the_run_that_refused_it(
    start_cluster, make_job
):
    spec = make_job(1, WHOLE_WORKER_STEP)
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-2")
        agent.worker.stop_time_s = 0.5
        agent.controller.orders.start = functools.partial(
            _start_beside_another_run, cluster, agent, agent.controller.orders.start
        )
        cluster.submit(spec)
        await _wait_succeeded(cluster, spec)
        assert cluster.run_recorder.overlaps == []
        assert cluster.run_recorder.restarts == []


# Guards against a run of a cancelled job that goes on since its end counts as expected: the lead
# had no assignment of it when the job ended (issue 32).
async def test_run_of_a_cancelled_job_without_assignments_is_stopped(start_cluster, make_job):
    spec = make_job(1)
    async with start_cluster() as cluster:
        entry = await cluster.add_entry("entry-1")
        cluster.submit(spec)
        cluster.cancel(spec.job_id)
        await cluster.wait_until(lambda: entry.election.is_lead)
        await cluster.wait_until(
            lambda: cluster.phase(spec.job_id) is registries.JobPhase.CANCELLED
        )
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = 60.0
        await _start_by_hand(cluster, agent, spec, RUN_ON_THE_WORKER)
        await cluster.wait_until(
            lambda: not any(cluster.run_recorder.running.values()), timeout_s=4.0
        )
