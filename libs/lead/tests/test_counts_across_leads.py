"""What happens once counts once, beside killed leads and lost answers of workers and the store."""

import anyio
import loguru
import pytest

from papayaspar_jobs import registries, specs, tasks
from papayaspar_model import errors
from papayaspar_runs import workers
from papayaspar_scheduling import health
from papayaspar_standin import keyed_stores, memory_workers
from papayaspar_store import records

pytestmark = pytest.mark.anyio

# Two members fill a worker, so that a gang of two runs on one worker and one of four on two.
HALF = specs.Resources(1000, 100, 4)
WHOLE = specs.Resources(1000, 100, 8)
ESTIMATE_MS = 60_000
PAIR = specs.Step(2, HALF, ESTIMATE_MS, is_gang=True)
# Runs end only when a test ends them.
RUN_TIME_S = 60.0
ATTEMPTS = 9
DONE, FAILED = tasks.EndKind.DONE, tasks.EndKind.FAILED
LOSSLESS = keyed_stores.StoreFault.NONE
# The store executes the lead's appends, and its answers get lost: the lead acknowledges nothing.
LOST_APPENDS = keyed_stores.StoreFault.LOST_APPENDS
# The store has nothing of what the lead counted.
BUSY = keyed_stores.StoreFault.BUSY


@pytest.fixture
def log_lines():
    """Return the list of the lines that all processes of the cluster log."""
    log_lines = []
    handler = loguru.logger.add(log_lines.append, format="{message}", level="INFO")
    yield log_lines
    loguru.logger.remove(handler)


@pytest.fixture
def start_plays(start_cluster, make_queue):
    """Return a function that starts entries and workers whose runs end only by order."""

    async def start(cluster, entries, nodes):
        for number in range(1, entries + 1):
            await cluster.add_entry(f"entry-{number}")
        for node in nodes:
            agent = await cluster.add_agent(node)
            agent.worker.run_time_s = RUN_TIME_S
        cluster.configure(make_queue(attempts=ATTEMPTS))
        await _wait_until_attached(cluster)

    return start


def _lead(cluster):
    return cluster.entries[cluster.lead()]


def _work(cluster):
    return _lead(cluster).election.scheduler._state.work


def _outcomes(cluster, node):
    return _work(cluster).outcomes(node)


def _key(job, index):
    return tasks.TaskKey(job.job_id, 0, 0, index)


def _keys(job):
    return [_key(job, index) for index in range(job.steps[0].task_count)]


async def _wait_until_attached(cluster):
    """Wait until there is a lead that every agent is attached to, with an answering worker."""

    def is_attached():
        if cluster.lead() == "":
            return False
        scheduler = _lead(cluster).election.scheduler
        links = [scheduler.link(node) for node in cluster.agents]
        return all(link is not None and link.worker.is_open for link in links)

    await cluster.wait_until(is_attached)


async def _replace_lead(cluster):
    """Kill the lead, and wait until the next one is attached to all agents."""
    cluster.entries.pop(cluster.lead()).scope.cancel()
    await _wait_until_attached(cluster)


async def _start_run(cluster, job, run):
    """Wait until the lead knows that all members of a run have started; return their workers."""

    def has_started():
        found = [_work(cluster).find_task(key) for key in _keys(job)]
        return all(
            task is not None
            and task.record.run == run
            and task.is_assigned
            and not task.is_starting
            for task in found
        )

    await cluster.wait_until(has_started)
    nodes = {key: node for key, number, node in cluster.run_recorder.starts if number == run}
    return [nodes[key] for key in _keys(job)]


def _end_run(cluster, node, key, kind):
    """Let a worker end a run now."""
    run = cluster.agents[node].worker._runs[key]
    run.planned_end = kind
    run.end_s = cluster.clock.now_s()


def _has_ended_once(record):
    """Return whether the first run of a task has ended, also if the second has begun."""
    return record.phase is tasks.TaskPhase.WAITING or record.run > 1


async def _wait_until_applied(cluster, *keys):
    """Wait until the lead has applied the ends of the first runs of tasks."""
    work = _work(cluster)
    await cluster.wait_until(
        lambda: all(_has_ended_once(work.find_task(key).record) for key in keys), timeout_s=10.0
    )


