"""Failed runs of gangs under replaced leads, lost records and repeated reports."""

import itertools
import random

import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_standin import keyed_stores, memory_workers
from papayaspar_store import records

pytestmark = pytest.mark.anyio

MEMBERS = 3
MEMBER = specs.Resources(1000, 100, 4)
GANG = specs.Step(MEMBERS, MEMBER, 5000, is_gang=True)
JOB_ID = "0" * 16
NODES = ("node-0", "node-1", "node-2")
ATTEMPTS = 2
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, ATTEMPTS, 1.5, 250)
FINAL_PHASES = (registries.JobPhase.SUCCEEDED, registries.JobPhase.FAILED)
PLAYS = 400
STEPS_MAX = 150
END_KINDS = tuple(kind for kind in tasks.EndKind if kind is not tasks.EndKind.DONE)


@attrs.define
class Play:
    """Runs of a gang on workers that list their ends until a lead has stored them.

    Each change of a record is queued; a prefix of the queue is stored, as appends are.
    """

    rng: random.Random
    members: int
    work: workload.Workload | None = None
    stored: dict[int, bytes] = attrs.field(factory=dict)
    queued: list[tuple[int, bytes]] = attrs.field(factory=list)
    running: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    # Listed ends: member, VM, run, kind.
    listed: list[tuple[int, str, int, tasks.EndKind]] = attrs.field(factory=list)
    failed_runs: set[int] = attrs.field(factory=set)
    starts: list[int] = attrs.field(factory=list)

    @property
    def step(self):
        return attrs.evolve(GANG, task_count=self.members)

    def replace_lead(self):
        self.queued.clear()
        hybrid_clock = causality.HybridClock(clock.BootClock())
        self.work = workload.Workload(
            journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics())
        )
        registry = registries.JobRegistry()
        registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (self.step,)), QUEUE, 0)
        self.work.sync(registry, 100.0)
        for index, value in self.stored.items():
            stored = records.stores.KeyedRecord("task/", value)
            self.work.restore(_key(index), records.decode(stored, tasks.TaskRecord), 100.0)

    def flush(self):
        for task in self.work.pop_changed():
            self.queued.append((task.key.index, records.encode("task/", task.record).value))

    def store(self, count):
        for _ in range(min(count, len(self.queued))):
            index, value = self.queued.pop(0)
            self.stored[index] = value

    def report(self, index, node, run, kind):
        if kind is tasks.EndKind.FAILED and self.work.is_assigned_run(_key(index), run, node):
            self.failed_runs.add(run)
        self.work.apply_end(node, workers.RunResult(1, _key(index), run, kind), 101.0)
        self.flush()

    def list_ends(self):
        """Report the listed ends to the lead, in any order, and some of them again."""
        for end in self.rng.sample(self.listed, len(self.listed)):
            if self.rng.random() < 0.7:
                self.report(*end)

    def release_unlisted(self):
        listed = {(index, run) for index, _, run, _ in self.listed}
        for node in NODES:
            for task in self.work.tasks_on_node(node):
                index, run = task.key.index, task.record.run
                if self.running.get(index) == (node, run) or (index, run) in listed:
                    continue
                self.work.release(task, "its worker does not list the run")
        self.flush()

    def start(self):
        for demand in planning_inputs.PlanningInputs(self.work).demands(100.0, 0.0):
            nodes = tuple(self.rng.sample(NODES, self.members))
            incarnations = {node: tasks.Incarnation(node, 1) for node in nodes}
            self.work.assign(demand.unit, nodes, incarnations, 100.0)
            self.flush()
            if self.rng.random() < 0.3:
                # The lead is lost before the assignment is stored whole.
                self.store(self.rng.randrange(len(self.queued)))
                self.replace_lead()
                return
            self.store(len(self.queued))
            self.listed.clear()
            run = demand.unit.members[0].record.run
            self.starts.append(run)
            started = self.rng.randint(1, self.members)
            for task, node in itertools.islice(
                zip(demand.unit.members, nodes, strict=True), started
            ):
                task.mark_started(100.0)
                self.running[task.key.index] = (node, run)

    def end_member(self):
        if not self.running:
            return
        index = self.rng.choice(sorted(self.running))
        node, run = self.running.pop(index)
        kind = self.rng.choice((*END_KINDS, *[tasks.EndKind.FAILED] * len(END_KINDS)))
        self.listed.append((index, node, run, kind))


def _key(index):
    return tasks.TaskKey(JOB_ID, 0, 0, index)


def _gang_job(work):
    (active,) = work.jobs()
    return active.progress


