"""Tests of the packing of homes."""

import hypothesis
import pytest
from hypothesis import strategies

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import homes


def reserved_accelerators(packing):
    return [
        (task_range.worker, number)
        for home in packing.homes
        for task_range in home.tasks
        for number in task_range.accelerators
    ]


@pytest.fixture
def racks(rack_of):
    return tuple(rack_of(f"r{number}") for number in range(3))


def test_large_shapes_are_packed_before_small_ones(racks, guarantee_of):
    small = guarantee_of("a-small", 1, 4, count=6)
    large = guarantee_of("b-large", 3, 8, count=2)
    packing = homes.pack((small, large), racks)
    assert packing.unplaced == ()
    assert len(set(reserved_accelerators(packing))) == len(reserved_accelerators(packing)) == 72


def test_instances_that_do_not_fit_are_reported(racks, guarantee_of):
    packing = homes.pack((guarantee_of("wide", 3, 8, count=4),), racks)
    assert packing.unplaced == (homes.InstanceName("wide", 3),)


def test_lost_worker_moves_only_the_instances_that_used_it(racks, guarantee_of):
    guarantees = (guarantee_of("pair", 2, 4, count=3), guarantee_of("one", 1, 8, count=2))
    before = homes.pack(guarantees, racks)
    lost_worker = before.homes[0].tasks[0].worker
    remaining_racks = tuple(
        rulesets.RackInventory(
            rack.rack,
            rack.data_centre,
            tuple(
                worker_range for worker_range in rack.workers if worker_range.worker != lost_worker
            ),
        )
        for rack in racks
    )
    after = homes.pack(guarantees, remaining_racks, before.homes)
    assert after.unplaced == ()
    for old, new in zip(before.homes, after.homes, strict=True):
        used_lost_worker = any(task_range.worker == lost_worker for task_range in old.tasks)
        assert (old == new) is not used_lost_worker


def test_home_moves_when_its_guarantee_changes_data_centre(rack_of, guarantee_of):
    racks = (rack_of("r0"), rack_of("r1", data_centre="dc-2"))
    before = homes.pack((guarantee_of("one", 1, 8, data_centre="dc-1"),), racks)
    after = homes.pack((guarantee_of("one", 1, 8, data_centre="dc-2"),), racks, before.homes)
    assert after.homes[0].tasks[0].worker.startswith("r1")


def test_error_names_the_guarantees_that_do_not_fit_together(rack_of, guarantee_of):
    racks = (rack_of("r0"), rack_of("r1", data_centre="dc-2"))
    guarantees = (
        guarantee_of("elsewhere", 3, 8, data_centre="dc-2"),
        guarantee_of("wide", 3, 8, data_centre="dc-1"),
        guarantee_of("narrow", 1, 1, data_centre="dc-1"),
    )
    with pytest.raises(homes.GuaranteesConflictError) as raised:
        homes.check(guarantees, racks)
    assert raised.value.guarantees == ("narrow", "wide")
    assert raised.value.unplaced == (homes.InstanceName("narrow", 0),)


def test_check_moves_homes_when_new_rules_need_it(rack_of, guarantee_of):
    racks = (rack_of("r0", count=2), rack_of("r1", count=2))
    scattered = tuple(
        rulesets.Home("one", "one", number, (workers.AcceleratorRange(f"r{number}-w0", (0,)),))
        for number in range(2)
    )
    guarantees = (guarantee_of("one", 1, 1, count=2), guarantee_of("wide", 2, 8))
    assert homes.pack(guarantees, racks, scattered).unplaced == (homes.InstanceName("wide", 0),)
    assert homes.check(guarantees, racks, scattered).unplaced == ()


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    shapes=strategies.lists(
        strategies.tuples(
            strategies.integers(1, 6),
            strategies.integers(1, 8),
            strategies.sampled_from(list(work.Adjacency)),
            strategies.integers(1, 3),
            strategies.sampled_from([None, "dc-0", "dc-1"]),
        ),
        min_size=1,
        max_size=8,
    ),
    sizes=strategies.lists(strategies.integers(1, 3), min_size=1, max_size=5),
)
def test_homes_are_complete_disjoint_and_satisfy_their_constraints(shapes, sizes):
    racks = tuple(
        rulesets.RackInventory(
            f"r{number}",
            f"dc-{number % 2}",
            tuple(
                workers.AcceleratorRange(f"r{number}-w{index}", tuple(range(8)))
                for index in range(size)
            ),
        )
        for number, size in enumerate(sizes)
    )
    guarantees = tuple(
        rulesets.Guarantee(
            f"g{number}", "t", work.Shape(tasks, size, adjacency), count, data_centre
        )
        for number, (tasks, size, adjacency, count, data_centre) in enumerate(shapes)
    )
    packing = homes.pack(guarantees, racks)
    assert packing == homes.pack(tuple(reversed(guarantees)), tuple(reversed(racks)))
    assert packing == homes.pack(guarantees, racks, packing.homes)
    by_name = {guarantee.name: guarantee for guarantee in guarantees}
    rack_by_worker = {worker_range.worker: rack for rack in racks for worker_range in rack.workers}
    assert len(set(reserved_accelerators(packing))) == len(reserved_accelerators(packing))
    assert len(packing.homes) + len(packing.unplaced) == sum(
        guarantee.count for guarantee in guarantees
    )
    for home in packing.homes:
        guarantee = by_name[home.guarantee]
        home_racks = [rack_by_worker[task_range.worker] for task_range in home.tasks]
        assert [len(task_range.accelerators) for task_range in home.tasks] == (
            [guarantee.shape.accelerators_per_task] * guarantee.shape.tasks
        )
        assert guarantee.shape.adjacency is work.Adjacency.ANY or len(set(home_racks)) == 1
        assert guarantee.data_centre is None or {rack.data_centre for rack in home_racks} == {
            guarantee.data_centre
        }
