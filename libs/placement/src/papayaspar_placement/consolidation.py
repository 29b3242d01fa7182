"""Consolidation: moves of small gangs that empty a worker for the largest guaranteed shapes."""

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import (
    assignments,
    completions,
    entitlements,
    fleet,
    inventory,
    preemptions,
)

PROPOSAL_INTERVAL_S = 5.0
MIN_MOVE_INTERVAL_S = 120.0  # minimum run time before a resumed gang is moved again
MIN_REMAINING_S = 30.0  # minimum remaining run time of a gang that is moved
MAX_LOSS_RATIO = 0.1  # lost work divided by remaining run time
MIN_GAIN_S = 300.0  # how much sooner a worker has to become empty
MAX_CANDIDATES = 24


@attrs.frozen
class Move:
    """A move of a gang: it saves a checkpoint, stops and resumes on other workers.

    :param job: its job.
    :param plan: the new placement; its only victim is the gang itself at its current placement.
    """

    job: work.Job
    plan: preemptions.PreemptionPlan


class Consolidator:
    """Periodically proposes moves that empty the worker with the least work on it.

    Only gangs that this process started are moved, and not again within a minimum interval. The
    lost work has to be small compared to the remaining run time. The destinations are workers
    that are already partly used.

    :param estimator: estimates how long running gangs take, and holds their jobs.
    """

    def __init__(self, estimator: completions.CompletionEstimator) -> None:
        self._estimator = estimator
        self._next_s = 0.0

    def propose(self, view: fleet.FleetView) -> tuple[Move, ...]:
        """Return moves that empty one worker or let it become empty sooner, or none.

        :param view: the view of the fleet.
        """
        if view.now_s < self._next_s:
            return ()
        self._next_s = view.now_s + PROPOSAL_INTERVAL_S
        partly_used = self._partly_used(view)
        candidates = [worker for worker in partly_used if self._are_gangs_movable(worker, view)]
        candidates.sort(key=lambda worker: (-len(worker.free), worker.name))
        for worker in candidates[:MAX_CANDIDATES]:
            moves = self._plan_emptying(worker, partly_used, view)
            if moves:
                return moves
        for worker in candidates[:MAX_CANDIDATES]:
            moves = self._move_last_gang(worker, partly_used, view)
            if moves:
                return moves
        return ()

    def _move_last_gang(
        self,
        worker: inventory.WorkerView,
        partly_used: list[inventory.WorkerView],
        view: fleet.FleetView,
    ) -> tuple[Move, ...]:
        """Move the gang that completes last, if the worker then becomes empty much sooner."""
        gangs = [gang for gang in map(view.gang, worker.jobs) if gang is not None]
        if len(gangs) < 2:
            return ()
        remaining_s_by_gang = {
            gang.name: self._estimator.remaining_s(gang, view.now_s) for gang in gangs
        }
        gangs.sort(key=lambda gang: (-remaining_s_by_gang[gang.name], gang.name))
        last = gangs[0]
        job = self._estimator.job(last.name.job_id)
        if (
            job is None
            or remaining_s_by_gang[last.name] - remaining_s_by_gang[gangs[1].name] < MIN_GAIN_S
        ):
            return ()
        destinations = [
            other
            for other in partly_used
            if other is not worker
            and self._runs_at_least(other, remaining_s_by_gang[last.name], view)
        ]
        ranges = _assign_gang(job, destinations, {})
        return () if ranges is None else (_make_move(job, last, ranges, view),)

    def _runs_at_least(
        self, worker: inventory.WorkerView, duration_s: float, view: fleet.FleetView
    ) -> bool:
        return self._estimator.worker_remaining_s(worker, view) >= duration_s

    def _partly_used(self, view: fleet.FleetView) -> list[inventory.WorkerView]:
        partly_used: list[inventory.WorkerView] = []
        for rack in view.racks():
            for worker in rack.workers.values():
                if worker.jobs and worker.free and not worker.is_avoided:
                    partly_used.append(worker)
        return partly_used

    def _are_gangs_movable(self, worker: inventory.WorkerView, view: fleet.FleetView) -> bool:
        for job_id in worker.jobs:
            gang = view.gang(job_id)
            if gang is None or view.is_assumed(job_id) or self._estimator.job(job_id) is None:
                return False
            if not gang.stoppable or self._was_moved_recently(gang, view.now_s):
                return False
            lost_s = preemptions.build_victim(gang, view.now_s).lost_work_s / gang.accelerators
            remaining_s = self._estimator.remaining_s(gang, view.now_s)
            if remaining_s < MIN_REMAINING_S or lost_s > MAX_LOSS_RATIO * remaining_s:
                return False
        return True

    def _was_moved_recently(self, gang: entitlements.RunningGang, now_s: float) -> bool:
        """Return whether a gang resumed too recently to be moved again."""
        return gang.name.attempt > 1 and now_s - gang.started_s < MIN_MOVE_INTERVAL_S

    def _plan_emptying(
        self,
        worker: inventory.WorkerView,
        partly_used: list[inventory.WorkerView],
        view: fleet.FleetView,
    ) -> tuple[Move, ...]:
        """Plan moves of all gangs of a worker to other workers; empty if any gang does not fit."""
        gangs = [gang for gang in map(view.gang, worker.jobs) if gang is not None]
        assigned: dict[str, set[int]] = {}
        moves: list[Move] = []
        destinations = [other for other in partly_used if other is not worker]
        for gang in sorted(gangs, key=lambda gang: (-gang.accelerators, gang.name)):
            job = self._estimator.job(gang.name.job_id)
            ranges = None if job is None else _assign_gang(job, destinations, assigned)
            if job is None or ranges is None:
                return ()
            for task_range in ranges:
                assigned.setdefault(task_range.worker, set()).update(task_range.accelerators)
            moves.append(_make_move(job, gang, ranges, view))
        return tuple(moves)


