"""No task runs twice and no result is lost when a lead, store, agent or worker fails."""

import anyio
import attrs
import pytest

from papayaspar_jobs import registries, specs, tasks
from papayaspar_runs import workers
from papayaspar_standin import keyed_stores, memory_workers

pytestmark = pytest.mark.anyio


async def test_result_is_not_acknowledged_before_it_is_stored(start_cluster, make_job):
    """A repeated report of a result acknowledged it before it was stored.

    Seen on the simulated day booth-cloud trouble-1.
    """
    async with start_cluster() as cluster:
        lead, agent = await cluster.start_single_task(make_job(1), 0.6)
        lead.store.fault = keyed_stores.StoreFault.BUSY
        await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: bool(cluster.run_recorder.done))
        agent.controller.changes.notify()
        await cluster.wait_until(lambda: cluster.entries["entry-2"].election.is_lead)
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(cluster.run_recorder.starts) == 1
        assert cluster.run_recorder.restarts == []


async def test_result_under_an_unconfirmed_token_is_not_acknowledged(start_cluster, make_job):
    """A report under a token that was not confirmed yet made a task run twice.

    Seen on the simulated day kowhai-spar mix, seed 493746742155.
    """
    async with start_cluster() as cluster:
        lead, _ = await cluster.start_single_task(make_job(1), 60.0)
        link = lead.election.scheduler.link("node-1")
        await cluster.wait_until(lambda: bool(link.state.runs))
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        end = workers.RunResult(1, key, 1, tasks.EndKind.DONE)
        reported = attrs.evolve(link.state, is_answering=False, runs=(), ends=(end,))
        lead.election.scheduler.handle_state(link, reported)
        await anyio.sleep(0.2)
        assert link.acknowledged == {}


async def test_killed_lead_is_replaced_while_its_tasks_keep_running(start_cluster, make_job):
    async with start_cluster() as cluster:
        lead, _ = await cluster.start_single_task(make_job(1), 4.0)
        await cluster.add_entry("entry-2")
        lead.scope.cancel()
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(cluster.run_recorder.starts) == 1


async def test_restarted_agent_renews_the_lease_in_time(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, agent = await cluster.start_single_task(make_job(1), 9.0)
        agent.scope.cancel()
        await cluster.add_agent("node-1", agent.worker)
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(cluster.run_recorder.starts) == 1


async def test_delayed_start_does_not_run_beside_another(start_cluster, make_job):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        first = await cluster.add_agent("node-1")
        await cluster.wait_until(lambda: cluster.lead() != "")
        first.worker.fault = memory_workers.WorkerFault.LATE
        cluster.submit(make_job(1))
        await cluster.add_agent("node-2")
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert cluster.run_recorder.overlaps == []
        assert cluster.run_recorder.restarts == []


async def test_gang_starts_whole_although_a_start_is_unanswered(start_cluster, make_job):
    """Guards gang starts while a third of the orders get no answer.

    This happens on the simulated day deploy/days/answers-lost.
    """
    gang_step = specs.Step(3, specs.Resources(1000, 100, 1), 200, is_gang=True)
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        await cluster.wait_until(lambda: cluster.lead() != "")
        agent.worker.starts_to_delay = 1
        cluster.submit(make_job(1, gang_step))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert {run for _, run, _ in cluster.run_recorder.starts} == {1}
        assert len(cluster.run_recorder.starts) == 3


async def test_task_of_an_unreachable_agent_waits_for_its_lease_to_expire(start_cluster, make_job):
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1), 60.0)
        first.scope.cancel()
        first.worker.fault = memory_workers.WorkerFault.SILENT
        second = await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=40.0)
        # A silent worker detects the expiry of its lease only when it is polled.
        assert first.worker.clock_ms() >= first.worker.lease_expiry_ms
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert second.worker.name == "node-2"


async def test_task_of_a_silent_worker_runs_elsewhere_after_its_lease(start_cluster, make_job):
    """Polls of a failed worker postponed the expiry of its lease.

    Found by the simulated day deploy/days/workers-reborn, where a job was lost or did not run
    although it could have.
    """
    async with start_cluster() as cluster:
        _, first = await cluster.start_single_task(make_job(1), 60.0)
        first.worker.fault = memory_workers.WorkerFault.SILENT
        await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        assert first.worker.clock_ms() >= first.worker.lease_expiry_ms


