"""Homes of guarantees: named accelerators set aside for each instance of a guaranteed shape."""

import attrs

from papayaspar_model import errors, rulesets, work
from papayaspar_placement import stock

MAX_CLASHES_NAMED = 12


class GuaranteesClashError(errors.RulesError):
    """Guarantees can't be packed together into the known racks.

    :param guarantees: names of the guarantees that clash.
    :param unplaced: instances that found no home.
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
    :param instance: which instance, from 0.
    """

    guarantee: str
    instance: int


@attrs.frozen
class Packing:
    """Where the instances of all guarantees stand.

    :param homes: homes, sorted by guarantee and instance.
    :param unplaced: instances that have no home, sorted.
    """

    homes: tuple[rulesets.Home, ...]
    unplaced: tuple[InstanceName, ...]


def pack(
    guarantees: tuple[rulesets.Guarantee, ...],
    racks: tuple[rulesets.RackInventory, ...],
    previous: tuple[rulesets.Home, ...] = (),
) -> Packing:
    """Give each instance of each guarantee a home; the same arguments give the same homes.

    A previous home that still stands is kept, so a lost worker moves only the instances that
    stood on it.

    :param guarantees: the guarantees.
    :param racks: the known racks.
    :param previous: homes before.
    :return: the homes and the instances that have none.
    """
    return _pack_in_order(sorted(guarantees, key=_largest_first), racks, previous)


def _pack_in_order(
    guarantees: list[rulesets.Guarantee],
    racks: tuple[rulesets.RackInventory, ...],
    previous: tuple[rulesets.Home, ...] = (),
) -> Packing:
    remaining = stock.Stock(racks)
    homes = _kept(guarantees, remaining, previous)
    unplaced: list[InstanceName] = []
    for guarantee in guarantees:
        for instance in range(guarantee.count):
            name = InstanceName(guarantee.name, instance)
            if name in homes:
                continue
            ranges = remaining.find(guarantee.shape, guarantee.data_centre)
            if ranges is None:
                unplaced.append(name)
                continue
            remaining.claim(ranges)
            homes[name] = rulesets.Home(guarantee.name, guarantee.team, instance, ranges)
    return Packing(tuple(homes[name] for name in sorted(homes)), tuple(sorted(unplaced)))


def check(
    guarantees: tuple[rulesets.Guarantee, ...],
    racks: tuple[rulesets.RackInventory, ...],
    previous: tuple[rulesets.Home, ...] = (),
) -> Packing:
    """Pack guarantees that are to be published; homes move only if they must.

    :param guarantees: the guarantees.
    :param racks: the known racks.
    :param previous: homes before.
    :return: a packing in which every instance has a home.
    :raises GuaranteesClashError: if no packing is found; names the guarantees that clash.
    """
    packing = pack(guarantees, racks, previous)
    if not packing.unplaced:
        return packing
    packing = _pack_afresh(guarantees, racks)
    if not packing.unplaced:
        return packing
    raise GuaranteesClashError(_clashing(guarantees, racks), packing.unplaced)


def _pack_afresh(
    guarantees: tuple[rulesets.Guarantee, ...], racks: tuple[rulesets.RackInventory, ...]
) -> Packing:
    packing = _pack_in_order(sorted(guarantees, key=_largest_first), racks)
    if not packing.unplaced:
        return packing
    return _pack_in_order(sorted(guarantees, key=_most_bound_first), racks)


def _kept(
    guarantees: list[rulesets.Guarantee],
    remaining: stock.Stock,
    previous: tuple[rulesets.Home, ...],
) -> dict[InstanceName, rulesets.Home]:
    by_name = {guarantee.name: guarantee for guarantee in guarantees}
    kept: dict[InstanceName, rulesets.Home] = {}
    for home in sorted(previous, key=lambda one: (one.guarantee, one.instance)):
        guarantee = by_name.get(home.guarantee)
        if guarantee is None or not _matches(home, guarantee):
            continue
        name = InstanceName(home.guarantee, home.instance)
        if name in kept or not remaining.holds(home.tasks, guarantee):
            continue
        remaining.claim(home.tasks)
        kept[name] = home
    return kept


def _matches(home: rulesets.Home, guarantee: rulesets.Guarantee) -> bool:
    if home.team != guarantee.team or home.instance >= guarantee.count:
        return False
    if len(home.tasks) != guarantee.shape.tasks:
        return False
    size = guarantee.shape.accelerators_per_task
    return all(len(item.accelerators) == size for item in home.tasks)


def _largest_first(guarantee: rulesets.Guarantee) -> tuple[bool, int, int, bool, str]:
    shape = guarantee.shape
    return (
        shape.adjacency is not work.Adjacency.RACK,
        -shape.accelerators,
        -shape.accelerators_per_task,
        guarantee.data_centre is None,
        guarantee.name,
    )


def _most_bound_first(guarantee: rulesets.Guarantee) -> tuple[bool, bool, int, int, str]:
    adjacent, accelerators, size, anywhere, name = _largest_first(guarantee)
    return (anywhere, adjacent, accelerators, size, name)


def _clashing(
    guarantees: tuple[rulesets.Guarantee, ...], racks: tuple[rulesets.RackInventory, ...]
) -> tuple[str, ...]:
    """Return names of a small set of guarantees that can't be packed together.

    Each round finds the shortest prefix of the rest that fails beside those already named; its
    last guarantee is needed for the failure.
    """
    rest = sorted(guarantees, key=_largest_first)
    named: list[rulesets.Guarantee] = []
    while len(named) < MAX_CLASHES_NAMED:
        if named and _pack_afresh(tuple(named), racks).unplaced:
            break
        low, high = 0, len(rest)
        while low < high:
            middle = (low + high) // 2
            if _pack_afresh((*named, *rest[:middle]), racks).unplaced:
                high = middle
                continue
            low = middle + 1
        if low == 0 or low > len(rest):
            break
        named.append(rest[low - 1])
        rest = rest[: low - 1]
    return tuple(sorted(guarantee.name for guarantee in named))
