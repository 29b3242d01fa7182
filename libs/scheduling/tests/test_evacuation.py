"""Until when starts are allowed, which are called back, and room that is being freed there.

The load: an operator evacuates a data centre while all workers are full and urgent work waits.
"""

import pytest

from papayaspar_jobs import evacuations
from papayaspar_scheduling import evacuation, ordering

BOUND_S = 5.0
BULK, GUARANTEED = ordering.Rank.BULK, ordering.Rank.GUARANTEED


@pytest.fixture
def requested():
    """Return the evacuation of one data centre."""
    return evacuations.Evacuations().with_evacuation(evacuations.Evacuation("dc-a", 7, 50.0, 0.4))


def test_start_lease_ends_before_an_unknown_evacuation_reaches_its_bound():
    nothing = evacuations.Evacuations()
    for age_s in (0.0, 1.0, 4.5):
        lease_s = evacuation.start_lease_s(nothing, "dc-a", age_s, BOUND_S)
        assert 0.0 < lease_s < BOUND_S - age_s
    for age_s in (BOUND_S, 60.0, float("inf")):
        assert evacuation.start_lease_s(nothing, "dc-a", age_s, BOUND_S) == 0.0


def test_start_lease_has_no_limit_without_a_bound(requested):
    assert evacuation.start_lease_s(evacuations.Evacuations(), "dc-a", 60.0, None) is None
    assert evacuation.start_lease_s(requested, "dc-b", 60.0, None) is None


@pytest.mark.parametrize("bound_s", [None, BOUND_S])
@pytest.mark.parametrize("data_centre", ["dc-a", ""])
def test_nothing_starts_in_an_evacuated_or_unknown_data_centre(requested, data_centre, bound_s):
    assert evacuation.start_lease_s(requested, data_centre, 0.0, bound_s) == 0.0


def test_repeated_request_keeps_the_first_and_each_data_centre_ends_by_itself(requested):
    repeated = requested.with_evacuation(evacuations.Evacuation("dc-a", 9, 60.0))
    assert repeated is requested
    both = requested.with_evacuation(evacuations.Evacuation("dc-b", 8, 51.0))
    remaining = both.without("dc-a").without("dc-a")
    assert not remaining.covers("dc-a")
    assert remaining.covers("dc-b")
    assert not remaining.without("dc-b").covers("")


def test_only_units_with_a_start_in_progress_there_are_called_back(cluster, make_step, requested):
    gang = cluster.add_running_unit(
        make_step(2, is_gang=True), "node-0", "node-2", rank=ordering.Rank.NORMAL
    )
    started = cluster.add_running_unit(make_step(), "node-0", rank=ordering.Rank.NORMAL)
    elsewhere = cluster.add_running_unit(make_step(), "node-3", rank=ordering.Rank.NORMAL)
    stopped = cluster.add_running_unit(make_step(), "node-0", rank=ordering.Rank.NORMAL)
    for task in (gang.members[0], elsewhere.members[0], stopped.members[0]):
        task.is_starting = True
    stopped.members[0].is_stopping = True
    data_centres = {"node-0": "dc-a", "node-2": "dc-b", "node-3": "dc-b"}
    assigned = [task for unit in (gang, started, elsewhere, stopped) for task in unit.members]
    assert evacuation.units_to_withdraw(assigned, data_centres, requested) == [gang]


def test_room_that_is_being_freed_there_is_given_up(cluster, make_step):
    """Two full workers remain: the urgent unit must not wait for the one that is evacuated."""
    for number in range(2):
        cluster.add_running_unit(make_step(), f"node-{number}", rank=BULK, elapsed_s=number + 1.0)
    cluster.workers = cluster.workers[:2]
    cluster.add_waiting_unit(make_step(), GUARANTEED)
    first_plan = cluster.plan()
    assert [victim.nodes for victim, _ in first_plan.stops] == [{"node-0"}]
    cluster.workers = cluster.workers[1:]
    cluster.unit_planner.release_nodes(frozenset({"node-0"}))
    second_plan = cluster.plan(100.1)
    assert [victim.nodes for victim, _ in second_plan.stops] == [{"node-1"}]
