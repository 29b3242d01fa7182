"""Claims and backfilling by learned run times, where callers declare a third of what work takes.

The load is that of gangs of whole workers among small tasks: a claim that counts on tasks which run
on for long is worth nothing, and small tasks that run longer than declared delay the gang.
"""

import attrs
import pytest

from papayaspar_jobs import durations, specs
from papayaspar_scheduling import claims, ordering

NORMAL, BULK = ordering.Rank.NORMAL, ordering.Rank.BULK
LATE_S = 1000.0


@attrs.frozen
class FixedDurations(durations.DurationEstimates):
    """The same learned run time for all work, on workers of given slowness."""

    middle_s: float
    high_s: float
    slowness_by_node: dict[str, float] = attrs.field(factory=dict)

    def expected(self, spec, step):
        return durations.ExpectedDuration(
            self.middle_s, self.high_s, durations.Source.LEARNED, run_count=20
        )

    def slowness(self, node):
        return self.slowness_by_node.get(node, 1.0)


@pytest.fixture
def learn():
    """Return a function that sets what is known of a unit's run time."""

    def learn(unit, middle_s, high_s, **slowness_by_node):
        unit.job.estimates = FixedDurations(middle_s, high_s, slowness_by_node)
        unit.expected = unit.job.expected(unit)
        return unit

    return learn


def _release_s(unit, now_s=100.0):
    victim = claims.preemption.Victim(unit, BULK, 0.0)
    node = unit.members[0].record.node
    return claims.Releases([victim], now_s).on_node(node)[1][0]


def test_release_is_expected_by_the_learned_run_time(cluster, make_step, learn):
    unit = cluster.add_running_unit(make_step(estimate_ms=4_000), "node-0", rank=BULK)
    assert _release_s(learn(unit, 12.0, 20.0)) == pytest.approx(7.0)


def test_release_by_a_slow_worker_is_expected_later(cluster, make_step, learn):
    unit = cluster.add_running_unit(make_step(estimate_ms=4_000), "node-0", rank=BULK)
    assert _release_s(learn(unit, 12.0, 20.0, **{"node-0": 2.0})) == pytest.approx(19.0)


@pytest.mark.parametrize("elapsed_s, remaining_s", [(15.0, 5.0), (30.0, 30.0)])
def test_run_beyond_what_is_expected_runs_on(cluster, make_step, learn, elapsed_s, remaining_s):
    unit = cluster.add_running_unit(make_step(), "node-0", rank=BULK, elapsed_s=elapsed_s)
    assert _release_s(learn(unit, 12.0, 20.0)) == pytest.approx(remaining_s)


def test_progress_tells_more_than_what_is_expected(cluster, make_step, learn):
    unit = cluster.add_running_unit(make_step(), "node-0", rank=BULK)
    unit.members[0].update_progress(50.0, 100.0)
    assert _release_s(learn(unit, 12.0, 20.0)) == pytest.approx(5.0)


def _fill(cluster, make_step, learn):
    """Run seven of eight small tasks on each worker, which end in about 5 s."""
    for number in range(4 * 7):
        small = make_step(accelerators=1, estimate_ms=10_000 + 10 * number)
        learn(cluster.add_running_unit(small, f"node-{number % 4}", rank=BULK), 10.0, 12.0)
    gang = cluster.add_waiting_unit(
        make_step(4, is_gang=True, estimate_ms=15_000), NORMAL, worthless_after_s=LATE_S
    )
    learn(gang, 15.0, 20.0)


@pytest.mark.parametrize("high_s, started", [(4.0, 4), (12.0, 0)])
def test_small_tasks_run_before_a_claim_if_nearly_all_end_in_time(
    cluster, make_step, learn, high_s, started
):
    _fill(cluster, make_step, learn)
    for _ in range(4):
        small = make_step(accelerators=1, estimate_ms=2_000)
        learn(cluster.add_waiting_unit(small, BULK), 3.0, high_s)
    plan = cluster.plan()
    assert sum(start.demand.rank is BULK for start in plan.starts) == started


def test_equal_steps_of_other_teams_are_placed_by_their_own_run_times(cluster, make_step, learn):
    _fill(cluster, make_step, learn)
    small = specs.Step(1, specs.Resources(7_500, 20_000, 1), 2_000)
    long_unit = learn(cluster.add_waiting_unit(small, BULK), 30.0, 40.0)
    short_unit = learn(cluster.add_waiting_unit(small, BULK), 1.0, 2.0)
    started = [start.demand.unit for start in cluster.plan().starts]
    assert long_unit not in started
    assert short_unit in started
