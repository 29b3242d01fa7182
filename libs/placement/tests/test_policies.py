"""Tests of placement policies."""

import random

import pytest

from papayaspar_estimates import quantiles
from papayaspar_model import rulesets, work, workers
from papayaspar_placement import completions, homes, policies, shape_keeping

POLICIES = ("first_fit", "best_fit", "random_of_two", "shape_keeping")


@pytest.fixture
def policy_of():
    def make(name):
        estimator = completions.CompletionEstimator(quantiles.DurationEstimator())
        known = [
            policies.FirstFit(),
            policies.BestFit(),
            policies.RandomOfTwo(random.Random(3)),
            shape_keeping.ShapeKeeping(estimator),
        ]
        return {policy.name: policy for policy in known}[name]

    return make


@pytest.mark.parametrize("name", POLICIES)
def test_random_jobs_get_complete_disjoint_and_allowed_assignments(
    name, policy_of, view_of, job_of, guarantee_of, rack_of
):
    rng = random.Random(11)
    policy = policy_of(name)
    racks = tuple(rack_of(f"r{number}") for number in range(4))
    guarantees = (guarantee_of("red", 2, 8), guarantee_of("blue", 3, 4, count=2))
    packing = homes.pack(guarantees, racks)
    view = view_of("r0", "r1", "r2", "r3", homes=packing.homes)
    running = []
    for number in range(400):
        job = job_of(
            f"j{number}",
            team=rng.choice(["red", "blue", "green"]),
            tasks=rng.choice([1, 1, 2, 6]),
            accelerators=rng.choice([1, 2, 4, 8]),
            adjacency=rng.choice(["rack", "any"]),
            checkpoint=rng.random() < 0.5,
        )
        free = {
            worker.name: set(worker.free)
            for rack in view.racks()
            for worker in rack.workers.values()
        }
        placement = policy.place(job, view)
        if placement is not None:
            assert len(placement.tasks) == job.shape.tasks
            for task_range in placement.tasks:
                assert len(task_range.accelerators) == job.shape.accelerators_per_task
                assert free[task_range.worker].issuperset(task_range.accelerators)
                free[task_range.worker].difference_update(task_range.accelerators)
                owners = view.worker(task_range.worker).owners
                teams = {
                    owners[number].team for number in task_range.accelerators if number in owners
                }
                assert job.stoppable or teams <= {job.team}
            if job.shape.adjacency is work.Adjacency.RACK:
                assert len({task_range.worker[:2] for task_range in placement.tasks}) == 1
            view.assume(job, placement)
            running.append(job.job_id)
        if running and rng.random() < 0.45:
            view.release(running.pop(rng.randrange(len(running))))


def test_small_job_preserves_capacity_for_large_shapes(policy_of, view_of, job_of, start_job):
    home = rulesets.Home("red", "red", 0, (workers.AcceleratorRange("r9-w0", tuple(range(8))),))
    view = view_of("r0", "r1", homes=(home,))
    start_job(view, job_of("old", accelerators=4), ("r1-w1", range(4)))
    placement = policy_of("shape_keeping").place(job_of("small", accelerators=2), view)
    assert placement.tasks[0].worker == "r1-w1"


def test_avoided_workers_are_used_last(policy_of, view_of, job_of, start_job):
    view = view_of("r0")
    start_job(view, job_of("old"), ("r0-w0", (0,)))
    view.set_avoided({"r0-w0"})
    placement = policy_of("shape_keeping").place(job_of("small"), view)
    assert placement.tasks[0].worker != "r0-w0"


def test_job_of_the_guaranteed_shape_is_placed_on_its_home(
    policy_of, view_of, job_of, rack_of, guarantee_of
):
    packing = homes.pack((guarantee_of("blue", 2, 8),), (rack_of("r1"),))
    view = view_of("r0", "r1", homes=packing.homes)
    job = job_of("j", tasks=2, accelerators=8, checkpoint=False)
    placement = policy_of("shape_keeping").place(job, view)
    assert (placement.guarantee, placement.instance) == ("blue", 0)
    assert placement.tasks == packing.homes[0].tasks


def test_gang_too_wide_for_a_rack_spans_racks(policy_of, view_of, job_of):
    view = view_of("r0", "r1")
    job = job_of("j", tasks=5, accelerators=8)
    placement = policy_of("shape_keeping").place(job, view)
    assert len({task_range.worker for task_range in placement.tasks}) == 5
