"""Two runs of one task in the agent's table, as after a run that the lead took as lost."""

from papayaspar_jobs import specs, tasks
from papayaspar_runs import table, workers

BORN_MS = 1_000
CAPACITY = specs.Resources(1000, 1000, 8)
KEY = tasks.TaskKey("0" * 16, 0, 0, 0)


def _status(*runs):
    return workers.WorkerStatus(
        500, BORN_MS, tuple(workers.RunStatus(KEY, run) for run in runs), ()
    )


# Guards against a refused start that frees the resources of the run beside it: the order for the
# next run of a task took the place of the run that was on the worker (issue 32).
def test_refused_start_of_the_next_run_keeps_the_run_that_is_there():
    runs = table.RunTable()
    runs.begin_start(KEY, 1, CAPACITY, 1)
    runs.record_started(KEY, 1, 1)
    runs.apply_status(_status(1), 2)
    runs.begin_start(KEY, 2, specs.Resources(), 2)
    assert [status.run for status in runs.statuses()] == [1]
    runs.record_not_started(KEY, 2)
    assert [status.run for status in runs.statuses()] == [1]
    assert not runs.fits(CAPACITY, CAPACITY)


# Guards against a run that the lead is not told of, and does not stop, while the start of another
# run of its task is under way (issue 32).
def test_listed_run_is_reported_while_another_run_of_its_task_starts():
    runs = table.RunTable()
    runs.begin_start(KEY, 2, CAPACITY, 1)
    runs.apply_status(_status(1), 2)
    assert [status.run for status in runs.statuses()] == [1]
    runs.apply_status(_status(2), 3)
    assert [status.run for status in runs.statuses()] == [2]
    assert not runs.fits(CAPACITY, CAPACITY)