def _assign_gang(
    job: work.Job, destinations: list[inventory.WorkerView], assigned: dict[str, set[int]]
) -> assignments.TaskRanges | None:
    """Assign a whole gang to the fullest workers on which it fits, or return ``None``."""
    by_rack: dict[str, list[inventory.WorkerView]] = {}
    for destination in destinations:
        if len(destination.free) < job.shape.accelerators_per_task:
            continue
        is_adjacent = job.shape.adjacency is work.Adjacency.RACK
        rack = destination.report.identity.rack if is_adjacent else ""
        by_rack.setdefault(rack, []).append(destination)
    for rack in sorted(by_rack):
        ranges: list[workers.AcceleratorRange] = []
        for destination in sorted(
            by_rack[rack], key=lambda worker: _fullest_first(worker, assigned)
        ):
            ranges.extend(
                _assign_on_worker(destination, job, assigned)[: job.shape.tasks - len(ranges)]
            )
            if len(ranges) == job.shape.tasks:
                return tuple(ranges)
    return None


def _assign_on_worker(
    destination: inventory.WorkerView, job: work.Job, assigned: dict[str, set[int]]
) -> list[workers.AcceleratorRange]:
    size = job.shape.accelerators_per_task
    assigned_numbers = assigned.get(destination.name, set())
    free_numbers = [
        number
        for number in destination.usable(job.team, job.stoppable)
        if number not in assigned_numbers
    ]
    return [
        workers.AcceleratorRange(
            destination.name, tuple(sorted(free_numbers[start : start + size]))
        )
        for start in range(0, len(free_numbers) - size + 1, size)
    ]


def _fullest_first(
    destination: inventory.WorkerView, assigned: dict[str, set[int]]
) -> tuple[bool, int, str]:
    free_count = len(destination.free) - len(assigned.get(destination.name, ()))
    return (not destination.is_pinned, free_count, destination.name)


def _make_move(
    job: work.Job,
    gang: entitlements.RunningGang,
    ranges: assignments.TaskRanges,
    view: fleet.FleetView,
) -> Move:
    victim = preemptions.build_victim(gang, view.now_s)
    return Move(job, preemptions.PreemptionPlan(workers.Placement(ranges), (victim,)))
