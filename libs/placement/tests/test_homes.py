"""Tests of the packing of homes."""

import hypothesis
import pytest
from hypothesis import strategies

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import homes


def reserved_accelerators(packing):
    return [
        (item.worker, number)
        for home in packing.homes
        for item in home.tasks
        for number in item.accelerators
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
    rules = (guarantee_of("pair", 2, 4, count=3), guarantee_of("one", 1, 8, count=2))
    before = homes.pack(rules, racks)
    lost = before.homes[0].tasks[0].worker
    remaining_racks = tuple(
        rulesets.RackInventory(
            rack.rack,
            rack.data_centre,
            tuple(item for item in rack.workers if item.worker != lost),
        )
        for rack in racks
    )
    after = homes.pack(rules, remaining_racks, before.homes)
    assert after.unplaced == ()
    for old, new in zip(before.homes, after.homes, strict=True):
        used_lost_worker = any(item.worker == lost for item in old.tasks)
        assert (old == new) is not used_lost_worker


def test_home_moves_when_its_guarantee_changes_data_centre(rack_of, guarantee_of):
    racks = (rack_of("r0"), rack_of("r1", data_centre="dc-2"))
    before = homes.pack((guarantee_of("one", 1, 8, data_centre="dc-1"),), racks)
    after = homes.pack((guarantee_of("one", 1, 8, data_centre="dc-2"),), racks, before.homes)
    assert after.homes[0].tasks[0].worker.startswith("r1")


def test_error_names_the_guarantees_that_do_not_fit_together(rack_of, guarantee_of):
    racks = (rack_of("r0"), rack_of("r1", data_centre="dc-2"))
    rules = (
        guarantee_of("elsewhere", 3, 8, data_centre="dc-2"),
        guarantee_of("wide", 3, 8, data_centre="dc-1"),
        guarantee_of("narrow", 1, 1, data_centre="dc-1"),
    )
    with pytest.raises(homes.GuaranteesConflictError) as caught:
        homes.check(rules, racks)
    assert caught.value.guarantees == ("narrow", "wide")
    assert caught.value.unplaced == (homes.InstanceName("narrow", 0),)


def test_check_moves_homes_when_new_rules_need_it(rack_of, guarantee_of):
    racks = (rack_of("r0", count=2), rack_of("r1", count=2))
    scattered = tuple(
        rulesets.Home("one", "one", number, (workers.AcceleratorRange(f"r{number}-w0", (0,)),))
        for number in range(2)
    )
    rules = (guarantee_of("one", 1, 1, count=2), guarantee_of("wide", 2, 8))
    assert homes.pack(rules, racks, scattered).unplaced == (homes.InstanceName("wide", 0),)
    assert homes.check(rules, racks, scattered).unplaced == ()


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
                workers.AcceleratorRange(f"r{number}-w{one}", tuple(range(8)))
                for one in range(size)
            ),
        )
        for number, size in enumerate(sizes)
    )
    rules = tuple(
        rulesets.Guarantee(f"g{number}", "t", work.Shape(tasks, size, adjacency), count, place)
        for number, (tasks, size, adjacency, count, place) in enumerate(shapes)
    )
    packing = homes.pack(rules, racks)
    assert packing == homes.pack(tuple(reversed(rules)), tuple(reversed(racks)))
    assert packing == homes.pack(rules, racks, packing.homes)
    by_name = {rule.name: rule for rule in rules}
    rack_by_worker = {item.worker: rack for rack in racks for item in rack.workers}
    assert len(set(reserved_accelerators(packing))) == len(reserved_accelerators(packing))
    assert len(packing.homes) + len(packing.unplaced) == sum(rule.count for rule in rules)
    for home in packing.homes:
        rule = by_name[home.guarantee]
        home_racks = [rack_by_worker[item.worker] for item in home.tasks]
        assert [len(item.accelerators) for item in home.tasks] == (
            [rule.shape.accelerators_per_task] * rule.shape.tasks
        )
        assert rule.shape.adjacency is work.Adjacency.ANY or len(set(home_racks)) == 1
        assert rule.data_centre is None or {rack.data_centre for rack in home_racks} == {
            rule.data_centre
        }
