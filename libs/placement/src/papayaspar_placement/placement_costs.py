"""Cost of placing a gang in a rack, in guaranteed shapes that no longer fit."""

import functools

import attrs

from papayaspar_model import work

COST_CACHE_ENTRIES = 16384


@attrs.frozen
class PlacementCost:
    """Cost of a placement in a rack; compared field by field, smaller is better.

    :param avoided: number of accelerators used on workers to avoid.
    :param at_risk: number of accelerators used on homes of other teams by work that loses all its
        progress when it is preempted.
    :param permanent: for each guaranteed shape, the largest first, the sum of how many fewer
        instances and how many fewer of its tasks fit in the rack even after moves; zero for work
        that checkpoints.
    :param shapes: for each guaranteed shape, the largest first, how many fewer fit in the rack.
    :param tasks: for each guaranteed shape, how many fewer of its tasks fit in the rack.
    :param foreign_homes: number of accelerators used on homes of other teams.
    :param unpinned: number of accelerators used on workers that moves could still empty.
    """

    avoided: int
    at_risk: int
    permanent: tuple[int, ...]
    shapes: tuple[int, ...]
    tasks: tuple[int, ...]
    foreign_homes: int
    unpinned: int

    def rank(self) -> tuple[int, ...]:
        """Return the fields as one tuple, for comparing costs over the same shapes."""
        return (
            self.avoided,
            self.at_risk,
            *self.permanent,
            *self.shapes,
            *self.tasks,
            self.foreign_homes,
            self.unpinned,
        )


@attrs.frozen
class WorkerCostKey:
    """Properties of a worker that determine the cost; racks with equal keys share cached results.

    :param free: number of free accelerators.
    :param unreserved: number of free accelerators that belong to no home.
    :param own_reserved: number of free accelerators on homes of the job's team.
    :param movable: number of accelerators that are free or held by gangs that checkpoint.
    :param is_pinned: whether moves can't empty the worker.
    :param is_avoided: whether it is chosen only when nothing else fits.
    """

    free: int
    unreserved: int
    own_reserved: int
    movable: int
    is_pinned: bool
    is_avoided: bool


@attrs.frozen
class GangCostKey:
    """Properties of a gang that determine the cost.

    :param tasks: number of tasks.
    :param size: number of accelerators of each task.
    :param stoppable: whether it may run on homes of other teams.
    :param checkpoint: whether it can be moved.
    """

    tasks: int
    size: int
    stoppable: bool
    checkpoint: bool


@attrs.frozen
class FillOrder:
    """An order in which the workers of a rack are filled.

    :param rank: the cost; smaller is better.
    :param indices: positions of the workers that get a task; a position is an index into the
        rack's workers in order of names.
    """

    rank: tuple[int, ...]
    indices: tuple[int, ...]


@functools.lru_cache(maxsize=COST_CACHE_ENTRIES)
def lowest_cost_orders(
    rack: tuple[WorkerCostKey, ...], gang: GangCostKey, shapes: tuple[work.Shape, ...]
) -> tuple[FillOrder, ...]:
    """Return the orders that place a whole gang in a rack at the lowest cost.

    :param rack: the workers of the rack, in order of names.
    :param gang: the gang.
    :param shapes: the guaranteed shapes to preserve, the largest first.
    :return: orders of equal cost; empty if the gang does not fit.
    """
    best: list[FillOrder] = []
    for indices in _candidate_orders(rack, gang):
        used = _fill(rack, gang, indices)
        if used is None:
            continue
        rank = _cost(rack, used, gang, shapes).rank()
        if best and rank > best[0].rank:
            continue
        if best and rank < best[0].rank:
            best = []
        best.append(FillOrder(rank, tuple(index for index in indices if used[index])))
    return tuple(best)


def _candidate_orders(rack: tuple[WorkerCostKey, ...], gang: GangCostKey) -> list[list[int]]:
    if gang.tasks == 1:
        return [[index] for index in range(len(rack))]

    def tightness(index: int) -> tuple[bool, bool, int]:
        worker = rack[index]
        return (worker.is_avoided, not worker.is_pinned, worker.free)

    tightest_first = sorted(range(len(rack)), key=tightness)
    candidates = [tightest_first]
    if not gang.checkpoint:
        for first in tightest_first:
            candidates.append([first, *(other for other in tightest_first if other != first)])
    return candidates


def _fill(
    rack: tuple[WorkerCostKey, ...], gang: GangCostKey, indices: list[int]
) -> tuple[int, ...] | None:
    """Return how many accelerators are used on each worker; ``None`` if the gang does not fit."""
    used = [0] * len(rack)
    missing = gang.tasks
    for index in indices:
        worker = rack[index]
        usable = worker.free if gang.stoppable else worker.unreserved + worker.own_reserved
        assigned = min(missing, usable // gang.size)
        used[index] = assigned * gang.size
        missing -= assigned
    return None if missing else tuple(used)


def _cost(
    rack: tuple[WorkerCostKey, ...],
    used: tuple[int, ...],
    gang: GangCostKey,
    shapes: tuple[work.Shape, ...],
) -> PlacementCost:
    avoided = 0
    unpinned = 0
    on_foreign_homes = 0
    for worker, count in zip(rack, used, strict=True):
        on_foreign_homes += max(0, count - worker.unreserved - worker.own_reserved)
        if worker.is_avoided:
            avoided += count
        if not worker.is_pinned:
            unpinned += count
    lost = _lost_shapes(tuple(worker.free for worker in rack), used, shapes)
    immovable = (0,) * len(rack) if gang.checkpoint else used
    permanent = _lost_shapes(tuple(worker.movable for worker in rack), immovable, shapes)
    return PlacementCost(
        avoided=avoided,
        at_risk=0 if gang.checkpoint else on_foreign_homes,
        permanent=tuple(losses[0] + losses[1] for losses in permanent),
        shapes=tuple(losses[0] for losses in lost),
        tasks=tuple(losses[1] for losses in lost),
        foreign_homes=on_foreign_homes,
        unpinned=unpinned,
    )


def _lost_shapes(
    before: tuple[int, ...], used: tuple[int, ...], shapes: tuple[work.Shape, ...]
) -> list[tuple[int, int]]:
    """Return, for each shape, how many fewer instances and how many fewer of its tasks fit."""
    lost: list[tuple[int, int]] = []
    for shape in shapes:
        size = shape.accelerators_per_task
        tasks_before = sum(count // size for count in before)
        tasks_after = sum(
            (count - used_count) // size for count, used_count in zip(before, used, strict=True)
        )
        lost.append(
            (tasks_before // shape.tasks - tasks_after // shape.tasks, tasks_before - tasks_after)
        )
    return lost
