"""Tests of the jobs of several entries on one log."""

import anyio
import trio
import trio.testing

from papayaspar_entry import gang_runs
from papayaspar_model import work
from papayaspar_slots import messages
from papayaspar_standin import memory_logs

JOB = work.Job("job-1", "t", "k", work.Urgency.NORMAL, work.Shape(2, 8), 60.0, True, True)
RUN_S = 2.0
JOB_TIMEOUT_S = 600.0
# Time from the end of a run until none of its parts can be running, in seconds.
SAFE_AFTER_S = 4.0


async def _wait_for_launches(agents, count):
    while len(agents.launched) < count:
        await trio.sleep(0.01)


def test_failed_runs_of_a_job_count_once_beside_restarted_entries(make_manager, make_agents):
    """Each entry is killed while it follows a run, whose end no entry reads."""
    agents = make_agents(messages.GangState.FAILED, run_s=RUN_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        for count in range(1, gang_runs.FAILURES_MAX):
            manager = make_manager(log, agents)
            async with anyio.create_task_group() as group:
                group.start_soon(manager.run)
                if count == 1:
                    await manager.submit(JOB)
                # The first run of this entry has failed, and the second one is running.
                await _wait_for_launches(agents, 2 * count)
                group.cancel_scope.cancel()
        last = make_manager(log, agents)
        async with anyio.create_task_group() as group:
            group.start_soon(last.run)
            with anyio.fail_after(JOB_TIMEOUT_S):
                while last.table.get(JOB.job_id) is None:
                    await trio.sleep(0.1)
                tracked = await last.wait_for_completion(JOB.job_id, JOB_TIMEOUT_S)
            group.cancel_scope.cancel()
        assert tracked.ended.state is work.JobState.FAILED

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    lost_runs = gang_runs.FAILURES_MAX - 1
    assert len(agents.launched) == gang_runs.FAILURES_MAX + lost_runs


def test_failed_run_counts_although_its_entry_is_killed_before_its_parts_have_ended(
    make_manager, make_agents
):
    """Each entry is told that its run failed, and is killed before the leases of it have ended."""
    agents = make_agents(messages.GangState.FAILED, run_s=RUN_S, safe_after_s=SAFE_AFTER_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        for count in range(1, gang_runs.FAILURES_MAX + 1):
            manager = make_manager(log, agents)
            async with anyio.create_task_group() as group:
                group.start_soon(manager.run)
                if count == 1:
                    await manager.submit(JOB)
                with anyio.fail_after(JOB_TIMEOUT_S):
                    while len(agents.ends_told) < count:
                        await trio.sleep(0.01)
                await trio.sleep(SAFE_AFTER_S / 2)
                group.cancel_scope.cancel()
        last = make_manager(log, agents)
        async with anyio.create_task_group() as group:
            group.start_soon(last.run)
            with anyio.fail_after(JOB_TIMEOUT_S):
                while last.table.get(JOB.job_id) is None:
                    await trio.sleep(0.1)
                await last.wait_for_completion(JOB.job_id, JOB_TIMEOUT_S)
            group.cancel_scope.cancel()

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(agents.launched) == gang_runs.FAILURES_MAX