async def _wait_until_stored(cluster, *keys):
    """Wait until the store has the ends of the first runs of tasks."""
    await cluster.wait_until(
        lambda: all(_has_ended_once(cluster.stored_task(key)) for key in keys), timeout_s=10.0
    )


async def _wait_until_succeeded(cluster, job):
    await cluster.wait_until(
        lambda: cluster.phase(job.job_id) is registries.JobPhase.SUCCEEDED, timeout_s=10.0
    )


async def _list_again(cluster, node):
    """Let an agent report the ends that the lead has not acknowledged again."""
    link = _lead(cluster).election.scheduler.link(node)
    former = link.state
    assert former.ends
    cluster.agents[node].controller.changes.notify()
    await cluster.wait_until(lambda: link.state is not former)
    assert link.state.ends


def _count_lines(log_lines, event):
    return sum(f"event={event} " in line for line in log_lines)


# Guards against a job that is shown as failed with attempts left after two replacements of the
# lead: each of three leads is told of another member of one failed run, and of the former ones
# again, since their ends were not acknowledged.
@pytest.mark.parametrize("fault", [LOST_APPENDS, BUSY])
async def test_run_whose_members_fail_under_three_leads_is_one_attempt(
    start_cluster, start_plays, make_job, make_queue, fault
):
    nodes = ("node-1", "node-2", "node-3")
    job = make_job(1, specs.Step(3, WHOLE, 400, is_gang=True))
    async with start_cluster() as cluster:
        await start_plays(cluster, 3, nodes)
        cluster.submit(job, make_queue(attempts=2))
        workers_of_run = await _start_run(cluster, job, 1)
        for index, node in enumerate(workers_of_run):
            if index > 0:
                await _replace_lead(cluster)
            ended = _keys(job)[: index + 1]
            _lead(cluster).store.fault = fault
            _end_run(cluster, node, ended[-1], FAILED)
            await _wait_until_applied(cluster, *ended)
            if fault is not BUSY:
                await _wait_until_stored(cluster, *ended)
        _lead(cluster).store.fault = LOSSLESS
        second_nodes = await _start_run(cluster, job, 2)
        counts = [cluster.stored_task(key) for key in _keys(job)]
        assert [(count.failures, count.failed_run) for count in counts] == [(1, 1)] * 3
        for key, node in zip(_keys(job), second_nodes, strict=True):
            _end_run(cluster, node, key, DONE)
        await _wait_until_succeeded(cluster, job)
        assert len(cluster.run_recorder.starts) == 2 * len(nodes)


# Guards against a worker that two leads, or one lead that is told again, count several failures of
# for one failed run: it is ejected by a single gang, or pauses for longer than it should.
@pytest.mark.parametrize("fault", [LOST_APPENDS, BUSY])
async def test_members_that_fail_on_a_worker_beside_a_killed_lead_are_one_failure_of_it(
    start_cluster, start_plays, make_job, make_queue, log_lines, fault
):
    job = make_job(1, PAIR)
    async with start_cluster() as cluster:
        await start_plays(cluster, 2, ("node-1", "node-2"))
        cluster.submit(job, make_queue(attempts=ATTEMPTS))
        node, _ = await _start_run(cluster, job, 1)
        _lead(cluster).store.fault = fault
        _end_run(cluster, node, _key(job, 0), FAILED)
        await _wait_until_applied(cluster, _key(job, 0))
        if fault is not BUSY:
            await _wait_until_stored(cluster, _key(job, 0))
        await _replace_lead(cluster)
        _lead(cluster).store.fault = LOST_APPENDS
        _end_run(cluster, node, _key(job, 1), FAILED)
        await _wait_until_applied(cluster, *_keys(job))
        await _list_again(cluster, node)
        outcomes = _outcomes(cluster, node)
        assert outcomes.failed_trials == 1
        assert outcomes.failed_jobs == {job.job_id}
        assert outcomes.ejections == 0
        _lead(cluster).store.fault = LOSSLESS
        assert set(await _start_run(cluster, job, 2)).isdisjoint({node})
        assert (outcomes.failed_trials, outcomes.ejections) == (1, 0)
        assert _count_lines(log_lines, "worker_ejected") == 0


