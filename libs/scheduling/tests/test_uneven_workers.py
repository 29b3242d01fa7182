"""Gangs, urgent work and bulk work on workers of different speeds.

The load is that of a pool in which some workers take twice as long as others: a gang ends with its
slowest member, so that one slow worker makes all others of the gang wait.
"""

import attrs
import pytest

from papayaspar_jobs import durations, specs, tasks
from papayaspar_scheduling import claims, fleet, ordering, placement, speed_classes

URGENT, NORMAL, BULK = ordering.Rank.URGENT, ordering.Rank.NORMAL, ordering.Rank.BULK
SLOWNESS = 2.2
SMALL = specs.Resources(1_000, 1_000, 1)
LATE_S = 1000.0


@pytest.fixture
def uneven(cluster):
    """Return the cluster with workers 0 and 2 slow, and four more of which 4 and 6 are slow."""
    for number in range(4, 8):
        incarnation = tasks.Incarnation(f"w-{number}", 1)
        cluster.workers.append(
            attrs.evolve(cluster.workers[0], node=f"node-{number}", incarnation=incarnation)
        )
    for worker in cluster.workers[::2]:
        worker.slowness = SLOWNESS
    return cluster


def _slow(cluster, nodes):
    by_node = {worker.node: worker for worker in cluster.workers}
    return [by_node[node].slowness > 1.0 for node in nodes]


class LearnedDurations(durations.DeclaredDurations):
    """Learned run times that are those of the callers."""

    def expected(self, spec, step):
        declared = super().expected(spec, step)
        return attrs.evolve(declared, source=durations.Source.LEARNED, run_count=20)


def _wait(cluster, step, rank, slack_s=0.0, waited_s=0.0):
    unit = cluster.add_waiting_unit(step, rank, waited_s, worthless_after_s=LATE_S)
    unit.job.estimates = LearnedDurations()
    cluster.waiting[-1] = attrs.evolve(cluster.waiting[-1], slack_s=slack_s)
    return unit


def _fill(cluster, *numbers, estimate_ms=60_000):
    """Fill workers with work that is not preempted."""
    for number in numbers:
        step = specs.Step(1, specs.Resources(1_000, 1_000, 8), estimate_ms)
        cluster.add_running_unit(step, f"node-{number}", rank=ordering.Rank.GUARANTEED)


def _nodes(plan, unit):
    return next((start.nodes for start in plan.starts if start.demand.unit is unit), None)


@pytest.mark.parametrize("rank", [URGENT, NORMAL])
def test_gang_runs_on_fast_workers(uneven, make_step, rank):
    gang = _wait(uneven, make_step(4, is_gang=True), rank)
    assert _slow(uneven, _nodes(uneven.plan(), gang)) == [False] * 4


def test_gang_runs_on_slow_workers_alone_if_the_fast_ones_are_used(uneven, make_step):
    _fill(uneven, 1, 3)
    gang = _wait(uneven, make_step(4, is_gang=True), NORMAL)
    assert _slow(uneven, _nodes(uneven.plan(), gang)) == [True] * 4


def test_urgent_work_takes_the_fast_workers_and_bulk_the_slow_ones(uneven, make_step):
    _fill(uneven, 3, 4, 5, 6)
    urgent = _wait(uneven, make_step(accelerators=4), URGENT)
    bulk = _wait(uneven, make_step(accelerators=4), BULK, slack_s=30.0)
    plan = uneven.plan()
    assert _slow(uneven, _nodes(plan, urgent)) == [False]
    assert _slow(uneven, _nodes(plan, bulk)) == [True]


def test_bulk_work_takes_fast_workers_of_a_pool_that_is_mostly_free(uneven, make_step):
    _fill(uneven, 3, 4, 5)
    bulk = _wait(uneven, make_step(accelerators=4), BULK, slack_s=30.0)
    assert _slow(uneven, _nodes(uneven.plan(), bulk)) == [False]


