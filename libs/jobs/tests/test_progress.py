"""How far jobs are: which tasks may start, what ends mean, what progress tells."""

import attrs
import pytest

from papayaspar_jobs import books, configurations, progress, specs, tasks

QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)


@pytest.fixture
def open_job():
    """Return what opens a job of steps."""

    def open_steps(*steps, schedule=None, attempts=2):
        spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", steps, schedule)
        job = progress.JobProgress(books.BookedJob(spec, QUEUE, 0), attempts)
        job.open_due(0.0)
        return job

    return open_steps


def _finish(unit, phase=tasks.TaskPhase.DONE, **changes):
    for task in unit.members:
        task.record = attrs.evolve(task.record, phase=phase, run=1, **changes)


def test_step_waits_for_all_tasks_before_it(open_job):
    job = open_job(specs.Step(2), specs.Step(1, after=(0,)))
    first, second = job.waiting_units(0.0)
    _finish(first)
    assert list(job.waiting_units(0.0)) == [second]
    _finish(second)
    (last,) = job.waiting_units(0.0)
    assert last.members[0].key.step == 1
    _finish(last)
    assert job.is_done


def test_gang_is_one_unit(open_job):
    (unit,) = open_job(specs.Step(3, is_gang=True)).waiting_units(0.0)
    assert len(unit.members) == 3
    unit.members[0].record = attrs.evolve(unit.members[0].record, phase=tasks.TaskPhase.ASSIGNED)
    assert not unit.is_waiting


def test_job_fails_after_its_attempts(open_job):
    job = open_job(specs.Step(1), attempts=2)
    (unit,) = job.waiting_units(0.0)
    _finish(unit, tasks.TaskPhase.WAITING, failures=1)
    assert not job.has_failed
    _finish(unit, tasks.TaskPhase.WAITING, failures=2)
    assert job.has_failed


def test_lasting_task_is_never_given_up(open_job):
    job = open_job(specs.Step(1, is_lasting=True), attempts=1)
    (unit,) = job.waiting_units(0.0)
    _finish(unit, tasks.TaskPhase.WAITING, failures=9)
    assert not job.has_failed


def test_occurrences_open_when_they_are_due(open_job):
    job = open_job(specs.Step(1), schedule=specs.Schedule(3, 1000, 500))
    assert list(job.waiting_units(999.0)) == []
    job.open_due(1500.0)
    assert {unit.members[0].key.occurrence for unit in job.waiting_units(1500.0)} == {0, 1}
    assert job.next_due_ms == 2000
    assert not job.is_done


def test_restored_occurrence_does_not_start_early(open_job):
    job = open_job(specs.Step(1), schedule=specs.Schedule(2, 1000, 500))
    job.open_due(0.0, restore_all=True)
    assert len(list(job.waiting_units(1000.0))) == 1


def test_pace_tells_more_than_the_estimate(open_job):
    """Load: declared times that are off by a factor of ten, as on kowhai-spar."""
    (unit,) = open_job(specs.Step(1, estimate_ms=500)).waiting_units(0.0)
    task = unit.members[0]
    task.begin(100.0)
    assert task.left_s(100.0) == pytest.approx(0.5)
    task.observe(20.0, 101.0)
    assert task.left_s(101.0) == pytest.approx(4.0)


def test_stalled_task_is_given_up_once_that_costs_less(open_job):
    """Load: workers on which tasks stall for seconds."""
    (unit,) = open_job(specs.Step(1, estimate_ms=10_000)).waiting_units(0.0)
    task = unit.members[0]
    task.begin(100.0)
    task.observe(50.0, 105.0)
    assert not task.is_stalled(109.0)
    assert task.is_stalled(110.0)
    task.observe(51.0, 110.0)
    assert not task.is_stalled(112.0)


