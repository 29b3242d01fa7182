"""Teams of one rank that compete for a pool: who begins when, under four loads.

Each load is named by its test: a burst of one team, a burst of one kind of work, a burst of large
jobs, and a steady overload. A job of a team that is below its share begins within the time that
one task of the others takes; before, some had not begun after 20 s.
"""

import attrs
import pytest

from papayaspar_jobs import specs, tasks
from papayaspar_scheduling import fleet, ordering, shares

from . import shared_pool

NORMAL, GUARANTEED = ordering.Rank.NORMAL, ordering.Rank.GUARANTEED
# A unit starts in the round that follows the end of the task before it.
ROUNDS_S = 2 * shared_pool.ROUND_S


@pytest.fixture
def shared() -> shared_pool.SharedPool:
    """Return a pool of six workers."""
    workers = [
        fleet.Worker(
            f"node-{number}",
            "pool",
            tasks.Incarnation(f"w-{number}", 1),
            shared_pool.CAPACITY,
            is_open=True,
        )
        for number in range(6)
    ]
    return shared_pool.SharedPool(workers)


def _every(interval_s, submit):
    """Return a function for ``play`` that hands in a job at each interval, but not at first."""

    def arrive(elapsed_s):
        if elapsed_s > 0 and elapsed_s % interval_s < shared_pool.ROUND_S:
            submit()

    return arrive


def test_burst_of_one_team_keeps_no_small_team_waiting(shared):
    for _ in range(60):
        shared.submit("large", 3.0)
    shared.play(40.0, _every(1.5, lambda: shared.submit("small", 3.0)))
    begun = [job for job in shared.of("small") if job.came_s < shared.now_s - 3.0 - ROUNDS_S]
    assert len(begun) >= 20
    assert max(job.waited_s for job in begun) <= 3.0 + ROUNDS_S


def test_burst_of_one_team_uses_what_nobody_else_asks_for(shared):
    for _ in range(60):
        shared.submit("large", 3.0)
    shared.submit("small", 3.0)
    shared.play(31.0)
    assert all(job.began_s <= 100.0 + 30.0 + 3.0 + ROUNDS_S for job in shared.jobs)


def test_burst_of_one_kind_of_work_delays_other_kinds_by_one_of_its_tasks(shared):
    """Two teams hand in the long work of the night, and a third checks in between."""
    for number in range(60):
        shared.submit(f"night-{number % 2}", 8.0)
    shared.play(60.0, _every(2.0, lambda: shared.submit("checks", 1.0)))
    begun = [job for job in shared.of("checks") if job.came_s < shared.now_s - 8.0 - ROUNDS_S]
    assert max(job.waited_s for job in begun) <= 8.0 + ROUNDS_S


def test_burst_of_large_jobs_takes_turns_with_small_ones(shared):
    """A team of gangs that each fill the pool has nothing running between two of them."""
    for _ in range(8):
        shared.submit("gangs", 6.0, workers=6)
    shared.play(0.25)
    for _ in range(3):
        shared.submit("small", 2.0)
    shared.play(20.0)
    assert max(job.waited_s for job in shared.of("small")) <= 6.0 + ROUNDS_S
    assert sum(job.began_s < float("inf") for job in shared.of("gangs")) >= 2


def test_steady_overload_is_shared_by_the_teams_that_cause_it(shared):
    """Two teams ask for the whole pool each, one with short jobs; a third for a tenth of it."""

    def arrive(elapsed_s):
        _every(0.5, lambda: shared.submit("short", 3.0))(elapsed_s)
        _every(1.0, lambda: shared.submit("long", 6.0))(elapsed_s)
        _every(5.0, lambda: shared.submit("small", 3.0))(elapsed_s)

    shared.play(120.0, arrive)
    small = [job for job in shared.of("small") if job.came_s < shared.now_s - 6.0 - ROUNDS_S]
    assert max(job.waited_s for job in small) <= 6.0 + ROUNDS_S
    used_s = {
        team: sum(
            min(job.ends_s, shared.now_s) - job.began_s
            for job in shared.of(team)
            if job.began_s < float("inf")
        )
        for team in ("short", "long")
    }
    # Of what the small team leaves, each gets nine tenths of its half at least.
    assert min(used_s.values()) >= 0.9 * sum(used_s.values()) / 2


