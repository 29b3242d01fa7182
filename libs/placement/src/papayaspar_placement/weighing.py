"""What it costs the guaranteed shapes to seat a gang on workers of one rack."""

import functools

import attrs

from papayaspar_model import work

REMEMBERED_RACK_STATES = 16384


@attrs.frozen
class Loss:
    """What a placement in a rack costs; smaller is better, compared field by field.

    :param avoided: accelerators taken on workers to avoid.
    :param at_risk: accelerators taken on homes of other teams by work that loses all its progress
        in a reclaim.
    :param lasting: for each guaranteed shape, the largest first, how many fewer fit the rack even
        after moves; only work that does not checkpoint has such a cost.
    :param shapes: for each guaranteed shape, the largest first, how many fewer fit the rack.
    :param slots: for each such shape, how many fewer of its tasks fit the rack.
    :param homes: accelerators taken on homes of other teams.
    :param loose: accelerators taken on workers that moves could still empty.
    """

    avoided: int
    at_risk: int
    lasting: tuple[int, ...]
    shapes: tuple[int, ...]
    slots: tuple[int, ...]
    homes: int
    loose: int

    def rank(self) -> tuple[int, ...]:
        """Return the fields in one row, for comparing losses over the same shapes."""
        return (
            self.avoided,
            self.at_risk,
            *self.lasting,
            *self.shapes,
            *self.slots,
            self.homes,
            self.loose,
        )


@attrs.frozen
class WorkerKey:
    """All of a worker that the cost of seats on it depends on; racks alike share results.

    :param free: free accelerators.
    :param common: those that are no one's home.
    :param own: those on homes of the job's team.
    :param movable: accelerators that are free or held by gangs that checkpoint.
    :param is_anchored: whether moves can't empty the worker.
    :param is_avoided: whether it is chosen only when nothing else fits.
    """

    free: int
    common: int
    own: int
    movable: int
    is_anchored: bool
    is_avoided: bool


@attrs.frozen
class GangKind:
    """All of a gang that the cost of its seats depends on.

    :param tasks: number of tasks.
    :param size: accelerators of each task.
    :param stoppable: whether it may stand on homes of other teams.
    :param checkpoint: whether it can be moved.
    """

    tasks: int
    size: int
    stoppable: bool
    checkpoint: bool


@attrs.frozen
class Order:
    """Workers of a rack to fill in turn.

    :param rank: what that costs; the smaller is the better.
    :param indices: positions of the workers that get a task, in order of names in the rack.
    """

    rank: tuple[int, ...]
    indices: tuple[int, ...]


@functools.lru_cache(maxsize=REMEMBERED_RACK_STATES)
def cheapest(
    rack: tuple[WorkerKey, ...], gang: GangKind, shapes: tuple[work.Shape, ...]
) -> tuple[Order, ...]:
    """Return the cheapest ways to seat a whole gang in a rack.

    :param rack: its workers, in order of names.
    :param gang: the gang.
    :param shapes: the guaranteed shapes to keep open, the largest first.
    :return: orders of equal cost; empty if the gang does not fit.
    """
    best: list[Order] = []
    for indices in _tried(rack, gang):
        taken = _fill(rack, gang, indices)
        if taken is None:
            continue
        rank = _loss(rack, taken, gang, shapes).rank()
        if best and rank > best[0].rank:
            continue
        if best and rank < best[0].rank:
            best = []
        best.append(Order(rank, tuple(index for index in indices if taken[index])))
    return tuple(best)


def _tried(rack: tuple[WorkerKey, ...], gang: GangKind) -> list[list[int]]:
    if gang.tasks == 1:
        return [[index] for index in range(len(rack))]

    def tight_first(index: int) -> tuple[bool, bool, int]:
        worker = rack[index]
        return (worker.is_avoided, not worker.is_anchored, worker.free)

    tight = sorted(range(len(rack)), key=tight_first)
    tried = [tight]
    if not gang.checkpoint:
        for first in tight:
            tried.append([first, *(other for other in tight if other != first)])
    return tried


def _fill(
    rack: tuple[WorkerKey, ...], gang: GangKind, indices: list[int]
) -> tuple[int, ...] | None:
    """Return accelerators taken on each worker, or ``None`` if not all tasks fit."""
    taken = [0] * len(rack)
    missing = gang.tasks
    for index in indices:
        worker = rack[index]
        usable = worker.free if gang.stoppable else worker.common + worker.own
        seated = min(missing, usable // gang.size)
        taken[index] = seated * gang.size
        missing -= seated
    return None if missing else tuple(taken)


def _loss(
    rack: tuple[WorkerKey, ...],
    taken: tuple[int, ...],
    gang: GangKind,
    shapes: tuple[work.Shape, ...],
) -> Loss:
    avoided = 0
    loose = 0
    foreign = 0
    for worker, count in zip(rack, taken, strict=True):
        foreign += max(0, count - worker.common - worker.own)
        if worker.is_avoided:
            avoided += count
        if not worker.is_anchored:
            loose += count
    lost = _lost_shapes(tuple(worker.free for worker in rack), taken, shapes)
    fixed = (0,) * len(rack) if gang.checkpoint else taken
    lasting = _lost_shapes(tuple(worker.movable for worker in rack), fixed, shapes)
    return Loss(
        avoided=avoided,
        at_risk=0 if gang.checkpoint else foreign,
        lasting=tuple(one[0] + one[1] for one in lasting),
        shapes=tuple(one[0] for one in lost),
        slots=tuple(one[1] for one in lost),
        homes=foreign,
        loose=loose,
    )


def _lost_shapes(
    before: tuple[int, ...], taken: tuple[int, ...], shapes: tuple[work.Shape, ...]
) -> list[tuple[int, int]]:
    """Return, for each shape, how many fewer whole ones and how many fewer of its tasks fit."""
    found: list[tuple[int, int]] = []
    for shape in shapes:
        size = shape.accelerators_per_task
        slots = sum(count // size for count in before)
        left = sum((count - gone) // size for count, gone in zip(before, taken, strict=True))
        found.append((slots // shape.tasks - left // shape.tasks, slots - left))
    return found