def test_long_run_has_time_for_its_first_percent(open_job):
    """Found by a stand-in that showed no progress: a task was restarted every 3 s for ever."""
    (unit,) = open_job(specs.Step(1, estimate_ms=3_600_000)).waiting_units(0.0)
    task = unit.members[0]
    task.begin(100.0)
    assert not task.is_stalled(160.0)


def test_each_further_run_is_given_more_time(open_job):
    (unit,) = open_job(specs.Step(1, estimate_ms=1000)).waiting_units(0.0)
    task = unit.members[0]
    task.record = attrs.evolve(task.record, run=3)
    task.begin(100.0)
    assert not task.is_stalled(108.0)
    assert task.is_stalled(110.0)


def test_restored_task_knows_its_lost_work(open_job):
    (unit,) = open_job(specs.Step(1, estimate_ms=10_000)).waiting_units(0.0)
    task = unit.members[0]
    task.resume(100.0)
    task.observe(40.0, 100.5)
    assert task.started_s == pytest.approx(96.0)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"job_id": "xyz"}, "id"),
        ({"payload": "a" * 4001}, "payload"),
        ({"steps": ()}, "steps"),
        ({"steps": (specs.Step(0),)}, "steps.0.count"),
        ({"steps": (specs.Step(1, after=(0,)),)}, "steps.0.after"),
        ({"steps": (specs.Step(1, specs.Room(-1)),)}, "steps.0.room"),
        ({"schedule": specs.Schedule(0, 0, 0)}, "schedule"),
    ],
)
def test_invalid_job_is_refused_by_field(changes, field):
    spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", (specs.Step(1),))
    with pytest.raises(specs.InvalidJobError) as caught:
        specs.check(attrs.evolve(spec, **changes))
    assert caught.value.field == field


def test_cancellation_holds_before_its_job():
    book = books.JobBook()
    book.cancel("0123456789abcdef")
    spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", (specs.Step(1),))
    assert book.accept(spec, QUEUE, 0).phase is books.JobPhase.CANCELLED
    book.set_phase(spec.job_id, books.JobPhase.RUNNING)
    assert book.find(spec.job_id).phase is books.JobPhase.CANCELLED


def test_ended_job_stays_as_it_ended():
    book = books.JobBook()
    spec = specs.JobSpec("0123456789abcdef", "queue", "team", "", (specs.Step(1),))
    book.accept(spec, QUEUE, 0)
    book.set_phase(spec.job_id, books.JobPhase.SUCCEEDED)
    book.cancel(spec.job_id)
    assert book.find(spec.job_id).phase is books.JobPhase.SUCCEEDED


def test_summary_names_what_binds_a_step():
    step = specs.Step(3, specs.Room(7_500, 22_000, 8), 5_000, is_gang=True, is_checkpointed=True)
    assert step.summary == "3x7500m/22000MB/8a~5000ms+gang+saves"


def test_time_before_a_start_is_confirmed_is_not_stalling():
    """Seen on booth-cloud-grown trouble-2: 74 tasks were restarted after a slow store."""
    step = specs.Step(1, specs.Room(1000, 100, 1), 15_000, is_checkpointed=True)
    task = progress.Task(tasks.TaskKey("0" * 16, 0, 0, 0), step)
    task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, "node-1")
    task.begin(100.0)
    task.confirm(103.0)
    assert not task.is_stalled(103.5)
    assert task.is_stalled(103.0 + progress.STALLED_S)


def test_pace_is_told_by_runs_that_began_anew_also_after_a_checkpoint_is_stored():
    step = specs.Step(1, specs.Room(1000, 100, 1), 10_000, is_checkpointed=True)
    task = progress.Task(tasks.TaskKey("0" * 16, 0, 0, 0), step)
    task.begin(100.0)
    task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, "node-1", checkpoint="saved")
    task.observe(10.0, 106.0)
    assert task.pace_ratio(106.0) == pytest.approx(6.0)
    task.begin(110.0)
    task.observe(50.0, 111.0)
    assert task.pace_ratio(111.0) is None
