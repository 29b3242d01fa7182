"""Room of the pools as the lead sees it, and what an entry concludes from it about a new job."""

from collections.abc import Iterator

import attrs

from papayaspar_jobs import configurations, specs

MILLISECONDS_PER_SECOND = 1000.0
# A late job keeps part of its value until this multiple of its objective has passed (payoff in the
# platform's rules).
WORTHLESS_AFTER_OBJECTIVES = 3.0
# Estimates of callers are off by up to this factor; the objective follows the true run time.
ESTIMATE_ERROR_MAX = 2.0
# The objective of a job with a wider step, as a share of the pool, allows for several waves of its
# tasks. It is half the width from which the platform counts waves, since the capacities of workers
# of one kind are rounded up.
WIDE_SHARE = 0.125


@attrs.frozen
class WorkerKind:
    """The workers of a pool that have the same labels, those of their racks aside.

    :param capacity: largest amount of each resource that one of them has.
    :param labels: their labels, sorted.
    :param worker_count: largest number of them that was seen at a time.
    """

    capacity: specs.Resources
    labels: tuple[str, ...]
    worker_count: int

    @property
    def total(self) -> specs.Resources:
        """Resources of all of them together; no less than they have."""
        return self.capacity.times(self.worker_count)


@attrs.frozen
class ExpectedWait:
    """Least time until a newcomer gets each resource, in seconds."""

    cpu_s: int = 0
    memory_s: int = 0
    accelerators_s: int = 0

    def of(self, resources: specs.Resources) -> int:
        """Return the time until a task gets all resources that it asks for, in seconds."""
        wait_s = 0
        if resources.cpu_millicores:
            wait_s = max(wait_s, self.cpu_s)
        if resources.memory_mb:
            wait_s = max(wait_s, self.memory_s)
        if resources.accelerators:
            wait_s = max(wait_s, self.accelerators_s)
        return wait_s


@attrs.frozen
class PoolRoom:
    """Room of one pool.

    :param pool: name of the pool.
    :param is_known: whether the pool can have no other workers than those of ``kinds``.
    :param kinds: kinds of the workers that were seen lately.
    :param racks: racks of these workers.
    :param has_all_racks: whether ``racks`` is complete.
    :param waits: expected wait of newcomers by rank, highest rank first.
    """

    pool: str
    is_known: bool = False
    kinds: tuple[WorkerKind, ...] = ()
    racks: tuple[str, ...] = ()
    has_all_racks: bool = False
    waits: tuple[ExpectedWait, ...] = ()

    @property
    def total(self) -> specs.Resources:
        """Resources of all workers together; no less than they have."""
        total = specs.Resources()
        for kind in self.kinds:
            total = total.plus(kind.total)
        return total


@attrs.frozen
class Impossible:
    """Why no worker of a pool can ever run a job.

    :param field: field of the job that asks for it.
    :param reason: what the pool does not have.
    """

    field: str
    reason: str


def find_impossible(spec: specs.JobSpec, room: PoolRoom) -> Impossible | None:
    """Return why no worker of a pool can ever run a job, or ``None`` if that is not known.

    :param spec: the job.
    :param room: the pool.
    """
    if not room.is_known or not room.kinds:
        return None
    for number, step in enumerate(spec.steps):
        impossible = _find_impossible_step(step, f"steps.{number}", room)
        if impossible is not None:
            return impossible
    return None


def could_hold(step: specs.Step, room: PoolRoom) -> bool:
    """Return whether the workers that were seen lately could hold a step's tasks when idle.

    Others may come, unless the pool is known.

    :param step: the step.
    :param room: the pool.
    """
    return _find_impossible_step(step, "", room) is None


def _find_impossible_step(step: specs.Step, path: str, room: PoolRoom) -> Impossible | None:
    kinds = list(_permitted(step, room))
    if not kinds:
        return Impossible(f"{path}.required_label", f"no worker has {step.required_label}")
    if not any(kind.capacity.holds(step.counted_resources) for kind in kinds):
        return Impossible(f"{path}.room", f"no worker has {step.summary}")
    places = sum(_places(step, kind) for kind in kinds)
    if step.is_gang and step.task_count > places:
        return Impossible(
            f"{path}.count", f"a gang of {step.task_count} for {places} places at most"
        )
    return None


def _permitted(step: specs.Step, room: PoolRoom) -> Iterator[WorkerKind]:
    """Return the kinds of workers that may have a step's label; any may stand in a known rack."""
    label = step.required_label
    is_any_permitted = not label or label in room.racks or not room.has_all_racks
    for kind in room.kinds:
        if is_any_permitted or label in kind.labels:
            yield kind


def _places(step: specs.Step, kind: WorkerKind) -> int:
    """Return how many tasks of a step all workers of a kind hold when idle, at most."""
    resources, capacity = step.counted_resources, kind.capacity
    counts = [step.task_count]
    if resources.cpu_millicores:
        counts.append(capacity.cpu_millicores // resources.cpu_millicores)
    if resources.memory_mb:
        counts.append(capacity.memory_mb // resources.memory_mb)
    if resources.accelerators:
        counts.append(capacity.accelerators // resources.accelerators)
    if step.per_worker_max:
        counts.append(step.per_worker_max)
    return min(counts) * kind.worker_count


def expected_wait_s(spec: specs.JobSpec, room: PoolRoom, rank: int) -> float:
    """Return the least time until a new job can begin, in seconds; 0 if it is not known.

    :param spec: the job.
    :param room: the pool.
    :param rank: rank of the job; 0 is the highest.
    """
    if rank >= len(room.waits):
        return 0.0
    wait = room.waits[rank]
    return float(min(wait.of(step.counted_resources) for step in spec.steps if not step.after))


def useful_wait_s(spec: specs.JobSpec, queue: configurations.Queue) -> float:
    """Return how long a new job may wait and keep some of its value, in seconds.

    :param spec: the job.
    :param queue: its queue.
    """
    chain_s = spec.critical_path_ms / MILLISECONDS_PER_SECOND
    objective_s = (
        queue.stretch * chain_s * ESTIMATE_ERROR_MAX + queue.objective_ms / MILLISECONDS_PER_SECOND
    )
    return WORTHLESS_AFTER_OBJECTIVES * objective_s - chain_s


def punctual_wait_s(spec: specs.JobSpec, queue: configurations.Queue) -> float:
    """Return how long a new job may wait and still meet its objective, in seconds.

    :param spec: the job.
    :param queue: its queue.
    """
    chain_s = spec.critical_path_ms / MILLISECONDS_PER_SECOND
    return (queue.stretch - 1.0) * chain_s + queue.objective_ms / MILLISECONDS_PER_SECOND


def pool_time_s(spec: specs.JobSpec, room: PoolRoom) -> float:
    """Return the estimated work of a job, in seconds of the whole pool.

    :param spec: the job.
    :param room: the pool.
    """
    total = room.total
    return (
        sum(_step_share(step, total) * step.estimate_ms for step in spec.steps)
        / MILLISECONDS_PER_SECOND
    )


def is_wide(spec: specs.JobSpec, room: PoolRoom) -> bool:
    """Return whether a step of a job takes a large part of a pool.

    :param spec: the job.
    :param room: the pool.
    """
    total = room.total
    return any(_step_share(step, total) > WIDE_SHARE for step in spec.steps)


def _step_share(step: specs.Step, total: specs.Resources) -> float:
    return step.counted_resources.times(step.task_count).dominant_share(total)
