"""Unclaimed accelerators of the known racks, indexed so that a shape finds a rack quickly."""

import bisect

import attrs

from papayaspar_model import rulesets, work, workers


@attrs.define
class RackStock:
    """Unclaimed accelerators of one rack.

    :param name: name of the rack.
    :param data_centre: its data centre.
    :param free: numbers of unclaimed accelerators by worker, ascending.
    """

    name: str
    data_centre: str
    free: dict[str, list[int]]

    def capacity(self, accelerators_per_task: int) -> int:
        """Return how many tasks of a size fit."""
        return sum(len(numbers) // accelerators_per_task for numbers in self.free.values())

    def seat(self, accelerators_per_task: int, tasks: int) -> list[workers.AcceleratorRange]:
        """Choose accelerators for up to ``tasks`` tasks, leaving few workers partly used.

        :param accelerators_per_task: accelerators of each task.
        :param tasks: most tasks to seat.
        :return: one range a task; nothing is claimed yet.
        """

        def waste(item: tuple[str, list[int]]) -> tuple[int, int, str]:
            return (len(item[1]) % accelerators_per_task, len(item[1]), item[0])

        seats: list[workers.AcceleratorRange] = []
        for worker, numbers in sorted(self.free.items(), key=waste):
            for start in range(0, len(numbers) - accelerators_per_task + 1, accelerators_per_task):
                if len(seats) == tasks:
                    return seats
                chosen = tuple(numbers[start : start + accelerators_per_task])
                seats.append(workers.AcceleratorRange(worker, chosen))
        return seats


# Tasks that fit, unclaimed accelerators and name of a rack: from the tightest fit to the loosest.
_RackKey = tuple[int, int, str]


class Stock:
    """Unclaimed accelerators of all known racks.

    :param racks: the inventory.
    """

    def __init__(self, racks: tuple[rulesets.RackInventory, ...]) -> None:
        self._racks: dict[str, RackStock] = {}
        self._rack_of: dict[str, str] = {}
        self._by_data_centre: dict[str, list[str]] = {}
        self._indexes: dict[int, dict[str, list[_RackKey]]] = {}
        for rack in sorted(racks, key=lambda one: one.rack):
            free = {item.worker: sorted(item.accelerators) for item in rack.workers}
            self._racks[rack.rack] = RackStock(rack.rack, rack.data_centre, free)
            self._by_data_centre.setdefault(rack.data_centre, []).append(rack.rack)
            for item in rack.workers:
                self._rack_of[item.worker] = rack.rack

    def holds(
        self, ranges: tuple[workers.AcceleratorRange, ...], guarantee: rulesets.Guarantee
    ) -> bool:
        """Return whether accelerators are known, unclaimed and where a guarantee wants them."""
        racks: set[str] = set()
        wanted: dict[str, set[int]] = {}
        for item in ranges:
            rack = self._rack_of.get(item.worker)
            if rack is None:
                return False
            numbers = wanted.setdefault(item.worker, set())
            if not numbers.isdisjoint(item.accelerators):
                return False
            numbers.update(item.accelerators)
            if not numbers.issubset(self._racks[rack].free[item.worker]):
                return False
            if guarantee.data_centre not in (None, self._racks[rack].data_centre):
                return False
            racks.add(rack)
        return guarantee.shape.adjacency is work.Adjacency.ANY or len(racks) == 1

    def claim(self, ranges: tuple[workers.AcceleratorRange, ...]) -> None:
        """Take accelerators out of the stock.

        :param ranges: accelerators for which :meth:`holds` is true.
        """
        touched = [self._racks[name] for name in {self._rack_of[item.worker] for item in ranges}]
        for rack in touched:
            self._unindex(rack)
        for item in ranges:
            numbers = self._racks[self._rack_of[item.worker]].free[item.worker]
            for number in item.accelerators:
                numbers.remove(number)
        for rack in touched:
            self._index(rack)

    def find(
        self, shape: work.Shape, data_centre: str | None
    ) -> tuple[workers.AcceleratorRange, ...] | None:
        """Choose accelerators for a shape: the tightest rack, else few racks close together.

        :param shape: the shape.
        :param data_centre: where, or ``None`` for anywhere.
        :return: one range a task, or ``None`` if nothing fits; nothing is claimed yet.
        """
        index = self._index_for(shape.accelerators_per_task)
        places = [data_centre] if data_centre is not None else sorted(self._by_data_centre)
        tightest: list[_RackKey] = []
        for place in places:
            keys = index.get(place, [])
            at = bisect.bisect_left(keys, (shape.tasks, 0, ""))
            tightest.extend(keys[at : at + 1])
        if tightest:
            rack = self._racks[min(tightest)[2]]
            return tuple(rack.seat(shape.accelerators_per_task, shape.tasks))
        if shape.adjacency is work.Adjacency.RACK:
            return None
        return self._spread(shape, places)

    def _spread(
        self, shape: work.Shape, places: list[str]
    ) -> tuple[workers.AcceleratorRange, ...] | None:
        index = self._index_for(shape.accelerators_per_task)
        rooms = [(sum(key[0] for key in index.get(place, [])), place) for place in places]
        whole = [room for room in rooms if room[0] >= shape.tasks]
        order = [min(whole)[1]] if whole else [place for _, place in sorted(rooms, reverse=True)]
        seats: list[workers.AcceleratorRange] = []
        for place in order:
            for key in reversed(index.get(place, [])):
                rack = self._racks[key[2]]
                seats.extend(rack.seat(shape.accelerators_per_task, shape.tasks - len(seats)))
                if len(seats) == shape.tasks:
                    return tuple(seats)
        return None

    def _index_for(self, accelerators_per_task: int) -> dict[str, list[_RackKey]]:
        index = self._indexes.get(accelerators_per_task)
        if index is not None:
            return index
        index = {}
        for rack in self._racks.values():
            key = self._key(rack, accelerators_per_task)
            index.setdefault(rack.data_centre, []).append(key)
        for keys in index.values():
            keys.sort()
        self._indexes[accelerators_per_task] = index
        return index

    def _key(self, rack: RackStock, accelerators_per_task: int) -> _RackKey:
        free = sum(len(numbers) for numbers in rack.free.values())
        return (rack.capacity(accelerators_per_task), free, rack.name)

    def _unindex(self, rack: RackStock) -> None:
        for size, index in self._indexes.items():
            keys = index[rack.data_centre]
            del keys[bisect.bisect_left(keys, self._key(rack, size))]

    def _index(self, rack: RackStock) -> None:
        for size, index in self._indexes.items():
            bisect.insort(index[rack.data_centre], self._key(rack, size))
