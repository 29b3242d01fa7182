"""Tests of the job queue."""

import pytest

from papayaspar_model import errors, rulesets, work
from papayaspar_placement import homes


def schedule(queue, view, now_s=0.0):
    return [decision.job.job_id for decision in queue.schedule(view, now_s)]


def test_order_is_guarantee_then_urgency_then_current_use(
    queue, view_of, rack_of, guarantee_of, job_of, start_job
):
    packing = homes.pack((guarantee_of("red", 1, 8),), (rack_of("r0"),))
    view = view_of("r0", homes=packing.homes)
    start_job(view, job_of("old", team="blue"), ("r0-w2", (0,)))
    queue.submit(job_of("blue-1", team="blue"), 0.0)
    queue.submit(job_of("green-1", team="green"), 1.0)
    queue.submit(job_of("red-1", team="red"), 2.0)
    queue.submit(job_of("urgent", team="blue", urgency=work.Urgency.URGENT), 3.0)
    assert schedule(queue, view, 4.0) == ["red-1", "urgent", "green-1", "blue-1"]


def test_teams_share_by_weight(queue, view_of, job_of):
    rules = rulesets.RuleSet(teams=(rulesets.Team("red", 2), rulesets.Team("blue", 1)))
    queue.set_rules(rules, (), ())
    for number in range(24):
        queue.submit(job_of(f"r{number}", team="red"), 0.0)
        queue.submit(job_of(f"b{number}", team="blue"), 0.0)
    view = view_of("r0")
    queue.schedule(view, 1.0)
    assert (view.team_accelerators("red"), view.team_accelerators("blue")) == (16, 8)


def test_quota_limits_the_accelerators_of_a_team(queue, view_of, job_of):
    quota = rulesets.Quota("cap", "blue", accelerators=3)
    queue.set_rules(rulesets.RuleSet(quotas=(quota,)), (), ())
    for number in range(5):
        queue.submit(job_of(f"j{number}"), 0.0)
    view = view_of("r0")
    assert len(schedule(queue, view)) == 3
    view.release("j0")
    assert schedule(queue, view) == ["j3"]


@pytest.mark.parametrize(
    ("overrides", "field"),
    [
        ({"accelerators": 9}, "accelerators_per_task"),
        ({"tasks": 4, "accelerators": 8, "adjacency": "rack"}, "adjacency"),
        ({"tasks": 7, "accelerators": 8}, "tasks"),
        ({"tasks": 49, "accelerators": 1}, "tasks"),
        ({"team": "capped", "tasks": 30}, "tasks"),
        ({"accelerators": 8, "checkpoint": False}, "accelerators_per_task"),
    ],
)
def test_job_that_can_never_be_placed_is_rejected_with_the_field(
    queue, rack_of, guarantee_of, job_of, overrides, field
):
    racks = (rack_of("r0"), rack_of("r1"))
    packing = homes.pack((guarantee_of("red", 1, 5, count=6),), racks)
    quota = rulesets.Quota("cap", "capped", accelerators=29)
    queue.set_rules(rulesets.RuleSet(quotas=(quota,)), racks, packing.homes)
    with pytest.raises(errors.UnplaceableError) as raised:
        queue.submit(job_of("j", **overrides), 0.0)
    assert raised.value.field == field
    assert len(queue) == 0


def test_job_within_the_guarantee_preempts_borrowers_on_its_home(
    queue, view_of, rack_of, guarantee_of, job_of, start_job
):
    packing = homes.pack((guarantee_of("red", 3, 8),), (rack_of("r0"),))
    view = view_of("r0", homes=packing.homes)
    for number in range(3):
        borrowed = job_of(f"b{number}", team="blue", accelerators=8)
        start_job(view, borrowed, (f"r0-w{number}", range(8)))
    queue.submit(job_of("guaranteed", team="red", tasks=3, accelerators=8, adjacency="rack"), 0.0)
    (decision,) = queue.schedule(view, 1.0)
    assert decision.is_guaranteed
    assert len(decision.plan.victims) == 3


