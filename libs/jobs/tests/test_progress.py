"""Execution state of jobs: dependencies, retries, progress, stalls and validation."""

import sys

import attrs
import pytest

from papayaspar_jobs import configurations, durations, progress, registries, specs, tasks, units

QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)


@pytest.fixture
def make_job():
    """Return a function that creates a job with the given steps and its due tasks."""

    def create_job(*steps, schedule=None, attempts=2):
        spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", steps, schedule)
        job = progress.JobProgress(registries.AcceptedJob(spec, QUEUE, 0), attempts)
        job.create_due_tasks(0.0)
        return job

    return create_job


def _set_phase(unit, phase=tasks.TaskPhase.DONE, **changes):
    for task in unit.members:
        task.record = attrs.evolve(task.record, phase=phase, run=1, **changes)


def test_step_waits_for_all_tasks_of_its_predecessors(make_job):
    job = make_job(specs.Step(2), specs.Step(1, after=(0,)))
    first, second = job.waiting_units(0.0)
    _set_phase(first)
    assert list(job.waiting_units(0.0)) == [second]
    _set_phase(second)
    (last,) = job.waiting_units(0.0)
    assert last.members[0].key.step == 1
    _set_phase(last)
    assert job.is_done


def test_gang_is_scheduled_as_one_unit(make_job):
    (unit,) = make_job(specs.Step(3, is_gang=True)).waiting_units(0.0)
    assert len(unit.members) == 3
    unit.members[0].record = attrs.evolve(unit.members[0].record, phase=tasks.TaskPhase.ASSIGNED)
    assert not unit.is_waiting


def test_job_fails_after_its_last_attempt(make_job):
    job = make_job(specs.Step(1), attempts=2)
    (unit,) = job.waiting_units(0.0)
    _set_phase(unit, tasks.TaskPhase.WAITING, failures=1)
    assert not job.has_failed
    _set_phase(unit, tasks.TaskPhase.WAITING, failures=2)
    assert job.has_failed


def test_lasting_task_is_retried_without_limit(make_job):
    job = make_job(specs.Step(1, is_lasting=True), attempts=1)
    (unit,) = job.waiting_units(0.0)
    _set_phase(unit, tasks.TaskPhase.WAITING, failures=9)
    assert not job.has_failed


def test_occurrences_are_created_when_due(make_job):
    job = make_job(specs.Step(1), schedule=specs.Schedule(3, 1000, 500))
    assert list(job.waiting_units(999.0)) == []
    job.create_due_tasks(1500.0)
    assert {unit.members[0].key.occurrence for unit in job.waiting_units(1500.0)} == {0, 1}
    assert job.next_due_ms == 2000
    assert not job.is_done


def test_restored_occurrence_does_not_start_early(make_job):
    job = make_job(specs.Step(1), schedule=specs.Schedule(2, 1000, 500))
    job.restore(tasks.TaskKey(job.spec.job_id, 1, 0, 0), tasks.TaskRecord())
    job.create_due_tasks(1000.0)
    assert [unit.members[0].key.occurrence for unit in job.waiting_units(1000.0)] == [0]
    assert {unit.members[0].key.occurrence for unit in job.waiting_units(1500.0)} == {0, 1}


def test_restoring_a_task_creates_no_occurrence_but_its_own(make_job):
    """A new lead created the tasks of all occurrences of five days, and lost its leadership.

    Seen in case 2 of the review.
    """
    job = make_job(specs.Step(9), schedule=specs.Schedule(7200, 1000, 60_000))
    record = tasks.TaskRecord(tasks.TaskPhase.DONE, 1)
    for index in range(9):
        job.restore(tasks.TaskKey(job.spec.job_id, 3, 0, index), record)
    assert job.task_count == 9
    job.create_due_tasks(1000.0 + 2 * 60_000)
    assert job.task_count == 4 * 9
    assert not job.is_done


def test_record_of_another_job_shape_is_not_restored(make_job):
    job = make_job(specs.Step(1), schedule=specs.Schedule(2, 1000, 500))
    assert job.restore(tasks.TaskKey(job.spec.job_id, 2, 0, 0), tasks.TaskRecord()) is None
    assert job.restore(tasks.TaskKey(job.spec.job_id, 1, 0, 7), tasks.TaskRecord()) is None