@pytest.mark.parametrize("clock_back_ms", [0, 5000])
async def test_task_of_a_crashed_worker_runs_again(start_cluster, make_job, clock_back_ms):
    """After its clock was set back, a new incarnation looks older than the former one."""
    async with start_cluster() as cluster:
        _, agent = await cluster.start_single_task(make_job(1), 60.0)
        agent.worker.run_time_s = 0.1
        agent.worker.crash(clock_back_ms)
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(cluster.run_recorder.starts) == 2
        assert cluster.run_recorder.overlaps == []


async def test_lead_writes_each_record_once_when_the_answers_of_the_store_are_lost(
    start_cluster, make_job
):
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        await cluster.add_agent("node-1")
        await cluster.wait_until(lambda: cluster.lead() != "")
        lead.store.fault = keyed_stores.StoreFault.LOST
        cluster.submit(make_job(1))
        await cluster.wait_until(lambda: lead.store.append_count > 6)
        lead.store.heal()
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(cluster.run_recorder.starts) == 1


async def test_cancelled_job_is_stopped_and_not_restarted(start_cluster, make_job):
    async with start_cluster() as cluster:
        await cluster.start_single_task(make_job(1), 60.0)
        cluster.cancel(make_job(1).job_id)
        await cluster.wait_until(lambda: not any(cluster.run_recorder.running.values()))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.CANCELLED
        )
        assert len(cluster.run_recorder.starts) == 1


async def test_jobs_survive_a_trimmed_history(start_cluster, make_job):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        await cluster.add_agent("node-1")
        cluster.submit(make_job(1))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        for partition in cluster.log.partitions():
            cluster.log.drop_history(partition)
        cluster.submit(make_job(2))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(2).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(cluster.run_recorder.starts) == 2


async def test_cancelled_task_uses_capacity_until_it_has_ended(start_cluster, make_job):
    """A new lead did not count the resources of runs that it had not scheduled.

    Seen on the simulated day kowhai-spar trouble-3, where a limit was exceeded.
    """
    whole_worker_step = specs.Step(1, specs.Resources(1000, 100, 8), 200)
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s, agent.worker.stop_time_s = 60.0, 6.0
        cluster.submit(make_job(1, whole_worker_step))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        cluster.cancel(make_job(1).job_id)
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.CANCELLED
        )
        lead.scope.cancel()
        agent.scope.cancel()
        agent.worker.run_time_s = 0.2
        cluster.submit(make_job(2, whole_worker_step))
        await cluster.add_agent("node-1", agent.worker)
        await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        assert [worker for worker in cluster.run_recorder.running.values() if worker] == [
            {"node-1"}
        ]


async def test_run_in_a_new_incarnation_is_not_assigned_to_another_worker(start_cluster, make_job):
    """A start order may reach the next incarnation of a worker, which has the same id.

    Found by the soak, seed 31.
    """
    async with start_cluster() as cluster:
        lead, _ = await cluster.start_single_task(make_job(1), 60.0)
        link = lead.election.scheduler.link("node-1")
        await cluster.wait_until(lambda: bool(link.state.runs))
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        newer = attrs.evolve(link.state.incarnation, born_ms=link.state.incarnation.born_ms + 1)
        reported = attrs.evolve(link.state, incarnation=newer)
        await cluster.add_agent("node-2")
        lead.election.scheduler.handle_state(link, reported)
        await cluster.wait_until(lambda: cluster.stored_task(key).incarnation == newer)
        await anyio.sleep(0.3)
        assert len(cluster.run_recorder.starts) == 1


class SlowToStartWorker(memory_workers.MemoryWorker):
    """Starts runs, and answers start orders, after a time."""

    start_after_s = 0.0
    answer_after_s = 0.0

    async def start(self, order):
        await anyio.sleep(self.start_after_s)
        await super().start(order)
        await anyio.sleep(self.answer_after_s)


# Guards against a start whose answer is read after its run has failed: the next run counted as
# started, was released when its worker did not list it yet, and ran beside another (issue 17).
async def test_late_answer_to_a_start_does_not_release_the_next_run(start_cluster, make_job):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        workers_by_node = {
            node: SlowToStartWorker(node, cluster.run_recorder, cluster.clock)
            for node in ("node-1", "node-2", "node-3")
        }
        failing = workers_by_node["node-1"]
        failing.fault = memory_workers.WorkerFault.FAILS
        failing.run_time_s, failing.answer_after_s = 0.02, 0.3
        await cluster.add_agent("node-1", failing)
        await cluster.wait_until(lambda: cluster.lead() != "")
        # A unit that has waited for its estimate may start again on the worker that failed it.
        cluster.submit(make_job(1, specs.Step(1, specs.Resources(1000, 100, 1), 30_000)))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        for node in ("node-2", "node-3"):
            workers_by_node[node].start_after_s = 0.5
            workers_by_node[node].run_time_s = 1.0
            await cluster.add_agent(node, workers_by_node[node])
        with anyio.move_on_after(2.0):
            while True:
                for node in ("node-2", "node-3"):
                    cluster.agents[node].controller.changes.notify()
                await anyio.sleep(0.02)
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert cluster.run_recorder.overlaps == []
        assert len(cluster.run_recorder.starts) == 2


