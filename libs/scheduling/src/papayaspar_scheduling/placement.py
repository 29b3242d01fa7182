"""Where the tasks of a unit go."""

import abc
from collections.abc import Iterable

import attrs

from papayaspar_jobs import specs
from papayaspar_scheduling import fleet, ordering


@attrs.frozen
class Reach:
    """How far from each other and from their data tasks may be put.

    :param is_far_allowed: whether racks that make the work slow are allowed.
    :param is_untrusted_allowed: whether workers that failed lately are allowed.
    """

    is_far_allowed: bool = False
    is_untrusted_allowed: bool = False


class PlacementPolicy(abc.ABC):
    """Chooses workers."""

    @abc.abstractmethod
    def choose(
        self, demand: ordering.Demand, free: fleet.FreeRoom, reach: Reach
    ) -> tuple[str, ...] | None:
        """Return a machine for each member of a unit, or ``None`` if it does not fit.

        :param demand: what waits.
        :param free: room that is left.
        :param reach: how far the tasks may be put.
        """


class PackedPlacement(PlacementPolicy):
    """Fills workers that are in use first, so that whole workers stay free for large tasks."""

    def choose(
        self, demand: ordering.Demand, free: fleet.FreeRoom, reach: Reach
    ) -> tuple[str, ...] | None:
        """Return the machines of the rack, or racks, that leave the fewest accelerators over."""
        step = demand.unit.step
        best: tuple[str, ...] | None = None
        best_key: tuple[float, ...] = ()
        for group in groups(demand, free, reach):
            nodes = _pack(demand, free, group)
            if nodes is None:
                continue
            key = self._key(step, free, group, nodes)
            if best is None or key < best_key:
                best, best_key = nodes, key
        return best

    def _key(
        self,
        step: specs.Step,
        free: fleet.FreeRoom,
        group: list[fleet.Worker],
        nodes: tuple[str, ...],
    ) -> tuple[float, ...]:
        slowness = max(free.worker(node).slowness for node in nodes)
        left = sum(free.free(worker.node).accelerators for worker in group)
        return (round(slowness, 1), left - step.room.accelerators * len(nodes))


class FirstFit(PlacementPolicy):
    """Takes the first workers that have room: the baseline."""

    def choose(
        self, demand: ordering.Demand, free: fleet.FreeRoom, reach: Reach
    ) -> tuple[str, ...] | None:
        """Return the first machines that fit, by name."""
        for group in groups(demand, free, reach):
            nodes = _first(demand, free, sorted(group, key=lambda worker: worker.node))
            if nodes is not None:
                return nodes
        return None


def usable(demand: ordering.Demand, free: fleet.FreeRoom, reach: Reach) -> list[fleet.Worker]:
    """Return the workers that may run a unit at all, full or not."""
    step = demand.unit.step
    avoided = demand.unit.failed_nodes
    found = []
    for worker in free.workers():
        if not worker.is_open:
            continue
        if step.required_label and step.required_label not in worker.labels:
            continue
        if not worker.capacity.holds(step.counted_room):
            continue
        if not reach.is_untrusted_allowed and not worker.is_trusted:
            continue
        if not reach.is_untrusted_allowed and worker.node in avoided:
            continue
        found.append(worker)
    return found


def groups(
    demand: ordering.Demand, free: fleet.FreeRoom, reach: Reach
) -> Iterable[list[fleet.Worker]]:
    """Return the sets of workers within which a unit may be put."""
    step = demand.unit.step
    workers = usable(demand, free, reach)
    if reach.is_far_allowed:
        return [workers]
    if step.data_rack:
        return [[worker for worker in workers if worker.rack == step.data_rack]]
    if not step.is_same_rack or len(demand.unit.members) == 1:
        return [workers]
    by_rack: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    return by_rack.values()


def can_hold_when_empty(demand: ordering.Demand, group: list[fleet.Worker]) -> bool:
    """Return whether a set of workers could hold a unit if nothing else ran there."""
    room = demand.unit.step.counted_room
    places = 0
    for worker in group:
        places += _places(worker.capacity, room, demand.unit.step.per_worker_max)
    return places >= len(demand.unit.members)


def _places(capacity: specs.Room, room: specs.Room, per_worker_max: int) -> int:
    counts = []
    if room.cpu_millicores:
        counts.append(capacity.cpu_millicores // room.cpu_millicores)
    if room.memory_mb:
        counts.append(capacity.memory_mb // room.memory_mb)
    if room.accelerators:
        counts.append(capacity.accelerators // room.accelerators)
    if per_worker_max:
        counts.append(per_worker_max)
    return min(counts, default=0 if not counts else counts[0]) if counts else 1_000_000


def _pack(
    demand: ordering.Demand, free: fleet.FreeRoom, group: list[fleet.Worker]
) -> tuple[str, ...] | None:
    ordered = sorted(
        group,
        key=lambda worker: (
            round(worker.slowness, 1),
            free.free(worker.node).accelerators,
            free.free(worker.node).cpu_millicores,
            worker.node,
        ),
    )
    return _first(demand, free, ordered)


def _first(
    demand: ordering.Demand, free: fleet.FreeRoom, group: list[fleet.Worker]
) -> tuple[str, ...] | None:
    step = demand.unit.step
    name = fleet.step_name(demand.unit.members[0].key)
    room = step.counted_room
    wanted = len(demand.unit.members)
    nodes: list[str] = []
    for worker in group:
        left = free.free(worker.node)
        count = free.count(worker.node, name)
        while len(nodes) < wanted and left.holds(room):
            if step.per_worker_max and count >= step.per_worker_max:
                break
            nodes.append(worker.node)
            left = left.minus(room)
            count += 1
        if len(nodes) == wanted:
            return tuple(nodes)
    return None
