"""The workers of the fleet, and the free capacity of each."""

from collections.abc import Callable, Collection, Hashable, Iterator

import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_scheduling import health, warmup


@attrs.define
class Worker:
    """State of one worker.

    :param node: VM of the worker.
    :param pool: pool that the worker belongs to.
    :param incarnation: current incarnation, or ``None`` while it is unknown.
    :param capacity: total resources.
    :param labels: labels of the worker.
    :param rack: rack of the worker, or empty.
    :param is_open: whether the worker accepts new work.
    :param is_trusted: whether the worker is not ejected for the outcomes of its runs.
    :param slowness: run time of work on the worker divided by its estimate.
    :param trial: whether the worker is on trial since its newest run failed.
    :param proven_s: latest start of a run that succeeded or made progress, on the lead's clock.
    :param is_replacement: whether the worker started recently while others of its pool are leaving.
    :param data_centre: data centre of the worker, or empty if it is unknown.
    :param cold_ratio: share of the worker's warm-up that remains, from 0 to 1.
    """

    node: str
    pool: str = ""
    incarnation: tasks.Incarnation | None = None
    capacity: specs.Resources = attrs.field(factory=specs.Resources)
    labels: frozenset[str] = frozenset()
    rack: str = ""
    is_open: bool = False
    is_trusted: bool = True
    slowness: float = 1.0
    trial: health.Trial = health.Trial.NONE
    proven_s: float = float("-inf")
    is_replacement: bool = False
    data_centre: str = ""
    cold_ratio: float = 0.0


