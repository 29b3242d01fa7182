"""Which runs the lead learns from, and how often each of them counts."""

import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, durations, registries, specs, tasks
from papayaspar_lead import estimate_records, learning, planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_scheduling import fleet
from papayaspar_store import failures, records, stores

ROOM = specs.Resources(1000, 100, 8)
TASK = specs.Step(1, ROOM, 4_000)
GANG = specs.Step(3, ROOM, 4_000, is_gang=True)
NODES = ("node-0", "node-1", "node-2")
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 1, 2, 1.5, 250)
DONE, STOPPED, FAILED = tasks.EndKind.DONE, tasks.EndKind.STOPPED, tasks.EndKind.FAILED


class Lead:
    """A lead's workload, which gets one job after another and is told how their runs go."""

    def __init__(self, is_learning=True):
        self.hybrid_clock = causality.HybridClock(clock.BootClock())
        events = journal.Journal("entry", "dc", self.hybrid_clock, metrics.Metrics())
        self.work = workload.Workload(events, is_learning)
        self.records = estimate_records.EstimateRecords(self.work.learner.times)
        self.registry = registries.JobRegistry()
        for node in NODES:
            self.note_worker(node, "r1")

    def note_worker(self, node, rack, born_ms=1):
        incarnation = tasks.Incarnation(node, born_ms)
        self.work.learner.note_worker(fleet.Worker(node, "pool", incarnation, rack=rack))

    def accept(self, number, step, team="team"):
        """Accept a job of one step, and return its specification."""
        spec = specs.JobSpec(f"{number:016x}", "checks", team, "", (step,))
        self.registry.accept(spec, QUEUE, 0)
        self.work.sync(self.registry, 1_000.0 * number)
        return spec

    def start(self, number, step, now_s, team="team"):
        """Start a new job's unit."""
        self.accept(number, step, team)
        return self.restart(now_s)

    def restart(self, now_s):
        """Start the only waiting unit."""
        (demand,) = planning_inputs.PlanningInputs(self.work).demands(now_s, 1e15)
        nodes = NODES[: len(demand.unit.members)]
        incarnations = {node: tasks.Incarnation(node, 1) for node in nodes}
        self.work.assign(demand.unit, nodes, incarnations, now_s)
        for task in demand.unit.members:
            task.mark_started(now_s)
        return demand.unit

    def report(self, unit, index, percent, now_s, checkpoint=""):
        task = unit.members[index]
        status = workers.RunStatus(task.key, task.record.run, checkpoint, percent)
        self.work.apply_progress(task, status, now_s)

    def end(self, unit, index, kind, now_s, checkpoint="", node=None):
        key, run = unit.members[index].key, unit.members[index].record.run
        end = workers.RunResult(1, key, run, kind, checkpoint)
        self.work.apply_end(node or NODES[index], end, now_s)

    @property
    def run_count(self):
        """Number of runs that count."""
        return sum(
            sample.run_count for _, window in self.work.learner.times.kinds() for sample in window
        )

    def expected(self, step, team="team"):
        self.work.learner.refresh(1e9 + self.work.learner.times.revision)
        spec = specs.JobSpec("f" * 16, "checks", team, "", (step,))
        return self.work.durations.expected(spec, step)


@pytest.fixture
def lead():
    return Lead()


def _succeed(lead, number, step, duration_s):
    now_s = 1_000.0 * number
    unit = lead.start(number, step, now_s)
    lead.end(unit, 0, DONE, now_s + duration_s)


def test_finished_runs_replace_the_declared_run_time(lead):
    for number in range(1, 21):
        _succeed(lead, number, TASK, 12.0)
    expected = lead.expected(TASK)
    assert expected.source is durations.Source.LEARNED
    assert expected.run_count == 20
    assert expected.middle_s == pytest.approx(12.0, rel=0.05)


def test_order_and_objective_follow_the_learned_run_time(lead):
    for number in range(1, 21):
        _succeed(lead, number, TASK, 12.0)
    lead.work.learner.refresh(1e6)
    lead.accept(21, TASK)
    (demand,) = planning_inputs.PlanningInputs(lead.work).demands(21_000.0, 0.0)
    assert demand.remaining_s == pytest.approx(12.0, rel=0.05)
    assert demand.objective_s == pytest.approx(21_000.0 + 1.5 * 12.0 + 0.25, rel=0.001)


