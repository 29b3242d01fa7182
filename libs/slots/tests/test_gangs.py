"""Gangs without faults, preemption of gangs, and many concurrent gangs."""

import anyio
import pytest

from papayaspar_model import errors
from papayaspar_slots import claims, messages, timings

FENCE = claims.Fence("job-1", 1)


def test_a_gang_starts_all_tasks_and_is_done_when_all_are_completed(run_fleet, make_gang):
    async def scenario(fleet):
        job, placement = make_gang(tasks_each=2)
        await fleet.launch(job, placement)
        gang_client = fleet.entry("entry-2")[1]
        status = await gang_client.wait_for_status(FENCE, "w0", messages.GangState.ARMING, 5.0)
        assert status.state is messages.GangState.RUNNING
        await anyio.sleep(2.0)
        assert fleet.running(FENCE) == 6
        assert {use.lead_worker for use in fleet.held()} == {"w0"}
        await anyio.sleep(40.0)
        status = await gang_client.wait_for_status(FENCE, "w0")
        assert (status.state, status.safe_after_s) == (messages.GangState.DONE, 0.0)
        assert not fleet.held()
        await gang_client.acknowledge(FENCE, "w0")
        with pytest.raises(errors.NotFoundError):
            await gang_client.wait_for_status(FENCE, "w0")

    run_fleet(scenario)


def test_a_failed_task_fails_the_whole_gang(run_fleet, make_gang):
    async def scenario(fleet):
        await fleet.launch(*make_gang())
        await anyio.sleep(5.0)
        run = fleet.runs(FENCE)[1]
        fleet.nodes[run.worker].runtime.stop_run(run)
        await anyio.sleep(5.0)
        status = await fleet.entry()[1].wait_for_status(FENCE, "w0")
        assert (status.state, status.safe_after_s) == (messages.GangState.FAILED, 0.0)
        assert not fleet.held()

    run_fleet(scenario)


@pytest.mark.parametrize("method", ["prepare", "start"])
def test_a_gang_fails_if_one_runtime_fails_to_prepare_or_start(run_fleet, make_gang, method):
    async def scenario(fleet):
        fleet.nodes["w2"].runtime.failing_methods.add(method)
        await fleet.launch(*make_gang())
        await anyio.sleep(12.0)
        status = await fleet.entry()[1].wait_for_status(FENCE, "w0")
        assert status.state is messages.GangState.FAILED
        assert not fleet.held()
        assert len(fleet.runs(FENCE)) <= (0 if method == "prepare" else 2)

    run_fleet(scenario)


def test_a_runtime_that_stops_answering_stops_the_gang(run_fleet, make_gang):
    async def scenario(fleet):
        await fleet.launch(*make_gang(run_time_s=60.0))
        await anyio.sleep(5.0)
        fleet.nodes["w2"].runtime.failing_methods.update(["renew", "stop"])
        await anyio.sleep(20.0)
        assert fleet.running(FENCE) == 0
        assert not fleet.held()

    run_fleet(scenario)


@pytest.mark.parametrize("checkpoint", [True, False])
@pytest.mark.parametrize("fault", ["none", "lead partitioned", "request lost"])
def test_preemption_stops_the_whole_gang_in_bounded_time(run_fleet, make_gang, checkpoint, fault):
    async def scenario(fleet):
        preemptible = make_gang(on=("w1", "w0"), run_time_s=600.0, checkpoint=checkpoint)
        if not checkpoint:
            preemptible = make_gang(on=("w1", "w0"), run_time_s=600.0, idempotent=True)
        await fleet.launch(*preemptible)
        await anyio.sleep(20.0)
        fleet.partitions["w1"] = int(fault == "lead partitioned")
        fleet.lost_methods.update(["preempt"] if fault == "request lost" else [])
        anchor = make_gang(
            "job-2", ("w0",), numbers=(0, 1, 2, 3), team="anchor", guarantee="anchor-4"
        )
        started_s = anyio.current_time()
        await fleet.launch(*anchor)
        await anyio.sleep(30.0)
        (run,) = fleet.runs(claims.Fence("job-2", 1))
        assert run.started_s - started_s < 7.3
        assert fleet.running(FENCE) == 0

    run_fleet(scenario)


