"""Placement of the tasks of a unit on workers."""

import abc
import functools
from collections.abc import Iterable

import attrs

from papayaspar_jobs import specs
from papayaspar_scheduling import claims, fleet, health, ordering, speed_classes

# Number of pairs of a capacity and a task's resources whose quotient is cached.
MAX_TASKS_CACHE_SIZE = 1024
# While less than this share of the accelerators is used, no unit waits for workers of like speed,
# and bulk work leaves no fast workers to others: work on slow ones is in the way for longer.
USED_SHARE_MIN = 0.5


@attrs.frozen
class PlacementScope:
    """Workers that a placement may use.

    :param is_remote_allowed: whether the tasks may run on other racks than their data or than each
        other, which makes them slow.
    :param is_repeat_allowed: whether workers on which the unit failed or was refused are allowed,
        unless they are ejected; and whether a unit that has failed may try workers on trial. The
        trials of workers on which a gang failed widely do not matter then.
    :param is_untrusted_allowed: whether ejected workers, workers on trial, and workers on which the
        unit failed are allowed.
    """

    is_remote_allowed: bool = False
    is_repeat_allowed: bool = False
    is_untrusted_allowed: bool = False


class PlacementPolicy(abc.ABC):
    """Choose the workers of a unit."""

    @abc.abstractmethod
    def choose(
        self, demand: ordering.Demand, free: fleet.FreeCapacity, scope: PlacementScope
    ) -> tuple[str, ...] | None:
        """Return a VM for each member of a unit, or ``None`` if the unit does not fit.

        :param demand: demand of the waiting unit.
        :param free: free capacity.
        :param scope: workers that may be used.
        """


class PackedPlacement(PlacementPolicy):
    """Bin packing that fills partly used workers first and keeps whole workers for large tasks."""

    def choose(
        self, demand: ordering.Demand, free: fleet.FreeCapacity, scope: PlacementScope
    ) -> tuple[str, ...] | None:
        """Return VMs in the set of workers that is best in speed and has the least capacity left.

        :return: ``None`` also for a gang that had better wait for workers of like speed.
        """
        best: tuple[str, ...] | None = None
        best_key: tuple[float, ...] = ()
        slowest_suitable = speed_classes.ORDINARY
        if demand.rank is ordering.Rank.BULK and claims.used_share(free) >= USED_SHARE_MIN:
            slowest_suitable = speed_classes.suitable_max(demand)
        for group in _groups_with_room(demand, free, scope):
            for members in _like_speed_groups(demand, group):
                nodes = _pack(demand, free, members, slowest_suitable)
                if nodes is None:
                    continue
                key = self._sort_key(demand, free, members, nodes, slowest_suitable)
                if best is None or key < best_key:
                    best, best_key = nodes, key
        if best is not None and self._should_wait(demand, free, scope, best):
            return None
        return best

    def _sort_key(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        group: list[fleet.Worker],
        nodes: tuple[str, ...],
        slowest_suitable: int,
    ) -> tuple[float, ...]:
        used = speed_classes.classes(free.worker(node) for node in nodes)
        free_accelerators = sum(free.free(worker.node).accelerators for worker in group)
        needed_accelerators = demand.unit.step.room.accelerators * len(nodes)
        return (
            speed_classes.preference(demand, used[-1], slowest_suitable),
            # Faster workers than the slowest one of the unit would wait for it.
            used[-1] - used[0],
            free_accelerators - needed_accelerators,
        )

    def _should_wait(
        self,
        demand: ordering.Demand,
        free: fleet.FreeCapacity,
        scope: PlacementScope,
        nodes: tuple[str, ...],
    ) -> bool:
        """Return whether a unit should wait rather than start on the best workers of now."""
        if len(nodes) == 1 or scope != PlacementScope():
            return False
        used = speed_classes.classes(free.worker(node) for node in nodes)
        if not speed_classes.is_worth_waiting(demand, used[0], used[-1]):
            return False
        return claims.used_share(free) >= USED_SHARE_MIN


class FirstFit(PlacementPolicy):
    """Choose the first workers with enough capacity; a baseline for comparison."""

    def choose(
        self, demand: ordering.Demand, free: fleet.FreeCapacity, scope: PlacementScope
    ) -> tuple[str, ...] | None:
        """Return the first VMs by name that have enough capacity."""
        for group in _groups_with_room(demand, free, scope):
            nodes = _first_fit(demand, free, sorted(group, key=lambda worker: worker.node))
            if nodes is not None:
                return nodes
        return None


def usable_workers(
    demand: ordering.Demand, free: fleet.FreeCapacity, scope: PlacementScope
) -> list[fleet.Worker]:
    """Return the workers that may run a unit, regardless of their free capacity."""
    step = demand.unit.step
    resources = step.counted_resources
    failed_nodes = demand.unit.failed_nodes

    def is_usable(worker: fleet.Worker) -> bool:
        if not worker.is_open or not worker.capacity.holds(resources):
            return False
        if step.required_label and step.required_label not in worker.labels:
            return False
        if scope.is_untrusted_allowed:
            return True
        if not worker.is_trusted:
            return False
        return scope.is_repeat_allowed or worker.node not in failed_nodes

    key = (
        step.required_label,
        resources,
        failed_nodes,
        scope.is_repeat_allowed,
        scope.is_untrusted_allowed,
    )
    usable = free.select(key, is_usable)
    if scope.is_untrusted_allowed or not free.has_trials:
        return usable
    return [worker for worker in usable if _is_admitted(demand, free, worker, scope)]


