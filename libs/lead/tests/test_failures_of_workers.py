"""How a failed run of a gang counts against a worker on which several of its members ran."""

import itertools

import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import planning_inputs, workload
from papayaspar_model import causality, clock
from papayaspar_runs import workers
from papayaspar_scheduling import health
from papayaspar_store import records

JOB_ID = "0" * 16
STEP = specs.Step(2, specs.Resources(1000, 100, 1), 5000, is_gang=True)
# More attempts than there are failed members in a test.
QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 0, 9, 1.5, 250)
START_S = 100.0
# Time between two events, in seconds, and time after which a pause or a first ejection has ended.
EVENT_S = 0.1
PAUSE_S = 10.0
ONE_NODE = ("node-0", "node-0")
TWO_NODES = ("node-0", "node-1")


@pytest.fixture
def registry():
    """Return a registry with a job of one gang of two members."""
    registry = registries.JobRegistry()
    registry.accept(specs.JobSpec(JOB_ID, "checks", "team", "", (STEP,)), QUEUE, 0)
    return registry


@pytest.fixture
def make_work(registry):
    """Return a function that makes the workload of a new lead."""

    def make():
        hybrid_clock = causality.HybridClock(clock.BootClock())
        work = workload.Workload(journal.Journal("entry", "dc", hybrid_clock, metrics.Metrics()))
        work.sync(registry, START_S)
        return work

    return make


@pytest.fixture
def work(make_work):
    """Return the workload of a lead."""
    return make_work()


def _assign(work, nodes, now_s):
    (demand,) = planning_inputs.PlanningInputs(work).demands(now_s, 0.0)
    work.assign(demand.unit, nodes, {node: tasks.Incarnation(node, 1) for node in nodes}, now_s)
    return demand.unit.members


def _start(work, nodes, now_s):
    members = _assign(work, nodes, now_s)
    for task in members:
        task.mark_started(now_s)
    return members


def _fail(work, task, now_s):
    end = workers.RunResult(task.key.index + 1, task.key, task.record.run, tasks.EndKind.FAILED)
    work.apply_end(task.record.node, end, now_s)


def _fail_with_late_start(work, now_s):
    """Fail both members on one worker; the second start is answered after the first failure."""
    first, second = _assign(work, ONE_NODE, now_s)
    first.mark_started(now_s)
    _fail(work, first, now_s + EVENT_S)
    second.mark_started(now_s + 2 * EVENT_S)
    _fail(work, second, now_s + 3 * EVENT_S)


def _eject(outcomes, now_s):
    assert not outcomes.record_failure("job-1", now_s, now_s - EVENT_S)
    assert outcomes.record_failure("job-2", now_s, now_s - EVENT_S)


def _replace_lead(make_work, stored, now_s):
    """Return the workload of a new lead, which reads the records of some tasks."""
    new_work = make_work()
    for task in stored:
        record = records.decode(records.encode(str(task.key), task.record), tasks.TaskRecord)
        new_work.restore(task.key, record, now_s)
    return new_work


@pytest.mark.parametrize("order", list(itertools.permutations((0, 1))))
def test_members_that_fail_one_after_another_are_one_failed_trial(work, order):
    members = _start(work, ONE_NODE, START_S)
    for event, index in enumerate(order, 1):
        _fail(work, members[index], START_S + event * EVENT_S)
    assert work.outcomes("node-0").failed_trials == 1


@pytest.mark.parametrize("order", list(itertools.permutations((0, 1))))
def test_members_that_fail_before_their_starts_are_answered_are_one_failed_trial(work, order):
    members = _assign(work, ONE_NODE, START_S)
    for event, index in enumerate(order, 1):
        _fail(work, members[index], START_S + event * EVENT_S)
    for task in members:
        task.mark_started(START_S + 3 * EVENT_S)
    assert work.outcomes("node-0").failed_trials == 1


def test_member_whose_start_is_answered_after_another_failed_is_no_further_trial(work):
    _fail_with_late_start(work, START_S)
    assert work.outcomes("node-0").failed_trials == 1


def test_pause_is_that_of_one_failure_if_a_start_is_answered_after_another_member_failed(work):
    _fail_with_late_start(work, START_S)
    last_s = START_S + 3 * EVENT_S
    trial = work.outcomes("node-0").trial(last_s + health.TRIAL_PAUSE_S, float("-inf"))
    assert trial is health.Trial.OPEN


def test_each_of_two_runs_with_late_starts_is_one_failed_trial(work):
    _fail_with_late_start(work, START_S)
    _fail_with_late_start(work, START_S + PAUSE_S)
    assert work.outcomes("node-0").failed_trials == 2


