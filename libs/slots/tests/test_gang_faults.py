"""Gangs under faults: no part runs isolated beyond the bound, and no two attempts overlap."""

import anyio
import hypothesis
import pytest
from hypothesis import strategies

from papayaspar_model import errors
from papayaspar_slots import claims, gangs, launches, messages, refusals, timings

FENCE = claims.Fence("job-1", 1)
LAUNCH_MESSAGE_COUNT = 24
SETTLE_S = 40.0


async def try_launch(fleet, gang, attempt=1):
    """Launch a gang and return its status, or ``None`` if the launch failed."""
    try:
        return await fleet.launch(*gang, attempt)
    except errors.PapayasparError:
        return None


async def retry_when_safe(fleet, gang, failed_attempt, other_gang=None):
    """Launch another attempt as soon as the protocol permits, and return its fence."""
    job, placement = gang
    members = tuple(dict.fromkeys(place.worker for place in placement.tasks))
    fence = claims.Fence(job.job_id, failed_attempt)
    gang_client = fleet.entry("entry-2")[1]
    while True:
        try:
            status = await gang_client.end_gang(fence, members)
            break
        except errors.OutcomeUnknownError:
            await anyio.sleep(1.0)
    if status.state is messages.GangState.DONE:
        return None
    await anyio.sleep(status.safe_after_s)
    for attempt in range(failed_attempt + 1, failed_attempt + 10):
        if await try_launch(fleet, other_gang or gang, attempt) is not None:
            return claims.Fence(job.job_id, attempt)
        await anyio.sleep(1.0)
    return None


@pytest.mark.parametrize("message_index", range(LAUNCH_MESSAGE_COUNT))
@pytest.mark.parametrize("victim", ["w0", "w1"])
@pytest.mark.parametrize("is_host_failure", [False, True])
def test_an_agent_failure_at_any_message_leaves_no_part_running(
    run_fleet, make_gang, message_index, victim, is_host_failure
):
    async def scenario(fleet):
        node = fleet.nodes[victim]
        kill = node.kill_host if is_host_failure else node.kill_agent
        fleet.on_message[message_index] = kill
        await try_launch(fleet, make_gang(run_time_s=600.0))
        await anyio.sleep(SETTLE_S)
        assert node.agent is None
        assert fleet.running(FENCE) == 0
        assert not fleet.held()

    run_fleet(scenario)


@pytest.mark.parametrize("message_index", range(LAUNCH_MESSAGE_COUNT))
def test_after_an_entry_failure_at_any_message_all_parts_run_or_none(
    run_fleet, make_gang, message_index
):
    async def scenario(fleet):
        with anyio.CancelScope() as entry:
            fleet.on_message[message_index] = entry.cancel
            await try_launch(fleet, make_gang(run_time_s=600.0))
            await anyio.sleep_forever()
        await anyio.sleep(SETTLE_S)
        runs_completely = fleet.running(FENCE) == 3
        assert runs_completely or not fleet.held()
        if not runs_completely:
            return
        status = await fleet.entry("entry-2")[1].end_gang(FENCE, ("w0", "w1", "w2"))
        await anyio.sleep(status.safe_after_s)
        assert fleet.running(FENCE) == 0

    run_fleet(scenario)


@pytest.mark.parametrize("worker", ["w0", "w1"])
@pytest.mark.parametrize("paused_s", [3.0, 6.0, 30.0])
@pytest.mark.parametrize("start_s", [0.004, 0.3, 0.3055, 5.0, 5.5])
def test_a_process_pause_longer_than_the_lease_stops_the_gang(
    run_fleet, make_gang, worker, paused_s, start_s
):
    async def scenario(fleet):
        gang = make_gang(run_time_s=60.0)
        async with anyio.create_task_group() as group:
            group.start_soon(try_launch, fleet, gang)
            await anyio.sleep(start_s)
            fleet.nodes[worker].freeze()
            await anyio.sleep(paused_s)
            if paused_s > fleet.times.lease_s and start_s > 1.0:
                assert fleet.running(FENCE) <= 2
            fleet.nodes[worker].unfreeze()
        await anyio.sleep(SETTLE_S)
        assert fleet.running(FENCE) in (0, 3)

    run_fleet(scenario)


