"""Tests of preemption."""

import pytest

from papayaspar_placement import homes, preemptions


@pytest.fixture
def packing(guarantee_of, rack_of):
    rules = (guarantee_of("red", 2, 8, count=2), guarantee_of("blue", 2, 8))
    return homes.pack(rules, tuple(rack_of(f"r{number}") for number in range(4)))


@pytest.fixture
def view(view_of, packing):
    return view_of("r0", "r1", "r2", "r3", homes=packing.homes)


def workers_of(packing, guarantee, instance=0):
    for home in packing.homes:
        if (home.guarantee, home.instance) == (guarantee, instance):
            return [item.worker for item in home.tasks]
    return []


def borrow(view, put, job_of, names, **overrides):
    for number, worker in enumerate(names):
        job = job_of(f"on-{worker}-{number}", team="green", accelerators=8, **overrides)
        put(view, job, (worker, range(8)))


def test_the_instance_with_the_least_lost_work_is_freed(view, packing, job_of, put):
    borrow(view, put, job_of, workers_of(packing, "red", 0), checkpoint=False, idempotent=True)
    borrow(view, put, job_of, workers_of(packing, "red", 1))
    view.advance(500.0)
    plan = preemptions.LeastLostWork().plan(
        job_of("claim", team="red", tasks=2, accelerators=8), view
    )
    assert plan.placement.instance == 1
    assert [step.action for step in plan.victims[0].steps] == list(preemptions.Action)
    assert plan.lost_work_s == 2 * 8 * preemptions.CHECKPOINT_COST_S
    assert plan.timeout_s < 7.3


def test_new_work_is_stopped_before_old_work_that_cannot_checkpoint(view, packing, job_of, put):
    borrow(view, put, job_of, workers_of(packing, "red", 1), checkpoint=False, idempotent=True)
    view.advance(500.0)
    borrow(view, put, job_of, workers_of(packing, "red", 0), checkpoint=False, idempotent=True)
    view.advance(510.0)
    plan = preemptions.LeastLostWork().plan(
        job_of("claim", team="red", tasks=2, accelerators=8), view
    )
    assert plan.placement.instance == 0
    assert [victim.lost_work_s for victim in plan.victims] == [80.0, 80.0]


def test_preemption_plans_of_several_teams_never_overlap(view, packing, job_of, put):
    for home in packing.homes:
        borrow(view, put, job_of, [item.worker for item in home.tasks])
    taken = set()
    for number, team in enumerate(["red", "blue", "red"]):
        job = job_of(f"claim-{number}", team=team, tasks=2, accelerators=8)
        plan = preemptions.LeastLostWork().plan(job, view)
        view.assume(job, plan.placement)
        taken.update(item.worker for item in plan.placement.tasks)
        assert {victim.team for victim in plan.victims} == {"green"}
    assert len(taken) == 6
    assert (
        preemptions.LeastLostWork().plan(job_of("more", team="red", tasks=2, accelerators=8), view)
        is None
    )


def test_instance_with_a_lost_worker_is_left_out(view, packing, job_of):
    view.remove_worker(workers_of(packing, "red", 0)[0])
    plan = preemptions.LeastLostWork().plan(
        job_of("claim", team="red", tasks=2, accelerators=8), view
    )
    assert plan.placement.instance == 1
    view.set_ejected(workers_of(packing, "red", 1)[:1])
    assert (
        preemptions.LeastLostWork().plan(job_of("claim", team="red", tasks=2, accelerators=8), view)
        is None
    )


def test_work_that_cannot_be_stopped_is_never_a_victim(view, packing, job_of, put):
    borrow(view, put, job_of, workers_of(packing, "blue"), checkpoint=False)
    assert (
        preemptions.LeastLostWork().plan(
            job_of("claim", team="blue", tasks=2, accelerators=8), view
        )
        is None
    )


def test_small_job_preempts_one_whole_gang_only(view, packing, job_of, put):
    first, second = workers_of(packing, "blue")
    wide = job_of("wide", team="green", tasks=2, accelerators=4)
    put(view, wide, (first, range(4)), (second, range(4)))
    small = job_of("small", team="green", accelerators=4)
    put(view, small, (first, range(4, 8)))
    put(view, job_of("held", team="green", accelerators=4), (second, range(4, 8)))
    view.advance(1.0)
    plan = preemptions.LeastLostWork().plan(job_of("claim", team="blue", accelerators=4), view)
    (victim,) = plan.victims
    assert victim.gang.job_id in ("small", "held")


def test_every_gang_on_the_accelerators_is_stopped(view, packing, job_of, put):
    first, _ = workers_of(packing, "blue")
    put(view, job_of("leaving", team="green", accelerators=8), (first, range(8)))
    put(view, job_of("coming", team="green", accelerators=8), (first, range(8)))
    plan = preemptions.LeastLostWork().plan(
        job_of("claim", team="blue", tasks=2, accelerators=8), view
    )
    assert {victim.gang.job_id for victim in plan.victims} == {"leaving", "coming"}


def test_homes_are_not_packed_on_work_that_cannot_be_stopped(view, packing, job_of, put):
    first, second = workers_of(packing, "blue")
    put(view, job_of("fixed", team="green", checkpoint=False), ("r3-w2", (7,)))
    put(view, job_of("own", team="blue", checkpoint=False), (first, (0,)))
    known = {
        item.worker: len(item.accelerators)
        for rack in view.packable_racks()
        for item in rack.workers
    }
    assert (known["r3-w2"], known[first]) == (7, 8)
    view.set_ejected({second})
    known = {item.worker: item.accelerators for r in view.packable_racks() for item in r.workers}
    assert second not in known
    assert 0 not in known[first]
