"""Scopes of workers that a waiting unit may use, which grow as it waits."""

import attrs

from papayaspar_jobs import units
from papayaspar_scheduling import fleet, health, ordering, placement

# A unit may use remote racks, which make it slow, once it has waited this multiple of its estimate;
# also ejected workers, if it would not fit on the others even when they are idle.
REMOTE_AFTER_ESTIMATES = 1.0
MILLISECONDS_PER_SECOND = 1000.0


def permitted(
    demand: ordering.Demand, free_after_stops: fleet.FreeCapacity, is_reconnect_expected: bool
) -> list[placement.PlacementScope]:
    """Return the scopes in which a demand may be placed, narrowest first.

    A unit prefers the workers on which it neither failed nor was refused. After a pause it may use
    the others, too, whatever the preferred ones could hold if they were idle: they may be full for
    as long as other work lasts.

    :param demand: demand of the waiting unit.
    :param free_after_stops: free capacity once all units that are being stopped have ended.
    :param is_reconnect_expected: whether workers are expected to reconnect soon; meanwhile no unit
        is placed on remote racks only because workers on its own rack are disconnected.
    """
    narrowest = placement.PlacementScope()
    step = demand.unit.step
    scopes = [narrowest]
    has_waited_long = _has_waited_long(demand)
    is_remote_allowed = False
    if step.data_rack or step.is_same_rack:
        fits = any(
            placement.can_hold_when_empty(demand, group)
            for group in placement.candidate_groups(demand, free_after_stops, narrowest)
        )
        is_remote_allowed = has_waited_long or not (fits or is_reconnect_expected)
    if is_remote_allowed:
        scopes.append(placement.PlacementScope(is_remote_allowed=True))
    if _may_repeat(demand):
        # Tasks that last have no attempts that an ejected worker could use up.
        repeat = placement.PlacementScope(
            is_repeat_allowed=not step.is_lasting, is_untrusted_allowed=step.is_lasting
        )
        scopes.append(repeat)
        if is_remote_allowed:
            scopes.append(attrs.evolve(repeat, is_remote_allowed=True))
    if has_waited_long and not _fits_trusted(demand, free_after_stops):
        scopes.append(placement.PlacementScope(is_remote_allowed=True, is_untrusted_allowed=True))
    return scopes


def placement_key(demand: ordering.Demand) -> tuple[object, ...]:
    """Return all properties of a unit on which its placement depends."""
    step = demand.unit.step
    limited_step = fleet.step_name(demand.unit.members[0].key) if step.per_worker_max else ""
    return (
        step.counted_resources,
        step.required_label,
        step.data_rack,
        step.is_same_rack,
        step.is_lasting,
        len(demand.unit.members),
        demand.unit.failed_nodes,
        demand.unit.failures > 0,
        demand.unit.has_failed_widely,
        # Work that ends before a claim begins fits where longer work does not.
        demand.unit.job.expected(demand.unit).high_s,
        _has_waited_long(demand),
        _may_repeat(demand),
        limited_step,
    )


def _fits_trusted(demand: ordering.Demand, free: fleet.FreeCapacity) -> bool:
    """Return whether a unit would fit on the trusted workers of all racks if they were idle."""
    scope = placement.PlacementScope(is_remote_allowed=True)
    return any(
        placement.can_hold_when_empty(demand, group)
        for group in placement.candidate_groups(demand, free, scope)
    )


def _has_waited_long(demand: ordering.Demand) -> bool:
    estimate_s = demand.unit.step.estimate_ms / MILLISECONDS_PER_SECOND
    return demand.waited_s >= REMOTE_AFTER_ESTIMATES * estimate_s


def _may_repeat(demand: ordering.Demand) -> bool:
    """Return whether a unit may run where it failed or was refused, and try workers on trial."""
    unit = demand.unit
    if not unit.failed_nodes and unit.failures == 0:
        return False
    # Refusals of other workers begin the wait again, and not the pause.
    paused_s = demand.paused_s if demand.paused_s is not None else demand.waited_s
    return paused_s >= _repeat_pause_s(unit)


def _repeat_pause_s(unit: units.Unit) -> float:
    """Return the pause before a unit may run where it failed or was refused, in seconds.

    A refused start costs no attempt, and tasks that last have no limit of attempts. Members of a
    gang that fail on several workers in one run most likely failed by the gang's own fault. Other
    units save their attempts, since workers may fail all they start for some seconds; the last
    attempt waits for as long as a worker is ejected.
    """
    has_newest_run_failed = unit.failed_run == unit.next_run - 1
    if unit.failures == 0 or unit.step.is_lasting or not has_newest_run_failed:
        return health.repeat_pause_s(unit.next_run - 1)
    if unit.failures + 1 >= unit.job.attempts:
        return health.EJECTION_S
    if unit.has_failed_widely:
        return health.repeat_pause_s(unit.next_run - 1)
    return health.attempt_pause_s(unit.failures)