def test_share_grows_with_the_guarantee():
    """A team that is guaranteed half of the pool uses three quarters of it beside another."""
    pool = shares.Pool(specs.Resources(1, 1, 48), specs.Resources(), {"guaranteed": 24})
    fair = shares.fair_shares({"guaranteed": 2.0, "other": 2.0}, pool)
    assert fair == {"guaranteed": pytest.approx(0.75), "other": pytest.approx(0.25)}


def test_guarantees_beyond_the_pool_are_reduced_in_proportion():
    pool = shares.Pool(specs.Resources(1, 1, 10), specs.Resources(), {"a": 30, "b": 10})
    assert shares.fair_shares({"a": 2.0, "b": 2.0}, pool) == {"a": 0.75, "b": 0.25}


@pytest.mark.parametrize("accelerators", [0, 4, 8, 9])
def test_team_without_a_guarantee_has_a_share_beside_any_guarantee(accelerators):
    pool = shares.Pool(specs.Resources(1, 1, accelerators), specs.Resources(), {"guaranteed": 8})
    fair = shares.fair_shares({"guaranteed": 2.0, "other": 2.0}, pool)
    assert sum(fair.values()) == pytest.approx(1.0)
    assert fair["other"] >= 0.05 - 1e-9


def test_guarantees_of_accelerators_weigh_nothing_in_a_pool_without_any():
    pool = shares.Pool(specs.Resources(1, 1, 0), specs.Resources(), {"guaranteed": 8})
    assert shares.fair_shares({"guaranteed": 2.0, "other": 2.0}, pool) == {
        "guaranteed": 0.5,
        "other": 0.5,
    }


def test_what_a_team_leaves_is_divided_among_the_others():
    pool = shares.Pool(specs.Resources(1, 1, 10), specs.Resources(), {})
    fair = shares.fair_shares({"small": 0.1, "a": 2.0, "b": 0.6}, pool)
    assert fair == {
        "small": pytest.approx(1 / 3),
        "a": pytest.approx(0.45),
        "b": pytest.approx(0.45),
    }


def test_burst_of_guaranteed_teams_keeps_no_other_team_waiting(shared):
    """The guarantee is the whole pool, and does not cover the work of the burst.

    The small team has a twentieth: the other one is ahead by half a second of the pool after some
    14 s of contention, and the next of its tasks to end makes room.
    """
    shared.guaranteed_accelerators["large"] = sum(
        worker.capacity.accelerators for worker in shared.workers
    )
    for _ in range(60):
        shared.submit("large", 3.0)
    shared.play(1.0)
    shared.submit("small", 3.0)
    shared.play(20.0)
    assert max(job.waited_s for job in shared.of("small")) <= 14.0 + 1.0 + 3.0 + ROUNDS_S


def test_guaranteed_work_goes_first_whatever_its_team_uses(shared):
    for _ in range(12):
        shared.submit("guaranteed", 5.0)
    shared.play(1.0)
    covered = shared.submit("guaranteed", 5.0, rank=GUARANTEED)
    shared.submit("other", 5.0)
    demands = sorted(
        shared.assessed(), key=lambda demand: ordering.ByTeamShares().key(demand, shared.now_s)
    )
    assert demands[0].unit is covered.unit
    assert not demands[0].is_beyond_share


def test_unit_for_which_others_were_stopped_keeps_its_place(shared):
    """Its team has its share meanwhile; the room went to others, and more units were stopped."""
    for _ in range(12):
        shared.submit("large", 5.0)
    shared.submit("small", 5.0)
    shared.play(1.0)
    waiting = next(job for job in shared.of("large") if job.unit.is_waiting)
    waiting.unit.preempting_s = shared.now_s
    shared.submit("small", 5.0)
    are_beyond = {demand.unit: demand.is_beyond_share for demand in shared.assessed()}
    assert not are_beyond[waiting.unit]
    assert any(are_beyond.values())