@pytest.mark.parametrize("members", [1, 2, 3])
@pytest.mark.parametrize("seed", range(20))
def test_failed_runs_count_once_whatever_is_stored_and_reported(seed, members):
    rng = random.Random(seed)
    failed_count = 0
    for _ in range(PLAYS // 20):
        play = Play(rng, members)
        play.replace_lead()
        for _ in range(STEPS_MAX):
            step = rng.choice(
                (
                    play.end_member,
                    play.end_member,
                    play.list_ends,
                    play.release_unlisted,
                    "store",
                    "lead",
                    play.start,
                )
            )
            if step == "store":
                play.store(rng.randint(0, 3))
            elif step == "lead":
                play.store(rng.randint(0, 3))
                play.replace_lead()
            else:
                step()
        # The last lead is told of all that is listed.
        for end in play.listed:
            play.report(*end)
        job = _gang_job(play.work)
        unit = job.task(_key(0)).unit
        assert unit.failures == len(play.failed_runs)
        assert job.has_failed == (len(play.failed_runs) >= ATTEMPTS)
        assert len(play.failed_runs) <= ATTEMPTS
        failed_count += job.has_failed
    assert failed_count


def _repair(cluster):
    for agent in cluster.agents.values():
        agent.worker.fault = memory_workers.WorkerFault.NONE


async def _run_gang(cluster, spec, job_queue, faults, run_times_s):
    await cluster.add_entry("entry-1")
    for node, fault, run_time_s in zip(NODES, faults, run_times_s, strict=False):
        agent = await cluster.add_agent(node)
        agent.worker.run_time_s, agent.worker.fault = run_time_s, fault
    cluster.configure(job_queue)
    await cluster.wait_until(
        lambda: (
            cluster.entries["entry-1"].election.is_lead
            and len(cluster.entries["entry-1"].election.scheduler.attached_nodes()) == len(faults)
        )
    )
    cluster.submit(spec, job_queue)


def _runs(cluster):
    return sorted({run for _, run, _ in cluster.run_recorder.starts})


FAILS = memory_workers.WorkerFault.FAILS
WHOLE = specs.Resources(1000, 100, 8)
# Two members of a gang fit on one worker.
HALF = specs.Resources(1000, 100, 4)


async def test_members_that_fail_seconds_apart_count_once(start_cluster, make_job, make_queue):
    spec = make_job(1, specs.Step(3, WHOLE, 400, is_gang=True))
    async with start_cluster() as cluster:
        await _run_gang(cluster, spec, make_queue(attempts=2), (FAILS,) * 3, (0.2, 1.7, 3.2))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 3)
        _repair(cluster)
        await cluster.wait_until(lambda: cluster.phase(spec.job_id) in FINAL_PHASES)
        assert cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED
        assert _runs(cluster) == [1, 2]


async def test_members_that_fail_on_one_worker_count_once(start_cluster, make_job, make_queue):
    spec = make_job(1, specs.Step(2, HALF, 400, is_gang=True))
    async with start_cluster() as cluster:
        await _run_gang(cluster, spec, make_queue(attempts=2), (FAILS,), (0.3,))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2)
        _repair(cluster)
        await cluster.wait_until(lambda: cluster.phase(spec.job_id) in FINAL_PHASES)
        assert cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED


def test_attempts_count_for_each_step_and_occurrence():
    gang = attrs.evolve(GANG, task_count=2)
    spec = specs.JobSpec(
        JOB_ID,
        "checks",
        "team",
        "",
        (gang, attrs.evolve(gang, after=(0,))),
        schedule=specs.Schedule(2, 0, 1),
    )
    hybrid_clock = causality.HybridClock(clock.BootClock())
    work = workload.Workload(journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics()))
    registry = registries.JobRegistry()
    registry.accept(spec, attrs.evolve(QUEUE, attempts=2), 0)
    work.sync(registry, 100.0)
    ended = set()
    for _ in range(4 * 2):
        demand = next(iter(planning_inputs.PlanningInputs(work).demands(100.0, 1e15)))
        nodes = NODES[:2]
        work.assign(demand.unit, nodes, {n: tasks.Incarnation(n, 1) for n in nodes}, 100.0)
        for task, node in zip(demand.unit.members, nodes, strict=True):
            task.mark_started(100.0)
            is_first = task.record.run == 1
            kind = tasks.EndKind.FAILED if is_first else tasks.EndKind.DONE
            ended.add((task.key.occurrence, task.key.step, task.record.run))
            work.apply_end(node, workers.RunResult(1, task.key, task.record.run, kind), 101.0)
        assert not _gang_job(work).has_failed
    assert len(ended) == 8
    assert _gang_job(work).is_done


async def test_failed_run_whose_append_got_no_answer_counts_once(
    start_cluster, make_job, make_queue
):
    spec = make_job(1, specs.Step(3, WHOLE, 400, is_gang=True))
    job_queue = make_queue(attempts=2)
    async with start_cluster() as cluster:
        await _run_gang(cluster, spec, job_queue, (FAILS,) * 3, (0.5, 0.6, 0.7))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 3)
        cluster.entries["entry-1"].store.fault = keyed_stores.StoreFault.LOST_APPENDS
        _repair(cluster)
        await cluster.sleep(1.2)
        await cluster.add_entry("entry-2")
        cluster.configure(job_queue)
        await cluster.wait_until(lambda: cluster.phase(spec.job_id) in FINAL_PHASES)
        assert cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED
        assert _runs(cluster) == [1, 2]