@pytest.mark.parametrize("worker", ["w0", "w1"])
def test_a_network_partition_stops_the_gang_and_a_retry_is_safe(run_fleet, make_gang, worker):
    async def scenario(fleet):
        gang = make_gang(run_time_s=600.0)
        await fleet.launch(*gang)
        await anyio.sleep(7.0)
        fleet.partitions[worker] = 1
        await anyio.sleep(fleet.times.isolated_run_max_s)
        assert fleet.running(FENCE) == 0
        fleet.partitions.clear()
        retried_fence = await retry_when_safe(fleet, gang, 1)
        await anyio.sleep(5.0)
        assert fleet.running(retried_fence) == 3

    run_fleet(scenario)


def test_a_restarted_agent_waits_for_the_leases_of_its_previous_incarnation(run_fleet, make_gang):
    async def scenario(fleet):
        await fleet.launch(*make_gang(run_time_s=600.0))
        await anyio.sleep(7.0)
        node = fleet.nodes["w1"]
        node.kill_agent()
        fleet.group.start_soon(node.run_agent, fleet.times.lease_s)
        for attempt in range(1, 40):
            gang = make_gang("job-2", ("w1",), run_time_s=600.0)
            await try_launch(fleet, gang, attempt)
            await anyio.sleep(0.5)
        assert sum(fleet.running(claims.Fence("job-2", attempt)) for attempt in range(40)) == 1

    run_fleet(scenario)


def test_after_a_lead_failure_one_member_is_sufficient_evidence_for_a_retry(run_fleet, make_gang):
    async def scenario(fleet):
        gang = make_gang(run_time_s=600.0)
        await fleet.launch(*gang)
        await anyio.sleep(7.0)
        fleet.nodes["w0"].kill_host()
        with pytest.raises(errors.OutcomeUnknownError):
            await fleet.entry()[1].end_gang(FENCE, ("w0", "w1", "w2"))
        await anyio.sleep(10.0)
        status = await fleet.entry()[1].end_gang(FENCE, ("w0", "w1", "w2"))
        assert status.state is messages.GangState.LOST
        assert status.safe_after_s <= fleet.times.isolated_run_max_s

    run_fleet(scenario)


@pytest.mark.parametrize("message_index", range(LAUNCH_MESSAGE_COUNT))
def test_a_pause_before_the_answer_does_not_extend_a_lease(run_fleet, make_gang, message_index):
    async def scenario(fleet):
        node = fleet.nodes["w1"]
        fleet.on_answer[message_index] = node.freeze
        gang = make_gang(run_time_s=600.0)
        other_gang = make_gang(on=("w0", "w2", "w3"), run_time_s=600.0)
        await try_launch(fleet, gang)
        await anyio.sleep(3.0)
        if len(fleet.runs(FENCE)) < 3:
            first_lease_end_s = anyio.current_time() + fleet.times.first_lease_s
            assert all(run.lease_until_s <= first_lease_end_s for run in fleet.runs(FENCE))
        retried_fence = await retry_when_safe(fleet, gang, 1, other_gang)
        await anyio.sleep(10.0)
        node.unfreeze()
        await anyio.sleep(SETTLE_S)
        assert fleet.running(retried_fence) == 3

    run_fleet(scenario, times=timings.Timings(answer_timeout_s=60.0))


def test_a_launch_refused_by_a_restarted_lead_has_an_unknown_outcome(
    run_fleet, make_gang, fault_type
):
    async def restart(node):
        await anyio.sleep(0.6)
        node.kill_agent()
        node.fleet.group.start_soon(node.run_agent, 0.0)

    async def scenario(fleet):
        fleet.faults = {3: fault_type.LOSE_ANSWER}
        fleet.group.start_soon(restart, fleet.nodes["w0"])
        with pytest.raises(launches.LaunchUnknownError):
            await fleet.launch(*make_gang(run_time_s=600.0))
        assert fleet.running(FENCE) > 0
        await retry_when_safe(fleet, make_gang(run_time_s=600.0), 1)
        await anyio.sleep(5.0)

    run_fleet(scenario)


def test_a_claim_conflict_keeps_the_reservation_of_the_other_entry(run_fleet, make_gang):
    async def scenario(fleet):
        job, placement = make_gang()
        fleet.nodes["w1"].agent.ledger.reserve(launches.make_claims("b", job, placement, 1)["w1"])
        with pytest.raises(refusals.ClaimConflictError):
            await fleet.launch(job, placement)
        assert [use.job_id for use in fleet.held()] == ["job-1"]

    run_fleet(scenario)


def test_a_late_launch_is_refused(run_fleet, make_gang, fault_type):
    async def scenario(fleet):
        lose = fault_type.LOSE
        fleet.faults = {3: fault_type.LONG_DELAY, 4: lose, 5: lose, 6: lose}
        gang = make_gang(run_time_s=600.0)
        with pytest.raises(launches.LaunchUnknownError):
            await fleet.launch(*gang)
        retried_fence = await retry_when_safe(fleet, gang, 1)
        await anyio.sleep(5.0)
        assert fleet.running(retried_fence) == 3

    run_fleet(scenario)


