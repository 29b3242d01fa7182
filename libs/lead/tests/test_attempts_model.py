"""Property test: a run counts as one failed attempt, however its members end and are reported.

It uses the real workload, and the real records between one lead and the next. With
``ATTEMPTS_EXAMPLES=5000`` in its environment, the test runs that many random examples; failing ones
are printed with all steps.
"""

import collections
import os

import attrs
import hypothesis
import loguru
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_store import records, stores

NODES = ("node-0", "node-1", "node-2", "node-3")
MEMBERS_MAX = 5
START_S = 1000.0
# Short enough that the tasks of a job that is done stay in memory.
TICK_S = 0.1
EXAMPLES = 400
STEPS = 40

PICK = st.integers(0, 99)
NODE = st.sampled_from(NODES)
RARELY = st.sampled_from([False, False, False, True])
STEP = st.builds(
    specs.Step,
    st.integers(2, MEMBERS_MAX),
    is_gang=st.sampled_from([True, True, False]),
    is_lasting=RARELY,
)
JOB = st.tuples(st.integers(1, 4), st.lists(STEP, min_size=1, max_size=2))
# Ends of one member of a run, after which it is queued again; ``None`` when it runs on.
REQUEUED = [kind for kind in tasks.EndKind if kind is not tasks.EndKind.DONE]
KIND = st.sampled_from([None, tasks.EndKind.FAILED, *REQUEUED])
KINDS = st.lists(KIND, min_size=MEMBERS_MAX, max_size=MEMBERS_MAX)
SOME_NODES = st.lists(NODE, min_size=MEMBERS_MAX, max_size=MEMBERS_MAX)
ORDER = st.permutations(range(MEMBERS_MAX))
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 1, 1.5, 250)


@attrs.frozen
class Member:
    """Expected state of a task, and the runs in which its own end was the result of a failure."""

    phase: tasks.TaskPhase = tasks.TaskPhase.WAITING
    run: int = 0
    node: str = ""
    failed_runs: frozenset[int] = frozenset()


@attrs.frozen
class Entry:
    """A record of a task for the store, and the expected state of the task at that time."""

    record: stores.KeyedRecord
    member: Member