def test_a_gang_that_is_not_stoppable_is_not_preempted(run_fleet, make_gang):
    async def scenario(fleet):
        await fleet.launch(*make_gang(on=("w1", "w2"), checkpoint=False))
        await anyio.sleep(5.0)
        fleet.nodes["w1"].agent.lead.preempt(messages.GiveWay(FENCE))
        await anyio.sleep(10.0)
        assert fleet.running(FENCE) == 2

    run_fleet(scenario)


def test_a_gang_that_is_not_armed_in_time_releases_its_accelerators(run_fleet, make_gang):
    async def scenario(fleet):
        await fleet.launch(*make_gang(on=("w0",), run_time_s=600.0))
        await anyio.sleep(5.0)
        fleet.lost_methods.add("preempt")
        anchor = make_gang("job-2", ("w0",), team="anchor", guarantee="anchor-4")
        await fleet.launch(*anchor)
        await anyio.sleep(2.0)
        status = await fleet.entry()[1].wait_for_status(claims.Fence("job-2", 1), "w0")
        assert status.state is messages.GangState.FAILED
        assert "job-2" not in {use.job_id for use in fleet.held()}

    run_fleet(scenario, times=timings.Timings(arm_timeout_s=1.0))


@pytest.mark.parametrize("seed", range(10))
def test_entries_that_compete_for_the_same_workers_all_succeed(run_fleet, make_gang, seed):
    async def launch(fleet, on, attempts_used):
        job, placement = make_gang(f"job-{on[0]}-{seed}", on, run_time_s=1.0)
        fleet.gangs[claims.Fence(job.job_id, 1)] = job.shape.tasks
        launcher = fleet.entry(job.job_id)[0]
        status = await launcher.launch_with_backoff(job, placement, range(1, 40))
        attempts_used.append(status.fence.attempt)

    async def scenario(fleet):
        attempts_used = []
        async with anyio.create_task_group() as group:
            for first_worker in range(3):
                on = [f"w{(first_worker + index) % 4}" for index in range(4)]
                group.start_soon(launch, fleet, on, attempts_used)
        assert attempts_used[0] == 1
        assert max(attempts_used) <= 12

    run_fleet(scenario, seed=seed)


def test_a_gang_of_512_tasks_on_64_workers_starts_and_completes(run_fleet, make_gang):
    async def scenario(fleet):
        on = tuple(f"w{index}" for index in range(64))
        await fleet.launch(*make_gang(on=on, tasks_each=8, numbers=(0,), run_time_s=20.0))
        await anyio.sleep(3.0)
        assert fleet.running(FENCE) == 512
        await anyio.sleep(30.0)
        status = await fleet.entry()[1].wait_for_status(FENCE, "w0")
        assert status.state is messages.GangState.DONE

    run_fleet(scenario, size=64)


@pytest.mark.parametrize("gang_count", [100, 1000])
def test_message_count_of_concurrent_cancels_is_linear(run_fleet, make_gang, gang_count):
    async def scenario(fleet):
        fences = []
        async with anyio.create_task_group() as group:
            for index in range(gang_count):
                first_worker = index // 8 * 2
                on = (f"w{first_worker}", f"w{first_worker + 1}")
                gang = make_gang(f"job-{index}", on, numbers=(index % 8,), run_time_s=900.0)
                group.start_soon(fleet.launch, *gang)
                fences.append((claims.Fence(f"job-{index}", 1), on))
        await anyio.sleep(1.0)
        assert len(fleet.held()) == 2 * gang_count
        fleet.sent.clear()
        gang_client = fleet.entry()[1]
        async with anyio.create_task_group() as group:
            for fence, on in fences:
                group.start_soon(gang_client.end_gang, fence, on)
        await anyio.sleep(2 * fleet.times.renew_interval_s)
        assert not fleet.held()
        assert fleet.sent["cancel"] == gang_count
        assert fleet.sent.total() <= 8 * gang_count

    run_fleet(scenario, size=gang_count // 4 + 2)
