"""Failed runs and run times of a job beside killed entries and changes of its owner."""

import anyio
import pytest
import trio
import trio.testing

from papayaspar_entry import gang_runs, job_manager
from papayaspar_estimates import quantiles
from papayaspar_model import work
from papayaspar_placement import fleet
from papayaspar_platform import http_logs
from papayaspar_slots import messages
from papayaspar_standin import memory_logs

JOB = work.Job("job-1", "t", "k", work.Urgency.NORMAL, work.Shape(2, 8), 60.0, True, True)
RUN_S = 2.0
SAFE_AFTER_S = 5.0
JOB_TIMEOUT_S = 1000.0
FAILED, DONE = messages.GangState.FAILED, messages.GangState.DONE


class RecordedRunTimes(quantiles.DurationEstimator):
    """An estimator that keeps what it observes."""

    def __init__(self):
        super().__init__()
        self.observed_s = []

    def observe(self, job, observed_s):
        """Keep a run time."""
        self.observed_s.append(observed_s)
        super().observe(job, observed_s)


@pytest.fixture
def run():
    """Return a function that runs an async function in virtual time."""

    def run_in_virtual_time(function):
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))

    return run_in_virtual_time


async def wait_until(condition):
    with anyio.fail_after(JOB_TIMEOUT_S):
        while not condition():
            await trio.sleep(0.01)


async def run_until_killed(manager, *, task_status):
    with anyio.CancelScope() as scope:
        task_status.started(scope)
        await manager.run()


# Guards against runs without a limit: the last allowed run has failed, and the entry is killed
# while parts of the run may still hold leases. The failure is not recorded, and an entry runs a job
# again although its attempts are used up.
@pytest.mark.parametrize("kills", [1, 3])
def test_no_run_after_the_last_failed_run_whose_entry_is_killed(
    run, make_manager, make_agents, kills
):
    agents = make_agents(FAILED, run_s=RUN_S, safe_after_s=SAFE_AFTER_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        manager = make_manager(log, agents)
        async with anyio.create_task_group() as group:
            await group.start(run_until_killed, manager)
            await manager.submit(JOB)
            await wait_until(lambda: len(agents.ends_told) == gang_runs.FAILURES_MAX)
            await trio.sleep(SAFE_AFTER_S / 2)
            group.cancel_scope.cancel()
        for kill in range(kills):
            manager = make_manager(log, agents)
            async with anyio.create_task_group() as group:
                await group.start(run_until_killed, manager)
                ends = len(agents.ends_told)

                def has_ended(manager=manager, ends=ends):
                    tracked = manager.table.get(JOB.job_id)
                    is_recorded = tracked is not None and tracked.ended is not None
                    return is_recorded or len(agents.ends_told) > ends

                await wait_until(has_ended)
                await trio.sleep(SAFE_AFTER_S / 2 if kill + 1 < kills else 2 * SAFE_AFTER_S)
                group.cancel_scope.cancel()
        assert manager.table.get(JOB.job_id).ended.state is work.JobState.FAILED

    run(scenario)
    assert len(agents.launched) == gang_runs.FAILURES_MAX


@pytest.fixture
def play_return(run, make_manager, make_agents):
    """Return a function that plays a job that goes to another entry and comes back.

    The first entry accepts the job, but has no room for it. The second one launches a run and is
    killed, after the end of the run or before. Then the first entry owns the job again.
    """

    def play(is_run_over):
        run_times = RecordedRunTimes()
        agents = make_agents(messages.GangState.PREEMPTED, DONE, run_s=RUN_S)
        returned_s = []

        async def scenario():
            log = memory_logs.MemoryLog()
            view = fleet.FleetView()
            first = make_manager(log, agents, run_times, view)
            second = make_manager(log, agents)
            links = first._owners._links
            async with anyio.create_task_group() as group:
                view.set_ejected(("w0", "w1"))
                await group.start(run_until_killed, first)
                await first.submit(JOB)
                await trio.sleep(1.0)
                assert not agents.launched
                links.live_addresses = ("e2",)
                scope = await group.start(run_until_killed, second)
                await wait_until(lambda: agents.ends_told if is_run_over else agents.launched)
                scope.cancel()
                view.set_ejected(())
                await trio.sleep(1.0)
                returned_s.append(trio.current_time())
                links.live_addresses = ("e1",)
                await wait_until(lambda: len(agents.launched) == 2)
                returned_s.append(trio.current_time())
                tracked = await first.wait_for_completion(JOB.job_id, JOB_TIMEOUT_S)
                group.cancel_scope.cancel()
            assert tracked.ended.state is work.JobState.DONE

        run(scenario)
        assert len(agents.launched) == 2
        return run_times.observed_s, returned_s[1] - returned_s[0]

    return play


# Guards against the run time of a part that counts as that of the whole job: the run of another
# entry saved work, and the job came back to the entry to which it was new.
def test_run_time_of_a_job_that_came_back_is_not_observed(play_return):
    observed_s, _ = play_return(is_run_over=True)
    assert observed_s == []


# Guards against a second gang beside the one that another entry launched: the job was new to this
# entry before, so that it does not wait for reports of the agents.
def test_a_job_that_came_back_waits_for_reports_of_its_gang(play_return):
    _, waited_s = play_return(is_run_over=False)
    assert waited_s >= job_manager.ADOPT_GRACE_S


# Guards against accelerators that count as taken after a run has ended and none of its parts can be
# running: the log is slow to answer to the record of the failed run.
def test_accelerators_of_a_failed_run_do_not_wait_for_the_log(run, make_manager, make_agents):
    agents = make_agents(FAILED, run_s=RUN_S)
    view = fleet.FleetView()

    async def scenario():
        log = memory_logs.MemoryLog()
        manager = make_manager(log, agents, view=view)
        async with anyio.create_task_group() as group:
            await group.start(run_until_killed, manager)
            await manager.submit(JOB)
            await wait_until(lambda: agents.launched)
            log.faults.slow_s = http_logs.CLIENT_TIMEOUT_S
            await wait_until(lambda: manager.table.get(JOB.job_id).failed_attempts)
            await trio.sleep(http_logs.CLIENT_TIMEOUT_S / 2)
            is_assumed = view.is_assumed(JOB.job_id)
            group.cancel_scope.cancel()
        assert not is_assumed

    run(scenario)
    assert len(agents.launched) == 1