def test_accelerators_are_not_reassigned_while_a_task_may_run(run_fleet, make_gang):
    async def scenario(fleet):
        await fleet.launch(*make_gang(run_time_s=600.0))
        await anyio.sleep(7.0)
        fleet.nodes["w1"].runtime.failing_methods.add("stop")
        await fleet.entry()[1].end_gang(FENCE, ("w0", "w1", "w2"))
        for attempt in range(1, 40):
            await try_launch(fleet, make_gang("job-2", ("w1",), run_time_s=600.0), attempt)
            await anyio.sleep(0.5)
        assert sum(fleet.running(claims.Fence("job-2", attempt)) for attempt in range(40)) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("partition_after_s", [7.0, 7.4, 7.8])
def test_one_reachable_member_bounds_the_run_time_of_the_partitioned_ones(
    run_fleet, make_gang, partition_after_s
):
    async def partition_later(fleet):
        await anyio.sleep(2.5)
        fleet.partitions["w2"] = 2

    async def scenario(fleet):
        gang = make_gang(run_time_s=600.0)
        other_gang = make_gang(on=("w3", "w4"), run_time_s=600.0)
        await fleet.launch(*gang)
        await anyio.sleep(partition_after_s)
        fleet.partitions.update({"w0": 1, "w2": 1})
        fleet.group.start_soon(partition_later, fleet)
        retried_fence = await retry_when_safe(fleet, gang, 1, other_gang)
        await anyio.sleep(5.0)
        assert fleet.running(retried_fence) == 2

    run_fleet(scenario, size=5, times=timings.Timings(answer_timeout_s=0.3))


def test_a_renewal_received_out_of_order_changes_nothing():
    launch = messages.Launch(FENCE, ("w0",), checkpoint=False)
    gang = gangs.Gang.from_launch(launch, now_s=100.0, arm_timeout_s=10.0)
    newer = messages.Renew(FENCE, "w0", 2, messages.Phase.RUNNING, echo_s=101.0)
    older = messages.Renew(FENCE, "w0", 1, messages.Phase.ARMED, echo_s=100.5)
    accepted = [gang.apply_renewal(renewal, 102.0) for renewal in (newer, newer, older)]
    assert accepted == [True, False, False]
    assert (gang.started_count, gang.members["w0"].confirmed_running_s) == (1, 101.0)


def test_any_faults_leave_no_part_isolated_and_no_two_attempts_overlapping(
    run_fleet, make_gang, fault_type
):
    faults = strategies.dictionaries(
        strategies.integers(0, 120), strategies.sampled_from(list(fault_type)), max_size=25
    )
    workers = strategies.sampled_from(["w0", "w1", "w2"])
    times_s = strategies.floats(0.0, 15.0)
    events = strategies.lists(
        strategies.tuples(
            times_s, workers, strategies.sampled_from(["freeze", "partition", "kill"]), times_s
        ),
        max_size=3,
    )

    async def inject_fault(fleet, event):
        after_s, worker, fault_kind, duration_s = event
        node = fleet.nodes[worker]
        await anyio.sleep(after_s)
        if fault_kind == "kill":
            node.kill_agent()
            await anyio.sleep(duration_s)
            if node.agent is None:
                fleet.group.start_soon(node.run_agent, fleet.times.lease_s)
            return
        if fault_kind == "partition":
            fleet.partitions[worker] = 1
            await anyio.sleep(duration_s)
            fleet.partitions[worker] = 0
            return
        node.freeze()
        await anyio.sleep(duration_s)
        node.unfreeze()

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(faults=faults, events=events, seed=strategies.integers(0, 1000))
    def check(faults, events, seed):
        async def scenario(fleet):
            fleet.faults = faults
            gang = make_gang(run_time_s=12.0)
            competing_gang = make_gang(
                "job-9", on=("w1", "w2", "w3"), numbers=(1, 2), run_time_s=5.0
            )
            async with anyio.create_task_group() as group:
                for event in events:
                    group.start_soon(inject_fault, fleet, event)
                await try_launch(fleet, gang)
                await anyio.sleep(4.0)
                await try_launch(fleet, competing_gang)
                await retry_when_safe(fleet, gang, 1)
            await anyio.sleep(90.0)
            assert not fleet.held()

        run_fleet(scenario, seed=seed)

    check()