def test_next_run_of_the_gang_is_a_second_failed_trial(work):
    for started_s in (START_S, START_S + PAUSE_S):
        for task in _start(work, ONE_NODE, started_s):
            _fail(work, task, started_s + EVENT_S)
    assert work.outcomes("node-0").failed_trials == 2


def test_failed_run_is_a_failed_trial_of_each_worker_on_which_a_member_failed(work):
    for task in _start(work, TWO_NODES, START_S):
        _fail(work, task, START_S + EVENT_S)
    assert [work.outcomes(node).failed_trials for node in TWO_NODES] == [1, 1]


@pytest.mark.parametrize("order", list(itertools.permutations((0, 1))))
def test_progress_of_one_member_shows_that_the_worker_could_run_the_gang(work, order):
    members = _start(work, ONE_NODE, START_S)
    status = workers.RunStatus(members[0].key, members[0].record.run, percent=50.0)
    work.apply_progress(members[0], status, START_S + 1.0)
    for index in order:
        _fail(work, members[index], START_S + 2.0)
    assert work.outcomes("node-0").failed_trials == 0


def test_members_that_fail_together_eject_no_worker_by_themselves(work):
    for task in _start(work, ONE_NODE, START_S):
        _fail(work, task, START_S + EVENT_S)
    assert work.outcomes("node-0").ejections == 0


def test_gang_is_one_of_the_two_jobs_that_eject_a_worker(work):
    outcomes = work.outcomes("node-0")
    outcomes.record_failure("job-1", START_S)
    for event, task in enumerate(_start(work, ONE_NODE, START_S), 1):
        _fail(work, task, START_S + event * EVENT_S)
    assert outcomes.ejections == 1
    assert outcomes.ejected_until_s == START_S + EVENT_S + health.EJECTION_S


def test_members_that_fail_together_after_an_ejection_are_one_further_ejection(work):
    outcomes = work.outcomes("node-0")
    _eject(outcomes, START_S)
    members = _start(work, ONE_NODE, START_S + PAUSE_S)
    for event, task in enumerate(members, 1):
        _fail(work, task, START_S + PAUSE_S + event * EVENT_S)
    assert outcomes.ejections == 2
    assert outcomes.ejected_until_s == START_S + PAUSE_S + EVENT_S + 2 * health.EJECTION_S
    assert outcomes.failed_trials == 2


def test_late_start_after_an_ejection_is_no_further_trial(work):
    outcomes = work.outcomes("node-0")
    _eject(outcomes, START_S)
    _fail_with_late_start(work, START_S + PAUSE_S)
    assert outcomes.ejections == 2
    assert outcomes.failed_trials == 2


def test_member_whose_failure_is_listed_after_the_ejection_for_its_run_ejects_no_more(work):
    outcomes = work.outcomes("node-0")
    outcomes.record_failure("job-1", START_S)
    first, second = _start(work, ONE_NODE, START_S)
    _fail(work, first, START_S + EVENT_S)
    assert outcomes.ejections == 1
    _fail(work, second, outcomes.ejected_until_s + EVENT_S)
    assert outcomes.ejections == 1


def test_failures_that_are_listed_again_to_the_same_lead_change_nothing(work):
    members = _start(work, ONE_NODE, START_S)
    for now_s in (START_S + EVENT_S, START_S + PAUSE_S):
        for task in members:
            _fail(work, task, now_s)
    outcomes = work.outcomes("node-0")
    assert outcomes.failed_trials == 1
    assert outcomes.failed_s == START_S + EVENT_S


@pytest.mark.parametrize("order", list(itertools.permutations((0, 1))))
def test_failures_that_a_new_lead_gets_again_are_one_failed_trial(make_work, work, order):
    members = _start(work, ONE_NODE, START_S)
    new_work = _replace_lead(make_work, members, START_S + 1.0)
    for task in members:
        _fail(work, task, START_S + EVENT_S)
    restored = [new_work.find_task(task.key) for task in members]
    for event, index in enumerate(order, 1):
        _fail(new_work, restored[index], START_S + PAUSE_S + event * EVENT_S)
    assert new_work.outcomes("node-0").failed_trials == 1
    assert new_work.outcomes("node-0").ejections == 0


def test_new_lead_that_gets_only_the_second_failure_counts_it_against_the_worker(make_work, work):
    first, second = _start(work, ONE_NODE, START_S)
    _fail(work, first, START_S + EVENT_S)
    new_work = _replace_lead(make_work, (first, second), START_S + 1.0)
    _fail(new_work, new_work.find_task(second.key), START_S + PAUSE_S)
    assert new_work.outcomes("node-0").failed_trials == 1
