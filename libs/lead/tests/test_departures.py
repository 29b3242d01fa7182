"""Workers that announce a drain and then terminate."""

import pytest

from papayaspar_jobs import registries, specs
from papayaspar_runs import workers
from papayaspar_standin import keyed_stores, memory_workers

pytestmark = pytest.mark.anyio


async def _drain(cluster, agent):
    agent.worker.condition = workers.Condition.DRAINING
    await cluster.wait_until(
        lambda: agent.controller.state().heartbeat.condition is agent.worker.condition
    )


def _deregister_and_terminate(agent):
    agent.worker.terminate()
    agent.controller.handle_deregistration(agent.worker.name)


def _has_succeeded(cluster, spec):
    return cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED


async def test_tasks_of_a_terminated_worker_start_elsewhere_before_its_lease_expires(
    start_cluster, make_job
):
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1), 60.0)
        await cluster.add_agent("node-2")
        await _drain(cluster, first)
        _deregister_and_terminate(first)
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=3.0)
        await cluster.wait_until(lambda: _has_succeeded(cluster, make_job(1)))
        assert cluster.run_recorder.overlaps == []


async def test_result_that_was_not_stored_survives_its_worker(start_cluster, make_job):
    """A new lead waited 18 s for a lease to expire and ran a finished task again.

    Seen on the simulated day kowhai-spar scale-2. The lead had received the result but could not
    store it; before another lead was elected, the worker terminated and, a second later, its VM.
    """
    async with start_cluster() as cluster:
        lead, leaving = await cluster.start_single_task(make_job(1), 1.0)
        await _drain(cluster, leaving)
        lead.store.fault = keyed_stores.StoreFault.BUSY
        await cluster.wait_until(lambda: bool(cluster.run_recorder.done))
        await cluster.sleep(0.3)
        _deregister_and_terminate(leaving)
        await cluster.sleep(1.5)
        leaving.scope.cancel()
        await cluster.add_agent("node-2")
        await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: _has_succeeded(cluster, make_job(1)), timeout_s=12.0)
        assert len(cluster.run_recorder.starts) == 1


# Guards against a lead that waits for the lease of a worker that is gone without a word: gangs that
# had lost a member waited 15 s, and the wait began anew with each lead (issue 17).
@pytest.mark.parametrize("is_lead_replaced", [False, True], ids=["same-lead", "new-lead"])
async def test_tasks_of_a_worker_that_is_gone_start_elsewhere_at_once(
    start_cluster, make_job, is_lead_replaced
):
    async with start_cluster() as cluster:
        lead, first = await cluster.start_single_task(make_job(1), 60.0)
        await cluster.add_entry("entry-2")
        if is_lead_replaced:
            lead.scope.cancel()
            await cluster.wait_until(lambda: cluster.lead() == "")
        first.worker.terminate()
        await cluster.sleep(1.0)
        first.scope.cancel()
        await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=5.0)
        assert cluster.run_recorder.overlaps == []


# Guards against a wait that ends before the lease of a worker that may run on, or long after it:
# two refused connections count as its end (issue 32), and a new lead waited anew (issue 17).
@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: refused connections count as a departure")
@pytest.mark.parametrize("is_lead_replaced", [False, True], ids=["same-lead", "new-lead"])
async def test_tasks_of_a_worker_that_refuses_connections_wait_for_its_lease(
    start_cluster, make_job, is_lead_replaced
):
    async with start_cluster() as cluster:
        lead, first = await cluster.start_single_task(make_job(1), 60.0)
        await cluster.add_entry("entry-2")
        await cluster.add_agent("node-2")
        first.worker.fault = memory_workers.WorkerFault.REJECTED
        if is_lead_replaced:
            lead.scope.cancel()
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=8.0)
        assert cluster.run_recorder.overlaps == []


# Guards against a partition that rejects packets to a worker that runs on: its tasks run twice, as
# two refused connections count as its end (issue 32).
@pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt: refused connections count as a departure")
async def test_tasks_of_a_worker_that_refuses_connections_and_runs_on_stay_there(
    start_cluster, make_job
):
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1), 4.0)
        await cluster.add_agent("node-2")
        first.worker.fault = memory_workers.WorkerFault.REJECTED
        await cluster.sleep(2.0)
        first.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.wait_until(lambda: _has_succeeded(cluster, make_job(1)))
        assert len(cluster.run_recorder.starts) == 1