def _is_admitted(
    demand: ordering.Demand,
    free: fleet.FreeCapacity,
    worker: fleet.Worker,
    scope: PlacementScope,
) -> bool:
    """Return whether a unit may run on a worker as far as its trial is concerned.

    A unit that has failed before is used for trials only after a pause, since another failure may
    be its last.
    """
    if worker.trial is health.Trial.NONE:
        return True
    unit = demand.unit
    if unit.failures > 0:
        if not scope.is_repeat_allowed:
            return False
        if unit.has_failed_widely and worker.node in unit.failed_nodes:
            return True
    return free.may_try(worker.node, unit_name(demand))


def unit_name(demand: ordering.Demand) -> str:
    """Return a name of a demand's unit that no other unit has."""
    return str(demand.unit.members[0].key)


def candidate_groups(
    demand: ordering.Demand, free: fleet.FreeCapacity, scope: PlacementScope
) -> Iterable[list[fleet.Worker]]:
    """Return the sets of workers on which a unit may be placed as a whole."""
    return _grouped(demand, usable_workers(demand, free, scope), scope)


def _groups_with_room(
    demand: ordering.Demand, free: fleet.FreeCapacity, scope: PlacementScope
) -> Iterable[list[fleet.Worker]]:
    """Return the candidate groups, without the workers that have no room for any member."""
    nodes = free.nodes_with_room(demand.unit.step.counted_resources)
    if not nodes:
        return ()
    workers = [worker for worker in usable_workers(demand, free, scope) if worker.node in nodes]
    return _grouped(demand, workers, scope)


def _grouped(
    demand: ordering.Demand, workers: list[fleet.Worker], scope: PlacementScope
) -> Iterable[list[fleet.Worker]]:
    step = demand.unit.step
    if scope.is_remote_allowed:
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
    """Return whether a unit would fit on a set of workers if they were idle."""
    resources = demand.unit.step.counted_resources
    missing_count = len(demand.unit.members)
    for worker in group:
        missing_count -= _max_tasks(worker.capacity, resources, demand.unit.step.per_worker_max)
        if missing_count <= 0:
            return True
    return False


@functools.lru_cache(maxsize=MAX_TASKS_CACHE_SIZE)
def _max_tasks(capacity: specs.Resources, resources: specs.Resources, per_worker_max: int) -> int:
    counts = []
    if resources.cpu_millicores:
        counts.append(capacity.cpu_millicores // resources.cpu_millicores)
    if resources.memory_mb:
        counts.append(capacity.memory_mb // resources.memory_mb)
    if resources.accelerators:
        counts.append(capacity.accelerators // resources.accelerators)
    if per_worker_max:
        counts.append(per_worker_max)
    # Tasks without requirements fit in any number.
    return min(counts, default=0 if not counts else counts[0]) if counts else 1_000_000


def _like_speed_groups(
    demand: ordering.Demand, group: list[fleet.Worker]
) -> Iterable[list[fleet.Worker]]:
    """Return the workers up to each class of speed, and those of each class, for a gang."""
    if len(demand.unit.members) == 1:
        return [group]
    present = speed_classes.classes(group)
    if len(present) <= 1:
        return [group]
    by_class: dict[int, list[fleet.Worker]] = {}
    for worker in group:
        by_class.setdefault(speed_classes.speed_class(worker), []).append(worker)
    up_to: list[fleet.Worker] = []
    groups: list[list[fleet.Worker]] = []
    for worker_class in present:
        groups.append(by_class[worker_class])
        up_to = up_to + by_class[worker_class]
        if len(up_to) > len(by_class[worker_class]):
            groups.append(up_to)
    return groups


def _pack(
    demand: ordering.Demand,
    free: fleet.FreeCapacity,
    group: list[fleet.Worker],
    slowest_suitable: int,
) -> tuple[str, ...] | None:
    ordered = sorted(group, key=lambda worker: _packing_key(worker, demand, free, slowest_suitable))
    return _first_fit(demand, free, ordered)


def _packing_key(
    worker: fleet.Worker,
    demand: ordering.Demand,
    free: fleet.FreeCapacity,
    slowest_suitable: int,
) -> tuple[float | bool | str, ...]:
    """Return a sort key; the smallest is filled first.

    Of the workers on which a unit failed or was refused, it tries the one where that is longest
    ago: another may refuse it for ever. A unit that has failed before runs on the workers that most
    recently proved that they can start work. While workers are replaced one after the other, work
    that restarts from the beginning prefers those that are new, which won't leave next;
    checkpointed work leaves them free.
    """
    available = free.free(worker.node)
    has_failed = demand.unit.failures > 0
    worker_class = speed_classes.speed_class(worker)
    return (
        demand.unit.suspected_s.get(worker.node, float("-inf")),
        worker.trial is not health.Trial.NONE,
        round(worker.cold_ratio, 1),
        worker.is_replacement is demand.unit.step.is_checkpointed,
        speed_classes.preference(demand, worker_class, slowest_suitable),
        -worker.proven_s if has_failed else 0.0,
        available.accelerators,
        available.cpu_millicores,
        worker.node,
    )


def _first_fit(
    demand: ordering.Demand, free: fleet.FreeCapacity, group: list[fleet.Worker]
) -> tuple[str, ...] | None:
    step = demand.unit.step
    step_name = fleet.step_name(demand.unit.members[0].key)
    resources = step.counted_resources
    member_count = len(demand.unit.members)
    expected = demand.unit.job.expected(demand.unit)
    nodes: list[str] = []
    for worker in group:
        duration_s = expected.high_s * (worker.slowness if expected.is_learned else 1.0)
        remaining = free.available(worker.node, duration_s)
        step_count = free.count(worker.node, step_name)
        while len(nodes) < member_count and remaining.holds(resources):
            if step.per_worker_max and step_count >= step.per_worker_max:
                break
            nodes.append(worker.node)
            remaining = remaining.minus(resources)
            step_count += 1
        if len(nodes) == member_count:
            return tuple(nodes)
    return None
