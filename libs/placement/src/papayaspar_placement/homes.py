"""Packing of homes.

A home is the set of reserved accelerators of one instance of a guarantee: each instance of the
guaranteed shape has its own accelerators, named by worker and number.
"""

import attrs

from papayaspar_model import errors, rulesets, work
from papayaspar_placement import capacity_index

MAX_CONFLICTS_REPORTED = 12


class GuaranteesConflictError(errors.RulesError):
    """The guarantees can't be packed together into the known racks.

    :param guarantees: names of the conflicting guarantees.
    :param unplaced: instances without a home.
    """

    code = "guarantees_clash"
    title = "The guarantees can't be packed together"

    def __init__(self, guarantees: tuple[str, ...], unplaced: "tuple[InstanceName, ...]") -> None:
        super().__init__(
            f"these guarantees can't be packed together into the known racks: "
            f"{', '.join(guarantees)}",
            field=guarantees[0],
        )
        self.guarantees = guarantees
        self.unplaced = unplaced


@attrs.frozen(order=True)
class InstanceName:
    """One instance of a guarantee.

    :param guarantee: name of the guarantee.
    :param instance: index of the instance, from 0.
    """

    guarantee: str
    instance: int


@attrs.frozen
class Packing:
    """The homes of all guarantees.

    :param homes: homes, sorted by guarantee and instance.
    :param unplaced: instances without a home, sorted.
    """

    homes: tuple[rulesets.Home, ...]
    unplaced: tuple[InstanceName, ...]


def pack(
    guarantees: tuple[rulesets.Guarantee, ...],
    racks: tuple[rulesets.RackInventory, ...],
    previous: tuple[rulesets.Home, ...] = (),
) -> Packing:
    """Assign a home to each instance of each guarantee.

    The result is deterministic and independent of the order of the guarantees and racks. A previous
    home whose accelerators are all still available is kept, so that the loss of a worker moves only
    the instances that had accelerators on it.

    :param guarantees: the guarantees.
    :param racks: the known racks.
    :param previous: the current homes.
    :return: the homes and the instances without one.
    """
    return _pack_in_order(sorted(guarantees, key=_largest_first), racks, previous)


def _pack_in_order(
    guarantees: list[rulesets.Guarantee],
    racks: tuple[rulesets.RackInventory, ...],
    previous: tuple[rulesets.Home, ...] = (),
) -> Packing:
    available = capacity_index.CapacityIndex(racks)
    homes = _keep_previous(guarantees, available, previous)
    unplaced: list[InstanceName] = []
    for guarantee in guarantees:
        for instance in range(guarantee.count):
            name = InstanceName(guarantee.name, instance)
            if name in homes:
                continue
            ranges = available.find(guarantee.shape, guarantee.data_centre)
            if ranges is None:
                unplaced.append(name)
                continue
            available.remove(ranges)
            homes[name] = rulesets.Home(guarantee.name, guarantee.team, instance, ranges)
    return Packing(tuple(homes[name] for name in sorted(homes)), tuple(sorted(unplaced)))


def check(
    guarantees: tuple[rulesets.Guarantee, ...],
    racks: tuple[rulesets.RackInventory, ...],
    previous: tuple[rulesets.Home, ...] = (),
) -> Packing:
    """Pack the guarantees of a revision that is about to be published.

    Homes move only if the guarantees can't be packed otherwise.

    :param guarantees: the guarantees.
    :param racks: the known racks.
    :param previous: the current homes.
    :return: a packing in which every instance has a home.
    :raises GuaranteesConflictError: if no packing is found; it names the conflicting guarantees.
    """
    packing = pack(guarantees, racks, previous)
    if not packing.unplaced:
        return packing
    packing = _pack_without_previous(guarantees, racks)
    if not packing.unplaced:
        return packing
    raise GuaranteesConflictError(_conflicting(guarantees, racks), packing.unplaced)


def _pack_without_previous(
    guarantees: tuple[rulesets.Guarantee, ...], racks: tuple[rulesets.RackInventory, ...]
) -> Packing:
    packing = _pack_in_order(sorted(guarantees, key=_largest_first), racks)
    if not packing.unplaced:
        return packing
    return _pack_in_order(sorted(guarantees, key=_most_constrained_first), racks)


def _keep_previous(
    guarantees: list[rulesets.Guarantee],
    available: capacity_index.CapacityIndex,
    previous: tuple[rulesets.Home, ...],
) -> dict[InstanceName, rulesets.Home]:
    by_name = {guarantee.name: guarantee for guarantee in guarantees}
    kept: dict[InstanceName, rulesets.Home] = {}
    for home in sorted(previous, key=lambda home: (home.guarantee, home.instance)):
        guarantee = by_name.get(home.guarantee)
        if guarantee is None or not _matches(home, guarantee):
            continue
        name = InstanceName(home.guarantee, home.instance)
        if name in kept or not available.are_available(home.tasks, guarantee):
            continue
        available.remove(home.tasks)
        kept[name] = home
    return kept


def _matches(home: rulesets.Home, guarantee: rulesets.Guarantee) -> bool:
    if home.team != guarantee.team or home.instance >= guarantee.count:
        return False
    if len(home.tasks) != guarantee.shape.tasks:
        return False
    size = guarantee.shape.accelerators_per_task
    return all(len(task_range.accelerators) == size for task_range in home.tasks)


def _largest_first(guarantee: rulesets.Guarantee) -> tuple[bool, int, int, bool, str]:
    shape = guarantee.shape
    return (
        shape.adjacency is not work.Adjacency.RACK,
        -shape.accelerators,
        -shape.accelerators_per_task,
        guarantee.data_centre is None,
        guarantee.name,
    )


def _most_constrained_first(guarantee: rulesets.Guarantee) -> tuple[bool, bool, int, int, str]:
    adjacent, accelerators, size, any_data_centre, name = _largest_first(guarantee)
    return (any_data_centre, adjacent, accelerators, size, name)


def _conflicting(
    guarantees: tuple[rulesets.Guarantee, ...], racks: tuple[rulesets.RackInventory, ...]
) -> tuple[str, ...]:
    """Return the names of a small set of guarantees that can't be packed together.

    Each round finds, by binary search, the shortest prefix of the remaining guarantees that can't
    be packed together with those already reported. The last guarantee of that prefix contributes
    to the conflict and is reported next.
    """
    candidates = sorted(guarantees, key=_largest_first)
    reported: list[rulesets.Guarantee] = []
    while len(reported) < MAX_CONFLICTS_REPORTED:
        if reported and _pack_without_previous(tuple(reported), racks).unplaced:
            break
        low, high = 0, len(candidates)
        while low < high:
            middle = (low + high) // 2
            if _pack_without_previous((*reported, *candidates[:middle]), racks).unplaced:
                high = middle
                continue
            low = middle + 1
        if low == 0 or low > len(candidates):
            break
        reported.append(candidates[low - 1])
        candidates = candidates[: low - 1]
    return tuple(sorted(guarantee.name for guarantee in reported))