def test_only_the_part_of_a_burst_that_exceeds_the_share_is_beyond_it(shared):
    for _ in range(6):
        shared.submit("large", 5.0)
    shared.submit("small", 5.0)
    are_beyond = [
        demand.is_beyond_share
        for demand in shared.assessed()
        if demand.unit.job.spec.team == "large"
    ]
    assert are_beyond == [False] * 5 + [True]


@pytest.mark.parametrize("teams", [("one",), ("one", "two")])
def test_nothing_is_contended_while_all_fits_or_one_team_waits(shared, teams):
    for _ in range(3 if len(teams) > 1 else 12):
        for team in teams:
            shared.submit(team, 5.0)
    assert not any(demand.is_beyond_share for demand in shared.assessed())


def test_use_that_nobody_else_waited_for_is_not_counted(shared):
    for _ in range(30):
        shared.submit("large", 3.0)
    shared.play(12.0)
    shared.submit("small", 3.0)
    shared.assessed()
    assert shared.accounts.ahead_s["large"] == pytest.approx(0.0)


def test_new_lead_shares_by_what_runs(shared):
    """The window is lost with a lead; a team that has its share is beyond it nevertheless."""
    for _ in range(30):
        shared.submit("large", 3.0)
    shared.play(1.0)
    shared.accounts = shares.ShareAccounts()
    small = shared.submit("small", 3.0)
    are_beyond = {demand.unit: demand.is_beyond_share for demand in shared.assessed()}
    assert not are_beyond.pop(small.unit)
    assert all(are_beyond.values())


def test_window_fades_once_nothing_is_contended(shared):
    for _ in range(4):
        shared.submit("gangs", 6.0, workers=6)
    shared.play(0.25)
    shared.submit("small", 2.0)
    shared.play(5.0)
    shared.assessed()
    assert shared.accounts.ahead_s["gangs"] > shares.AHEAD_MAX_S
    shared.play(10 * shares.WINDOW_S)
    shared.submit("gangs", 6.0, workers=6)
    shared.submit("small", 2.0)
    shared.assessed()
    assert shared.accounts.ahead_s["gangs"] == pytest.approx(0.0, abs=0.01)


def _demand(shared, came_s, run_s=5.0, is_beyond_share=False):
    job = shared.submit("team", run_s)
    job.came_s = came_s
    return attrs.evolve(shared.demand(job), is_beyond_share=is_beyond_share)


def test_groups_of_the_order(shared):
    """Within the share before beyond it, by the next loss of value; worthless work comes last."""
    late_s, worthless_s = shared.now_s - 15.0, shared.now_s - 60.0
    demands = [
        _demand(shared, shared.now_s),
        _demand(shared, late_s),
        _demand(shared, shared.now_s - 1.0, is_beyond_share=True),
        _demand(shared, late_s, is_beyond_share=True),
        _demand(shared, worthless_s),
    ]
    order = ordering.ByTeamShares()
    shuffled = [demands[position] for position in (3, 0, 4, 2, 1)]
    in_order = sorted(shuffled, key=lambda demand: order.key(demand, shared.now_s))
    assert in_order == demands


def test_order_without_contention_is_that_of_the_next_loss_of_value(shared):
    for came_s in (shared.now_s, shared.now_s - 15.0, shared.now_s - 45.0, shared.now_s - 60.0):
        for run_s in (1.0, 5.0, 9.0):
            _demand(shared, came_s, run_s)
    demands = [shared.demand(job) for job in shared.jobs]
    before, now = ordering.ByNextValueLoss(), ordering.ByTeamShares()
    assert sorted(demands, key=lambda demand: now.key(demand, shared.now_s)) == sorted(
        demands, key=lambda demand: before.key(demand, shared.now_s)
    )
