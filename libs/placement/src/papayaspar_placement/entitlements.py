"""Which of a team's gangs are within its guarantee; computed from present use, never stored."""

import attrs

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import homes


@attrs.frozen(order=True)
class GangName:
    """One run of one job.

    :param job_id: the job.
    :param attempt: which run, from 1; 0 while no agent has reported it.
    """

    job_id: str
    attempt: int


@attrs.frozen
class RunningGang:
    """A gang as reported by the agents, or as started by this process.

    :param name: job and attempt.
    :param team: whose work it is.
    :param ranges: accelerators held, one entry a worker.
    :param stoppable: whether a reclaim may stop it.
    :param checkpoint: whether it can save its work before it stops.
    :param started_s: reading of the view's clock when it started.
    :param declared_s: declared run time, a hint.
    :param lead_worker: worker whose agent leads the gang.
    """

    name: GangName
    team: str
    ranges: tuple[workers.AcceleratorRange, ...]
    stoppable: bool
    checkpoint: bool
    started_s: float = 0.0
    declared_s: float = 0.0
    lead_worker: str = ""

    @property
    def accelerators(self) -> int:
        """Accelerators of the whole gang."""
        return sum(len(item.accelerators) for item in self.ranges)


@attrs.frozen
class Room:
    """What a team has not used of one instance of its guarantee.

    :param home: the instance.
    :param tasks: accelerators of each of its tasks that no gang of the team holds.
    :param accelerators: most accelerators that further work may take.
    """

    home: rulesets.Home
    tasks: tuple[workers.AcceleratorRange, ...]
    accelerators: int

    def fits(self, shape: work.Shape) -> bool:
        """Return whether a shape fits; adjacency follows from that of the home."""
        if shape.accelerators > self.accelerators:
            return False
        size = shape.accelerators_per_task
        return sum(len(item.accelerators) // size for item in self.tasks) >= shape.tasks


@attrs.frozen
class Entitlement:
    """A team's present use against its guarantees.

    :param guaranteed: gangs within the guarantees.
    :param at_home: gangs that stand wholly on homes of the team.
    :param borrowed: gangs beyond them.
    :param rooms: what is left of each instance.
    """

    guaranteed: frozenset[GangName]
    at_home: frozenset[GangName]
    borrowed: frozenset[GangName]
    rooms: tuple[Room, ...]


def split(gangs: tuple[RunningGang, ...], own_homes: tuple[rulesets.Home, ...]) -> Entitlement:
    """Split a team's gangs into those within its guarantees and those beyond.

    A gang on its team's homes uses these; any other uses up what is left of the smallest
    instance that can hold as many accelerators, and is borrowed if there is none.

    :param gangs: running gangs of the team.
    :param own_homes: homes of the team.
    :return: the split.
    """
    own = _accelerators_of(own_homes)
    at_home = [gang for gang in gangs if _stands_on(gang, own)]
    left = _left_at_home(at_home, own_homes)
    guaranteed = {gang.name for gang in at_home}
    borrowed: set[GangName] = set()
    elsewhere = [gang for gang in gangs if gang.name not in guaranteed]
    for gang in sorted(elsewhere, key=lambda one: (-one.accelerators, one.name)):
        enough = [(size, name) for name, size in left.items() if size >= gang.accelerators]
        if not enough:
            borrowed.add(gang.name)
            continue
        left[min(enough)[1]] -= gang.accelerators
        guaranteed.add(gang.name)
    return Entitlement(
        frozenset(guaranteed),
        frozenset(gang.name for gang in at_home),
        frozenset(borrowed),
        _rooms(gangs, own_homes, left),
    )


def _accelerators_of(own_homes: tuple[rulesets.Home, ...]) -> dict[str, set[int]]:
    own: dict[str, set[int]] = {}
    for home in own_homes:
        for item in home.tasks:
            own.setdefault(item.worker, set()).update(item.accelerators)
    return own


def _stands_on(gang: RunningGang, own: dict[str, set[int]]) -> bool:
    for item in gang.ranges:
        if not own.get(item.worker, set()).issuperset(item.accelerators):
            return False
    return bool(gang.ranges)


def _left_at_home(
    at_home: list[RunningGang], own_homes: tuple[rulesets.Home, ...]
) -> dict[homes.InstanceName, int]:
    held = _held(tuple(at_home))
    left: dict[homes.InstanceName, int] = {}
    for home in own_homes:
        free = [item for task in home.tasks for item in _without(task, held)]
        name = homes.InstanceName(home.guarantee, home.instance)
        left[name] = sum(len(item.accelerators) for item in free)
    return left


def _rooms(
    gangs: tuple[RunningGang, ...],
    own_homes: tuple[rulesets.Home, ...],
    left: dict[homes.InstanceName, int],
) -> tuple[Room, ...]:
    held = _held(gangs)
    rooms: list[Room] = []
    for home in own_homes:
        tasks = tuple(item for task in home.tasks for item in _without(task, held))
        unused = left[homes.InstanceName(home.guarantee, home.instance)]
        if unused > 0 and tasks:
            rooms.append(Room(home, tasks, unused))
    return tuple(rooms)


def _held(gangs: tuple[RunningGang, ...]) -> dict[str, set[int]]:
    held: dict[str, set[int]] = {}
    for gang in gangs:
        for item in gang.ranges:
            held.setdefault(item.worker, set()).update(item.accelerators)
    return held


def _without(
    task: workers.AcceleratorRange, held: dict[str, set[int]]
) -> list[workers.AcceleratorRange]:
    gone = held.get(task.worker)
    if gone is None:
        return [task]
    numbers = tuple(number for number in task.accelerators if number not in gone)
    return [workers.AcceleratorRange(task.worker, numbers)] if numbers else []