class AttemptsMachine(stateful.RuleBasedStateMachine):
    """Leads that follow one another, the store, and workers on which members of units run."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(START_S)
        hybrid_clock = causality.HybridClock(self.clock)
        self.events = journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics())
        self.registry = registries.JobRegistry()
        self.attempts, self.units, self.members = {}, [], {}
        # All records in the order of their changes, and how many of them are stored.
        self.queue, self.stored_count = [], 0
        # Starts that wait for the store, and those that no answer was read for.
        self.starts, self.unanswered = [], []
        # Runs in progress with their VM, and the results that each VM lists.
        self.running, self.ends, self.former_ends = {}, {node: [] for node in NODES}, []
        self.numbers, self.incarnations = collections.Counter(), collections.Counter()
        # Highest number of a result that each VM listed to this lead.
        self.listed = {}

    @stateful.initialize(jobs=st.lists(JOB, min_size=1, max_size=2))
    def accept_jobs(self, jobs):
        for number, (attempts, steps) in enumerate(jobs):
            spec = specs.JobSpec(f"{number:016x}", "checks", "team", "", tuple(steps))
            self.registry.accept(spec, attrs.evolve(QUEUE, attempts=attempts), 0)
            self.attempts[spec.job_id] = attempts
            for step_number, step in enumerate(steps):
                indexes = range(step.task_count)
                keys = tuple(tasks.TaskKey(spec.job_id, 0, step_number, i) for i in indexes)
                self.units += [keys] if step.is_gang else [(key,) for key in keys]
                self.members.update(dict.fromkeys(keys, Member()))
        self.unit_of = {key: keys for keys in self.units for key in keys}
        self.become_lead()

    # The lead and the store.

    def become_lead(self):
        """Replace the lead by one that reads what is stored."""
        self.queue = self.queue[: self.stored_count]
        self.starts, self.unanswered, self.listed = [], [], {}
        self.members = dict.fromkeys(self.members, Member())
        self.work = workload.Workload(self.events)
        self.work.sync(self.registry, self.clock.now_s())
        for entry in {entry.record.key: entry for entry in self.queue}.values():
            key = tasks.TaskKey.parse(entry.record.key.removeprefix(records.TASK_PREFIX))
            record = records.decode(entry.record, tasks.TaskRecord)
            self.work.restore(key, record, self.clock.now_s())
            self.members[key] = entry.member
        for keys in self.units:
            if any(self.members[key].phase is tasks.TaskPhase.DONE for key in keys):
                self.expect_done(keys)
        planning_inputs.PlanningInputs(self.work).demands(self.clock.now_s(), 0.0)
        self.flush()

    def flush(self):
        """Queue the records of all tasks that changed, as the recorder does."""
        for task in self.work.pop_changed():
            record = records.encode(f"{records.TASK_PREFIX}{task.key}", task.record)
            self.queue.append(Entry(record, self.members[task.key]))

    def store(self, count=None):
        """Store queued records, all by default; starts are ordered once all are stored."""
        stored_count = len(self.queue) if count is None else self.stored_count + count
        self.stored_count = min(len(self.queue), stored_count)
        if self.stored_count < len(self.queue):
            return
        for key in self.starts:
            self.order_start(key)
        self.starts = []
        self.flush()

    def order_start(self, key):
        task = self.work.find_task(key)
        if not task.is_assigned or self.has_failed(key.job_id):
            task.is_starting = False
            self.release(key)
            return
        self.running[key, task.record.run] = task.record.node
        self.unanswered.append((key, task.record.run))

    # The expected state.

    def change(self, key, **changes):
        self.members[key] = attrs.evolve(self.members[key], **changes)

    def expect_done(self, keys):
        for key in keys:
            self.change(key, phase=tasks.TaskPhase.DONE)

    def expect_end(self, node, end):
        member = self.members[end.task]
        if member.run != end.run:
            return
        is_assigned_here = self.is_assigned(end.task) and member.node == node
        if end.kind is tasks.EndKind.DONE:
            if is_assigned_here or member.phase is tasks.TaskPhase.WAITING:
                self.expect_done(self.unit_of[end.task])
            return
        if not is_assigned_here:
            return
        self.change(end.task, phase=tasks.TaskPhase.WAITING)
        if end.kind is tasks.EndKind.FAILED:
            self.change(end.task, failed_runs=member.failed_runs | {end.run})

    def failed_runs(self, keys):
        return frozenset().union(*(self.members[key].failed_runs for key in keys))

    def is_in_phase(self, keys, phase):
        return all(self.members[key].phase is phase for key in keys)

    def has_failed(self, job_id):
        for keys in self.units:
            if keys[0].job_id != job_id or self.work.find_task(keys[0]).step.is_lasting:
                continue
            is_done = self.is_in_phase(keys, tasks.TaskPhase.DONE)
            if not is_done and len(self.failed_runs(keys)) >= self.attempts[job_id]:
                return True
        return False

    # What the workers do and report.

    def is_assigned(self, key):
        return self.members[key].phase is tasks.TaskPhase.ASSIGNED

    def release(self, key):
        if self.is_assigned(key):
            self.change(key, phase=tasks.TaskPhase.WAITING)
        self.work.release(self.work.find_task(key), "lost")

    def end(self, key, run, kind):
        """End a run in progress; its VM lists the result until it is acknowledged."""
        node = self.running.pop((key, run))
        self.numbers[node] += 1
        self.ends[node].append(workers.RunResult(self.numbers[node], key, run, kind))

    def apply(self, node, end):
        self.expect_end(node, end)
        self.work.apply_end(node, end, self.clock.now_s())

    def list_ends(self, node, count=None):
        """List results of a VM to the lead, the oldest first."""
        for end in self.ends[node][:count]:
            self.apply(node, end)
            self.listed[node] = max(end.number, self.listed.get(node, 0))
        self.flush()

    def pick_run(self, pick):
        """Return the tasks of a unit with a run in progress, and the number of the run."""
        found = list({(self.unit_of[key], run): None for key, run in self.running})
        return found[pick % len(found)]

    def waiting_units(self):
        return [
            keys
            for keys in self.units
            if self.is_in_phase(keys, tasks.TaskPhase.WAITING)
            and not self.has_failed(keys[0].job_id)
        ]

    # Rules.

    @stateful.precondition(lambda self: self.waiting_units())
    @stateful.rule(pick=PICK, nodes=SOME_NODES, is_stored=st.sampled_from([True, True, False]))
    def unit_starts(self, pick, nodes, is_stored):
        demands = planning_inputs.PlanningInputs(self.work).demands(self.clock.now_s(), 0.0)
        unit = demands[pick % len(demands)].unit
        keys = tuple(task.key for task in unit.members)
        incarnations = {node: tasks.Incarnation(node, self.incarnations[node]) for node in nodes}
        run = max(self.members[key].run for key in keys) + 1
        for key, node in zip(keys, nodes, strict=False):
            self.change(key, phase=tasks.TaskPhase.ASSIGNED, run=run, node=node)
        self.work.assign(unit, tuple(nodes[: len(keys)]), incarnations, self.clock.now_s())
        self.flush()
        self.starts += keys
        if is_stored:
            self.store()

    @stateful.precondition(lambda self: self.unanswered)
    @stateful.rule(pick=PICK)
    def start_is_answered(self, pick):
        key, run = self.unanswered.pop(pick % len(self.unanswered))
        task = self.work.find_task(key)
        if task.record.run == run:
            task.mark_started(self.clock.now_s())

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=PICK, kinds=KINDS, order=ORDER, listing=st.lists(NODE, unique=True))
    def members_end(self, pick, kinds, order, listing):
        keys, run = self.pick_run(pick)
        for key, kind in [(keys[index], kinds[index]) for index in order if index < len(keys)]:
            if kind is not None and (key, run) in self.running:
                self.end(key, run, kind)
        for node in listing:
            self.list_ends(node)

    @stateful.precondition(lambda self: self.waiting_units())
    @stateful.rule(nodes=SOME_NODES, kinds=KINDS, order=ORDER, listing=st.permutations(NODES))
    def unit_runs_and_ends(self, nodes, kinds, order, listing):
        self.unit_starts(0, nodes, True)
        if self.running:
            self.members_end(-1, kinds, order, listing)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(pick=PICK)
    def unit_is_done(self, pick):
        keys, run = self.pick_run(pick)
        if self.work.find_task(keys[0]).step.is_lasting:
            return
        if any((key, run) not in self.running for key in keys):
            return
        for key in keys:
            self.end(key, run, tasks.EndKind.DONE)

    @stateful.precondition(lambda self: self.former_ends)
    @stateful.rule(pick=PICK)
    def former_result_is_listed_late(self, pick):
        self.apply(*self.former_ends[pick % len(self.former_ends)])
        self.flush()

    @stateful.rule(pick=PICK, kind=KIND, is_flushed=st.booleans())
    def run_is_lost(self, pick, kind, is_flushed):
        """Release a run that was lost or refused; a result of it may still be listed later."""
        assigned = [key for key in self.members if self.is_assigned(key) and key not in self.starts]
        if not assigned:
            return
        key = assigned[pick % len(assigned)]
        run = self.members[key].run
        if kind is None:
            self.running.pop((key, run), None)
        elif (key, run) in self.running:
            self.end(key, run, kind)
        self.work.find_task(key).is_starting = False
        self.release(key)
        if is_flushed:
            self.flush()

    @stateful.rule(node=NODE, count=st.sampled_from([None, 1, 2]), is_restarted=RARELY)
    def worker_is_polled(self, node, count, is_restarted):
        """Apply what a worker lists; a restarted one has lost its runs and its results."""
        if is_restarted:
            self.incarnations[node] += 1
            self.numbers[node], self.ends[node] = 0, []
            self.listed.pop(node, None)
            for item in [item for item, place in self.running.items() if place == node]:
                del self.running[item]
        self.list_ends(node, count)
        for task in sorted(self.work.tasks_on_node(node), key=lambda task: task.key):
            if count is not None or task.is_starting:
                continue
            if (task.key, task.record.run) not in self.running:
                self.release(task.key)
        self.flush()

    @stateful.rule(count=st.sampled_from([None, None, 1, 2, 3]))
    def records_are_stored(self, count):
        self.store(count)

    @stateful.precondition(lambda self: self.listed and self.stored_count == len(self.queue))
    @stateful.rule(pick=PICK)
    def results_are_acknowledged(self, pick):
        node = list(self.listed)[pick % len(self.listed)]
        number = self.listed.pop(node)
        self.former_ends += [(node, end) for end in self.ends[node] if end.number <= number]
        self.ends[node] = [end for end in self.ends[node] if end.number > number]

    @stateful.rule(count=st.integers(0, 5), is_polling=st.booleans())
    def lead_is_replaced(self, count, is_polling):
        """Replace the lead after some of its queued records were stored."""
        self.flush()
        self.stored_count = min(len(self.queue), self.stored_count + count)
        self.become_lead()
        for node in NODES if is_polling else ():
            self.worker_is_polled(node, None, False)

    # What holds after each rule.

    @stateful.invariant()
    def time_passes(self):
        self.clock.advance(TICK_S)

    @stateful.invariant()
    def tasks_are_as_expected(self):
        for key, member in self.members.items():
            record = self.work.find_task(key).record
            assert Member(record.phase, record.run, record.node, member.failed_runs) == member, key

    @stateful.invariant()
    def each_failed_run_counts_once(self):
        for keys in self.units:
            unit = self.work.find_task(keys[0]).unit
            assert unit.failures == len(self.failed_runs(keys)), keys[0]

    @stateful.invariant()
    def job_fails_once_a_unit_has_used_up_its_attempts(self):
        for job_id in self.attempts:
            assert self.work.job(job_id).progress.has_failed == self.has_failed(job_id)

    @stateful.invariant()
    def waiting_units_of_jobs_that_have_not_failed_are_demanded(self):
        demands = planning_inputs.PlanningInputs(self.work).demands(self.clock.now_s(), 0.0)
        demanded = {tuple(task.key for task in demand.unit.members) for demand in demands}
        assert demanded == set(self.waiting_units())


@pytest.fixture
def options():
    """Return the settings, while the journal writes no lines."""
    examples = os.environ.get("ATTEMPTS_EXAMPLES")
    loguru.logger.disable(journal.__name__)
    yield hypothesis.settings(
        max_examples=int(examples or EXAMPLES),
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=examples is None,
        database=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    loguru.logger.enable(journal.__name__)


def test_a_failed_run_counts_as_one_attempt_in_any_order_of_events(options):
    stateful.run_state_machine_as_test(AttemptsMachine, settings=options)
