"""Claims of waiting units on capacity that running units will release (backfilling).

Without a claim, a gang of whole workers waits for as long as smaller tasks keep coming: each of
them takes the place of the one that ended before, whatever its rank. A unit that does not fit
claims the workers on which it can start first. Units that come later in the order use that
capacity only if they are expected to end before the claim begins, as in EASY backfilling (Lifka,
"The ANL/IBM SP scheduling system", 1995).
"""

from collections.abc import Iterable, Sequence

import attrs

from papayaspar_jobs import specs, units
from papayaspar_scheduling import fleet, ordering, preemption, speed_classes

# Release of no resources at the present time.
NOTHING_NOW = (0.0, specs.Resources())


@attrs.frozen
class Claim:
    """A claim of one unit.

    :param nodes: VM of each member.
    :param starts_in_s: expected time until all members can start, in seconds.
    """

    nodes: tuple[str, ...]
    starts_in_s: float


@attrs.frozen(eq=False)
class _Slot:
    """Room for one member on a worker, and when it is there."""

    worker_class: int
    starts_in_s: float
    worker: fleet.Worker


class Releases:
    """Resources that running units are expected to release, by VM.

    :param running: the running units.
    :param now_s: the lead's clock.
    """

    def __init__(self, running: Iterable[preemption.Victim], now_s: float) -> None:
        self._by_node: dict[str, list[tuple[float, specs.Resources]]] = {}
        for victim in running:
            members = [task for task in victim.unit.members if task.is_assigned]
            remaining_s = max((_remaining_s(task, now_s) for task in members), default=0.0)
            for task in members:
                released = (remaining_s, task.step.counted_resources)
                self._by_node.setdefault(task.record.node, []).append(released)
        for releases in self._by_node.values():
            releases.sort(key=lambda release: release[0])
            releases.insert(0, NOTHING_NOW)

    def on_node(self, node: str) -> Sequence[tuple[float, specs.Resources]]:
        """Return the releases on a VM, earliest first: time until then in seconds, resources.

        The first one stands for the present and releases nothing.
        """
        return self._by_node.get(node, (NOTHING_NOW,))


def _remaining_s(task: units.Task, now_s: float) -> float:
    """Return the expected remaining time of a run, in seconds.

    Progress tells it best; before there is any, what is expected on the run's worker does. A run
    that exceeds what is expected is assumed to be half done.
    """
    expected = task.unit.expected
    if expected is None or not expected.is_learned or task.percent >= units.PACE_PERCENT_MIN:
        return task.remaining_s(now_s)
    elapsed_s = now_s - task.started_s
    slowness = task.unit.job.estimates.slowness(task.record.node)
    for duration_s in (expected.middle_s, expected.high_s):
        if duration_s * slowness > elapsed_s:
            return duration_s * slowness - elapsed_s
    return elapsed_s


def earliest(
    demand: ordering.Demand,
    groups: Iterable[list[fleet.Worker]],
    free: fleet.FreeCapacity,
    releases: Releases,
) -> Claim | None:
    """Return the claim with which a unit can end first, or ``None`` if it never fits.

    It waits for faster workers only if it then ends earlier than on slow ones.

    :param demand: demand of the waiting unit.
    :param groups: sets of workers on which the unit may be placed as a whole.
    :param free: free capacity.
    :param releases: resources that running units will release.
    """
    best: Claim | None = None
    best_key = (0.0, 0.0)
    member_count = len(demand.unit.members)
    middle_s = demand.unit.job.expected(demand.unit).middle_s
    for group in groups:
        slots: list[_Slot] = []
        for worker in group:
            worker_class = speed_classes.speed_class(worker)
            for starts_in_s in _slot_times(demand, worker, free, releases):
                slots.append(_Slot(worker_class, starts_in_s, worker))
        for slowest in sorted({slot.worker_class for slot in slots}):
            usable = [slot for slot in slots if slot.worker_class <= slowest]
            if len(usable) < member_count:
                continue
            usable.sort(key=lambda slot: (slot.starts_in_s, slot.worker_class, slot.worker.node))
            chosen = usable[:member_count]
            starts_in_s = chosen[-1].starts_in_s
            slowness = max(slot.worker.slowness for slot in chosen)
            key = (starts_in_s + middle_s * slowness, slowness)
            if best is None or key < best_key:
                best = Claim(tuple(slot.worker.node for slot in chosen), starts_in_s)
                best_key = key
    return best


def _slot_times(
    demand: ordering.Demand,
    worker: fleet.Worker,
    free: fleet.FreeCapacity,
    releases: Releases,
) -> list[float]:
    """Return when a worker has room for one member, for another, and so on, in seconds from now."""
    step = demand.unit.step
    resources = step.counted_resources
    slots_max = len(demand.unit.members)
    if step.per_worker_max:
        step_name = fleet.step_name(demand.unit.members[0].key)
        slots_max = min(slots_max, step.per_worker_max - free.count(worker.node, step_name))
    available = free.unclaimed(worker.node)
    # Plain integers: this runs for each worker and each claim.
    cpu_millicores = available.cpu_millicores
    memory_mb = available.memory_mb
    accelerators = available.accelerators
    times: list[float] = []
    for starts_in_s, released in releases.on_node(worker.node):
        cpu_millicores += released.cpu_millicores
        memory_mb += released.memory_mb
        accelerators += released.accelerators
        while (
            len(times) < slots_max
            and resources.cpu_millicores <= cpu_millicores
            and resources.memory_mb <= memory_mb
            and resources.accelerators <= accelerators
        ):
            times.append(starts_in_s)
            cpu_millicores -= resources.cpu_millicores
            memory_mb -= resources.memory_mb
            accelerators -= resources.accelerators
        if len(times) >= slots_max:
            break
    return times


def begin(claim: Claim, demand: ordering.Demand, capacities: Iterable[fleet.FreeCapacity]) -> None:
    """Enter a claim in free capacities.

    :param claim: the claim.
    :param demand: demand of the claiming unit.
    :param capacities: free capacities of the planning round.
    """
    for free in capacities:
        for task, node in zip(demand.unit.members, claim.nodes, strict=True):
            free.claim(node, task.step.counted_resources, claim.starts_in_s)


def used_share(free: fleet.FreeCapacity) -> float:
    """Return the share of the accelerators that are used or reserved."""
    total = sum(worker.capacity.accelerators for worker in free.workers())
    if not total:
        return 0.0
    return 1.0 - sum(free.free(worker.node).accelerators for worker in free.workers()) / total


def claimed_share(free: fleet.FreeCapacity) -> float:
    """Return the share of the workers on which capacity is claimed."""
    workers = list(free.workers())
    if not workers:
        return 0.0
    return sum(free.is_claimed(worker.node) for worker in workers) / len(workers)
