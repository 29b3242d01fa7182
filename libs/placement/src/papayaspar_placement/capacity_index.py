"""Index of unreserved accelerators by rack, for finding a rack that fits a shape."""

import bisect

import attrs

from papayaspar_model import rulesets, work, workers


@attrs.define
class RackCapacity:
    """Unreserved accelerators of one rack.

    :param name: name of the rack.
    :param data_centre: its data centre.
    :param free: numbers of unreserved accelerators by worker, ascending.
    """

    name: str
    data_centre: str
    free: dict[str, list[int]]

    def task_count(self, accelerators_per_task: int) -> int:
        """Return how many tasks of a given size fit in the rack."""
        return sum(len(numbers) // accelerators_per_task for numbers in self.free.values())

    def assign(self, accelerators_per_task: int, tasks: int) -> list[workers.AcceleratorRange]:
        """Choose accelerators for up to ``tasks`` tasks, leaving few workers partly used.

        :param accelerators_per_task: number of accelerators of each task.
        :param tasks: maximum number of tasks to assign.
        :return: one range per task; the accelerators are not removed from the index.
        """

        def unused_remainder(entry: tuple[str, list[int]]) -> tuple[int, int, str]:
            return (len(entry[1]) % accelerators_per_task, len(entry[1]), entry[0])

        assigned: list[workers.AcceleratorRange] = []
        for worker, numbers in sorted(self.free.items(), key=unused_remainder):
            for start in range(0, len(numbers) - accelerators_per_task + 1, accelerators_per_task):
                if len(assigned) == tasks:
                    return assigned
                chosen = tuple(numbers[start : start + accelerators_per_task])
                assigned.append(workers.AcceleratorRange(worker, chosen))
        return assigned


# Sort key of a rack, tightest fit first: tasks that fit, unreserved accelerators, name.
_RackKey = tuple[int, int, str]


class CapacityIndex:
    """Unreserved accelerators of all known racks.

    :param racks: the known racks.
    """

    def __init__(self, racks: tuple[rulesets.RackInventory, ...]) -> None:
        self._racks: dict[str, RackCapacity] = {}
        self._rack_of: dict[str, str] = {}
        self._by_data_centre: dict[str, list[str]] = {}
        self._indexes: dict[int, dict[str, list[_RackKey]]] = {}
        for rack in sorted(racks, key=lambda inventory: inventory.rack):
            free = {
                worker_range.worker: sorted(worker_range.accelerators)
                for worker_range in rack.workers
            }
            self._racks[rack.rack] = RackCapacity(rack.rack, rack.data_centre, free)
            self._by_data_centre.setdefault(rack.data_centre, []).append(rack.rack)
            for worker_range in rack.workers:
                self._rack_of[worker_range.worker] = rack.rack

    def are_available(
        self, ranges: tuple[workers.AcceleratorRange, ...], guarantee: rulesets.Guarantee
    ) -> bool:
        """Return whether accelerators are in the index and satisfy a guarantee's constraints."""
        racks: set[str] = set()
        requested: dict[str, set[int]] = {}
        for task_range in ranges:
            rack = self._rack_of.get(task_range.worker)
            if rack is None:
                return False
            numbers = requested.setdefault(task_range.worker, set())
            if not numbers.isdisjoint(task_range.accelerators):
                return False
            numbers.update(task_range.accelerators)
            if not numbers.issubset(self._racks[rack].free[task_range.worker]):
                return False
            if guarantee.data_centre not in (None, self._racks[rack].data_centre):
                return False
            racks.add(rack)
        return guarantee.shape.adjacency is work.Adjacency.ANY or len(racks) == 1

    def remove(self, ranges: tuple[workers.AcceleratorRange, ...]) -> None:
        """Remove accelerators from the index.

        :param ranges: accelerators for which :meth:`are_available` returns true.
        """
        affected = [
            self._racks[name]
            for name in {self._rack_of[task_range.worker] for task_range in ranges}
        ]
        for rack in affected:
            self._unindex(rack)
        for task_range in ranges:
            numbers = self._racks[self._rack_of[task_range.worker]].free[task_range.worker]
            for number in task_range.accelerators:
                numbers.remove(number)
        for rack in affected:
            self._index(rack)

    def find(
        self, shape: work.Shape, data_centre: str | None
    ) -> tuple[workers.AcceleratorRange, ...] | None:
        """Choose accelerators for a shape: the best-fitting rack, else as few racks as possible.

        :param shape: the shape.
        :param data_centre: the required data centre, or ``None`` for any.
        :return: one range per task, or ``None`` if the shape does not fit; the accelerators
            are not removed from the index.
        """
        index = self._index_for(shape.accelerators_per_task)
        data_centre_names = (
            [data_centre] if data_centre is not None else sorted(self._by_data_centre)
        )
        tightest: list[_RackKey] = []
        for data_centre_name in data_centre_names:
            keys = index.get(data_centre_name, [])
            position = bisect.bisect_left(keys, (shape.tasks, 0, ""))
            tightest.extend(keys[position : position + 1])
        if tightest:
            rack = self._racks[min(tightest)[2]]
            return tuple(rack.assign(shape.accelerators_per_task, shape.tasks))
        if shape.adjacency is work.Adjacency.RACK:
            return None
        return self._find_across_racks(shape, data_centre_names)

    def _find_across_racks(
        self, shape: work.Shape, data_centre_names: list[str]
    ) -> tuple[workers.AcceleratorRange, ...] | None:
        index = self._index_for(shape.accelerators_per_task)
        counts = [
            (sum(key[0] for key in index.get(data_centre_name, [])), data_centre_name)
            for data_centre_name in data_centre_names
        ]
        sufficient = [count for count in counts if count[0] >= shape.tasks]
        order = (
            [min(sufficient)[1]]
            if sufficient
            else [data_centre_name for _, data_centre_name in sorted(counts, reverse=True)]
        )
        assigned: list[workers.AcceleratorRange] = []
        for data_centre_name in order:
            for key in reversed(index.get(data_centre_name, [])):
                rack = self._racks[key[2]]
                assigned.extend(
                    rack.assign(shape.accelerators_per_task, shape.tasks - len(assigned))
                )
                if len(assigned) == shape.tasks:
                    return tuple(assigned)
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

    def _key(self, rack: RackCapacity, accelerators_per_task: int) -> _RackKey:
        free = sum(len(numbers) for numbers in rack.free.values())
        return (rack.task_count(accelerators_per_task), free, rack.name)

    def _unindex(self, rack: RackCapacity) -> None:
        for size, index in self._indexes.items():
            keys = index[rack.data_centre]
            del keys[bisect.bisect_left(keys, self._key(rack, size))]

    def _index(self, rack: RackCapacity) -> None:
        for size, index in self._indexes.items():
            bisect.insort(index[rack.data_centre], self._key(rack, size))