def test_nothing_is_learned_if_it_is_turned_off():
    lead = Lead(is_learning=False)
    for number in range(1, 21):
        _succeed(lead, number, TASK, 12.0)
    assert lead.expected(TASK) == durations.ExpectedDuration(4.0, 4.0)


def test_repeated_report_of_an_end_counts_once(lead):
    unit = lead.start(1, TASK, 1_000.0)
    for _ in range(3):
        lead.end(unit, 0, DONE, 1_012.0)
    assert lead.run_count == 1


def test_run_of_a_gang_counts_once_whichever_members_report_it(lead):
    unit = lead.start(1, GANG, 1_000.0)
    for index in (1, 0, 2, 1):
        lead.end(unit, index, DONE, 1_012.0)
    assert lead.run_count == 1


def _successor(lead):
    """Return a new lead that begins with the stored records of a former one."""
    successor = Lead()
    for record in lead.records.changed(1e6):
        successor.records.restore(record)
    successor.registry = lead.registry
    successor.work.sync(successor.registry, 2_000.0)
    return successor


# Guards against a job with a declared run time of thousands of years: the record with its run could
# not be read, and what other teams' runs in it had shown was lost.
def test_run_with_the_longest_declared_time_can_be_restored(lead):
    step = specs.Step(1, specs.Resources(1000, 100, 1), specs.NUMBER_MAX)
    _succeed(lead, 1, step, 12.0)
    assert _successor(lead).run_count == 1


def test_new_lead_begins_with_what_former_leads_learned(lead):
    for number in range(1, 21):
        _succeed(lead, number, TASK, 12.0)
    expected = _successor(lead).expected(TASK)
    assert expected.middle_s == pytest.approx(12.0, rel=0.1)
    assert expected.source is durations.Source.LEARNED


@pytest.mark.parametrize("reporter", [0, 1])
def test_run_counts_once_if_the_lead_changes_before_its_end_is_acknowledged(lead, reporter):
    unit = lead.start(1, GANG, 1_000.0)
    assigned = [task.record for task in unit.members]
    lead.end(unit, 0, DONE, 1_012.0)
    successor = _successor(lead)
    assert successor.run_count == 1
    for task, record in zip(unit.members, assigned, strict=True):
        successor.work.restore(task.key, record, 1_013.0)
    restored = successor.work.find_task(unit.members[0].key).unit
    successor.end(restored, reporter, DONE, 1_013.0)
    assert restored.is_done
    assert successor.run_count == 1


# The new lead did not see the start of the run, whose record of evidence was lost as well.
def test_run_of_a_former_lead_is_no_evidence(lead):
    unit = lead.start(1, TASK, 1_000.0)
    successor = Lead()
    successor.registry = lead.registry
    successor.work.sync(lead.registry, 1_001.0)
    successor.work.restore(unit.members[0].key, unit.members[0].record, 1_001.0)
    restored = successor.work.find_task(unit.members[0].key).unit
    successor.report(restored, 0, 50.0, 1_002.0)
    successor.end(restored, 0, DONE, 1_003.0)
    assert restored.is_done
    assert successor.run_count == 0


@pytest.mark.parametrize("kind", [kind for kind in tasks.EndKind if kind is not DONE])
def test_run_that_did_not_succeed_is_no_evidence(lead, kind):
    unit = lead.start(1, TASK, 1_000.0)
    lead.end(unit, 0, kind, 1_012.0)
    assert lead.run_count == 0


def test_lost_run_whose_success_is_heard_later_is_no_evidence(lead):
    unit = lead.start(1, TASK, 1_000.0)
    lead.work.release(unit.members[0], "its worker's lease has expired")
    lead.end(unit, 0, DONE, 1_012.0)
    assert unit.is_done
    assert lead.run_count == 0


def test_run_that_was_not_heard_of_before_its_end_is_no_evidence(lead):
    unit = lead.start(1, TASK, 1_000.0)
    lead.report(unit, 0, 20.0, 1_002.0)
    lead.end(unit, 0, DONE, 1_040.0)
    assert lead.run_count == 0


def test_of_a_resumed_run_the_worked_part_counts(lead):
    step = attrs.evolve(TASK, is_checkpointed=True)
    unit = lead.start(1, step, 1_000.0)
    lead.report(unit, 0, 40.0, 1_004.0, "saved")
    lead.end(unit, 0, STOPPED, 1_005.0, "saved")
    unit = lead.restart(1_010.0)
    lead.report(unit, 0, 40.0, 1_010.1, "saved")
    lead.report(unit, 0, 99.0, 1_016.0, "saved")
    lead.end(unit, 0, DONE, 1_016.1)
    ((_, window),) = lead.work.learner.times.kinds()
    (sample,) = window
    assert sample.observed_log == pytest.approx(2.30, abs=0.05)


