"""Tests of moves that empty workers."""

import pytest

from papayaspar_model import rulesets, workers
from papayaspar_placement import consolidation, entitlements, queues, shape_keeping


@pytest.fixture
def report_running(completion_estimator, report_of):
    """Return a function that makes an agent report that its worker runs a job."""

    def report(view, job, worker, accelerators, sequence, attempt=1):
        completion_estimator.record_start(job)
        use = workers.GangUse(
            job.job_id,
            attempt,
            job.team,
            tuple(accelerators),
            job.stoppable,
            job.checkpoint,
            0.0,
            job.run_time_s,
            worker,
        )
        view.observe(report_of(worker, sequence, gangs=[use]), view.now_s)

    return report


@pytest.fixture
def consolidator(completion_estimator):
    return consolidation.Consolidator(completion_estimator)


def test_worker_is_emptied_into_free_accelerators_of_partly_used_workers(
    view_of, job_of, report_running, consolidator
):
    view = view_of("r0")
    report_running(view, job_of("small", accelerators=2, run_time_s=900.0), "r0-w0", (3, 5), 2)
    report_running(view, job_of("large", accelerators=5, run_time_s=900.0), "r0-w1", range(5), 2)
    (move,) = consolidator.propose(view)
    assert move.job.job_id == "small"
    assert move.plan.placement.tasks == (workers.AcceleratorRange("r0-w1", (5, 6)),)
    assert [victim.gang for victim in move.plan.victims] == [entitlements.GangName("small", 1)]


@pytest.mark.parametrize(
    "overrides",
    [
        {"checkpoint": False},
        {"run_time_s": 10.0},
        {"accelerators": 4},
    ],
)
def test_gang_that_would_lose_much_work_or_fits_nowhere_is_not_moved(
    view_of, job_of, report_running, consolidator, overrides
):
    view = view_of("r0")
    small = job_of("small", **{"accelerators": 2, "run_time_s": 900.0, **overrides})
    report_running(view, small, "r0-w0", range(small.shape.accelerators), 2)
    fixed = job_of("large", accelerators=5, run_time_s=900.0, checkpoint=False)
    report_running(view, fixed, "r0-w1", range(5), 2)
    assert consolidator.propose(view) == ()


def test_gang_is_not_moved_again_within_the_minimum_interval(
    view_of, job_of, report_running, consolidator
):
    view = view_of("r0")
    report_running(
        view, job_of("small", accelerators=2, run_time_s=9000.0), "r0-w0", (0, 1), 2, attempt=2
    )
    fixed = job_of("large", accelerators=5, run_time_s=9000.0, checkpoint=False)
    report_running(view, fixed, "r0-w1", range(5), 2)
    assert consolidator.propose(view) == ()
    view.advance(consolidation.MIN_MOVE_INTERVAL_S)
    assert len(consolidator.propose(view)) == 1


def test_moved_gang_counts_at_both_placements_until_it_resumes(
    view_of, job_of, report_running, completion_estimator, report_of
):
    consolidator = consolidation.Consolidator(completion_estimator)
    queue = queues.JobQueue(
        shape_keeping.ShapeKeeping(completion_estimator, consolidator), completion_estimator
    )
    view = view_of("r0")
    small = job_of("small", accelerators=2, run_time_s=9000.0)
    report_running(view, small, "r0-w0", (0, 1), 2)
    report_running(view, job_of("large", accelerators=5, run_time_s=9000.0), "r0-w1", range(5), 2)
    (decision,) = queue.schedule(view, 0.0)
    assert decision.is_move
    assert view.team_accelerators("blue") == 9
    assert queue.schedule(view, 100.0) == ()
    view.observe(report_of("r0-w0", 3), 101.0)
    report_running(view, small, "r0-w1", (5, 6), 3, attempt=2)
    assert view.gang("small").started_s == 101.0
    assert not view.is_assumed("small")


def test_work_that_cannot_be_moved_is_placed_on_few_workers(
    view_of, job_of, report_running, completion_estimator
):
    home = rulesets.Home("red", "red", 0, (workers.AcceleratorRange("r9-w0", tuple(range(8))),))
    policy = shape_keeping.ShapeKeeping(completion_estimator)
    view = view_of("r0", homes=(home,))
    for number in range(2):
        job = job_of(f"m{number}", accelerators=4, run_time_s=900.0)
        report_running(view, job, f"r0-w{number}", range(4), 2)
    wide = job_of("wide", tasks=6, adjacency="rack", checkpoint=False)
    placement = policy.place(wide, view)
    assert {task_range.worker for task_range in placement.tasks} == {"r0-w2"}
