"""The placement policy that keeps the largest guaranteed shapes open."""

import heapq

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import (
    consolidation,
    ends,
    entitlements,
    fleet,
    inventory,
    policies,
    seating,
    weighing,
)

MAX_SHAPES_KEPT = 3
MAX_TIES = 48
MAX_REMEMBERED = 16


@attrs.frozen
class _Option:
    """Workers of one rack that can seat a whole gang, and what that costs."""

    order: weighing.Order
    rack: inventory.RackView

    def workers(self) -> list[inventory.WorkerView]:
        """Return the workers in the order in which they are filled."""
        known = tuple(self.rack.workers.values())
        return [known[index] for index in self.order.indices]


@attrs.frozen
class _Question:
    """What the options of a rack depend on, beside the rack.

    :param shape: shape of the job.
    :param stoppable: whether the job can be stopped.
    :param checkpoint: whether it can checkpoint.
    :param team: its team if that has homes in the rack, else empty.
    """

    shape: work.Shape
    stoppable: bool
    checkpoint: bool
    team: str


@attrs.define
class _Remembered:
    """Cheapest options of one version of a rack, by question."""

    rack: inventory.RackView
    version: int
    options: dict[_Question, list[_Option]] = attrs.field(factory=dict)


class ShapeKeeping(policies.PlacementPolicy):
    """Racks first; the largest guaranteed shapes stay open; failing workers come last.

    Among placements that keep the same shapes open, the one is chosen that delays least the time
    at which its workers become empty.

    :param expected: expected ends of running gangs.
    :param consolidator: moves gangs to empty workers; none are moved without one.
    """

    name = "shape_keeping"

    def __init__(
        self,
        expected: ends.EndEstimator,
        consolidator: consolidation.Consolidator | None = None,
    ) -> None:
        self._expected = expected
        self._consolidator = consolidator
        self._shapes: tuple[work.Shape, ...] = ()
        self._remembered: dict[str, _Remembered] = {}

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose a home of the team's own, one rack, one data centre, or any place."""
        at_home = self._at_home(job, view)
        if at_home is not None:
            return at_home
        seats = self._in_one_rack(job, view)
        if seats is None and job.shape.adjacency is work.Adjacency.ANY:
            seats = self._over_racks(job, view)
        return seating.placement(seats, job, view)

    def moves(self, view: fleet.FleetView) -> tuple[consolidation.Move, ...]:
        """Return moves that empty a worker.

        :param view: the fleet.
        """
        return () if self._consolidator is None else self._consolidator.propose(view)

    def _at_home(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Return a free instance of exactly the job's size, if the team has one."""
        if not view.is_guaranteed(job):
            return None
        for room in view.entitlement(job.team).rooms:
            whole = sum(len(item.accelerators) for item in room.home.tasks)
            if whole != job.shape.accelerators or not room.fits(job.shape):
                continue
            if _is_free(room, view):
                seats = seats_in_room(room, job.shape)
                return workers.Placement(seats, room.home.guarantee, room.home.instance)
        return None

    def _in_one_rack(self, job: work.Job, view: fleet.FleetView) -> seating.Seats | None:
        self._keep_open(view.guaranteed_shapes()[:MAX_SHAPES_KEPT])
        need = job.shape.accelerators
        size = job.shape.accelerators_per_task
        best: list[_Option] = []
        for rack in view.racks():
            if rack.free < need or rack.most_free < size:
                continue
            options = self._cheapest(rack, job)
            if not options or (best and options[0].order.rank > best[0].order.rank):
                continue
            if best and options[0].order.rank < best[0].order.rank:
                best = []
            best.extend(options)
        if not best:
            return None
        if len(best) == 1:
            return seating.fill(best[0].workers(), job)
        own_s = self._expected.estimator.estimate_s(job)

        def preference(option: _Option) -> tuple[float, int, str, str]:
            delay_s = self._delay_s(option, own_s, view)
            first = option.workers()[0]
            return (delay_s, option.rack.free, option.rack.name, first.name)

        tightest = heapq.nsmallest(MAX_TIES, best, key=lambda one: (one.rack.free, one.rack.name))
        return seating.fill(min(tightest, key=preference).workers(), job)

    def _keep_open(self, shapes: tuple[work.Shape, ...]) -> None:
        if shapes != self._shapes:
            self._shapes = shapes
            self._remembered = {}

    def _cheapest(self, rack: inventory.RackView, job: work.Job) -> list[_Option]:
        """Return the cheapest options of a rack; they are remembered until the rack changes."""
        known = self._remembered.get(rack.name)
        if known is None or known.rack is not rack or known.version != rack.version:
            known = _Remembered(rack, rack.version)
            self._remembered[rack.name] = known
        team = job.team if job.team in rack.owners else ""
        question = _Question(job.shape, job.stoppable, job.checkpoint, team)
        options = known.options.get(question)
        if options is not None:
            return options
        signature = tuple(_key(worker, team) for worker in rack.workers.values())
        kind = weighing.GangKind(
            job.shape.tasks, job.shape.accelerators_per_task, job.stoppable, job.checkpoint
        )
        orders = weighing.cheapest(signature, kind, self._shapes)
        options = [_Option(order, rack) for order in orders]
        if len(known.options) == MAX_REMEMBERED:
            known.options.clear()
        known.options[question] = options
        return options

    def _delay_s(self, option: _Option, own_s: float, view: fleet.FleetView) -> float:
        """Return by how long the workers of an option become empty later, summed."""
        delay_s = 0.0
        for worker in option.workers():
            until_s = self._expected.worker_remaining_s(worker, view)
            delay_s += max(0.0, own_s - until_s)
        return delay_s

    def _over_racks(self, job: work.Job, view: fleet.FleetView) -> seating.Seats | None:
        rooms: dict[str, list[inventory.RackView]] = {}
        slots: dict[str, int] = {}
        for rack in view.racks():
            fitting = seating.slots_in(rack, job)
            if not fitting:
                continue
            rooms.setdefault(rack.data_centre, []).append(rack)
            slots[rack.data_centre] = slots.get(rack.data_centre, 0) + fitting
        if sum(slots.values()) < job.shape.tasks:
            return None
        whole = [(count, place) for place, count in slots.items() if count >= job.shape.tasks]
        places = [min(whole)[1]] if whole else sorted(slots, key=lambda place: -slots[place])
        order: list[inventory.WorkerView] = []
        for place in places:
            for rack in sorted(rooms[place], key=lambda one: (-one.free, one.name)):
                order.extend(sorted(rack.workers.values(), key=_tight_first))
        return seating.fill(order, job)


def seats_in_room(room: entitlements.Room, shape: work.Shape) -> seating.Seats:
    """Return seats for a shape in what is left of an instance.

    :param room: a room in which the shape fits.
    :param shape: the shape.
    :return: one range a task.
    """
    seats: list[workers.AcceleratorRange] = []
    size = shape.accelerators_per_task
    for item in room.tasks:
        for start in range(0, len(item.accelerators) - size + 1, size):
            if len(seats) == shape.tasks:
                return tuple(seats)
            chosen = item.accelerators[start : start + size]
            seats.append(workers.AcceleratorRange(item.worker, chosen))
    return tuple(seats)


def _is_free(room: entitlements.Room, view: fleet.FleetView) -> bool:
    for item in room.home.tasks:
        worker = view.worker(item.worker)
        if worker is None or worker.is_avoided or view.is_hidden(worker):
            return False
        if not set(item.accelerators).issubset(worker.free):
            return False
    return True


def _key(worker: inventory.WorkerView, team: str) -> weighing.WorkerKey:
    return weighing.WorkerKey(
        free=len(worker.free),
        common=len(worker.common),
        own=len(worker.own(team)) if team else 0,
        movable=worker.movable,
        is_anchored=worker.is_anchored,
        is_avoided=worker.is_avoided,
    )


def _tight_first(worker: inventory.WorkerView) -> tuple[bool, bool, int, str]:
    return (worker.is_avoided, not worker.is_anchored, len(worker.free), worker.name)