def test_tasks_of_done_occurrences_are_dropped_later(make_job):
    job = make_job(specs.Step(2), schedule=specs.Schedule(3, 0, 0))
    for unit in list(job.waiting_units(0.0))[:4]:
        _set_phase(unit)
    job.drop_done_occurrences(100.0)
    assert job.task_count == 6
    job.drop_done_occurrences(100.0 + progress.DONE_OCCURRENCE_KEPT_S)
    assert job.task_count == 2
    for unit in job.waiting_units(0.0):
        _set_phase(unit)
    assert job.is_done


def test_occurrences_that_are_all_due_are_created_in_parts(make_job):
    """A job handed in with a start a week ago has ten thousand occurrences due at once."""
    job = make_job(specs.Step(9), schedule=specs.Schedule(10_080, 0, 0))
    assert job.task_count <= progress.OPEN_TASKS_MAX
    created = job.task_count
    for unit in list(job.waiting_units(0.0))[:9]:
        _set_phase(unit)
    job.create_due_tasks(0.0)
    assert job.task_count == created + 9


def test_waiting_units_of_a_step_are_limited_for_a_round(make_job):
    job = make_job(specs.Step(500), specs.Step(3))
    waiting = list(job.waiting_units(0.0, 200))
    assert [unit.members[0].key.step for unit in waiting].count(0) == 200
    assert [unit.members[0].key.step for unit in waiting].count(1) == 3


def test_units_that_ran_before_are_considered_beside_new_ones(make_job):
    """Units that wait for another worker than the one they failed on hold up no new units."""
    job = make_job(specs.Step(500), attempts=9)
    for unit in list(job.waiting_units(0.0))[:300]:
        _set_phase(unit, tasks.TaskPhase.WAITING, failures=1)
    waiting = list(job.waiting_units(0.0, 200))
    assert sum(unit.failures == 1 for unit in waiting) == 200
    assert sum(unit.failures == 0 for unit in waiting) == 200


def test_units_that_ran_before_keep_their_place_in_the_step(make_job):
    """A failed unit that comes first again meets the next failing worker before that is known."""
    job = make_job(specs.Step(4), attempts=9)
    third = list(job.waiting_units(0.0))[2]
    _set_phase(third, tasks.TaskPhase.ASSIGNED)
    _set_phase(third, tasks.TaskPhase.WAITING, failures=1)
    for limit in (None, 200):
        waiting = list(job.waiting_units(0.0, limit))
        assert [unit.members[0].key.index for unit in waiting] == [0, 1, 2, 3]


def test_steps_keep_their_order_when_their_units_wait_again(make_job):
    job = make_job(specs.Step(1), specs.Step(1))
    first, second = job.waiting_units(0.0)
    _set_phase(first, tasks.TaskPhase.ASSIGNED)
    _set_phase(first, tasks.TaskPhase.WAITING, failures=1)
    assert list(job.waiting_units(0.0)) == [first, second]


def test_state_of_a_job_is_not_computed_from_all_of_its_tasks(make_job):
    """Each start of 2,000 examined all units for failures, longer than a leadership lasts.

    Seen with one job of 2,000 tasks, without any disruption.
    """
    job = make_job(specs.Step(2000))
    unit = next(job.waiting_units(0.0))
    calls = []
    sys.setprofile(lambda frame, event, argument: calls.append(event))
    try:
        _set_phase(unit, tasks.TaskPhase.ASSIGNED)
        states = (job.has_failed, job.is_done, job.has_started, len(list(job.active_units())))
    finally:
        sys.setprofile(None)
    assert states == (False, False, True, 1)
    assert len(calls) < 200


