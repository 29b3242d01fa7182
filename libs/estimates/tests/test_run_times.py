"""Evidence, its bounds, and teams that declare or run odd times."""

import random
import statistics

import pytest

from papayaspar_estimates import run_times, windows

KIND = run_times.Kind("team", "queue", "s")


@pytest.fixture
def learned():
    return run_times.RunTimes()


def test_declared_run_time_holds_without_evidence(learned):
    assert learned.expected(KIND, "step", 4.0) == run_times.Expectation(4.0, 4.0, 0)


def test_run_counts_once(learned, make_run):
    run = make_run(10.0, 20.0)
    assert learned.observe(run)
    before = learned.expected(KIND, "new", 10.0)
    assert not learned.observe(run)
    assert learned.expected(KIND, "new", 10.0) == before


def test_run_in_restored_evidence_counts_once(learned, make_run):
    run = make_run(10.0, 20.0)
    learned.restore(KIND, windows.Sample(2.3, 3.0, 1, run.identity))
    assert not learned.observe(run)


def test_memory_is_bounded(make_run):
    learned = run_times.RunTimes(kinds_max=20)
    for number in range(200):
        learned.observe(make_run(1.0, 1.0, team=f"team-{number}", nodes=(f"node-{number}",)))
    assert len(learned) <= 20


def test_team_gains_nothing_by_what_it_declares(learned, make_run):
    rng = random.Random(3)
    for _ in range(30):
        learned.observe(make_run(rng.uniform(0.1, 10.0), 20.0))
    for declared_s in (0.1, 1.0, 10.0):
        assert learned.expected(KIND, "new", declared_s).middle_s == pytest.approx(20.0, rel=0.5)


def test_new_shape_of_a_team_begins_with_what_its_other_shapes_show(learned, make_run):
    for _ in range(20):
        learned.observe(make_run(1.0, 20.0))
    expected = learned.expected(run_times.Kind("team", "queue", "other"), "new", 1.0)
    assert expected.middle_s == pytest.approx(20.0, rel=0.35)


def _observe_teams(learned, make_run, odd_s):
    for number in range(20):
        for team in ("a", "b", "c", "d"):
            learned.observe(make_run(5.0, 10.0 + 0.1 * (number % 3), team=team))
        learned.observe(make_run(5.0, odd_s, team="odd"))


@pytest.mark.parametrize("team", ["a", "new"])
def test_odd_runs_of_one_team_move_no_figures_of_others(make_run, team):
    figures = []
    for odd_s in (10.0, 1000.0, 0.01):
        learned = run_times.RunTimes()
        _observe_teams(learned, make_run, odd_s)
        figures.append(learned.expected(run_times.Kind(team, "queue", "s"), "new", 5.0))
    for figure in figures[1:]:
        assert figure.middle_s == pytest.approx(figures[0].middle_s, rel=0.02)
        assert figure.high_s == pytest.approx(figures[0].high_s, rel=0.1)


def test_two_teams_say_nothing_about_a_third_one(learned, make_run):
    for _ in range(20):
        learned.observe(make_run(5.0, 50.0, team="a"))
        learned.observe(make_run(5.0, 50.0, team="b"))
    assert learned.expected(run_times.Kind("c", "queue", "s"), "new", 5.0).middle_s == 5.0


def test_running_tasks_are_a_bound_from_below(learned, make_run):
    for _ in range(5):
        learned.observe(make_run(10.0, 10.0))
    for identity in range(1000, 1020):
        learned.set_bound(KIND, "step", identity, 10.0, 40.0, "node")
    assert learned.expected(KIND, "new", 10.0).middle_s > 25.0
    for identity in range(1000, 1020):
        learned.remove_bound(KIND, "step", identity)
    assert learned.expected(KIND, "new", 10.0).middle_s == pytest.approx(10.0)


def _speeds(learned, make_run, slowness, tail_share=0.0):
    """Run steps of eight tasks on eight workers, of which one is slow."""
    rng = random.Random(11)
    for job in range(6):
        work_s = rng.uniform(3.0, 30.0)
        for number in range(8):
            factor = slowness if number == 7 else 1.0
            tail = 7.0 if rng.random() < tail_share else 1.0
            observed_s = work_s * factor * tail * rng.lognormvariate(0.0, 0.1)
            learned.observe(make_run(5.0, observed_s, nodes=(f"node-{number}",), step=f"job-{job}"))


@pytest.mark.parametrize("tail_share", [0.0, 0.05])
def test_slow_worker_is_told_from_wrong_estimates(learned, make_run, tail_share):
    _speeds(learned, make_run, 2.2, tail_share)
    assert learned.speeds.slowness("node-7") == pytest.approx(2.2, rel=0.35)
    for number in range(7):
        assert learned.speeds.slowness(f"node-{number}") == pytest.approx(1.0, rel=0.25)


# Guards against speeds that grow without bound: those of the runs compared with were taken off
# relative to a median that is computed later.
@pytest.mark.parametrize("node_count", [1, 2, 40])
def test_speeds_stay_near_the_true_ones_over_thousands_of_runs(learned, make_run, node_count):
    rng = random.Random(5)
    true_slowness = [1.0 if number % 4 else 2.2 for number in range(node_count)]
    for job in range(400):
        work_s = rng.uniform(1.0, 30.0)
        for _ in range(10):
            number = rng.randrange(node_count)
            observed_s = work_s * true_slowness[number] * rng.lognormvariate(0.0, 0.2)
            run = make_run(5.0, observed_s, nodes=(f"node-{number}",), step=f"job-{job}")
            learned.observe(run)
    ordinary = statistics.median_high(true_slowness)
    if node_count == 2:
        ordinary = statistics.geometric_mean(true_slowness)
    for number, slowness in enumerate(true_slowness):
        learned_slowness = learned.speeds.slowness(f"node-{number}")
        assert learned_slowness == pytest.approx(slowness / ordinary, rel=0.35)


def test_one_long_task_makes_no_worker_slow(learned, make_run):
    for number in range(5):
        learned.observe(make_run(5.0, 10.0, nodes=(f"node-{number}",), step="job"))
    learned.observe(make_run(5.0, 70.0, nodes=("node-5",), step="job"))
    assert learned.speeds.slowness("node-5") < 2.0


def test_gang_shows_the_slow_worker_of_its_slowest_member(learned, make_run):
    nodes = tuple(f"node-{number}" for number in range(5))
    for _ in range(6):
        learned.observe(
            make_run(4.0, 12.0, nodes=nodes, worked_s=(4.0, 4.1, 3.9, 4.0, 12.0), shape="gang")
        )
    assert learned.speeds.slowness("node-4") == pytest.approx(3.0, rel=0.35)
    kind = run_times.Kind("team", "queue", "gang")
    assert learned.expected(kind, "new", 4.0).middle_s == pytest.approx(4.5, rel=0.35)


def test_new_incarnation_may_be_another_machine(learned, make_run):
    _speeds(learned, make_run, 3.0)
    learned.speeds.begin_incarnation("node-7", 2)
    assert learned.speeds.slowness("node-7") == 1.0
