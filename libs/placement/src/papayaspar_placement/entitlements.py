"""Classification of a team's gangs as within or beyond its guarantees.

The result is computed from current use and is never stored.
"""

import attrs

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import homes


@attrs.frozen(order=True)
class GangName:
    """Identifies one attempt of one job.

    :param job_id: the job.
    :param attempt: number of the attempt, from 1; 0 until an agent has reported it.
    """

    job_id: str
    attempt: int


@attrs.frozen
class RunningGang:
    """A gang reported by its agents or started by this process.

    :param name: job and attempt.
    :param team: the team it belongs to.
    :param accelerator_ranges: accelerators held, one entry per worker.
    :param stoppable: whether it may be preempted.
    :param checkpoint: whether it can save a checkpoint before it stops.
    :param started_s: time of its start in seconds, on the view's clock.
    :param declared_s: declared run time in seconds; only a hint.
    :param lead_worker: worker whose agent leads the gang.
    """

    name: GangName
    team: str
    accelerator_ranges: tuple[workers.AcceleratorRange, ...]
    stoppable: bool
    checkpoint: bool
    started_s: float = 0.0
    declared_s: float = 0.0
    lead_worker: str = ""

    @property
    def accelerators(self) -> int:
        """Number of accelerators of the whole gang."""
        return sum(len(worker_range.accelerators) for worker_range in self.accelerator_ranges)


@attrs.frozen
class UnusedInstance:
    """The part of one instance of a guarantee that its team does not use.

    :param home: the home of the instance.
    :param tasks: accelerators of each task of the home that no gang of the team holds.
    :param accelerators: maximum number of accelerators that further work may use.
    """

    home: rulesets.Home
    tasks: tuple[workers.AcceleratorRange, ...]
    accelerators: int

    def fits(self, shape: work.Shape) -> bool:
        """Return whether a shape fits; the home itself satisfies the adjacency."""
        if shape.accelerators > self.accelerators:
            return False
        size = shape.accelerators_per_task
        return sum(len(task_range.accelerators) // size for task_range in self.tasks) >= shape.tasks


@attrs.frozen
class Entitlement:
    """A team's current use of its guarantees.

    :param guaranteed: gangs within the guarantees.
    :param on_own_homes: gangs that hold only accelerators of the team's homes.
    :param borrowed: gangs beyond the guarantees.
    :param unused_instances: the unused part of each instance.
    """

    guaranteed: frozenset[GangName]
    on_own_homes: frozenset[GangName]
    borrowed: frozenset[GangName]
    unused_instances: tuple[UnusedInstance, ...]


def split(gangs: tuple[RunningGang, ...], own_homes: tuple[rulesets.Home, ...]) -> Entitlement:
    """Split a team's gangs into those within its guarantees and those beyond them.

    A gang on its team's homes counts against these. Any other gang counts against the instance
    with the fewest unused accelerators that suffice (best fit), and is borrowed if there is none.

    :param gangs: running gangs of the team.
    :param own_homes: homes of the team.
    :return: the classified gangs and the unused instances.
    """
    reserved = _accelerators_of(own_homes)
    on_own_homes = [gang for gang in gangs if _is_within(gang, reserved)]
    unused_counts = _unused_counts(on_own_homes, own_homes)
    guaranteed = {gang.name for gang in on_own_homes}
    borrowed: set[GangName] = set()
    elsewhere = [gang for gang in gangs if gang.name not in guaranteed]
    for gang in sorted(elsewhere, key=lambda gang: (-gang.accelerators, gang.name)):
        fitting = [
            (size, name) for name, size in unused_counts.items() if size >= gang.accelerators
        ]
        if not fitting:
            borrowed.add(gang.name)
            continue
        unused_counts[min(fitting)[1]] -= gang.accelerators
        guaranteed.add(gang.name)
    return Entitlement(
        frozenset(guaranteed),
        frozenset(gang.name for gang in on_own_homes),
        frozenset(borrowed),
        _unused_instances(gangs, own_homes, unused_counts),
    )


def _accelerators_of(own_homes: tuple[rulesets.Home, ...]) -> dict[str, set[int]]:
    reserved: dict[str, set[int]] = {}
    for home in own_homes:
        for task_range in home.tasks:
            reserved.setdefault(task_range.worker, set()).update(task_range.accelerators)
    return reserved


def _is_within(gang: RunningGang, reserved: dict[str, set[int]]) -> bool:
    for worker_range in gang.accelerator_ranges:
        if not reserved.get(worker_range.worker, set()).issuperset(worker_range.accelerators):
            return False
    return bool(gang.accelerator_ranges)


def _unused_counts(
    on_own_homes: list[RunningGang], own_homes: tuple[rulesets.Home, ...]
) -> dict[homes.InstanceName, int]:
    held = _held(tuple(on_own_homes))
    unused_counts: dict[homes.InstanceName, int] = {}
    for home in own_homes:
        free = [unused_range for task in home.tasks for unused_range in _subtract(task, held)]
        name = homes.InstanceName(home.guarantee, home.instance)
        unused_counts[name] = sum(len(unused_range.accelerators) for unused_range in free)
    return unused_counts


def _unused_instances(
    gangs: tuple[RunningGang, ...],
    own_homes: tuple[rulesets.Home, ...],
    unused_counts: dict[homes.InstanceName, int],
) -> tuple[UnusedInstance, ...]:
    held = _held(gangs)
    unused_instances: list[UnusedInstance] = []
    for home in own_homes:
        tasks = tuple(unused_range for task in home.tasks for unused_range in _subtract(task, held))
        count = unused_counts[homes.InstanceName(home.guarantee, home.instance)]
        if count > 0 and tasks:
            unused_instances.append(UnusedInstance(home, tasks, count))
    return tuple(unused_instances)


def _held(gangs: tuple[RunningGang, ...]) -> dict[str, set[int]]:
    held: dict[str, set[int]] = {}
    for gang in gangs:
        for worker_range in gang.accelerator_ranges:
            held.setdefault(worker_range.worker, set()).update(worker_range.accelerators)
    return held


def _subtract(
    task: workers.AcceleratorRange, held: dict[str, set[int]]
) -> list[workers.AcceleratorRange]:
    held_numbers = held.get(task.worker)
    if held_numbers is None:
        return [task]
    numbers = tuple(number for number in task.accelerators if number not in held_numbers)
    return [workers.AcceleratorRange(task.worker, numbers)] if numbers else []