def test_remaining_time_follows_progress_over_the_estimate(make_job):
    """Declared estimates may be off by a factor of ten.

    They are in the simulated deployment kowhai-spar.
    """
    (unit,) = make_job(specs.Step(1, estimate_ms=500)).waiting_units(0.0)
    task = unit.members[0]
    task.mark_starting(100.0)
    assert task.remaining_s(100.0) == pytest.approx(0.5)
    task.update_progress(20.0, 101.0)
    assert task.remaining_s(101.0) == pytest.approx(4.0)


def test_remaining_time_of_a_resumed_run_is_that_of_its_own_progress(make_job):
    """A run that resumes at half of its work shows 50 percent at once."""
    step = specs.Step(1, estimate_ms=20_000, is_checkpointed=True)
    (unit,) = make_job(step).waiting_units(0.0)
    task = unit.members[0]
    task.record = attrs.evolve(task.record, checkpoint="saved")
    task.mark_starting(100.0)
    task.mark_started(100.0)
    task.update_progress(50.0, 100.5)
    assert task.remaining_s(100.5) == pytest.approx(10.0)
    task.update_progress(55.0, 101.5)
    assert task.remaining_s(102.0) == pytest.approx(8.5)


def test_task_counts_as_stalled_once_a_restart_costs_less(make_job):
    """Tasks may stall on a worker for seconds, and a restart repeats a run without checkpoints."""
    (unit,) = make_job(specs.Step(1, estimate_ms=10_000)).waiting_units(0.0)
    task = unit.members[0]
    task.mark_starting(100.0)
    task.update_progress(50.0, 105.0)
    assert not task.is_stalled(109.0)
    assert task.is_stalled(110.0)
    task.update_progress(51.0, 110.0)
    assert not task.is_stalled(112.0)


def test_long_run_is_not_stalled_before_its_first_percent(make_job):
    """Guard against restarting a task every 3 s while its worker reports no progress yet."""
    (unit,) = make_job(specs.Step(1, estimate_ms=3_600_000)).waiting_units(0.0)
    task = unit.members[0]
    task.mark_starting(100.0)
    assert not task.is_stalled(160.0)


def test_stall_timeout_grows_with_each_run(make_job):
    (unit,) = make_job(specs.Step(1, estimate_ms=1000)).waiting_units(0.0)
    task = unit.members[0]
    task.record = attrs.evolve(task.record, run=3)
    task.mark_starting(100.0)
    assert not task.is_stalled(108.0)
    assert task.is_stalled(110.0)


def test_start_time_of_a_former_leads_run_is_derived_from_its_progress(make_job):
    (unit,) = make_job(specs.Step(1, estimate_ms=10_000)).waiting_units(0.0)
    task = unit.members[0]
    task.mark_taken_over(100.0)
    task.update_progress(40.0, 100.5)
    assert task.started_s == pytest.approx(96.0)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"job_id": "xyz"}, "id"),
        ({"payload": "a" * 4001}, "payload"),
        ({"steps": ()}, "steps"),
        ({"steps": (specs.Step(0),)}, "steps.0.count"),
        ({"steps": (specs.Step(1, after=(0,)),)}, "steps.0.after"),
        ({"steps": (specs.Step(1, specs.Resources(-1)),)}, "steps.0.room"),
        ({"steps": (specs.Step(1, latency_target_ms=2**53 + 1),)}, "steps.0"),
        ({"steps": (specs.Step(1, unavailable_max=2**53 + 1),)}, "steps.0"),
        ({"schedule": specs.Schedule(0, 0, 0)}, "schedule"),
        ({"schedule": specs.Schedule(1, -(2**53) - 1, 0)}, "schedule"),
        ({"schedule": specs.Schedule(1, 0, 2**53 + 1)}, "schedule"),
    ],
)
def test_invalid_job_is_rejected_with_its_field(changes, field):
    spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", (specs.Step(1),))
    with pytest.raises(specs.InvalidJobError) as caught:
        specs.validate(attrs.evolve(spec, **changes))
    assert caught.value.field == field


def test_cancellation_before_the_job_record_is_applied():
    registry = registries.JobRegistry()
    registry.cancel("0123456789abcdef")
    spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", (specs.Step(1),))
    assert registry.accept(spec, QUEUE, 0).phase is registries.JobPhase.CANCELLED
    registry.set_phase(spec.job_id, registries.JobPhase.RUNNING)
    assert registry.find(spec.job_id).phase is registries.JobPhase.CANCELLED


