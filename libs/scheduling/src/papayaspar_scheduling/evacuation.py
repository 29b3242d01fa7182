"""Evacuation of data centres: until when work may start there, and which starts are withdrawn."""

from collections.abc import Iterable, Mapping

from papayaspar_jobs import evacuations, tasks, units

# The last part of the bound in which nothing starts, in seconds: times on the wire are rounded to
# milliseconds, and timers fire late.
START_LEASE_MARGIN_S = 0.1


def start_lease_s(
    current: evacuations.Evacuations, data_centre: str, age_s: float, bound_s: float | None
) -> float | None:
    """Return for how long work may start in a data centre, in seconds, or ``None`` for no limit.

    A request that is not known yet was acknowledged less than ``age_s`` ago, and allows starts
    until the bound after its acknowledgement has passed.

    :param current: the known evacuations.
    :param data_centre: name of the data centre, or empty if it is unknown.
    :param age_s: longest time for which an evacuation may be unknown, in seconds.
    :param bound_s: time after the acknowledgement of an evacuation from which on nothing may start,
        in seconds; ``None`` if there is no bound.
    """
    if current.covers(data_centre):
        return 0.0
    if bound_s is None:
        return None
    return max(0.0, bound_s - age_s - START_LEASE_MARGIN_S)


def units_to_withdraw(
    assigned: Iterable[units.Task],
    data_centres: Mapping[str, str],
    current: evacuations.Evacuations,
) -> list[units.Unit]:
    """Return the units of which a start in an evacuated data centre is in progress.

    :param assigned: tasks that are assigned to workers.
    :param data_centres: data centre of each VM; one that is missing is unknown.
    :param current: the known evacuations.
    """
    withdrawn: dict[tasks.TaskKey, units.Unit] = {}
    for task in assigned:
        if not task.is_starting or task.is_stopping:
            continue
        if current.covers(data_centres.get(task.record.node, "")):
            withdrawn[task.unit.members[0].key] = task.unit
    return list(withdrawn.values())
