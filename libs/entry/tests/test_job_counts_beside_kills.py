"""Failed runs and run times of a job, beside killed entries and lost answers of log and agents."""

import contextlib

import anyio
import attrs
import pytest
import trio
import trio.testing

from papayaspar_entry import gang_runs, job_manager, records
from papayaspar_estimates import quantiles
from papayaspar_model import errors, work, workers
from papayaspar_placement import fleet
from papayaspar_slots import messages
from papayaspar_standin import memory_logs

JOB = work.Job("job-1", "t", "k", work.Urgency.NORMAL, work.Shape(2, 8), 60.0, True, True)
RUN_S = 2.0
# A run in which the acceptance of its job is repeated.
LONG_RUN_S = job_manager.REPEAT_INTERVAL_S + 100.0
JOB_TIMEOUT_S = 10_000.0
POLL_INTERVAL_S = 0.05
FAILED = messages.GangState.FAILED
DONE = messages.GangState.DONE


class RecordedRunTimes(quantiles.DurationEstimator):
    """An estimator that keeps what it observes."""

    def __init__(self):
        super().__init__()
        self.observed_s = []

    def observe(self, job, observed_s):
        """Keep a run time."""
        self.observed_s.append(observed_s)
        super().observe(job, observed_s)


async def wait_for_record(log, is_wanted, count=1):
    """Wait until a number of records for which a check holds are on the log; return their offsets.

    Their answers may be lost.
    """
    offsets = []
    next_offset = 0
    with anyio.fail_after(JOB_TIMEOUT_S):
        while len(offsets) < count:
            page = await log.read(records.JOBS_STREAM, next_offset, JOB_TIMEOUT_S)
            next_offset = page.next_offset
            for record in page.records:
                if is_wanted(records.decode(record.data)):
                    offsets.append(record.offset)
    return offsets


async def wait_until(condition):
    """Wait until a condition holds."""
    with anyio.fail_after(JOB_TIMEOUT_S):
        while not condition():
            await trio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def running(manager):
    """Run an entry's jobs during a block, and kill the entry after it."""
    async with anyio.create_task_group() as group:
        group.start_soon(manager.run)
        yield manager
        group.cancel_scope.cancel()


async def run_until_killed(manager, *, task_status):
    """Run an entry's jobs until the scope that the group gets is cancelled."""
    with anyio.CancelScope() as scope:
        task_status.started(scope)
        await manager.run()


async def wait_for_result(manager):
    """Return the ended job."""
    await wait_until(lambda: manager.table.get(JOB.job_id) is not None)
    tracked = await manager.wait_for_completion(JOB.job_id, JOB_TIMEOUT_S)
    assert tracked.ended is not None
    return tracked


def report_gang(view, sequence, *fences):
    """Let the agents of both workers report the gang that holds them, or none, to an entry."""
    for worker in ("w0", "w1"):
        identity = workers.WorkerIdentity(worker, 1, "r", "dc", "region")
        uses = tuple(
            workers.GangUse(
                fence.job_id, fence.attempt, "t", tuple(range(8)), True, True, 1.0, 60.0, "w0"
            )
            for fence in fences
        )
        report = workers.WorkerReport(identity, workers.Capacity(), sequence, 0, False, uses)
        view.observe(report, trio.current_time())


def is_failed_run(record):
    return isinstance(record, records.RunFailed)


def is_result(record):
    return isinstance(record, records.JobEnded)


def make_unreachable(agents):
    """Make the agents of the first run unreachable once they have launched it."""
    answer = agents.inquire

    async def inquire(worker, inquiry):
        if inquiry.fence == agents.launched[0]:
            raise errors.PeerError("no stream")
        return await answer(worker, inquiry)

    async def cancel(worker, fence):
        raise errors.PeerError("no stream")

    agents.inquire = inquire
    agents.cancel = cancel


@pytest.fixture
def run():
    """Return a function that runs an async function in virtual time."""

    def run_in_virtual_time(function):
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))

    return run_in_virtual_time


