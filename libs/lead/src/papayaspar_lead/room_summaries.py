"""Summary of the pools' room that the lead publishes, by which entries refuse jobs at once."""

import math
from collections.abc import Collection, Iterable, Sequence

import attrs

from papayaspar_jobs import durations, rooms, specs
from papayaspar_lead import links, state
from papayaspar_scheduling import fleet, ordering
from papayaspar_store import records

# Minimum interval between two summaries, in seconds.
PUBLISH_INTERVAL_S = 1.0
# The workers of a pool are all known once none came or went for this long, in seconds, and not
# before the lead has led for as long.
SETTLED_S = 30.0
# What a worker had stays possible for this long after it was last seen, in seconds.
KIND_KEPT_S = 600.0
# Shorter waits are published as none, in seconds; longer ones are rounded down to this value times
# a power of the ratio, so that small changes are not published.
WAIT_MIN_S = 5.0
WAIT_RATIO = 1.5
# Longer waits are published as this one, in seconds: sums over jobs have no limit, and the numbers
# of a record do.
WAIT_MAX_S = 30 * 86_400.0
# Bounds on the size of the record.
POOLS_MAX = 8
KINDS_MAX = 16
RACKS_MAX = 64


@attrs.define
class _SeenKind:
    """The workers of a pool with the same labels, at their largest since ``seen_s``."""

    kind: rooms.WorkerKind
    seen_s: float

    def update(self, current: rooms.WorkerKind, now_s: float) -> None:
        """Note the workers that are seen now."""
        largest = rooms.WorkerKind(
            _largest((self.kind.capacity, current.capacity)),
            self.kind.labels,
            max(self.kind.worker_count, current.worker_count),
        )
        if largest == current or now_s - self.seen_s > KIND_KEPT_S:
            self.kind, self.seen_s = current, now_s
            return
        self.kind = largest


@attrs.define
class _SeenPool:
    """What was seen of a pool.

    :param members: incarnations of its workers that take work.
    :param changed_s: when they last changed, on the lead's clock.
    :param kinds: kinds of its workers by label.
    :param racks: racks of its workers, and when each was last seen.
    """

    members: frozenset[object] = frozenset()
    changed_s: float = float("-inf")
    kinds: dict[tuple[str, ...], _SeenKind] = attrs.field(factory=dict)
    racks: dict[str, float] = attrs.field(factory=dict)