def test_gang_across_racks_is_no_evidence_where_it_is_slow_there(lead):
    lead.note_worker("node-2", "r2")
    unit = lead.start(1, attrs.evolve(GANG, is_same_rack=True), 1_000.0)
    lead.end(unit, 0, DONE, 1_036.0)
    assert lead.run_count == 0


def test_gang_tells_its_slow_worker_from_a_long_run(lead):
    for number in range(1, 7):
        now_s = 1_000.0 * number
        unit = lead.start(number, GANG, now_s)
        for index in (0, 1):
            lead.report(unit, index, 100.0, now_s + 4.0)
        lead.report(unit, 2, 100.0, now_s + 12.0)
        lead.end(unit, 2, DONE, now_s + 12.0)
    slowness = [lead.work.durations.slowness(node) for node in NODES]
    assert slowness[:2] == [pytest.approx(1.0, rel=0.2)] * 2
    assert slowness[2] > 2.0
    assert lead.expected(GANG).middle_s == pytest.approx(4.5, rel=0.4)


def _run_alike(lead, count):
    for number in range(1, count + 1):
        _succeed(lead, number, TASK, 4.0)
    lead.work.learner.refresh(1e6)


def test_one_long_run_does_not_show_a_slow_worker_as_several_do(lead):
    _run_alike(lead, 20)
    first = lead.start(21, TASK, 21_000.0)
    lead.report(first, 0, 10.0, 21_004.0)
    alone = lead.work.learner.slowness("node-0")
    second = lead.start(22, TASK, 21_004.0)
    lead.report(second, 0, 10.0, 21_008.0)
    assert alone < lead.work.learner.slowness("node-0")
    lead.end(first, 0, FAILED, 21_009.0)
    lead.end(second, 0, FAILED, 21_009.0)
    assert lead.work.learner.slowness("node-0") == 1.0


def test_running_runs_are_a_bound_from_below(lead):
    _run_alike(lead, 5)
    for number in range(21, 41):
        unit = lead.start(number, TASK, 21_000.0)
        lead.report(unit, 0, 10.0, 21_040.0)
    lead.work.learner.refresh(2e6)
    assert lead.expected(TASK).middle_s > 10.0


def _refused(lead, key, value):
    try:
        lead.records.restore(stores.KeyedRecord(key, value))
    except failures.RecordError:
        return True
    return False


def test_odd_records_cost_accuracy_only(lead):
    odd = records.KindsRecord(
        (records.KindRecord("team", "checks", "s", "f", (1,), (10**9,), (1,), (1,), (1,)),)
    )
    foreign = records.WorkerSpeedsRecord((records.WorkerSpeedRecord("node-0", 1, -(10**9), 3),))
    assert _refused(lead, "estimates/kinds/0", b"\xc1")
    assert _refused(lead, "estimates/kinds/0", records.encode("", odd).value)
    assert _refused(lead, "estimates/workers/0", records.encode("", foreign).value)
    assert _refused(lead, "estimates/others", b"\x80")
    assert lead.expected(TASK) == durations.ExpectedDuration(4.0, 4.0)
    _succeed(lead, 1, TASK, 12.0)
    assert lead.run_count == 1


def test_records_are_bounded_and_written_only_when_changed(lead):
    for number in range(1, 200):
        _succeed(lead, number, attrs.evolve(TASK, image=f"image-{number}"), 12.0)
    changed = lead.records.changed(1e6)
    assert max(record.size_bytes for record in changed) < 20_000
    assert lead.records.changed(1e6 + 60.0) == []
    _succeed(lead, 200, TASK, 12.0)
    assert lead.records.changed(1e6 + estimate_records.STORE_INTERVAL_S / 2) == []
    assert len(lead.records.changed(1e6 + 60.0)) <= 2


def test_memory_of_running_units_is_freed(lead):
    _run_alike(lead, 20)
    unit = lead.start(21, GANG, 21_000.0)
    lead.report(unit, 0, 10.0, 21_040.0)
    lead.end(unit, 0, DONE, 21_041.0)
    learner = lead.work.learner
    assert isinstance(learner, learning.RunLearner)
    assert not learner._remote_units and not learner._bounded_units and not learner._resumed
