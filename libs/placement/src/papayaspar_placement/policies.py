"""Placement policies: which free accelerators a gang gets."""

import abc
import random

from papayaspar_model import work, workers
from papayaspar_placement import consolidation, fleet, inventory, seating


class PlacementPolicy(abc.ABC):
    """A way to choose free accelerators.

    Every policy places gangs whole or not at all, and work that can't be stopped only on homes of
    its own team or on accelerators that are no one's home.
    """

    name: str

    @abc.abstractmethod
    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose free accelerators.

        :param job: the job.
        :param view: the fleet.
        :return: one range a task, or ``None`` if the gang does not fit now.
        """

    def moves(self, view: fleet.FleetView) -> tuple[consolidation.Move, ...]:
        """Return gangs that should go on elsewhere; most policies move none.

        :param view: the fleet.
        """
        return ()


class FirstFit(PlacementPolicy):
    """The first accelerators in order of racks and workers."""

    name = "first_fit"

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose the first that fit."""
        if job.shape.adjacency is work.Adjacency.RACK:
            for rack in seating.roomy_racks(view, job):
                return seating.placement(seating.fill(rack.workers.values(), job), job, view)
            return None
        seats = seating.fill(seating.roomy_workers(view, job), job)
        return seating.placement(seats, job, view)


class BestFit(PlacementPolicy):
    """The rack and the workers with the fewest free accelerators that suffice."""

    name = "best_fit"

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose the tightest fit."""
        if job.shape.adjacency is work.Adjacency.RACK:
            racks = seating.roomy_racks(view, job)
            if not racks:
                return None
            rack = min(racks, key=lambda one: (one.free, one.name))
            seats = seating.fill(sorted(rack.workers.values(), key=_free), job)
            return seating.placement(seats, job, view)
        seats = seating.fill(sorted(seating.roomy_workers(view, job), key=_free), job)
        return seating.placement(seats, job, view)


class RandomOfTwo(PlacementPolicy):
    """The emptier of two random candidates.

    :param rng: source of randomness.
    """

    name = "random_of_two"

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose at random."""
        if job.shape.adjacency is work.Adjacency.RACK:
            racks = seating.roomy_racks(view, job)
            if not racks:
                return None
            pair = self._rng.sample(racks, min(2, len(racks)))
            rack = max(pair, key=lambda one: one.free)
            seats = seating.fill(self._paired(list(rack.workers.values())), job)
            return seating.placement(seats, job, view)
        seats = seating.fill(self._paired(seating.roomy_workers(view, job)), job)
        return seating.placement(seats, job, view)

    def _paired(self, candidates: list[inventory.WorkerView]) -> list[inventory.WorkerView]:
        shuffled = self._rng.sample(candidates, len(candidates))
        order: list[inventory.WorkerView] = []
        for start in range(0, len(shuffled), 2):
            order.extend(sorted(shuffled[start : start + 2], key=_free, reverse=True))
        return order


def _free(worker: inventory.WorkerView) -> tuple[int, str]:
    return (len(worker.free), worker.name)
