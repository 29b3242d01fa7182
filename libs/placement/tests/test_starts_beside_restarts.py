"""Starts of gangs confirmed by reports, beside killed agents and entries, and lost reports."""

import itertools

import pytest

TASK_WORKERS = ("r0-w0", "r0-w1")
EARLIER = 4
NEWER = 5


@pytest.fixture
def restarted_view(view_of, report_of, use_of):
    """Return the view of an entry that has just started: a gang of an earlier attempt runs."""
    view = view_of("r0")
    for worker in TASK_WORKERS:
        view.observe(report_of(worker, 2, gangs=[use_of("j", (0,), attempt=EARLIER)]), 1.0)
    return view


def observe_attempt(view, report_of, use_of, worker, sequence, attempt, incarnation=1):
    """Apply a report of a worker on which one attempt of the job holds an accelerator."""
    accelerators = (0,) if attempt == EARLIER else (7,)
    uses = [use_of("j", accelerators, attempt=attempt)]
    return view.observe(report_of(worker, sequence, incarnation, gangs=uses), float(sequence))


# Guards against a start that is taken as confirmed by reports of the earlier attempt after a
# restart of the entry, with any order and any loss of the reports of either attempt.
@pytest.mark.parametrize("order", list(itertools.permutations(TASK_WORKERS)))
@pytest.mark.parametrize("repeats", [1, 3])
@pytest.mark.parametrize("starts", [1, 2])
def test_a_restarted_entry_confirms_a_start_by_the_newer_attempt(
    restarted_view, report_of, use_of, job_of, start_job, order, repeats, starts
):
    view = restarted_view
    for _ in range(starts):
        # A first start whose answer was lost is given up.
        view.release("j")
        start_job(view, job_of("j"), ("r0-w0", (7,)), ("r0-w1", (7,)))
    sequence = itertools.count(3)
    for _ in range(repeats):
        for worker in order:
            observe_attempt(view, report_of, use_of, worker, next(sequence), EARLIER)
            assert view.is_assumed("j")
            assert 7 not in view.worker(worker).free
    first, last = order
    observe_attempt(view, report_of, use_of, first, next(sequence), NEWER)
    observe_attempt(view, report_of, use_of, last, next(sequence), EARLIER)
    assert view.is_assumed("j")
    assert 7 not in view.worker(last).free
    observe_attempt(view, report_of, use_of, last, next(sequence), NEWER)
    assert not view.is_assumed("j")
    assert view.team_accelerators("blue") == 2


# Guards against a start that is confirmed by an agent which was killed and restarted with the same
# name, or by delayed reports of the killed one; both agents of the gang may restart in series.
@pytest.mark.parametrize("killed", [("r0-w0",), ("r0-w1",), TASK_WORKERS])
def test_restarted_agents_confirm_a_start_by_the_newer_attempt(
    restarted_view, report_of, use_of, job_of, start_job, killed
):
    view = restarted_view
    start_job(view, job_of("j"), ("r0-w0", (7,)), ("r0-w1", (7,)))
    for incarnation in (2, 3):
        for worker in killed:
            assert view.observe(report_of(worker, 1, incarnation), 3.0)
            # A delayed report of the killed agent.
            assert not observe_attempt(view, report_of, use_of, worker, 9, EARLIER, incarnation - 1)
            assert view.is_assumed("j")
            assert 7 not in view.worker(worker).free
    for worker in TASK_WORKERS:
        incarnation = 3 if worker in killed else 1
        assert view.is_assumed("j")
        observe_attempt(view, report_of, use_of, worker, 10, EARLIER, incarnation)
        assert view.is_assumed("j")
        observe_attempt(view, report_of, use_of, worker, 11, NEWER, incarnation)
    assert not view.is_assumed("j")
    assert view.team_accelerators("blue") == 2


# Guards against a start that is confirmed because its entry lost a worker of the gang, and got the
# worker back with the earlier attempt still on it.
@pytest.mark.parametrize("incarnation", [1, 2])
def test_a_lost_worker_that_returns_does_not_confirm_the_start_of_the_others(
    restarted_view, report_of, use_of, job_of, start_job, incarnation
):
    view = restarted_view
    start_job(view, job_of("j"), ("r0-w0", (7,)), ("r0-w1", (7,)))
    view.remove_worker("r0-w0")
    observe_attempt(view, report_of, use_of, "r0-w0", 3, EARLIER, incarnation)
    observe_attempt(view, report_of, use_of, "r0-w1", 3, EARLIER)
    assert view.is_assumed("j")
    assert 7 not in view.worker("r0-w1").free
    observe_attempt(view, report_of, use_of, "r0-w1", 4, NEWER)
    assert not view.is_assumed("j")


# Guards against accelerators that count twice, or stay taken, after a start whose worker was lost
# before it reported the newer attempt.
def test_a_start_ends_when_its_last_unreported_worker_is_lost(
    restarted_view, report_of, use_of, job_of, start_job
):
    view = restarted_view
    start_job(view, job_of("j"), ("r0-w0", (7,)), ("r0-w1", (7,)))
    observe_attempt(view, report_of, use_of, "r0-w0", 3, NEWER)
    assert view.is_assumed("j")
    view.remove_worker("r0-w1")
    assert not view.is_assumed("j")
    assert view.team_accelerators("blue") == 1
    # The next start of the job is not confirmed by the attempt before it.
    start_job(view, job_of("j"), ("r0-w0", (6,)), ("r0-w2", (6,)))
    observe_attempt(view, report_of, use_of, "r0-w0", 4, NEWER)
    assert view.is_assumed("j")
    assert 6 not in view.worker("r0-w0").free
