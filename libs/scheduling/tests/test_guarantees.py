"""Which urgent jobs the guarantee of their team covers."""

import pytest

from papayaspar_jobs import configurations, progress, registries, specs, tasks
from papayaspar_scheduling import guarantees

QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)
TEAM = "team"


@pytest.fixture
def make_job():
    """Return a factory of jobs of one team, each younger than the one before."""
    jobs = []

    def make(*steps, schedule=None):
        number = len(jobs) + 1
        spec = specs.JobSpec(f"{number:016x}", "queue", TEAM, "", steps, schedule)
        job = progress.JobProgress(registries.AcceptedJob(spec, QUEUE, number), 2)
        job.create_due_tasks(0.0)
        jobs.append(job)
        return job

    return make


def _end(job, step=0, count=1):
    """End the first tasks of a step successfully."""
    for index in range(count):
        key = tasks.TaskKey(job.spec.job_id, 0, step, index)
        job.task(key).record = tasks.TaskRecord(tasks.TaskPhase.DONE, 1, "node")


def _covered(accelerators, *jobs):
    return guarantees.covered_jobs(jobs, {TEAM: accelerators})


def test_accelerators_of_ended_tasks_cover_the_next_job_of_the_team(make_job, make_step):
    """A gang waited beside its team's idle accelerators until an older job had ended as a whole."""
    older, gang = make_job(make_step(3)), make_job(make_step(3, 4, is_gang=True))
    assert _covered(24, older, gang) == {older.spec.job_id}
    _end(older)
    assert _covered(24, older, gang) == {older.spec.job_id}
    _end(older, count=2)
    assert _covered(24, older, gang) == {older.spec.job_id, gang.spec.job_id}


def test_gang_counts_as_a_whole_until_it_is_done(make_job, make_step):
    gang, younger = make_job(make_step(2, is_gang=True)), make_job(make_step())
    _end(gang)
    assert _covered(16, gang, younger) == {gang.spec.job_id}


def test_later_steps_count_up_to_the_first_one(make_job, make_step):
    steps = (make_step(2), make_step(1, after=(0,)), make_step(4, after=(1,)))
    older, younger = make_job(*steps), make_job(make_step())
    _end(older, count=2)
    assert _covered(16, older, younger) == {older.spec.job_id}
    _end(older, step=1)
    _end(older, step=2, count=3)
    assert _covered(16, older, younger) == {older.spec.job_id, younger.spec.job_id}


def test_job_with_a_schedule_counts_with_its_first_step(make_job, make_step):
    scheduled = make_job(make_step(2), schedule=specs.Schedule(3, 0, 1000))
    _end(scheduled, count=2)
    assert _covered(16, scheduled, make_job(make_step())) == {scheduled.spec.job_id}
