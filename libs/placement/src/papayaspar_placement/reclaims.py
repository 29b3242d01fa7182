"""Reclaims: which gangs make room when a team claims a guaranteed shape."""

import abc
import enum

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import entitlements, fleet

CHECKPOINT_COST_S = 2.0
CHECKPOINT_WITHIN_S = 3.0
THROTTLE_WITHIN_S = 1.0
STOP_WITHIN_S = 1.0


class Action(enum.Enum):
    """What is asked of a gang that has to leave, from the gentlest on."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@attrs.frozen
class Step:
    """One step towards the end of a gang.

    :param action: what is asked.
    :param within_s: seconds until the next step.
    """

    action: Action
    within_s: float


SAVE_AND_STOP = (
    Step(Action.CHECKPOINT, CHECKPOINT_WITHIN_S),
    Step(Action.THROTTLE, THROTTLE_WITHIN_S),
    Step(Action.STOP, STOP_WITHIN_S),
)
STOP_ONLY = (Step(Action.THROTTLE, THROTTLE_WITHIN_S), Step(Action.STOP, STOP_WITHIN_S))


@attrs.frozen
class Victim:
    """A whole gang that has to leave.

    :param gang: job and attempt.
    :param team: whose work it is.
    :param lead_worker: worker whose agent leads the gang.
    :param workers: workers it stands on.
    :param elapsed_s: seconds it has run.
    :param lost_work_s: accelerator-seconds of work that are lost.
    :param steps: what is asked of it, in order; it has stopped after the last.
    """

    gang: entitlements.GangName
    team: str
    lead_worker: str
    workers: tuple[str, ...]
    elapsed_s: float
    lost_work_s: float
    steps: tuple[Step, ...]

    @property
    def within_s(self) -> float:
        """Seconds after which the gang has stopped."""
        return sum(step.within_s for step in self.steps)


@attrs.frozen
class ReclaimPlan:
    """A place for a gang and what has to leave it first.

    :param placement: the place.
    :param victims: gangs that have to leave, the cheapest first; empty if the place is free.
    """

    placement: workers.Placement
    victims: tuple[Victim, ...] = ()

    @property
    def lost_work_s(self) -> float:
        """Accelerator-seconds of work that are lost."""
        return sum(victim.lost_work_s for victim in self.victims)

    @property
    def within_s(self) -> float:
        """Seconds after which the place is free."""
        return max((victim.within_s for victim in self.victims), default=0.0)


@attrs.frozen
class _Seat:
    """Accelerators for one task and the gangs that hold some of them."""

    seat: workers.AcceleratorRange
    victims: tuple[Victim, ...]


class ReclaimPolicy(abc.ABC):
    """A way to choose which instance of a guarantee is freed for a claim."""

    name: str

    @abc.abstractmethod
    def cost(self, victims: tuple[Victim, ...]) -> float:
        """Return what it costs to stop some gangs; the least costly are stopped.

        :param victims: the gangs.
        """

    def plan(self, job: work.Job, view: fleet.FleetView) -> ReclaimPlan | None:
        """Choose the instance of the team's guarantee that is cheapest to free for a job.

        Only accelerators of the team's own homes are ever chosen, so claims of two teams never
        meet. An instance with a worker that is gone, draining or ejected is left out.

        :param job: a job that waits.
        :param view: the fleet.
        :return: the plan, or ``None`` if the job is beyond the guarantee or its workers don't
            stand.
        """
        best: ReclaimPlan | None = None
        for room in view.entitlement(job.team).rooms:
            if not room.fits(job.shape):
                continue
            found = self._in_room(job, room, view)
            if found is None:
                continue
            if best is None or self._rank(found) < self._rank(best):
                best = found
        return best

    def _rank(self, found: ReclaimPlan) -> tuple[float, int, str, int]:
        place = found.placement
        return (self.cost(found.victims), len(found.victims), place.guarantee, place.instance)

    def _in_room(
        self, job: work.Job, room: entitlements.Room, view: fleet.FleetView
    ) -> ReclaimPlan | None:
        """Free as many seats as the job needs in one instance, the cheapest first."""
        victims: dict[str, Victim] = {}
        chosen: list[workers.AcceleratorRange] = []
        seats = self._seats(job.shape, room, view)
        while len(chosen) < job.shape.tasks:
            if not seats:
                return None
            cheapest = min(seats, key=lambda seat: self._seat_rank(seat, victims))
            seats.remove(cheapest)
            chosen.append(cheapest.seat)
            for victim in cheapest.victims:
                victims[victim.gang.job_id] = victim
        placement = workers.Placement(tuple(chosen), room.home.guarantee, room.home.instance)
        order = sorted(victims.values(), key=lambda one: (one.lost_work_s, one.gang))
        return ReclaimPlan(placement, tuple(order))

    def _seat_rank(
        self, seat: _Seat, already: dict[str, Victim]
    ) -> tuple[float, int, str, tuple[int, ...]]:
        further = tuple(one for one in seat.victims if one.gang.job_id not in already)
        return (self.cost(further), len(further), seat.seat.worker, seat.seat.accelerators)

    def _seats(
        self, shape: work.Shape, room: entitlements.Room, view: fleet.FleetView
    ) -> list[_Seat]:
        found: list[_Seat] = []
        size = shape.accelerators_per_task
        for item in room.tasks:
            worker = view.worker(item.worker)
            if worker is None or not worker.is_open:
                continue
            holders = view.holders(worker)
            numbers = [
                number
                for number in item.accelerators
                if all(gang.stoppable for gang in holders.get(number, ()))
            ]
            leaving = {
                number: tuple(victim_of(gang, view.now_s) for gang in holders.get(number, ()))
                for number in numbers
            }
            numbers.sort(key=lambda number: self._order(number, leaving[number]))
            for start in range(0, len(numbers) - size + 1, size):
                chosen = tuple(sorted(numbers[start : start + size]))
                seat = workers.AcceleratorRange(item.worker, chosen)
                found.append(_Seat(seat, _distinct(leaving, chosen)))
        return found

    def _order(self, number: int, leaving: tuple[Victim, ...]) -> tuple[float, str, int]:
        if not leaving:
            return (-1.0, "", number)
        return (self.cost(leaving), leaving[0].gang.job_id, number)


class LeastLostWork(ReclaimPolicy):
    """Stop the gangs that lose the least work; those that checkpoint lose next to none."""

    name = "least_lost_work"

    def cost(self, victims: tuple[Victim, ...]) -> float:
        """Return the accelerator-seconds lost."""
        return sum(victim.lost_work_s for victim in victims)


class YoungestFirst(ReclaimPolicy):
    """Stop the gangs that started last."""

    name = "youngest_first"

    def cost(self, victims: tuple[Victim, ...]) -> float:
        """Return the age of the oldest of them in seconds."""
        return max((victim.elapsed_s for victim in victims), default=0.0)


def victim_of(gang: entitlements.RunningGang, now_s: float) -> Victim:
    """Return what it takes to stop a gang.

    :param gang: the gang.
    :param now_s: reading of the clock of the view.
    """
    elapsed_s = max(0.0, now_s - gang.started_s)
    lost_s = min(elapsed_s, CHECKPOINT_COST_S) if gang.checkpoint else elapsed_s
    return Victim(
        gang=gang.name,
        team=gang.team,
        lead_worker=gang.lead_worker,
        workers=tuple(item.worker for item in gang.ranges),
        elapsed_s=elapsed_s,
        lost_work_s=lost_s * gang.accelerators,
        steps=SAVE_AND_STOP if gang.checkpoint else STOP_ONLY,
    )


def _distinct(
    leaving: dict[int, tuple[Victim, ...]], chosen: tuple[int, ...]
) -> tuple[Victim, ...]:
    found = {victim.gang: victim for number in chosen for victim in leaving[number]}
    return tuple(found[name] for name in sorted(found))
