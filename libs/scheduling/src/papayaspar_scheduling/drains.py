"""What becomes of the units on a worker that is about to leave."""

import enum

from papayaspar_jobs import durations, units
from papayaspar_scheduling import stalls

# Time before a worker leaves at which the last units are stopped, in seconds: the stop passes two
# links and takes 0.2 s, its checkpoint is read with the next poll, and check-ins are 0.5 s apart.
LAST_STOP_S = 1.5
# Error of the expected rest of a run, as a share of it and in seconds: workers differ in speed, and
# progress is reported in whole percents, twice a second.
REST_ERROR_SHARE = 0.3
REST_ERROR_S = 0.5


class Action(enum.Enum):
    """What to do with a unit on a leaving worker.

    ``KEEP``: leave it alone for now. ``MOVE``: stop it as soon as other workers have room for it,
    or it may preempt others there. ``STOP``: stop it now.
    """

    KEEP = "keep"
    MOVE = "move"
    STOP = "stop"


def action(
    unit: units.Unit,
    leaves_in_s: float,
    now_s: float,
    estimates: durations.DurationEstimates,
) -> Action:
    """Return what to do with a unit of which a member runs on a leaving worker.

    A checkpointed unit works on as long as its stop still saves what it has done: it may end by
    itself until then, and moving it earlier gains nothing. A unit without checkpoints that can't
    end in time loses more the longer it runs, so that it moves as soon as there is room for it
    elsewhere, unless it has come so far that the chance that it ends is worth the time.

    :param unit: the unit.
    :param leaves_in_s: minimum time until the worker leaves, in seconds.
    :param now_s: the lead's clock.
    :param estimates: expected run times.
    """
    if unit.step.is_lasting:
        return Action.STOP
    rest_s = remaining_s(unit, now_s, estimates)
    if rest_s <= leaves_in_s:
        return Action.KEEP
    if unit.step.is_checkpointed:
        return Action.STOP if leaves_in_s <= LAST_STOP_S else Action.KEEP
    started_s = min(task.started_s for task in unit.members if task.is_assigned)
    chance = _chance_to_end(rest_s, leaves_in_s)
    if chance * (now_s - started_s) > (1.0 - chance) * leaves_in_s:
        return Action.KEEP
    return Action.MOVE


def _chance_to_end(rest_s: float, leaves_in_s: float) -> float:
    """Return the chance that a unit ends before its worker leaves, from 0 to 1.

    The rest is taken to be uniformly distributed around its expected value.
    """
    error_s = REST_ERROR_SHARE * rest_s + REST_ERROR_S
    return min(1.0, max(0.0, (leaves_in_s - rest_s + error_s) / (2.0 * error_s)))


def remaining_s(unit: units.Unit, now_s: float, estimates: durations.DurationEstimates) -> float:
    """Return the expected time until a unit ends, in seconds; a gang ends with its last member.

    :param unit: a unit of which members are assigned.
    :param now_s: the lead's clock.
    :param estimates: expected run times.
    """
    running = [task for task in unit.members if task.is_assigned]
    return max((_task_remaining_s(task, now_s, estimates) for task in running), default=0.0)


def _task_remaining_s(
    task: units.Task, now_s: float, estimates: durations.DurationEstimates
) -> float:
    if task.percent < stalls.END_PERCENT:
        return task.remaining_s(now_s, stalls.expected_s(task, estimates))
    expected = estimates.expected(task.unit.job.spec, task.step)
    if expected.source is durations.Source.DECLARED:
        return 0.0
    # Its progress says nothing more; half of the runs that get this far end within this time.
    return max(
        0.0, expected.middle_s * estimates.slowness(task.record.node) - (now_s - task.started_s)
    )