def test_bulk_work_without_slack_takes_fast_workers(uneven, make_step):
    _fill(uneven, 3, 4, 5, 6)
    bulk = _wait(uneven, make_step(accelerators=4), BULK, slack_s=1.0)
    assert _slow(uneven, _nodes(uneven.plan(), bulk)) == [False]


def test_bulk_work_that_fills_the_slow_workers_goes_on_with_the_fast_ones(uneven, make_step):
    for _ in range(8):
        _wait(uneven, make_step(), BULK, slack_s=30.0)
    assert len(uneven.plan().starts) == 8


def test_gang_waits_for_workers_of_like_speed_in_a_used_pool(uneven, make_step):
    _fill(uneven, 0, 1, 2, 3)
    gang = _wait(uneven, make_step(3, is_gang=True), NORMAL)
    assert _nodes(uneven.plan(), gang) is None


@pytest.mark.parametrize(
    "rank, waited_s, used",
    [(NORMAL, 2.5, (0, 1, 2, 3)), (URGENT, 0.0, (0, 1, 2, 3)), (NORMAL, 0.0, (1, 3, 0))],
    ids=["long-enough", "urgent", "idle-pool"],
)
def test_gang_does_not_wait_for_workers_of_like_speed(uneven, make_step, rank, waited_s, used):
    _fill(uneven, *used)
    gang = _wait(uneven, make_step(4, is_gang=True), rank, waited_s=waited_s)
    assert _nodes(uneven.plan(), gang) is not None


def test_short_gang_waits_no_longer_than_it_would_gain(uneven, make_step):
    _fill(uneven, 0, 1, 2, 3)
    gang = _wait(uneven, make_step(3, estimate_ms=500, is_gang=True), NORMAL, waited_s=1.0)
    assert _nodes(uneven.plan(), gang) is not None


@pytest.mark.parametrize("fast_in_s, is_slow", [(2.0, False), (20.0, True)])
def test_gang_claims_the_workers_on_which_it_ends_first(uneven, make_step, fast_in_s, is_slow):
    _fill(uneven, 0, 2, 4, 6, estimate_ms=6_000)
    _fill(uneven, 1, 3, 5, 7, estimate_ms=5_000 + int(1000 * fast_in_s))
    gang = _wait(uneven, make_step(2, is_gang=True, estimate_ms=10_000), NORMAL)
    free, demand = uneven.free(), uneven.waiting[0]
    groups = placement.candidate_groups(demand, free, placement.PlacementScope())
    claim = claims.earliest(demand, groups, free, claims.Releases(uneven.running, 100.0))
    assert _slow(uneven, claim.nodes) == [is_slow] * len(gang.members)


def test_noise_of_a_tenth_makes_no_classes():
    assert {
        speed_classes.speed_class(fleet.Worker("node", slowness=slowness))
        for slowness in (0.9, 0.95, 1.0, 1.05, 1.1)
    } == {speed_classes.ORDINARY}


def test_gangs_of_a_busy_day_rarely_wait_for_a_slow_member(uneven, make_step):
    """Gangs of two to four come one after the other while bulk work fills what is left."""
    mixed, now_s, ends = 0, 100.0, []
    for number in range(60):
        step = make_step(2 + number % 3, is_gang=True, estimate_ms=9_000)
        gang = _wait(uneven, step, NORMAL)
        bulk = [_wait(uneven, make_step(accelerators=1), BULK, slack_s=30.0) for _ in range(6)]
        plan = uneven.plan(now_s)
        assert len(bulk) == 6
        for start in plan.starts:
            uneven.start_unit(start, now_s)
            slow = _slow(uneven, start.nodes)
            if start.demand.unit is gang:
                mixed += any(slow) and not all(slow)
            duration_s = step.estimate_ms / 1000.0 * (SLOWNESS if any(slow) else 1.0)
            ends.append((now_s + duration_s, start.demand.unit))
        now_s += 4.0
        for end in [end for end in ends if end[0] <= now_s]:
            ends.remove(end)
            uneven.end_unit(end[1])
        uneven.waiting.clear()
    assert mixed <= 60 / 10
