"""How long a gang that failed on several workers waits beside trials and refused starts."""

import pytest

from papayaspar_jobs import tasks
from papayaspar_scheduling import health, ordering

NORMAL = ordering.Rank.NORMAL


@pytest.fixture
def add_failed_gang(cluster, make_step):
    """Return a function that adds a gang on all workers that failed on two of them."""

    def add(waited_s, attempts=3):
        gang = make_step(task_count=4, is_gang=True, estimate_ms=60_000)
        unit = cluster.add_waiting_unit(gang, NORMAL, waited_s=waited_s)
        unit.job.attempts = attempts
        for member, node in zip(unit.members, ("node-0", "node-1"), strict=False):
            member.failed_nodes.add(node)
            unit.note_failed_node(1, node)
        unit.members[0].record = tasks.TaskRecord(run=1, failures=1, failed_run=1)
        return unit

    return add


# Guards against a gang that waits for its estimate beside idle workers: a run of a job that has
# ended failed on a worker that the gang needs, and no other work ends the worker's trial.
@pytest.mark.parametrize("attempts", [3, 2])
def test_gang_that_failed_widely_does_not_wait_for_an_open_trial(
    cluster, add_failed_gang, attempts
):
    cluster.workers[2].trial = health.Trial.OPEN
    add_failed_gang(30.0, attempts)
    assert len(cluster.plan().starts) == 1


# Guards against a wait of the time of an ejection after each start that cost no attempt: the newest
# run of the gang was refused or stopped, and its failed run is long ago.
def test_last_attempt_that_was_refused_is_repeated_after_a_short_pause(cluster, add_failed_gang):
    unit = add_failed_gang(health.REPEAT_PAUSE_MAX_S, attempts=2)
    for member in unit.members:
        member.record = tasks.TaskRecord(run=2, failures=1, failed_run=1)
    assert len(cluster.plan().starts) == 1