# Guards against a failed run that counts twice or never: the log's answer to its record is lost,
# and the entry, which would repeat it, is killed; a restarted entry follows the next run.
def test_a_failed_run_counts_once_if_the_answer_to_its_record_is_lost(
    run, make_manager, make_agents
):
    agents = make_agents(FAILED, run_s=RUN_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        for count in range(1, gang_runs.FAILURES_MAX):
            async with running(make_manager(log, agents)) as manager:
                if count == 1:
                    await manager.submit(JOB)
                await wait_until(lambda count=count: len(agents.launched) == count)
                log.faults.answer_lost = True
                await wait_for_record(log, is_failed_run, count)
            log.faults.answer_lost = False
        async with running(make_manager(log, agents)) as last:
            tracked = await wait_for_result(last)
        assert tracked.ended.state is work.JobState.FAILED
        assert tracked.failed_attempts == {fence.attempt for fence in agents.launched}

    run(scenario)
    assert len(agents.launched) == gang_runs.FAILURES_MAX


# Guards against a failed run that counts once in its own record and once more in each repeated
# acceptance, or no more when the log has dropped its record; each entry is killed in its run.
@pytest.mark.parametrize("is_trimmed", [False, True])
def test_a_failed_run_counts_once_beside_repeated_acceptances(
    run, make_manager, make_agents, is_trimmed
):
    agents = make_agents(FAILED, run_s=LONG_RUN_S)
    kills = gang_runs.FAILURES_MAX - 1

    async def scenario():
        log = memory_logs.MemoryLog()
        for failures in range(1, gang_runs.FAILURES_MAX):

            def names_all(record, failures=failures):
                is_accepted = isinstance(record, records.JobAccepted)
                return is_accepted and len(record.failed_attempts) == failures

            async with running(make_manager(log, agents)) as manager:
                if failures == 1:
                    await manager.submit(JOB)
                # Two repetitions, the second one beside a run that fails or is lost.
                offsets = await wait_for_record(log, names_all)
            if is_trimmed:
                log.trim(records.JOBS_STREAM, offsets[-1])
        async with running(make_manager(log, agents)) as last:
            tracked = await wait_for_result(last)
        assert tracked.ended.state is work.JobState.FAILED
        assert len(tracked.failed_attempts) == gang_runs.FAILURES_MAX

    run(scenario)
    assert len(agents.launched) == gang_runs.FAILURES_MAX + kills


# Guards against a run that counts once for each entry that follows it: two entries take each other
# for dead, and both record its end; one of them is killed afterwards.
@pytest.mark.parametrize("killed", ["launcher", "follower"])
def test_a_run_that_two_entries_follow_fails_once(run, make_manager, make_agents, killed):
    agents = make_agents(FAILED, run_s=RUN_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        views = {"launcher": fleet.FleetView(), "follower": fleet.FleetView()}
        entries = {name: make_manager(log, agents, view=views[name]) for name in views}
        left = "follower" if killed == "launcher" else "launcher"
        async with anyio.create_task_group() as group:
            scopes = {"launcher": await group.start(run_until_killed, entries["launcher"])}
            await entries["launcher"].submit(JOB)
            await wait_until(lambda: agents.launched)
            for view in views.values():
                report_gang(view, 2, agents.launched[0])
            scopes["follower"] = await group.start(run_until_killed, entries["follower"])
            await wait_for_record(log, is_failed_run, count=2)
            scopes[killed].cancel()
            assert len(agents.launched) == 1
            # The workers of the run are free now.
            report_gang(views[left], 3)
            tracked = await wait_for_result(entries[left])
            group.cancel_scope.cancel()
        assert tracked.ended.state is work.JobState.FAILED

    run(scenario)
    assert len(agents.launched) == gang_runs.FAILURES_MAX


# Guards against a failed run that is forgotten: the log is out of reach when the run fails, and the
# entry is killed before it repeats the acceptance of the job, which names the run, too.
def test_a_failed_run_counts_though_the_log_was_out_of_reach(run, make_manager, make_agents):
    agents = make_agents(FAILED, run_s=RUN_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        async with running(make_manager(log, agents)) as first:
            await first.submit(JOB)
            await wait_until(lambda: len(agents.launched) == 1)
            log.faults.down = True
            await wait_until(lambda: first.table.get(JOB.job_id).failed_attempts)
            await trio.sleep(RUN_S / 2)
            log.faults.down = False
            # The second run fails, too. Both are recorded long before the acceptance of the job is
            # repeated.
            with anyio.fail_after(job_manager.REPEAT_INTERVAL_S / 2):
                await wait_for_record(log, is_failed_run, 2)
        async with running(make_manager(log, agents)) as last:
            assert (await wait_for_result(last)).ended.state is work.JobState.FAILED

    run(scenario)
    assert len(agents.launched) == gang_runs.FAILURES_MAX


# Guards against a run time that is observed for each answer: the lead's first answer is lost, and
# so are the log's answers to the record of the result, which is repeated.
def test_run_time_is_observed_once_beside_lost_answers(run, make_manager, make_agents):
    run_times = RecordedRunTimes()
    agents = make_agents(DONE, run_s=RUN_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        async with running(make_manager(log, agents, run_times)) as manager:
            await manager.submit(JOB)
            await wait_until(lambda: agents.launched)
            log.faults.answer_lost = True
            await wait_for_record(log, is_result, 3)
            log.faults.answer_lost = False
            assert (await wait_for_result(manager)).ended.state is work.JobState.DONE

    run(scenario)
    assert len(run_times.observed_s) == len(agents.launched) == 1


# Guards against a run time that two entries observe, or a restarted one: another entry adopts the
# run, and the entry that launched it is killed or not.
@pytest.mark.parametrize("is_killed", [False, True])
def test_run_time_is_observed_by_one_entry(run, make_manager, make_agents, is_killed):
    agents = make_agents(DONE, run_s=RUN_S)
    run_times = [RecordedRunTimes(), RecordedRunTimes()]

    async def scenario():
        log = memory_logs.MemoryLog()
        view = fleet.FleetView()
        launcher = make_manager(log, agents, run_times[0])
        follower = make_manager(log, agents, run_times[1], view)
        async with anyio.create_task_group() as group:
            scope = await group.start(run_until_killed, launcher)
            await launcher.submit(JOB)
            await wait_until(lambda: agents.launched)
            report_gang(view, 2, agents.launched[0])
            await group.start(run_until_killed, follower)
            if is_killed:
                scope.cancel()
            ended = (await wait_for_result(follower)).ended
            await wait_for_record(log, is_result, count=1 if is_killed else 2)
            group.cancel_scope.cancel()
        assert ended.state is work.JobState.DONE

    run(scenario)
    assert len(agents.launched) == 1
    assert sum(len(times.observed_s) for times in run_times) == (0 if is_killed else 1)


# Guards against the run time of a part: the lead of the first run is killed, the entry gives up the
# run, and the second one resumes from a checkpoint.
@pytest.mark.parametrize("checkpoint", [False, True])
def test_run_time_after_a_run_whose_lead_was_killed(run, make_manager, make_agents, checkpoint):
    run_times = RecordedRunTimes()
    agents = make_agents(DONE, run_s=RUN_S)
    make_unreachable(agents)

    async def scenario():
        log = memory_logs.MemoryLog()
        async with running(make_manager(log, agents, run_times)) as manager:
            await manager.submit(attrs.evolve(JOB, checkpoint=checkpoint))
            assert (await wait_for_result(manager)).ended.state is work.JobState.DONE

    run(scenario)
    assert len(agents.launched) == 2
    # Without checkpoints, the second run did all the work.
    assert len(run_times.observed_s) == (0 if checkpoint else 1)


# Guards against the run time of a part after a restart: the first run ended early, its entry is
# killed, and the restarted entry follows the run that resumes from a checkpoint.
@pytest.mark.parametrize(
    "state", [messages.GangState.PREEMPTED, messages.GangState.LOST, messages.GangState.FAILED]
)
@pytest.mark.parametrize("checkpoint", [False, True])
def test_run_time_after_a_restart_of_the_entry(run, make_manager, make_agents, state, checkpoint):
    run_times = RecordedRunTimes()
    agents = make_agents(state, DONE, DONE, run_s=RUN_S)

    async def scenario():
        log = memory_logs.MemoryLog()
        async with running(make_manager(log, agents)) as first:
            await first.submit(attrs.evolve(JOB, checkpoint=checkpoint))
            # The first run has ended, and the second one is running.
            await wait_until(lambda: len(agents.launched) == 2)
        async with running(make_manager(log, agents, run_times)) as second:
            assert (await wait_for_result(second)).ended.state is work.JobState.DONE

    run(scenario)
    assert len(agents.launched) == 3
    assert len(run_times.observed_s) == (0 if checkpoint else 1)


# Guards against a start that is confirmed by an attempt which was given up: the answer to a
# reservation is late, the gang is placed again, and the first report of that reservation arrives.
def test_a_late_report_of_a_given_up_attempt_does_not_confirm_a_start(
    run, make_manager, make_agents
):
    agents = make_agents(DONE, run_s=RUN_S)
    given_up = []

    async def reserve(worker, claim):
        if not given_up:
            given_up.append(claim.fence)
            raise errors.PeerError("no reply within the timeout", ran=errors.Ran.UNKNOWN)

    agents.reserve = reserve

    async def scenario():
        view = fleet.FleetView()
        async with running(make_manager(memory_logs.MemoryLog(), agents, view=view)) as manager:
            await manager.submit(JOB)
            await wait_until(lambda: agents.launched)
            assert given_up[0].attempt < agents.launched[0].attempt
            assert view.is_assumed(JOB.job_id)
            report_gang(view, 2, given_up[0])
            assert view.is_assumed(JOB.job_id)
            report_gang(view, 3, agents.launched[0])
            assert not view.is_assumed(JOB.job_id)

    run(scenario)