class FreeCapacity:
    """Free capacity of each worker during one planning round.

    ``has_trials`` tells whether any worker is on trial.

    :param workers: the workers, all of them idle at first.
    """

    def __init__(self, workers: list[Worker]) -> None:
        self._workers = {worker.node: worker for worker in workers}
        self.has_trials = any(worker.trial is not health.Trial.NONE for worker in workers)
        self._free = {worker.node: worker.capacity for worker in workers}
        # Resources of cold workers that are withheld once something runs there: an idle one takes
        # one unit of any size.
        self._cold_parts = {
            worker.node: warmup.cold_part(worker.capacity, worker.cold_ratio)
            for worker in workers
            if worker.cold_ratio > 0
        }
        self._step_counts: dict[tuple[str, str], int] = {}
        # Number of reservations on each cold worker.
        self._cold_counts: dict[str, int] = dict.fromkeys(self._cold_parts, 0)
        # Name of the unit that tries each worker.
        self._trials: dict[str, str] = {}
        # Workers that :meth:`select` found, by its key; shared with copies.
        self._selections: dict[Hashable, list[Worker]] = {}
        # VMs with room for one task, by the resources of the task; filled on first use.
        self._nodes_with_room: dict[specs.Resources, set[str]] = {}
        # Claimed resources of each worker, and the time until the first claim on it begins.
        self._claimed: dict[str, specs.Resources] = {}
        self._claimed_in_s: dict[str, float] = {}

    def copy(self) -> "FreeCapacity":
        """Return a copy whose reservations are independent."""
        duplicate = FreeCapacity([])
        duplicate._workers = self._workers
        duplicate.has_trials = self.has_trials
        duplicate._selections = self._selections
        duplicate._free = dict(self._free)
        duplicate._cold_parts = self._cold_parts
        duplicate._cold_counts = dict(self._cold_counts)
        duplicate._step_counts = dict(self._step_counts)
        duplicate._trials = dict(self._trials)
        duplicate._claimed = dict(self._claimed)
        duplicate._claimed_in_s = dict(self._claimed_in_s)
        return duplicate

    def worker(self, node: str) -> Worker:
        """Return the worker on a VM."""
        return self._workers[node]

    def __contains__(self, node: str) -> bool:
        return node in self._workers

    def workers(self) -> Iterator[Worker]:
        """Return all workers."""
        return iter(self._workers.values())

    def select(self, key: Hashable, is_selected: Callable[[Worker], bool]) -> list[Worker]:
        """Return the workers for which a condition holds; it is evaluated once for each key.

        :param key: key of all that the condition depends on, besides the workers' own state, which
            does not change during a planning round.
        :param is_selected: the condition.
        """
        selected = self._selections.get(key)
        if selected is None:
            selected = [worker for worker in self._workers.values() if is_selected(worker)]
            self._selections[key] = selected
        return selected

    def nodes_with_room(self, resources: specs.Resources) -> Collection[str]:
        """Return the VMs whose free resources hold at least one task.

        :param resources: resources of the task.
        """
        nodes = self._nodes_with_room.get(resources)
        if nodes is None:
            nodes = {node for node, free in self._free.items() if free.holds(resources)}
            self._nodes_with_room[resources] = nodes
        return nodes

    def free(self, node: str) -> specs.Resources:
        """Return the free resources of a worker; negative where more is reserved than it has."""
        return self._free[node]

    def reserve(self, node: str, resources: specs.Resources, step_name: str = "") -> None:
        """Reserve resources on a worker; unknown workers are ignored."""
        if node not in self._free:
            return
        used = resources
        if node in self._cold_parts:
            if self._cold_counts[node] == 0:
                used = used.plus(self._cold_parts[node])
            self._cold_counts[node] += 1
        self._set_free(node, self._free[node].minus(used))
        self._step_counts[node, step_name] = self._step_counts.get((node, step_name), 0) + 1

    def release(self, node: str, resources: specs.Resources, step_name: str = "") -> None:
        """Release what :meth:`reserve` reserved."""
        if node not in self._free:
            return
        released = resources
        if node in self._cold_parts:
            self._cold_counts[node] -= 1
            if self._cold_counts[node] == 0:
                # It is idle again.
                released = released.plus(self._cold_parts[node])
        self._set_free(node, self._free[node].plus(released))
        self._step_counts[node, step_name] = self._step_counts.get((node, step_name), 0) - 1

    def _set_free(self, node: str, free: specs.Resources) -> None:
        self._free[node] = free
        for resources, nodes in self._nodes_with_room.items():
            if free.holds(resources):
                nodes.add(node)
                continue
            nodes.discard(node)

    def claim(self, node: str, resources: specs.Resources, starts_in_s: float) -> None:
        """Claim resources of a worker for a unit that can't start yet.

        :param node: VM of the worker.
        :param resources: resources of one member of the unit.
        :param starts_in_s: expected time until the unit starts, in seconds.
        """
        self._claimed[node] = self._claimed.get(node, specs.Resources()).plus(resources)
        self._claimed_in_s[node] = min(starts_in_s, self._claimed_in_s.get(node, starts_in_s))

    def is_claimed(self, node: str) -> bool:
        """Return whether resources of a worker are claimed."""
        return node in self._claimed

    def unclaimed(self, node: str) -> specs.Resources:
        """Return the free resources of a worker that are not claimed."""
        return self._free[node].minus(self._claimed.get(node, specs.Resources()))

    def available(self, node: str, duration_s: float) -> specs.Resources:
        """Return the free resources of a worker for work of a duration.

        Claimed resources count as free for work that ends before the claim begins.

        :param node: VM of the worker.
        :param duration_s: estimated duration of the work, in seconds.
        """
        if duration_s <= self._claimed_in_s.get(node, float("inf")):
            return self._free[node]
        return self.unclaimed(node)

    def begin_trial(self, node: str, unit_name: str) -> None:
        """Reserve a worker that is on trial for one unit, in addition to its resources.

        :param node: VM of the worker.
        :param unit_name: name of the unit that tries the worker.
        """
        self._trials[node] = unit_name

    def may_try(self, node: str, unit_name: str) -> bool:
        """Return whether a unit may run on a worker that is on trial.

        :param node: VM of the worker.
        :param unit_name: name of the unit.
        """
        if self._workers[node].trial is not health.Trial.OPEN:
            return False
        return self._trials.get(node, unit_name) == unit_name

    def count(self, node: str, step_name: str) -> int:
        """Return the number of tasks of a step for which resources are reserved on a worker."""
        return self._step_counts.get((node, step_name), 0)


def step_name(key: tasks.TaskKey) -> str:
    """Return the name of a task's step in its occurrence."""
    return f"{key.job_id}.{key.occurrence}.{key.step}"