class RoomSummary:
    """Make the summary of the pools' room.

    :param scheduler_state: state of the scheduler.
    :param epoch: epoch of the lead.
    :param estimates: expected run times.
    """

    def __init__(
        self,
        scheduler_state: state.SchedulerState,
        epoch: int,
        estimates: durations.DurationEstimates,
    ) -> None:
        self._state = scheduler_state
        self._epoch = epoch
        self._estimates = estimates
        now_s = scheduler_state.clock.now_s()
        self._pools: dict[str, _SeenPool] = {}
        # When each agent without a worker that takes work was first seen so.
        self._closed_s: dict[str, float] = {}
        self._published: tuple[rooms.PoolRoom, ...] = ()
        self._made_s = float("-inf")
        # Without the kinds that former leads saw, nothing is known until they are forgotten.
        is_former_lost = scheduler_state.view.is_room_unreadable
        self._known_from_s = now_s + (KIND_KEPT_S if is_former_lost else SETTLED_S)
        for former in scheduler_state.view.room.pools if scheduler_state.view.room else ():
            self._adopt(former, now_s)

    def _adopt(self, former: rooms.PoolRoom, now_s: float) -> None:
        seen = self._pools.setdefault(former.pool, _SeenPool(changed_s=now_s))
        for kind in former.kinds:
            seen.kinds[kind.labels] = _SeenKind(kind, now_s)
        seen.racks = dict.fromkeys(former.racks, now_s)

    def updated(
        self, demands: Sequence[ordering.Demand], now_s: float
    ) -> records.RoomRecord | None:
        """Return a new summary, or ``None`` if nothing changed or the interval has not passed.

        :param demands: demands of all waiting units.
        :param now_s: the lead's clock.
        """
        if now_s - self._made_s < PUBLISH_INTERVAL_S:
            return None
        self._made_s = now_s
        by_pool: dict[str, list[fleet.Worker]] = {}
        for link in self._state.links.values():
            if link.worker.pool and link.is_attached and link.worker.is_open:
                by_pool.setdefault(link.worker.pool, []).append(link.worker)
        has_unknown_agent = self._has_unknown_agent(now_s)
        is_fleet_known = now_s >= self._known_from_s and not has_unknown_agent
        pools = []
        for pool in sorted({*by_pool, *self._pools})[:POOLS_MAX]:
            workers = by_pool.get(pool, [])
            self._observe(pool, workers, now_s)
            room = self._room(pool, is_fleet_known, now_s)
            capacity = self._capacity_max(pool, room.total)
            pools.append(attrs.evolve(room, waits=self._waits(room, capacity, demands, now_s)))
        if tuple(pools) == self._published:
            return None
        self._published = tuple(pools)
        return records.RoomRecord(self._epoch, self._published)

    def _has_unknown_agent(self, now_s: float) -> bool:
        """Return whether an agent may have a worker that is not known, or may soon have one.

        The lead knows nothing of a worker whose agent is not attached or whose worker does not
        answer; one that drains may be replaced by another. After a long time no worker is expected.
        """
        nodes = {*self._state.view.agents, *self._state.links}
        closed = {node for node in nodes if not _takes_work(self._state.links.get(node))}
        self._closed_s = {node: self._closed_s.get(node, now_s) for node in closed}
        return any(now_s - since_s <= KIND_KEPT_S for since_s in self._closed_s.values())

    def _observe(self, pool: str, workers: Collection[fleet.Worker], now_s: float) -> None:
        seen = self._pools.setdefault(pool, _SeenPool())
        members = frozenset((worker.node, worker.incarnation) for worker in workers)
        if members != seen.members:
            seen.members, seen.changed_s = members, now_s
        by_labels: dict[tuple[str, ...], list[fleet.Worker]] = {}
        for worker in workers:
            labels = tuple(sorted(worker.labels - {worker.rack}))
            by_labels.setdefault(labels, []).append(worker)
            seen.racks[worker.rack] = now_s
        for labels, alike in by_labels.items():
            capacity = _largest(worker.capacity for worker in alike)
            current = rooms.WorkerKind(capacity, labels, len(alike))
            known = seen.kinds.setdefault(labels, _SeenKind(current, now_s))
            known.update(current, now_s)
        for labels in [labels for labels in seen.kinds if labels not in by_labels]:
            if now_s - seen.kinds[labels].seen_s > KIND_KEPT_S:
                del seen.kinds[labels]
        for rack, seen_s in list(seen.racks.items()):
            if now_s - seen_s > KIND_KEPT_S:
                del seen.racks[rack]

    def _room(self, pool: str, is_fleet_known: bool, now_s: float) -> rooms.PoolRoom:
        """Return what is known of the workers of a pool."""
        seen = self._pools[pool]
        is_known = (
            is_fleet_known
            and bool(seen.members)
            and now_s - seen.changed_s >= SETTLED_S
            and len(seen.kinds) <= KINDS_MAX
        )
        racks = tuple(sorted(rack for rack in seen.racks if rack))
        return rooms.PoolRoom(
            pool,
            is_known,
            tuple(seen.kinds[labels].kind for labels in sorted(seen.kinds)[:KINDS_MAX]),
            racks[:RACKS_MAX],
            len(racks) <= RACKS_MAX,
        )

    def _capacity_max(self, pool: str, seen: specs.Resources) -> specs.Resources:
        """Return the most that the workers of a pool may have together.

        Work runs on workers whose agent is not attached, too, and they may return at any time.

        :param pool: name of the pool.
        :param seen: what its workers of the last time have, also those that a former lead saw.
        """
        capacity = specs.Resources()
        for link in self._state.links.values():
            if link.worker.pool == pool:
                capacity = capacity.plus(link.worker.capacity)
        for node in self._state.view.agents:
            known_link = self._state.links.get(node)
            if known_link is None or not known_link.worker.pool:
                # This lead has not heard of its worker yet.
                return _largest((capacity, seen))
        return capacity

    def _waits(
        self,
        room: rooms.PoolRoom,
        capacity: specs.Resources,
        demands: Sequence[ordering.Demand],
        now_s: float,
    ) -> tuple[rooms.ExpectedWait, ...]:
        """Return the least time until a newcomer of each rank gets the pool's resources.

        Before it come the running work of its rank and above, the waiting work of higher ranks that
        has value, and that of its own rank that is in time: late work comes after it. Work that no
        worker of the last time could hold keeps nothing busy.
        """
        pool = room.pool
        work = [_Work() for _ in ordering.Rank]
        for active in self._state.work.jobs():
            queue = self._state.work.queue_of(active.progress)
            if queue.pool != pool:
                continue
            rank = ordering.Rank.of(queue.priority, is_within_guarantee=False)
            for unit in active.progress.active_units():
                if unit.step.is_lasting:
                    continue
                for task in unit.members:
                    if task.is_assigned and not task.is_stopping:
                        _add(work, rank, task.step, 1, task.remaining_s(now_s))
        for demand in demands:
            unit = demand.unit
            finish_s = now_s + demand.remaining_s
            if finish_s > demand.worthless_s or unit.step.is_lasting or not unit.is_waiting:
                continue
            if self._state.work.queue_of(unit.job).pool != pool:
                continue
            if not rooms.could_hold(unit.step, room):
                continue
            first_rank = demand.rank + (finish_s > demand.objective_s)
            expected = self._estimates.expected(unit.job.spec, unit.step)
            _add(work, first_rank, unit.step, len(unit.members), expected.middle_s)
        waits = tuple(each.wait(capacity) for each in work)
        return waits if any(wait != rooms.ExpectedWait() for wait in waits) else ()