async def test_late_append_of_a_former_lead_does_not_count(start_cluster, make_job, make_queue):
    spec = make_job(1, specs.Step(3, WHOLE, 400, is_gang=True))
    job_queue = make_queue(attempts=2)
    async with start_cluster() as cluster:
        await _run_gang(cluster, spec, job_queue, (FAILS,) * 3, (0.5, 0.6, 0.7))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 3)
        former = cluster.entries["entry-1"]
        former.store.fault = keyed_stores.StoreFault.LATE
        _repair(cluster)
        await cluster.add_entry("entry-2")
        cluster.configure(job_queue)
        await cluster.wait_until(lambda: cluster.entries["entry-2"].election.is_lead)
        former.store.heal()
        await cluster.wait_until(lambda: cluster.phase(spec.job_id) in FINAL_PHASES)
        assert cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED
        assert _runs(cluster) == [1, 2]


async def test_gang_with_a_member_that_never_starts_has_attempts_left(
    start_cluster, make_job, make_queue
):
    spec = make_job(1, specs.Step(3, WHOLE, 400, is_gang=True))
    full = memory_workers.WorkerFault.FULL
    async with start_cluster() as cluster:
        await _run_gang(cluster, spec, make_queue(attempts=2), (FAILS, FAILS, full), (0.3,) * 3)
        # The members that started end as failed before they are stopped.
        for agent in cluster.agents.values():
            agent.worker.stop_time_s = 60.0
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) >= 2)
        _repair(cluster)
        await cluster.wait_until(lambda: cluster.phase(spec.job_id) in FINAL_PHASES)
        assert cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED


async def test_new_lead_stops_the_runs_of_a_job_that_was_shown_as_failed_early(
    start_cluster, make_job, make_queue
):
    spec = make_job(1, specs.Step(3, WHOLE, 400, is_gang=True))
    async with start_cluster() as cluster:
        await _run_gang(cluster, spec, make_queue(attempts=1), (FAILS,) * 3, (0.3, 60.0, 60.0))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 3)
        for node in NODES[1:]:
            cluster.agents[node].worker.stop_time_s = 60.0
        await cluster.wait_until(lambda: cluster.phase(spec.job_id) is registries.JobPhase.FAILED)
        cluster.entries["entry-1"].scope.cancel()
        _repair(cluster)
        for node in NODES[1:]:
            for run in cluster.agents[node].worker._runs.values():
                run.stop_s = None
            cluster.agents[node].worker.stop_time_s = 0.0
        entry = await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: entry.election.is_lead)
        await cluster.wait_until(lambda: not any(cluster.run_recorder.running.values()))
        await cluster.sleep(1.0)
        assert cluster.phase(spec.job_id) is registries.JobPhase.FAILED
        assert _runs(cluster) == [1]


def test_gang_that_lasts_has_no_limit_of_attempts():
    step = attrs.evolve(GANG, is_lasting=True)
    work = workload.Workload(
        journal.Journal("entry", "dc", causality.HybridClock(clock.BootClock()), metrics.Metrics())
    )
    registry = registries.JobRegistry()
    registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (step,)), QUEUE, 0)
    work.sync(registry, 100.0)
    for run in range(1, 6):
        (demand,) = planning_inputs.PlanningInputs(work).demands(100.0, 0.0)
        work.assign(demand.unit, NODES, {n: tasks.Incarnation(n, 1) for n in NODES}, 100.0)
        for task, node in zip(demand.unit.members, NODES, strict=True):
            end = workers.RunResult(1, task.key, run, tasks.EndKind.FAILED)
            work.apply_end(node, end, 101.0)
        assert demand.unit.failures == run
    assert not _gang_job(work).has_failed


# A former version leaves the field out of its records, and ignores it in those of this one.
def test_records_are_read_by_both_versions():
    record = tasks.TaskRecord(tasks.TaskPhase.WAITING, 2, "node-0", None, 1, "", 2)
    stored = records.encode("task/", record)
    former_type = attrs.make_class(
        "FormerRecord",
        {
            "phase": attrs.field(type=tasks.TaskPhase, default=tasks.TaskPhase.WAITING),
            "run": attrs.field(type=int, default=0),
            "failures": attrs.field(type=int, default=0),
        },
        frozen=True,
    )
    former = records.decode(stored, former_type)
    assert (former.run, former.failures) == (2, 1)
    again = records.decode(records.encode("task/", former), tasks.TaskRecord)
    assert (again.failures, again.failed_run) == (1, 0)
