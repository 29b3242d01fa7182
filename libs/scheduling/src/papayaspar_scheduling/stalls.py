"""Hung runs, told apart from runs that wait for others and from runs that take long.

A run that stands still at 100 percent says nothing about its worker: a member of a gang waits there
for slower members, and a task whose estimate was too short works on. Below the end, a run that
stands still has hung; of a gang, the slowest member is the one that holds up the others.
"""

from collections.abc import Callable, Iterable

from papayaspar_jobs import durations, units

# Progress in percent at which the expected work of a run is done.
END_PERCENT = 100.0
# A run at its end counts as hung only after this multiple of the time below which nearly all runs
# of its kind stay, and only if the other runs of its worker have hung as well.
OVERRUN_RATIO = 3.0
# The same multiple where the worker has no other run whose progress could tell.
LONE_OVERRUN_RATIO = 10.0


def stalled_member(
    unit: units.Unit,
    now_s: float,
    estimates: durations.DurationEstimates,
    tasks_on_node: Callable[[str], Iterable[units.Task]],
) -> units.Task | None:
    """Return the member that holds up a unit since its run has hung, or ``None``.

    :param unit: a unit.
    :param now_s: the lead's clock.
    :param estimates: expected run times.
    :param tasks_on_node: returns the tasks that are assigned to a VM.
    """
    if unit.step.is_lasting or any(task.is_starting or task.is_stopping for task in unit.members):
        return None
    running = [task for task in unit.members if task.is_assigned]
    if not running:
        return None
    slowest = min(running, key=lambda task: (task.percent, task.progressed_s))
    if slowest.percent < END_PERCENT:
        return slowest if is_still(slowest, now_s, estimates) else None
    for task in running:
        if _has_hung_at_end(task, now_s, estimates, tasks_on_node(task.record.node)):
            return task
    return None


def is_still(task: units.Task, now_s: float, estimates: durations.DurationEstimates) -> bool:
    """Return whether a run has made no progress for longer than its expected pace explains.

    :param task: a task that is assigned.
    :param now_s: the lead's clock.
    :param estimates: expected run times.
    """
    return task.is_stalled(now_s, expected_s(task, estimates))


def expected_s(task: units.Task, estimates: durations.DurationEstimates) -> float:
    """Return the expected run time of a task on its worker, in seconds.

    :param task: a task that is assigned.
    :param estimates: expected run times.
    """
    expected = estimates.expected(task.unit.job.spec, task.step)
    return expected.middle_s * estimates.slowness(task.record.node)


def _has_hung_at_end(
    task: units.Task,
    now_s: float,
    estimates: durations.DurationEstimates,
    neighbours: Iterable[units.Task],
) -> bool:
    """Return whether a run at its end has hung.

    A declared run time is no evidence: many runs take several times as long. Runs that have ended
    show how long the longest ones take.
    """
    expected = estimates.expected(task.unit.job.spec, task.step)
    if expected.source is durations.Source.DECLARED or not is_still(task, now_s, estimates):
        return False
    longest_s = expected.high_s * max(1.0, estimates.slowness(task.record.node))
    elapsed_s = now_s - task.started_s
    others = [other for other in neighbours if other.unit is not task.unit]
    others = [other for other in others if not other.step.is_lasting and not other.is_starting]
    if not others:
        return elapsed_s > LONE_OVERRUN_RATIO * longest_s
    if elapsed_s <= OVERRUN_RATIO * longest_s:
        return False
    return all(
        other.percent < END_PERCENT and is_still(other, now_s, estimates) for other in others
    )
