"""Placement policies, which choose free accelerators for a gang."""

import abc
import random

from papayaspar_model import work, workers
from papayaspar_placement import assignments, consolidation, fleet, inventory


class PlacementPolicy(abc.ABC):
    """Chooses free accelerators for a gang.

    Every policy places all tasks of a gang or none. Work that can't be stopped is placed only on
    homes of its own team or on unreserved accelerators.
    """

    name: str

    @abc.abstractmethod
    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose free accelerators.

        :param job: the job.
        :param view: the view of the fleet.
        :return: one range per task, or ``None`` if the gang does not fit now.
        """

    def moves(self, view: fleet.FleetView) -> tuple[consolidation.Move, ...]:
        """Return gangs that should be moved to other workers; by default none.

        :param view: the view of the fleet.
        """
        return ()


class FirstFit(PlacementPolicy):
    """Chooses the first free accelerators in order of racks and workers."""

    name = "first_fit"

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose the first accelerators that fit."""
        if job.shape.adjacency is work.Adjacency.RACK:
            for rack in assignments.fitting_racks(view, job):
                return assignments.build_placement(
                    assignments.assign_in_order(rack.workers.values(), job), job, view
                )
            return None
        ranges = assignments.assign_in_order(assignments.fitting_workers(view, job), job)
        return assignments.build_placement(ranges, job, view)


class BestFit(PlacementPolicy):
    """Chooses the rack and the workers with the fewest free accelerators that suffice."""

    name = "best_fit"

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose the tightest fit."""
        if job.shape.adjacency is work.Adjacency.RACK:
            racks = assignments.fitting_racks(view, job)
            if not racks:
                return None
            rack = min(racks, key=lambda candidate: (candidate.free, candidate.name))
            ranges = assignments.assign_in_order(
                sorted(rack.workers.values(), key=_free_count), job
            )
            return assignments.build_placement(ranges, job, view)
        ranges = assignments.assign_in_order(
            sorted(assignments.fitting_workers(view, job), key=_free_count), job
        )
        return assignments.build_placement(ranges, job, view)


class RandomOfTwo(PlacementPolicy):
    """Chooses the emptier of two random candidates (power of two choices).

    :param rng: random number generator.
    """

    name = "random_of_two"

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose the emptier of two random candidates."""
        if job.shape.adjacency is work.Adjacency.RACK:
            racks = assignments.fitting_racks(view, job)
            if not racks:
                return None
            pair = self._rng.sample(racks, min(2, len(racks)))
            rack = max(pair, key=lambda candidate: candidate.free)
            ranges = assignments.assign_in_order(
                self._order_by_pairs(list(rack.workers.values())), job
            )
            return assignments.build_placement(ranges, job, view)
        ranges = assignments.assign_in_order(
            self._order_by_pairs(assignments.fitting_workers(view, job)), job
        )
        return assignments.build_placement(ranges, job, view)

    def _order_by_pairs(self, candidates: list[inventory.WorkerView]) -> list[inventory.WorkerView]:
        shuffled = self._rng.sample(candidates, len(candidates))
        order: list[inventory.WorkerView] = []
        for start in range(0, len(shuffled), 2):
            order.extend(sorted(shuffled[start : start + 2], key=_free_count, reverse=True))
        return order


def _free_count(worker: inventory.WorkerView) -> tuple[int, str]:
    return (len(worker.free), worker.name)
