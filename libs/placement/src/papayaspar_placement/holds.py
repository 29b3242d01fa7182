"""A hold of racks for the oldest large gang that waits."""

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import ends, entitlements, fleet, inventory, reclaims


@attrs.frozen
class Hold:
    """Racks kept for one gang.

    :param job_id: the gang that waits.
    :param racks: names of the racks.
    :param ready_s: reading of the view's clock when enough of them is expected to be free.
    """

    job_id: str
    racks: tuple[str, ...]
    ready_s: float


@attrs.frozen(order=True)
class _Prospect:
    """When a rack can seat a gang."""

    ready_s: float
    rack: str


def choose(job: work.Job, view: fleet.FleetView, expected: ends.EndEstimator) -> Hold | None:
    """Choose the racks that are expected to hold a gang first.

    :param job: the gang.
    :param view: the fleet.
    :param expected: expected ends of running gangs.
    :return: the hold, or ``None`` if no racks that stand could seat the gang.
    """
    prospects: list[_Prospect] = []
    slots: dict[str, int] = {}
    for rack in view.all_racks():
        ends_s = _slot_ends(rack, job, view, expected)
        if not ends_s:
            continue
        slots[rack.name] = len(ends_s)
        wanted = min(job.shape.tasks, len(ends_s))
        prospects.append(_Prospect(ends_s[wanted - 1], rack.name))
    whole = [one for one in prospects if slots[one.rack] >= job.shape.tasks]
    if whole:
        first = min(whole)
        return Hold(job.job_id, (first.rack,), first.ready_s)
    if job.shape.adjacency is work.Adjacency.RACK:
        return None
    held: list[str] = []
    missing = job.shape.tasks
    for prospect in sorted(prospects):
        held.append(prospect.rack)
        missing -= slots[prospect.rack]
        if missing <= 0:
            return Hold(job.job_id, tuple(held), prospect.ready_s)
    return None


def clear(
    job: work.Job, hold: Hold, backfilled: frozenset[str], view: fleet.FleetView
) -> reclaims.ReclaimPlan | None:
    """Seat a gang on its held racks by stopping only work that was let in around it.

    :param job: the gang that waits.
    :param hold: its hold.
    :param backfilled: jobs that were started on the held racks and can be stopped.
    :param view: the fleet.
    :return: the plan, or ``None`` while other work stands in the way.
    """
    racks = [rack for rack in map(view.rack, hold.racks) if rack is not None]
    seats: list[workers.AcceleratorRange] = []
    victims: dict[str, reclaims.Victim] = {}
    for worker in [worker for rack in racks for worker in rack.workers.values()]:
        holders = {
            number: gangs
            for number, gangs in view.holders(worker).items()
            if all(gang.stoppable and gang.name.job_id in backfilled for gang in gangs)
            and worker.may_hold(number, job.team, job.stoppable)
        }
        for seat in _seats_among(worker, job, holders)[: job.shape.tasks - len(seats)]:
            seats.append(seat)
            for number in holders.keys() & set(seat.accelerators):
                for gang in holders[number]:
                    victims[gang.name.job_id] = reclaims.victim_of(gang, view.now_s)
    if len(seats) < job.shape.tasks:
        return None
    ordered = sorted(victims.values(), key=lambda one: (one.lost_work_s, one.gang))
    return reclaims.ReclaimPlan(workers.Placement(tuple(seats)), tuple(ordered))


def _seats_among(
    worker: inventory.WorkerView,
    job: work.Job,
    holders: dict[int, tuple[entitlements.RunningGang, ...]],
) -> list[workers.AcceleratorRange]:
    if not worker.is_open:
        return []
    size = job.shape.accelerators_per_task
    numbers = [*worker.usable(job.team, job.stoppable), *holders]
    seats: list[workers.AcceleratorRange] = []
    for start in range(0, len(numbers) - size + 1, size):
        chosen = tuple(sorted(numbers[start : start + size]))
        seats.append(workers.AcceleratorRange(worker.name, chosen))
    return seats


def _slot_ends(
    rack: inventory.RackView,
    job: work.Job,
    view: fleet.FleetView,
    expected: ends.EndEstimator,
) -> list[float]:
    """Return when each task of a gang could be seated in a rack, ascending."""
    size = job.shape.accelerators_per_task
    found: list[float] = []
    for worker in rack.workers.values():
        if not worker.is_open:
            continue
        free_s = _accelerator_ends(worker, job, view, expected)
        found.extend(free_s[size - 1 :: size])
    return sorted(found)


def _accelerator_ends(
    worker: inventory.WorkerView,
    job: work.Job,
    view: fleet.FleetView,
    expected: ends.EndEstimator,
) -> list[float]:
    numbers = range(worker.report.capacity.accelerators)
    usable = [one for one in numbers if worker.may_hold(one, job.team, job.stoppable)]
    found = dict.fromkeys(usable, view.now_s)
    for number, gangs in view.holders(worker).items():
        if number in found:
            left_s = max(expected.remaining_s(gang, view.now_s) for gang in gangs)
            found[number] = view.now_s + left_s
    return sorted(found.values())