class StartAnswerLosingWorker(memory_workers.MemoryWorker):
    """A worker whose answers to the starts of members from index 1 get lost."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        # Is set when the agent gives up waiting for an answer.
        self.timeout = anyio.Event()

    async def start(self, order):
        """Start a run, and lose the answer unless it is that of a first member."""
        await super().start(order)
        if order.task.index == 0:
            return
        await self.timeout.wait()
        raise workers.WorkerError("no response", ran=errors.Ran.UNKNOWN)


# Guards against a run that counts twice against its worker: the answer to the start of a member was
# lost, so that it counts as started after another member has failed.
async def test_failed_run_with_a_lost_answer_to_a_start_is_one_failure_of_its_worker(
    start_cluster, start_plays, make_job, make_queue
):
    job = make_job(1, PAIR)
    async with start_cluster() as cluster:
        await start_plays(cluster, 1, ())
        worker = StartAnswerLosingWorker(
            "node-1", cluster.run_recorder, cluster.clock, run_time_s=RUN_TIME_S
        )
        # The lead stops a run that did not start whole; it goes on until the test ends it.
        worker.stop_time_s = RUN_TIME_S
        await cluster.add_agent("node-1", worker)
        cluster.submit(job, make_queue(attempts=ATTEMPTS))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == PAIR.task_count)
        _end_run(cluster, "node-1", _key(job, 0), FAILED)
        await _wait_until_applied(cluster, _key(job, 0))
        second = _work(cluster).find_task(_key(job, 1))
        assert second.is_starting
        worker.timeout.set()
        await cluster.wait_until(lambda: not second.is_starting)
        _end_run(cluster, "node-1", _key(job, 1), FAILED)
        await _wait_until_applied(cluster, *_keys(job))
        outcomes = _outcomes(cluster, "node-1")
        assert second.started_s > outcomes.failed_s
        assert outcomes.failed_trials == 1
        assert outcomes.ejections == 0


# Guards against a worker that is ejected by one gang since two leads, or two reports, tell of its
# members; and against one that two failed runs eject twice.
@pytest.mark.parametrize("fault", [LOST_APPENDS, BUSY])
async def test_worker_is_ejected_once_by_the_second_job_that_fails_on_it(
    start_cluster, start_plays, make_job, make_queue, log_lines, fault
):
    first, second = make_job(1, PAIR), make_job(2, PAIR)
    async with start_cluster() as cluster:
        await start_plays(cluster, 2, ("node-1", "node-2"))
        cluster.submit(first, make_queue(attempts=ATTEMPTS))
        node, _ = await _start_run(cluster, first, 1)
        _lead(cluster).store.fault = fault
        _end_run(cluster, node, _key(first, 0), FAILED)
        await _wait_until_applied(cluster, _key(first, 0))
        if fault is not BUSY:
            await _wait_until_stored(cluster, _key(first, 0))
        await _replace_lead(cluster)
        _end_run(cluster, node, _key(first, 1), FAILED)
        # The second run fills the other worker.
        assert node not in await _start_run(cluster, first, 2)
        assert _outcomes(cluster, node).ejections == 0
        cluster.submit(second, make_queue(attempts=ATTEMPTS))
        assert await _start_run(cluster, second, 1) == [node, node]
        _lead(cluster).store.fault = LOST_APPENDS
        _end_run(cluster, node, _key(second, 0), FAILED)
        await _wait_until_applied(cluster, _key(second, 0))
        outcomes = _outcomes(cluster, node)
        assert (outcomes.ejections, outcomes.failed_trials) == (1, 2)
        ejected_until_s = outcomes.ejected_until_s
        _end_run(cluster, node, _key(second, 1), FAILED)
        await _wait_until_applied(cluster, *_keys(second))
        await _list_again(cluster, node)
        _lead(cluster).store.fault = LOSSLESS
        await _wait_until_stored(cluster, *_keys(second))
        assert (outcomes.ejections, outcomes.failed_trials) == (1, 2)
        assert outcomes.ejected_until_s == ejected_until_s
        assert _count_lines(log_lines, "worker_ejected") == 1


# Guards against a worker that is ejected again for a run that ejected it already: another member of
# the run is listed only after the ejection has ended, and the first one again.
async def test_member_that_is_listed_after_the_ejection_for_its_run_ejects_no_more(
    start_cluster, start_plays, make_job, make_queue, log_lines, monkeypatch
):
    monkeypatch.setattr(health, "EJECTION_S", 0.5)
    job = make_job(1, PAIR)
    async with start_cluster() as cluster:
        await start_plays(cluster, 2, ("node-1", "node-2"))
        cluster.submit(job, make_queue(attempts=ATTEMPTS))
        node, _ = await _start_run(cluster, job, 1)
        await _replace_lead(cluster)
        outcomes = _outcomes(cluster, node)
        outcomes.record_failure("other", cluster.clock.now_s(), had_progress=True)
        _lead(cluster).store.fault = LOST_APPENDS
        _end_run(cluster, node, _key(job, 0), FAILED)
        await _wait_until_applied(cluster, _key(job, 0))
        assert outcomes.ejections == 1
        await cluster.wait_until(lambda: not outcomes.is_ejected(cluster.clock.now_s()))
        await _list_again(cluster, node)
        _end_run(cluster, node, _key(job, 1), FAILED)
        await _wait_until_applied(cluster, *_keys(job))
        _lead(cluster).store.fault = LOSSLESS
        await _wait_until_stored(cluster, *_keys(job))
        assert outcomes.ejections == 1
        assert not outcomes.is_ejected(cluster.clock.now_s())
        assert _count_lines(log_lines, "worker_ejected") == 1


# Guards against a worker that stays on trial, or is ejected by the next failure, although a gang
# succeeded on it: its own end was not listed before the job had ended.
async def test_success_of_a_gang_is_credited_to_a_worker_whose_answers_are_lost(
    start_cluster, start_plays, make_job, make_queue
):
    job = make_job(1, specs.Step(2, WHOLE, 400, is_gang=True))
    async with start_cluster() as cluster:
        await start_plays(cluster, 2, ("node-1", "node-2"))
        cluster.submit(job, make_queue(attempts=ATTEMPTS))
        first_nodes = await _start_run(cluster, job, 1)
        await _replace_lead(cluster)
        for key, node in zip(_keys(job), first_nodes, strict=True):
            _end_run(cluster, node, key, FAILED)
        nodes = await _start_run(cluster, job, 2)
        outcomes = [_outcomes(cluster, node) for node in nodes]
        assert [entry.failed_trials for entry in outcomes] == [1, 1]
        silent = cluster.agents[nodes[1]].worker
        silent.fault = memory_workers.WorkerFault.MUTE
        _lead(cluster).store.fault = LOST_APPENDS
        _end_run(cluster, nodes[1], _key(job, 1), DONE)
        await cluster.wait_until(lambda: not silent._runs)
        _end_run(cluster, nodes[0], _key(job, 0), DONE)
        await cluster.wait_until(
            lambda: all(not entry.failed_jobs for entry in outcomes), timeout_s=10.0
        )
        _lead(cluster).store.fault = LOSSLESS
        await _wait_until_succeeded(cluster, job)
        # The next failure is the first one since the success, also after the end is listed late.
        for entry in outcomes:
            entry.record_failure("other", cluster.clock.now_s(), had_progress=True)
        silent.fault = memory_workers.WorkerFault.NONE
        link = _lead(cluster).election.scheduler.link(nodes[1])
        await cluster.wait_until(lambda: bool(link.acknowledged))
        assert [entry.failed_jobs for entry in outcomes] == [{"other"}] * 2
        assert [entry.failed_s for entry in outcomes] == [None, None]


# Guards against a worker that goes on trial, and is barred for a gang, since its answers were lost
# while the new lead saw the gang make progress on another worker.
async def test_progress_that_a_new_lead_sees_counts_for_members_whose_answers_are_lost(
    start_cluster, start_plays, make_job, make_queue
):
    job = make_job(1, specs.Step(2, WHOLE, ESTIMATE_MS, is_gang=True))
    async with start_cluster() as cluster:
        await start_plays(cluster, 2, ("node-1", "node-2"))
        for agent in cluster.agents.values():
            # Within a second, a run makes more than the progress that proves its start.
            agent.worker.run_time_s = 10.0
        cluster.submit(job, make_queue(attempts=ATTEMPTS))
        nodes = await _start_run(cluster, job, 1)
        cluster.agents[nodes[1]].worker.fault = memory_workers.WorkerFault.MUTE
        cluster.entries.pop(cluster.lead()).scope.cancel()
        await cluster.wait_until(lambda: cluster.lead() != "")
        task = _work(cluster).find_task(_key(job, 0))
        await cluster.wait_until(lambda: task.has_proven_start, timeout_s=6.0)
        assert not _work(cluster).find_task(_key(job, 1)).has_proven_start
        for key, node in zip(_keys(job), nodes, strict=True):
            _end_run(cluster, node, key, FAILED)
        await _wait_until_applied(cluster, _key(job, 0))
        cluster.agents[nodes[1]].worker.fault = memory_workers.WorkerFault.NONE
        assert sorted(await _start_run(cluster, job, 2)) == sorted(nodes)
        outcomes = [_outcomes(cluster, node) for node in nodes]
        assert task.unit.failed_nodes == frozenset()
        assert [entry.failed_jobs for entry in outcomes] == [{job.job_id}] * 2
        assert [entry.failed_trials for entry in outcomes] == [0, 0]


# Guards against ends that count again when they are listed again: to the same lead on a new stream,
# by a restarted agent, and to a new lead, after each of which the acknowledgement is lost.
async def test_ends_that_are_listed_again_after_lost_acknowledgements_count_once(
    start_cluster, start_plays, make_job, make_queue, log_lines, monkeypatch
):
    job = make_job(1, PAIR)
    async with start_cluster() as cluster:
        await start_plays(cluster, 2, ("node-1", "node-2"))
        cluster.submit(job, make_queue(attempts=2))
        node, _ = await _start_run(cluster, job, 1)
        agent = cluster.agents[node]
        monkeypatch.setattr(agent.controller, "acknowledge", _lose_acknowledgement)
        for key in _keys(job):
            _end_run(cluster, node, key, FAILED)
        second_nodes = await _start_run(cluster, job, 2)
        assert node not in second_nodes
        outcomes = _outcomes(cluster, node)
        # A new stream to the same lead.
        link = _lead(cluster).election.scheduler.link(node)
        link.disconnect()
        await cluster.wait_until(lambda: not link.is_attached)
        await _wait_until_attached(cluster)
        assert len(link.state.ends) == PAIR.task_count
        # A restarted agent.
        agent.scope.cancel()
        await cluster.wait_until(lambda: not link.is_attached)
        restarted = await cluster.add_agent(node, agent.worker)
        monkeypatch.setattr(restarted.controller, "acknowledge", _lose_acknowledgement)
        await _wait_until_attached(cluster)
        assert len(link.state.ends) == PAIR.task_count
        assert (outcomes.failed_trials, outcomes.ejections) == (1, 0)
        # A new lead.
        await _replace_lead(cluster)
        link = _lead(cluster).election.scheduler.link(node)
        assert len(link.state.ends) == PAIR.task_count
        assert _outcomes(cluster, node).failed_trials == 0
        for key, second_node in zip(_keys(job), second_nodes, strict=True):
            _end_run(cluster, second_node, key, DONE)
        await _wait_until_succeeded(cluster, job)
        stored = [
            records.decode(record, tasks.TaskRecord)
            for record in cluster.log.partition(records.TASKS_PARTITION).newest.values()
        ]
        assert [(record.failures, record.failed_run) for record in stored] == [(1, 1)] * 2
        assert _count_lines(log_lines, "attempt_failed") == 1
        assert len(cluster.run_recorder.starts) == 2 * PAIR.task_count


def _lose_acknowledgement(incarnation, number):
    """Lose a lead's acknowledgement of results."""
