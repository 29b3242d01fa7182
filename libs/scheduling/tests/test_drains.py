"""Units on workers that leave one after the other (a rolling drain), also on uneven workers."""

import pytest

from papayaspar_jobs import durations
from papayaspar_scheduling import drains, ordering

NORMAL = ordering.Rank.NORMAL
NOW_S = 100.0
KEEP, MOVE, STOP = drains.Action.KEEP, drains.Action.MOVE, drains.Action.STOP


class LearnedDurations(durations.DeclaredDurations):
    """Runs that take three times as long as declared, and twice as long on a slow worker."""

    def expected(self, spec, step):
        declared_s = super().expected(spec, step).middle_s
        return durations.ExpectedDuration(
            3 * declared_s, 4 * declared_s, durations.Source.LEARNED, 20
        )

    def slowness(self, node):
        return 2.0 if node == "node-1" else 1.0


def _action(unit, leaves_in_s, estimates=None):
    return drains.action(unit, leaves_in_s, NOW_S, estimates or durations.DeclaredDurations())


@pytest.mark.parametrize("is_checkpointed", [False, True])
def test_unit_that_ends_before_its_worker_leaves_stays(cluster, make_step, is_checkpointed):
    unit = cluster.add_running_unit(
        make_step(is_checkpointed=is_checkpointed), "node-0", rank=NORMAL, elapsed_s=3.0
    )
    assert _action(unit, 2.5) is KEEP


# Guards against checkpointed work that is stopped at the beginning of the notice, and waits.
@pytest.mark.parametrize(
    ("leaves_in_s", "action"), [(5.0, KEEP), (2.0, KEEP), (drains.LAST_STOP_S, STOP), (0.0, STOP)]
)
def test_checkpointed_unit_works_on_until_the_last_stop(cluster, make_step, leaves_in_s, action):
    step = make_step(estimate_ms=20_000, is_checkpointed=True)
    unit = cluster.add_running_unit(step, "node-0", rank=NORMAL)
    assert _action(unit, leaves_in_s) is action


def test_unsaved_unit_that_can_not_end_moves(cluster, make_step):
    unit = cluster.add_running_unit(make_step(estimate_ms=20_000), "node-0", rank=NORMAL)
    assert _action(unit, 5.0) is MOVE


# Guards against a gang of which 18 s of work were thrown away half a second too early to tell that
# it would end: a move saves at most the time until the worker leaves.
@pytest.mark.parametrize(("elapsed_s", "action"), [(18.0, KEEP), (1.0, MOVE)])
def test_unit_that_may_just_end_is_moved_only_while_it_is_young(
    cluster, make_step, elapsed_s, action
):
    unit = cluster.add_running_unit(
        make_step(estimate_ms=round(1000 * (elapsed_s + 4.4))),
        "node-0",
        rank=NORMAL,
        elapsed_s=elapsed_s,
    )
    assert _action(unit, 4.0) is action


# A move a moment before the worker leaves saves nothing.
def test_unit_that_was_kept_so_far_stays_to_the_end(cluster, make_step):
    unit = cluster.add_running_unit(
        make_step(estimate_ms=22_400), "node-0", rank=NORMAL, elapsed_s=21.6
    )
    assert _action(unit, 0.4) is KEEP


# Uneven workers: the member on the leaving worker has done its share, but the gang ends with its
# slow member elsewhere.
def test_gang_ends_with_its_slowest_member(cluster, make_step):
    unit = cluster.add_running_unit(
        make_step(2, is_gang=True), "node-0", "node-1", rank=NORMAL, elapsed_s=5.0
    )
    fast, slow = unit.members
    fast.update_progress(100.0, NOW_S)
    slow.update_progress(40.0, NOW_S)
    assert _action(unit, 5.0) is MOVE
    assert _action(unit, 8.0) is KEEP


# Uneven workers: until a run reports progress, its worker's speed and former runs tell how long it
# takes.
@pytest.mark.parametrize(("node", "action"), [("node-0", KEEP), ("node-1", MOVE)])
def test_learned_run_times_count_until_progress_is_reported(cluster, make_step, node, action):
    unit = cluster.add_running_unit(make_step(estimate_ms=1000), node, rank=NORMAL, elapsed_s=1.0)
    assert _action(unit, 2.5, LearnedDurations()) is action


# Tasks with a long tail: at 100 percent, only what was learned tells how long the rest takes.
def test_unit_at_its_end_stays_unless_its_kind_takes_longer(cluster, make_step):
    unit = cluster.add_running_unit(
        make_step(estimate_ms=5000), "node-0", rank=NORMAL, elapsed_s=6.0
    )
    unit.members[0].update_progress(100.0, NOW_S - 1.0)
    assert _action(unit, 5.0) is KEEP
    assert _action(unit, 5.0, LearnedDurations()) is MOVE
    assert _action(unit, 10.0, LearnedDurations()) is KEEP


def test_task_that_lasts_moves_at_once(cluster, make_step):
    unit = cluster.add_running_unit(make_step(is_lasting=True), "node-0", rank=NORMAL)
    assert _action(unit, 60.0) is STOP
