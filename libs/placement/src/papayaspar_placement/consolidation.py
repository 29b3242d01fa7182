"""Moves of small gangs that empty a worker for the largest guaranteed shapes."""

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import ends, entitlements, fleet, inventory, reclaims, seating

MOVE_EVERY_S = 5.0
REST_BETWEEN_MOVES_S = 120.0
SHORTEST_REMAINING_S = 30.0
LARGEST_LOSS_RATIO = 0.1
SHORTEST_GAIN_S = 300.0
MAX_CANDIDATES = 24


@attrs.frozen
class Move:
    """A gang that goes on elsewhere after a checkpoint.

    :param job: its job.
    :param plan: where it goes on; its only victim is the gang itself, where it runs now.
    """

    job: work.Job
    plan: reclaims.ReclaimPlan


class Consolidator:
    """Chooses the worker that is emptied with the least work, now and then.

    Only gangs that this process started are moved, each at most once in a while, if what they
    lose is little beside what they still have to do, and only into accelerators that are left
    over on workers already in use.

    :param expected: expected ends of running gangs, and their jobs.
    """

    def __init__(self, expected: ends.EndEstimator) -> None:
        self._expected = expected
        self._next_s = 0.0

    def propose(self, view: fleet.FleetView) -> tuple[Move, ...]:
        """Return moves that together empty one worker, or none.

        :param view: the fleet.
        """
        if view.now_s < self._next_s:
            return ()
        self._next_s = view.now_s + MOVE_EVERY_S
        partly = self._partly_used(view)
        candidates = [worker for worker in partly if self._is_movable(worker, view)]
        candidates.sort(key=lambda one: (-len(one.free), one.name))
        for worker in candidates[:MAX_CANDIDATES]:
            moves = self._empty(worker, partly, view)
            if moves:
                return moves
        for worker in candidates[:MAX_CANDIDATES]:
            moves = self._shorten(worker, partly, view)
            if moves:
                return moves
        return ()

    def _shorten(
        self,
        worker: inventory.WorkerView,
        partly: list[inventory.WorkerView],
        view: fleet.FleetView,
    ) -> tuple[Move, ...]:
        """Move the gang that ends last, if the worker is then empty much sooner."""
        gangs = [gang for gang in map(view.gang, worker.jobs) if gang is not None]
        if len(gangs) < 2:
            return ()
        ends_s = {gang.name: self._expected.remaining_s(gang, view.now_s) for gang in gangs}
        gangs.sort(key=lambda one: (-ends_s[one.name], one.name))
        last = gangs[0]
        job = self._expected.job(last.name.job_id)
        if job is None or ends_s[last.name] - ends_s[gangs[1].name] < SHORTEST_GAIN_S:
            return ()
        targets = [
            one
            for one in partly
            if one is not worker and self._outlasts(one, ends_s[last.name], view)
        ]
        seats = _seats(job, targets, {})
        return () if seats is None else (_move(job, last, seats, view),)

    def _outlasts(self, worker: inventory.WorkerView, end_s: float, view: fleet.FleetView) -> bool:
        return self._expected.worker_remaining_s(worker, view) >= end_s

    def _partly_used(self, view: fleet.FleetView) -> list[inventory.WorkerView]:
        found: list[inventory.WorkerView] = []
        for rack in view.racks():
            for worker in rack.workers.values():
                if worker.jobs and worker.free and not worker.is_avoided:
                    found.append(worker)
        return found

    def _is_movable(self, worker: inventory.WorkerView, view: fleet.FleetView) -> bool:
        for job_id in worker.jobs:
            gang = view.gang(job_id)
            if gang is None or view.is_assumed(job_id) or self._expected.job(job_id) is None:
                return False
            if not gang.stoppable or self._rests(gang, view.now_s):
                return False
            lost_s = reclaims.victim_of(gang, view.now_s).lost_work_s / gang.accelerators
            remaining_s = self._expected.remaining_s(gang, view.now_s)
            if remaining_s < SHORTEST_REMAINING_S or lost_s > LARGEST_LOSS_RATIO * remaining_s:
                return False
        return True

    def _rests(self, gang: entitlements.RunningGang, now_s: float) -> bool:
        """Return whether a gang that was stopped before has run too short since."""
        return gang.name.attempt > 1 and now_s - gang.started_s < REST_BETWEEN_MOVES_S

    def _empty(
        self,
        worker: inventory.WorkerView,
        partly: list[inventory.WorkerView],
        view: fleet.FleetView,
    ) -> tuple[Move, ...]:
        """Find room for every gang of a worker on others; all or nothing."""
        gangs = [gang for gang in map(view.gang, worker.jobs) if gang is not None]
        taken: dict[str, set[int]] = {}
        moves: list[Move] = []
        targets = [one for one in partly if one is not worker]
        for gang in sorted(gangs, key=lambda one: (-one.accelerators, one.name)):
            job = self._expected.job(gang.name.job_id)
            seats = None if job is None else _seats(job, targets, taken)
            if job is None or seats is None:
                return ()
            for seat in seats:
                taken.setdefault(seat.worker, set()).update(seat.accelerators)
            moves.append(_move(job, gang, seats, view))
        return tuple(moves)


def _seats(
    job: work.Job, targets: list[inventory.WorkerView], taken: dict[str, set[int]]
) -> seating.Seats | None:
    """Return seats for a whole gang on the fullest workers that have room, or ``None``."""
    by_place: dict[str, list[inventory.WorkerView]] = {}
    for target in targets:
        if len(target.free) < job.shape.accelerators_per_task:
            continue
        is_adjacent = job.shape.adjacency is work.Adjacency.RACK
        place = target.report.identity.rack if is_adjacent else ""
        by_place.setdefault(place, []).append(target)
    for place in sorted(by_place):
        seats: list[workers.AcceleratorRange] = []
        for target in sorted(by_place[place], key=lambda one: _fullest_first(one, taken)):
            seats.extend(_seats_on(target, job, taken)[: job.shape.tasks - len(seats)])
            if len(seats) == job.shape.tasks:
                return tuple(seats)
    return None


def _seats_on(
    target: inventory.WorkerView, job: work.Job, taken: dict[str, set[int]]
) -> list[workers.AcceleratorRange]:
    size = job.shape.accelerators_per_task
    gone = taken.get(target.name, set())
    left = [one for one in target.usable(job.team, job.stoppable) if one not in gone]
    return [
        workers.AcceleratorRange(target.name, tuple(sorted(left[start : start + size])))
        for start in range(0, len(left) - size + 1, size)
    ]


def _fullest_first(
    target: inventory.WorkerView, taken: dict[str, set[int]]
) -> tuple[bool, int, str]:
    left = len(target.free) - len(taken.get(target.name, ()))
    return (not target.is_anchored, left, target.name)


def _move(
    job: work.Job,
    gang: entitlements.RunningGang,
    seats: seating.Seats,
    view: fleet.FleetView,
) -> Move:
    leaving = reclaims.victim_of(gang, view.now_s)
    return Move(job, reclaims.ReclaimPlan(workers.Placement(seats), (leaving,)))