# Guards against a worker that has deregistered and answers late while it runs on: its tasks ran
# twice, as one poll without an answer counted as its end (issue 32).
async def test_tasks_of_a_deregistered_worker_that_answers_late_stay_there(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1), 4.0)
        await cluster.add_agent("node-2")
        await _drain(cluster, first)
        first.worker.fault = memory_workers.WorkerFault.SILENT
        first.controller.handle_deregistration(first.worker.name)
        await cluster.sleep(2.0)
        first.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.wait_until(lambda: _has_succeeded(cluster, make_job(1)))
        assert len(cluster.run_recorder.starts) == 1


async def test_departed_worker_that_answers_again_gets_no_work(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, agent = await cluster.start_single_task(make_job(1), 60.0)
        agent.worker.terminate()
        await cluster.wait_until(lambda: agent.controller.departure is not None)
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.sleep(1.5)
        assert len(cluster.run_recorder.starts) == 1
        agent.worker.crash()
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        assert cluster.run_recorder.overlaps == []


def _long_step(**changes):
    return specs.Step(1, specs.Resources(1000, 100, 8), 30_000, **changes)


async def test_unsaved_work_stays_on_a_draining_worker_until_another_has_capacity(
    start_cluster, make_job
):
    """Runs of 30 s were stopped 3.5 s before their end, and then waited for free capacity.

    Seen on the simulated day kowhai-spar scale-2.
    """
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1, _long_step()), 30.0)
        await _drain(cluster, first)
        await cluster.sleep(1.0)
        assert len(first.controller.state().runs) == 1
        await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=5.0)
        assert cluster.run_recorder.overlaps == []


@pytest.mark.parametrize(
    ("priority", "is_checkpointed"), [(0, False), (1, True)], ids=["urgent", "checkpointed"]
)
async def test_urgent_or_checkpointed_work_on_a_draining_worker_is_stopped_at_once(
    start_cluster, make_job, make_queue, priority, is_checkpointed
):
    """Urgent work takes the place of other work at once; checkpointed work is stopped in time."""
    async with start_cluster() as cluster:
        queue = make_queue(priority=priority)
        spec = make_job(1, _long_step(is_checkpointed=is_checkpointed))
        _, first = await cluster.start_single_task(spec, 30.0, queue)
        second = await cluster.add_agent("node-2")
        second.worker.run_time_s = 60.0
        filler = make_job(2, _long_step(is_checkpointed=True), queue="bulk")
        cluster.submit(filler, make_queue(name="bulk", priority=2))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        first.worker.counts_down = True
        await _drain(cluster, first)
        await cluster.wait_until(lambda: not first.controller.state().runs, timeout_s=3.0)


async def test_urgent_work_stays_on_a_draining_worker_while_there_is_no_other(
    start_cluster, make_job, make_queue
):
    async with start_cluster() as cluster:
        queue = make_queue(priority=0)
        _, first = await cluster.start_single_task(make_job(1, _long_step()), 30.0, queue)
        first.worker.counts_down = True
        await _drain(cluster, first)
        await cluster.sleep(1.0)
        assert len(first.controller.state().runs) == 1
        await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=3.0)
        assert cluster.run_recorder.overlaps == []


async def test_deregistration_of_a_former_incarnation_is_ignored(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, agent = await cluster.start_single_task(make_job(1), 60.0)
        agent.controller.handle_deregistration(agent.worker.name)
        await cluster.sleep(1.5)
        assert agent.controller.departure is None
        assert len(cluster.run_recorder.starts) == 1


async def test_deregistered_worker_that_still_answers_has_not_departed(start_cluster):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        await cluster.wait_until(lambda: agent.controller.state().is_answering)
        await _drain(cluster, agent)
        agent.controller.handle_deregistration(agent.worker.name)
        await cluster.sleep(1.5)
        assert agent.controller.departure is None


# Guards against a departed worker that runs on: it answered again, the agent renewed its lease, and
# its runs went on beside those that had been started elsewhere (issue 32).
async def test_runs_of_a_departed_worker_that_answers_again_are_stopped(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1), 60.0)
        first.worker.fault = memory_workers.WorkerFault.REJECTED
        await cluster.wait_until(lambda: first.controller.departure is not None)
        lease_expiry_ms = first.worker.lease_expiry_ms
        first.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.wait_until(lambda: not any(cluster.run_recorder.running.values()), 2.0)
        assert first.worker.lease_expiry_ms == lease_expiry_ms
