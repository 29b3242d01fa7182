"""Cost and gain of stopping a unit, in core-seconds.

Every stop that the scheduler orders is priced here: preemption, draining workers, stalls, moves and
cancellations. The cost is the work that is lost with all members of the unit, whichever of them the
stop is meant for: a gang ends as soon as one of its members does.
"""

import attrs

from papayaspar_jobs import durations, specs, units
from papayaspar_scheduling import ordering

# Number of cores that one accelerator counts as in the cost of lost work (prices in the platform's
# rules).
CORES_PER_ACCELERATOR = 8.0
MILLICORES_PER_CORE = 1000.0
# Time for which the resources of a stopped task do no work, in seconds: its stop takes up to 0.2 s,
# and restoring a checkpoint as long.
RESTART_S = 0.4
# Value of late work as a share of the value of work in time: a fifth to a third (payoff in the
# platform's rules).
LATE_VALUE_SHARE = 0.3


def cores(step: specs.Step) -> float:
    """Return the resources of one task of a step, in cores; accelerators count by their weight."""
    cpu_cores = step.room.cpu_millicores / MILLICORES_PER_CORE
    return cpu_cores + step.room.accelerators * CORES_PER_ACCELERATOR


@attrs.frozen
class StopCost:
    """Cost of stopping a unit now.

    :param unsaved_core_s: work of all members since the newest checkpoint, in core-seconds. The
        time for which members of a gang wait for one another counts as work: it is repeated, too.
    :param restart_core_s: resources that do no work until the unit runs again, in core-seconds.
    :param repeated_core_s: work that former stops of the unit lost, in core-seconds. It is not lost
        again, but work that was stopped before should not be the next to be stopped.
    """

    unsaved_core_s: float
    restart_core_s: float
    repeated_core_s: float = 0.0

    @property
    def lost_core_s(self) -> float:
        """Work that the stop loses, in core-seconds."""
        return self.unsaved_core_s + self.restart_core_s

    @property
    def weighed_core_s(self) -> float:
        """Cost by which units are compared, in core-seconds."""
        return self.lost_core_s + self.repeated_core_s


def stop_cost(unit: units.Unit, now_s: float) -> StopCost:
    """Return the cost of stopping a unit.

    A stop saves the progress of a checkpointed task. Of a gang, only the member that is stopped
    first saves it, and the others end without: what they did since their newest checkpoint is lost.

    :param unit: a unit of which members are assigned.
    :param now_s: the lead's clock.
    """
    running = [task for task in unit.members if task.is_assigned]
    task_cores = cores(unit.step)
    unsaved_s = 0.0
    if not unit.step.is_checkpointed:
        unsaved_s = sum(max(0.0, now_s - task.started_s) for task in running)
    elif len(running) > 1:
        saved_s = max(max(task.checkpoint_s, task.started_s) for task in running)
        unsaved_s = max(0.0, now_s - saved_s) * len(running)
    return StopCost(
        unsaved_s * task_cores, RESTART_S * task_cores * len(running), unit.stops.lost_core_s
    )


def lost_core_s(unit: units.Unit, now_s: float) -> float:
    """Return the work that is lost when a unit is stopped, in core-seconds.

    :param unit: a unit of which members are assigned.
    :param now_s: the lead's clock.
    """
    return stop_cost(unit, now_s).lost_core_s


def work_core_s(unit: units.Unit, estimates: durations.DurationEstimates) -> float:
    """Return the expected work of a whole unit, in core-seconds.

    :param unit: the unit.
    :param estimates: expected run times.
    """
    expected_s = estimates.expected(unit.job.spec, unit.step).middle_s
    return cores(unit.step) * expected_s * len(unit.members)


def value_share(demand: ordering.Demand, starts_s: float) -> float:
    """Return the value of a unit's work as a share of its value in time, from 0 to 1.

    :param demand: demand of the unit.
    :param starts_s: when the unit starts, on the lead's clock.
    """
    finish_s = starts_s + demand.remaining_s
    if finish_s <= demand.objective_s:
        return 1.0
    return LATE_VALUE_SHARE if finish_s <= demand.worthless_s else 0.0


def gain_core_s(
    demand: ordering.Demand,
    now_s: float,
    starts_in_s: float,
    estimates: durations.DurationEstimates,
) -> float:
    """Return what an immediate start of a unit gains over waiting, in core-seconds of its work.

    :param demand: demand of the unit.
    :param now_s: the lead's clock.
    :param starts_in_s: time after which the unit would start by itself, in seconds; ``inf`` if it
        would not.
    :param estimates: expected run times.
    """
    gained_share = value_share(demand, now_s) - value_share(demand, now_s + starts_in_s)
    return gained_share * work_core_s(demand.unit, estimates)
