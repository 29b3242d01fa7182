"""Tests of preemption."""

import pytest

from papayaspar_placement import homes, preemptions


@pytest.fixture
def packing(guarantee_of, rack_of):
    guarantees = (guarantee_of("red", 2, 8, count=2), guarantee_of("blue", 2, 8))
    return homes.pack(guarantees, tuple(rack_of(f"r{number}") for number in range(4)))


@pytest.fixture
def view(view_of, packing):
    return view_of("r0", "r1", "r2", "r3", homes=packing.homes)


def workers_of(packing, guarantee, instance=0):
    for home in packing.homes:
        if (home.guarantee, home.instance) == (guarantee, instance):
            return [task_range.worker for task_range in home.tasks]
    return []


def borrow(view, start_job, job_of, names, **overrides):
    for number, worker in enumerate(names):
        job = job_of(f"on-{worker}-{number}", team="green", accelerators=8, **overrides)
        start_job(view, job, (worker, range(8)))


def test_the_instance_with_the_least_lost_work_is_freed(view, packing, job_of, start_job):
    borrow(
        view, start_job, job_of, workers_of(packing, "red", 0), checkpoint=False, idempotent=True
    )
    borrow(view, start_job, job_of, workers_of(packing, "red", 1))
    view.advance(500.0)
    plan = preemptions.LeastLostWork().plan(
        job_of("guaranteed", team="red", tasks=2, accelerators=8), view
    )
    assert plan.placement.instance == 1
    assert [step.action for step in plan.victims[0].steps] == list(preemptions.Action)
    assert plan.lost_work_s == 2 * 8 * preemptions.CHECKPOINT_COST_S
    assert plan.timeout_s < 7.3


def test_new_work_is_stopped_before_old_work_that_cannot_checkpoint(
    view, packing, job_of, start_job
):
    borrow(
        view, start_job, job_of, workers_of(packing, "red", 1), checkpoint=False, idempotent=True
    )
    view.advance(500.0)
    borrow(
        view, start_job, job_of, workers_of(packing, "red", 0), checkpoint=False, idempotent=True
    )
    view.advance(510.0)
    plan = preemptions.LeastLostWork().plan(
        job_of("guaranteed", team="red", tasks=2, accelerators=8), view
    )
    assert plan.placement.instance == 0
    assert [victim.lost_work_s for victim in plan.victims] == [80.0, 80.0]


def test_preemption_plans_of_several_teams_never_overlap(view, packing, job_of, start_job):
    for home in packing.homes:
        borrow(view, start_job, job_of, [task_range.worker for task_range in home.tasks])
    planned_workers = set()
    for number, team in enumerate(["red", "blue", "red"]):
        job = job_of(f"guaranteed-{number}", team=team, tasks=2, accelerators=8)
        plan = preemptions.LeastLostWork().plan(job, view)
        view.assume(job, plan.placement)
        planned_workers.update(task_range.worker for task_range in plan.placement.tasks)
        assert {victim.team for victim in plan.victims} == {"green"}
    assert len(planned_workers) == 6
    assert (
        preemptions.LeastLostWork().plan(job_of("more", team="red", tasks=2, accelerators=8), view)
        is None
    )


def test_instance_with_a_lost_worker_is_left_out(view, packing, job_of):
    view.remove_worker(workers_of(packing, "red", 0)[0])
    plan = preemptions.LeastLostWork().plan(
        job_of("guaranteed", team="red", tasks=2, accelerators=8), view
    )
    assert plan.placement.instance == 1
    view.set_ejected(workers_of(packing, "red", 1)[:1])
    assert (
        preemptions.LeastLostWork().plan(
            job_of("guaranteed", team="red", tasks=2, accelerators=8), view
        )
        is None
    )


def test_work_that_cannot_be_stopped_is_never_a_victim(view, packing, job_of, start_job):
    borrow(view, start_job, job_of, workers_of(packing, "blue"), checkpoint=False)
    assert (
        preemptions.LeastLostWork().plan(
            job_of("guaranteed", team="blue", tasks=2, accelerators=8), view
        )
        is None
    )


def test_small_job_preempts_one_whole_gang_only(view, packing, job_of, start_job):
    first, second = workers_of(packing, "blue")
    wide = job_of("wide", team="green", tasks=2, accelerators=4)
    start_job(view, wide, (first, range(4)), (second, range(4)))
    small = job_of("small", team="green", accelerators=4)
    start_job(view, small, (first, range(4, 8)))
    start_job(view, job_of("held", team="green", accelerators=4), (second, range(4, 8)))
    view.advance(1.0)
    plan = preemptions.LeastLostWork().plan(job_of("guaranteed", team="blue", accelerators=4), view)
    (victim,) = plan.victims
    assert victim.gang.job_id in ("small", "held")


def test_every_gang_on_the_accelerators_is_stopped(view, packing, job_of, start_job):
    first, _ = workers_of(packing, "blue")
    start_job(view, job_of("leaving", team="green", accelerators=8), (first, range(8)))
    start_job(view, job_of("coming", team="green", accelerators=8), (first, range(8)))
    plan = preemptions.LeastLostWork().plan(
        job_of("guaranteed", team="blue", tasks=2, accelerators=8), view
    )
    assert {victim.gang.job_id for victim in plan.victims} == {"leaving", "coming"}


def test_homes_are_not_packed_on_work_that_cannot_be_stopped(view, packing, job_of, start_job):
    first, second = workers_of(packing, "blue")
    start_job(view, job_of("fixed", team="green", checkpoint=False), ("r3-w2", (7,)))
    start_job(view, job_of("own", team="blue", checkpoint=False), (first, (0,)))
    packable = {
        worker_range.worker: len(worker_range.accelerators)
        for rack in view.packable_racks()
        for worker_range in rack.workers
    }
    assert (packable["r3-w2"], packable[first]) == (7, 8)
    view.set_ejected({second})
    packable = {
        worker_range.worker: worker_range.accelerators
        for rack in view.packable_racks()
        for worker_range in rack.workers
    }
    assert second not in packable
    assert 0 not in packable[first]
