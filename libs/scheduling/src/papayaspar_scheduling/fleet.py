"""The workers as the lead sees them, and the room that is left on each."""

from collections.abc import Iterator

import attrs

from papayaspar_jobs import specs, tasks


@attrs.define
class Worker:
    """One worker.

    :param node: machine that it runs on.
    :param pool: pool that it belongs to.
    :param incarnation: its present life, or ``None`` before one is known.
    :param capacity: all its room.
    :param labels: its labels.
    :param rack: its rack, or empty.
    :param is_open: whether it takes new work.
    :param is_trusted: whether its newest outcomes speak for it.
    :param slowness: how many times longer work takes there than declared.
    """

    node: str
    pool: str = ""
    incarnation: tasks.Incarnation | None = None
    capacity: specs.Room = attrs.field(factory=specs.Room)
    labels: frozenset[str] = frozenset()
    rack: str = ""
    is_open: bool = False
    is_trusted: bool = True
    slowness: float = 1.0


class FreeRoom:
    """Room that is left on each worker, during one planning.

    :param workers: the workers.
    """

    def __init__(self, workers: list[Worker]) -> None:
        self._workers = {worker.node: worker for worker in workers}
        self._free = {worker.node: worker.capacity for worker in workers}
        self._step_counts: dict[tuple[str, str], int] = {}

    def copy(self) -> "FreeRoom":
        """Return an independent copy."""
        other = FreeRoom([])
        other._workers = self._workers
        other._free = dict(self._free)
        other._step_counts = dict(self._step_counts)
        return other

    def worker(self, node: str) -> Worker:
        """Return a worker of the fleet."""
        return self._workers[node]

    def __contains__(self, node: str) -> bool:
        return node in self._workers

    def workers(self) -> Iterator[Worker]:
        """Return all workers."""
        return iter(self._workers.values())

    def free(self, node: str) -> specs.Room:
        """Return what is left on a worker; negative where more is reserved than there is."""
        return self._free[node]

    def take(self, node: str, room: specs.Room, step_name: str = "") -> None:
        """Take room on a worker; unknown workers are passed over."""
        if node not in self._free:
            return
        self._free[node] = self._free[node].minus(room)
        self._step_counts[node, step_name] = self._step_counts.get((node, step_name), 0) + 1

    def give_back(self, node: str, room: specs.Room, step_name: str = "") -> None:
        """Undo :meth:`take`."""
        if node not in self._free:
            return
        self._free[node] = self._free[node].plus(room)
        self._step_counts[node, step_name] = self._step_counts.get((node, step_name), 0) - 1

    def count(self, node: str, step_name: str) -> int:
        """Return how many tasks of a step take room on a worker."""
        return self._step_counts.get((node, step_name), 0)


def step_name(key: tasks.TaskKey) -> str:
    """Return the name of a task's step in its occurrence."""
    return f"{key.job_id}.{key.occurrence}.{key.step}"