def test_small_work_does_not_starve_a_large_gang(queue, view_of, job_of):
    view = view_of("r0", "r1")
    for number in range(60):
        queue.submit(job_of(f"s{number}", checkpoint=False), 0.0)
    running = schedule(queue, view)
    wide = job_of("wide", tasks=3, accelerators=8, adjacency="rack", checkpoint=False)
    queue.submit(wide, 1.0)
    queue.schedule(view, 2.0)
    assert queue.reservation.job_id == "wide"
    for step in range(60):
        if not running:
            break
        view.release(running.pop(0))
        queue.submit(job_of(f"t{step}", checkpoint=False), 3.0 + step)
        running.extend(schedule(queue, view, 3.0 + step))
        if "wide" in running:
            break
    assert "wide" in running
    assert queue.reservation is None


def test_work_that_completes_in_time_or_can_be_stopped_is_backfilled(
    queue, view_of, job_of, start_job
):
    view = view_of("r0")
    start_job(view, job_of("old", run_time_s=100.0, checkpoint=False), ("r0-w0", (0,)))
    wide = job_of("wide", tasks=3, accelerators=8, adjacency="rack")
    queue.submit(wide, 0.0)
    assert schedule(queue, view) == []
    queue.submit(job_of("long", run_time_s=500.0, checkpoint=False), 1.0)
    queue.submit(job_of("short", run_time_s=50.0, checkpoint=False), 1.0)
    queue.submit(job_of("saved", run_time_s=500.0), 1.0)
    assert sorted(schedule(queue, view, 1.0)) == ["saved", "short"]
    view.release("old")
    assert schedule(queue, view, 40.0) == []
    view.release("short")
    (decision,) = queue.schedule(view, 60.0)
    assert decision.job.job_id == "wide"
    assert [victim.gang.job_id for victim in decision.plan.victims] == ["saved"]


def test_gang_that_cannot_be_stopped_does_not_preempt_backfill_on_a_home(
    queue, view_of, rack_of, guarantee_of, job_of, start_job
):
    packing = homes.pack((guarantee_of("red", 1, 8),), (rack_of("r0"),))
    view = view_of("r0", homes=packing.homes)
    (home,) = packing.homes
    start_job(view, job_of("old", run_time_s=100.0, checkpoint=False), ("r0-w2", (0,)))
    queue.submit(job_of("wide", tasks=2, accelerators=8, checkpoint=False), 0.0)
    assert schedule(queue, view) == []
    queue.submit(job_of("saved", tasks=3, accelerators=5), 1.0)
    assert schedule(queue, view, 1.0) == ["saved"]
    view.release("old")
    (decision,) = queue.schedule(view, 90.0)
    assert decision.job.job_id == "wide"
    assert home.tasks[0].worker not in {
        task_range.worker for task_range in decision.plan.placement.tasks
    }


def test_long_wait_raises_urgency(queue, view_of, job_of):
    view = view_of("r0")
    queue.submit(job_of("batch", urgency=work.Urgency.BATCH, accelerators=8), 0.0)
    queue.submit(job_of("fresh", accelerators=8), 3500.0)
    assert schedule(queue, view, 3600.0)[0] == "batch"


def test_cancelling_all_jobs_leaves_no_state(queue, view_of, job_of):
    for number in range(1000):
        queue.submit(job_of(f"j{number}", tasks=4, accelerators=8), 0.0)
    view = view_of("r0")
    queue.schedule(view, 1.0)
    for number in range(1000):
        assert queue.cancel(f"j{number}") is not None
    assert len(queue) == 0
    assert queue.reservation is None
    assert queue.cancel("j0") is None
    assert schedule(queue, view, 2.0) == []


def test_requeued_job_keeps_its_position(queue, view_of, job_of):
    view = view_of("r0")
    queue.submit(job_of("new"), 10.0)
    queue.submit(job_of("back"), 5.0)
    queue.submit(job_of("between"), 7.0)
    assert schedule(queue, view, 11.0) == ["back", "between", "new"]
