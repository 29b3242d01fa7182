"""Reclaims: which gangs make room when a team claims a guaranteed shape."""

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
    :param lost_work_s: accelerator-seconds of work that are lost.
    :param steps: what is asked of it, in order; it has stopped after the last.
    """

    gang: entitlements.GangName
    team: str
    lead_worker: str
    workers: tuple[str, ...]
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


def plan(job: work.Job, view: fleet.FleetView) -> ReclaimPlan | None:
    """Choose the instance of the team's guarantee that is cheapest to free for a job.

    Only accelerators of the team's own homes are ever chosen, so claims of two teams never meet.
    An instance with a worker that is gone, draining or ejected is left out.

    :param job: a job that waits.
    :param view: the fleet.
    :return: the plan, or ``None`` if the job is beyond the guarantee or its workers don't stand.
    """
    best: ReclaimPlan | None = None
    for room in view.entitlement(job.team).rooms:
        if not room.fits(job.shape):
            continue
        found = _in_room(job, room, view)
        if found is None:
            continue
        if best is None or _cost(found) < _cost(best):
            best = found
    return best


def victim_of(gang: entitlements.RunningGang, now_s: float) -> Victim:
    """Return what it takes to stop a gang.

    :param gang: the gang.
    :param now_s: reading of the clock of the view.
    """
    lost_s = max(0.0, now_s - gang.started_s)
    if gang.checkpoint:
        lost_s = min(lost_s, CHECKPOINT_COST_S)
    return Victim(
        gang=gang.name,
        team=gang.team,
        lead_worker=gang.lead_worker,
        workers=tuple(item.worker for item in gang.ranges),
        lost_work_s=lost_s * gang.accelerators,
        steps=SAVE_AND_STOP if gang.checkpoint else STOP_ONLY,
    )


def _in_room(job: work.Job, room: entitlements.Room, view: fleet.FleetView) -> ReclaimPlan | None:
    """Free as many seats as the job needs in one instance, the cheapest first."""
    victims: dict[str, Victim] = {}
    seats: list[workers.AcceleratorRange] = []
    options = _seats(job.shape, room, view)
    while len(seats) < job.shape.tasks:
        if not options:
            return None
        cheapest = min(options, key=lambda one: one.cost(victims))
        options.remove(cheapest)
        seats.append(cheapest.seat)
        for victim in cheapest.victims:
            victims[victim.gang.job_id] = victim
    placement = workers.Placement(tuple(seats), room.home.guarantee, room.home.instance)
    order = sorted(victims.values(), key=lambda one: (one.lost_work_s, one.gang))
    return ReclaimPlan(placement, tuple(order))


@attrs.frozen
class _Seat:
    """Accelerators for one task and the gangs that hold some of them."""

    seat: workers.AcceleratorRange
    victims: tuple[Victim, ...]

    def cost(self, already: dict[str, Victim]) -> tuple[float, int, str, tuple[int, ...]]:
        further = [victim for victim in self.victims if victim.gang.job_id not in already]
        lost_s = sum(victim.lost_work_s for victim in further)
        return (lost_s, len(further), self.seat.worker, self.seat.accelerators)


def _seats(shape: work.Shape, room: entitlements.Room, view: fleet.FleetView) -> list[_Seat]:
    found: list[_Seat] = []
    size = shape.accelerators_per_task
    for item in room.tasks:
        worker = view.worker(item.worker)
        if worker is None or not worker.is_open:
            continue
        gangs = view.holders(worker)
        numbers = [number for number in item.accelerators if _may_take(gangs.get(number))]
        leaving = {
            number: victim_of(gangs[number], view.now_s) for number in numbers if number in gangs
        }
        numbers.sort(key=lambda number: _order(number, leaving.get(number)))
        for start in range(0, len(numbers) - size + 1, size):
            chosen = tuple(sorted(numbers[start : start + size]))
            seat = workers.AcceleratorRange(item.worker, chosen)
            found.append(_Seat(seat, _distinct(leaving, chosen)))
    return found


def _may_take(gang: entitlements.RunningGang | None) -> bool:
    return gang is None or gang.stoppable


def _order(number: int, victim: Victim | None) -> tuple[float, str, int]:
    if victim is None:
        return (-1.0, "", number)
    return (victim.lost_work_s, victim.gang.job_id, number)


def _distinct(leaving: dict[int, Victim], chosen: tuple[int, ...]) -> tuple[Victim, ...]:
    found = {leaving[number].gang: leaving[number] for number in chosen if number in leaving}
    return tuple(found[name] for name in sorted(found))


def _cost(found: ReclaimPlan) -> tuple[float, int, str, int]:
    place = found.placement
    return (found.lost_work_s, len(found.victims), place.guarantee, place.instance)