def test_final_phase_does_not_change():
    registry = registries.JobRegistry()
    spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", (specs.Step(1),))
    registry.accept(spec, QUEUE, 0)
    registry.set_phase(spec.job_id, registries.JobPhase.SUCCEEDED)
    registry.cancel(spec.job_id)
    assert registry.find(spec.job_id).phase is registries.JobPhase.SUCCEEDED


def test_summary_contains_the_constraints_of_a_step():
    step = specs.Step(
        3, specs.Resources(7_500, 22_000, 8), 5_000, is_gang=True, is_checkpointed=True
    )
    assert step.summary == "3x7500m/22000MB/8a~5000ms+gang+saves"


def test_time_before_a_confirmed_start_does_not_count_as_stalled():
    """Guard against restarts of tasks whose start was delayed by a slow store.

    An assignment is stored before the run starts, so a slow store delays the start by seconds. Seen
    on the simulated day booth-cloud-grown trouble-2, where 74 tasks were restarted.
    """
    step = specs.Step(1, specs.Resources(1000, 100, 1), 15_000, is_checkpointed=True)
    task = units.Task(tasks.TaskKey("0" * 16, 0, 0, 0), step)
    task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, "node-1")
    task.mark_starting(100.0)
    task.mark_started(103.0)
    assert not task.is_stalled(103.5)
    assert task.is_stalled(103.0 + units.STALL_TIMEOUT_S)


def test_pace_is_computed_only_for_runs_that_start_without_a_checkpoint():
    step = specs.Step(1, specs.Resources(1000, 100, 1), 10_000, is_checkpointed=True)
    task = units.Task(tasks.TaskKey("0" * 16, 0, 0, 0), step)
    task.mark_starting(100.0)
    task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, "node-1", checkpoint="saved")
    task.update_progress(10.0, 106.0)
    assert task.pace_ratio(106.0) == pytest.approx(6.0)
    task.mark_starting(110.0)
    task.update_progress(50.0, 111.0)
    assert task.pace_ratio(111.0) is None


# Guards against a worker that fails all it starts and counts as sound, since some of its runs were
# reported with a high percentage just before they failed (issue 28).
def test_progress_of_a_short_run_does_not_prove_its_start(make_job):
    (unit,) = make_job(specs.Step(1)).waiting_units(0.0)
    task = unit.members[0]
    task.mark_starting(0.0)
    task.mark_started(0.0)
    task.update_progress(97.0, 0.03)
    assert not task.has_proven_start
    task.update_progress(98.0, units.PROVEN_RUN_S)
    assert task.has_proven_start


class CountingDurations(durations.DeclaredDurations):
    """Declared run times, which count how often a decision looks for newer ones."""

    look_count = 0

    @property
    def revision(self):
        self.look_count += 1
        return 0


# Guards against a planning round that takes seconds for one job of many steps, in which a lead does
# not renew its leadership: the chain of all steps was computed again for each unit.
def test_critical_path_is_not_computed_for_each_unit():
    steps = tuple(specs.Step(1, estimate_ms=1000) for _ in range(specs.STEPS_MAX))
    accepted = registries.AcceptedJob(specs.JobSpec("0" * 16, "queue", "team", "", steps), QUEUE, 0)
    estimates = CountingDurations()
    job = progress.JobProgress(accepted, 2, estimates)
    for _ in range(100):
        assert job.critical_path_s() == 1.0
    assert estimates.look_count < 10 * 100


# Guards against such a round for the thousands of units that many steps have together.
def test_waiting_units_of_a_job_are_limited_for_a_round(make_job):
    job = make_job(*(specs.Step(30) for _ in range(100)))
    chosen = list(job.waiting_units(0.0, 200, 500))
    assert len(chosen) == 500
    assert len({unit.members[0].key.step for unit in chosen}) == 100


def test_repeated_predecessors_are_left_out():
    assert specs.Step(1, after=(0, 1, 0, 0)).after == (0, 1)