@attrs.define
class _Work:
    """Work that comes before a newcomer, in seconds of one unit of each resource."""

    cpu_millicore_s: float = 0.0
    memory_mb_s: float = 0.0
    accelerator_s: float = 0.0

    def wait(self, capacity: specs.Resources) -> rooms.ExpectedWait:
        """Return the time for which it keeps a pool of a capacity busy, rounded down."""
        return rooms.ExpectedWait(
            rounded_wait_s(self.cpu_millicore_s, capacity.cpu_millicores),
            rounded_wait_s(self.memory_mb_s, capacity.memory_mb),
            rounded_wait_s(self.accelerator_s, capacity.accelerators),
        )


def _add(
    work: Sequence[_Work], first_rank: int, step: specs.Step, task_count: int, duration_s: float
) -> None:
    """Add tasks to the work before the newcomers of a rank and of those below it."""
    resources, total_s = step.counted_resources, task_count * duration_s
    for each in work[first_rank:]:
        each.cpu_millicore_s += resources.cpu_millicores * total_s
        each.memory_mb_s += resources.memory_mb * total_s
        each.accelerator_s += resources.accelerators * total_s


def rounded_wait_s(work: float, capacity: int) -> int:
    """Return a wait in whole seconds, rounded down to few values; 0 without capacity or if short.

    It is at most ``WAIT_MAX_S``.

    :param work: work, in seconds of one unit of the resource.
    :param capacity: units of the resource.
    """
    wait_s = min(WAIT_MAX_S, work / capacity) if capacity > 0 else 0.0
    if wait_s < WAIT_MIN_S:
        return 0
    power = math.floor(math.log(wait_s / WAIT_MIN_S) / math.log(WAIT_RATIO))
    return int(WAIT_MIN_S * WAIT_RATIO**power)


def _largest(capacities: Iterable[specs.Resources]) -> specs.Resources:
    """Return the largest amount of each resource."""
    cpu_millicores = memory_mb = accelerators = 0
    for capacity in capacities:
        cpu_millicores = max(cpu_millicores, capacity.cpu_millicores)
        memory_mb = max(memory_mb, capacity.memory_mb)
        accelerators = max(accelerators, capacity.accelerators)
    return specs.Resources(cpu_millicores, memory_mb, accelerators)


def _takes_work(link: links.AgentLink | None) -> bool:
    return link is not None and link.is_attached and link.worker.is_open