async def test_run_whose_result_is_not_listed_yet_is_not_started_again(start_cluster, make_job):
    """Runs that ended while the store was down, beyond what a worker lists, counted as lost.

    Seen in case 1 of the review: the worker lists the oldest results until they are acknowledged.
    """
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.ends_listed_max = 3
        agent.worker.run_time_s = 60.0
        spec = make_job(1, specs.Step(8, specs.Resources(1000, 100)))
        cluster.submit(spec)
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 8)
        lead.store.fault = keyed_stores.StoreFault.BUSY
        agent.worker.finish_runs()
        await cluster.wait_until(lambda: len(cluster.run_recorder.done) == 8)
        await cluster.sleep(1.0)
        lead.store.heal()
        await cluster.wait_until(
            lambda: cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED
        )
        assert cluster.run_recorder.restarts == []
        assert len(cluster.run_recorder.starts) == 8


async def test_new_lead_waits_for_results_that_are_not_listed_yet(start_cluster, make_job):
    """The restarted agent knows no runs, and the new lead only those that the worker lists."""
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.ends_listed_max = 3
        agent.worker.run_time_s = 60.0
        spec = make_job(1, specs.Step(8, specs.Resources(1000, 100)))
        cluster.submit(spec)
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 8)
        lead.store.fault = keyed_stores.StoreFault.BUSY
        agent.worker.finish_runs()
        await cluster.wait_until(lambda: len(cluster.run_recorder.done) == 8)
        lead.scope.cancel()
        agent.scope.cancel()
        await cluster.add_entry("entry-2")
        await cluster.add_agent("node-1", agent.worker)
        await cluster.wait_until(
            lambda: cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED
        )
        assert cluster.run_recorder.restarts == []
        assert len(cluster.run_recorder.starts) == 8


# Guards against a refused poll that is taken as the end of a run: the worker had executed the start
# without an answer, then refused all calls for a while, and the task ran on a second worker (issue
# 32).
async def test_task_of_a_worker_that_refuses_polls_does_not_run_elsewhere(start_cluster, make_job):
    async with start_cluster() as cluster:
        await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.worker.run_time_s = 4.0
        await cluster.wait_until(lambda: agent.controller.is_reachable)
        agent.worker.fault = memory_workers.WorkerFault.MUTE
        cluster.submit(make_job(1))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        agent.worker.fault = memory_workers.WorkerFault.BUSY
        await cluster.add_agent("node-2")
        await cluster.sleep(2.0)
        agent.worker.fault = memory_workers.WorkerFault.NONE
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert cluster.run_recorder.overlaps == []
        assert len(cluster.run_recorder.starts) == 1


# Guards against a run that reached the next incarnation of its worker, ended there and is not
# listed yet: the task was started again (issue 32).
async def test_run_that_may_have_ended_in_a_new_incarnation_is_not_released(
    start_cluster, make_job
):
    async with start_cluster() as cluster:
        lead, _ = await cluster.start_single_task(make_job(1), 60.0)
        link = lead.election.scheduler.link("node-1")
        await cluster.wait_until(lambda: bool(link.state.runs))
        newer = attrs.evolve(link.state.incarnation, born_ms=link.state.incarnation.born_ms + 1)
        reported = attrs.evolve(link.state, incarnation=newer, runs=(), has_more_ends=True)
        await cluster.add_agent("node-2")
        scheduler = lead.election.scheduler
        await cluster.wait_until(lambda: scheduler.attached_nodes() == ("node-1", "node-2"))
        link.state = reported
        scheduler.handle_state(link, reported)
        await anyio.sleep(0.3)
        key = tasks.TaskKey(make_job(1).job_id, 0, 0, 0)
        assert cluster.stored_task(key).run == 1
        assert len(cluster.run_recorder.starts) == 1
