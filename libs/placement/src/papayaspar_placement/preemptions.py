"""Preemption of gangs when a team requests capacity within its guarantee."""

import abc
import enum

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import entitlements, fleet

CHECKPOINT_COST_S = 2.0  # work lost by a gang that saves a checkpoint
CHECKPOINT_TIMEOUT_S = 3.0
THROTTLE_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 1.0


class Action(enum.Enum):
    """Request to a gang that is preempted, the least disruptive first."""

    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


@attrs.frozen
class Step:
    """One step of stopping a gang.

    :param action: the request sent to the gang.
    :param timeout_s: seconds until the next step.
    """

    action: Action
    timeout_s: float


CHECKPOINT_AND_STOP = (
    Step(Action.CHECKPOINT, CHECKPOINT_TIMEOUT_S),
    Step(Action.THROTTLE, THROTTLE_TIMEOUT_S),
    Step(Action.STOP, STOP_TIMEOUT_S),
)
STOP_ONLY = (Step(Action.THROTTLE, THROTTLE_TIMEOUT_S), Step(Action.STOP, STOP_TIMEOUT_S))


@attrs.frozen
class Victim:
    """A gang that is preempted as a whole.

    :param gang: job and attempt.
    :param team: the team it belongs to.
    :param lead_worker: worker whose agent leads the gang.
    :param workers: workers it runs on.
    :param elapsed_s: seconds since it started.
    :param lost_work_s: accelerator-seconds of work that are lost.
    :param steps: steps that stop it, in order; it has stopped after the last.
    """

    gang: entitlements.GangName
    team: str
    lead_worker: str
    workers: tuple[str, ...]
    elapsed_s: float
    lost_work_s: float
    steps: tuple[Step, ...]

    @property
    def timeout_s(self) -> float:
        """Seconds after which the gang has stopped."""
        return sum(step.timeout_s for step in self.steps)


@attrs.frozen
class PreemptionPlan:
    """A placement for a gang and the gangs that have to be stopped first.

    :param placement: the placement.
    :param victims: gangs to stop, the least lost work first; empty if the placement is free.
    """

    placement: workers.Placement
    victims: tuple[Victim, ...] = ()

    @property
    def lost_work_s(self) -> float:
        """Accelerator-seconds of work that are lost."""
        return sum(victim.lost_work_s for victim in self.victims)

    @property
    def timeout_s(self) -> float:
        """Seconds after which the placement is free."""
        return max((victim.timeout_s for victim in self.victims), default=0.0)


@attrs.frozen
class _TaskOption:
    """A possible assignment of one task and the gangs that hold its accelerators."""

    task_range: workers.AcceleratorRange
    victims: tuple[Victim, ...]


class PreemptionPolicy(abc.ABC):
    """Chooses which instance of a guarantee is freed for a job within the guarantee."""

    name: str

    @abc.abstractmethod
    def cost(self, victims: tuple[Victim, ...]) -> float:
        """Return the cost of stopping some gangs; the set with the lowest cost is stopped.

        :param victims: the gangs.
        """

    def plan(self, job: work.Job, view: fleet.FleetView) -> PreemptionPlan | None:
        """Choose the instance of the team's guarantee that is cheapest to free for a job.

        Only accelerators of the team's own homes are chosen, so that plans for two teams never
        conflict. Workers that are lost, draining or ejected are excluded.

        :param job: a waiting job.
        :param view: the view of the fleet.
        :return: the plan, or ``None`` if the job is beyond the guarantee or too few workers of
            its homes are available.
        """
        best: PreemptionPlan | None = None
        for unused in view.entitlement(job.team).unused_instances:
            if not unused.fits(job.shape):
                continue
            candidate = self._plan_in_instance(job, unused, view)
            if candidate is None:
                continue
            if best is None or self._rank(candidate) < self._rank(best):
                best = candidate
        return best

    def _rank(self, candidate: PreemptionPlan) -> tuple[float, int, str, int]:
        placement = candidate.placement
        return (
            self.cost(candidate.victims),
            len(candidate.victims),
            placement.guarantee,
            placement.instance,
        )

    def _plan_in_instance(
        self, job: work.Job, unused: entitlements.UnusedInstance, view: fleet.FleetView
    ) -> PreemptionPlan | None:
        """Plan to free accelerators for each task of a job in one instance, the cheapest first."""
        victims: dict[str, Victim] = {}
        chosen: list[workers.AcceleratorRange] = []
        options = self._task_options(job.shape, unused, view)
        while len(chosen) < job.shape.tasks:
            if not options:
                return None
            cheapest = min(options, key=lambda option: self._option_rank(option, victims))
            options.remove(cheapest)
            chosen.append(cheapest.task_range)
            for victim in cheapest.victims:
                victims[victim.gang.job_id] = victim
        placement = workers.Placement(tuple(chosen), unused.home.guarantee, unused.home.instance)
        order = sorted(victims.values(), key=lambda victim: (victim.lost_work_s, victim.gang))
        return PreemptionPlan(placement, tuple(order))

    def _option_rank(
        self, option: _TaskOption, chosen_victims: dict[str, Victim]
    ) -> tuple[float, int, str, tuple[int, ...]]:
        additional = tuple(
            victim for victim in option.victims if victim.gang.job_id not in chosen_victims
        )
        return (
            self.cost(additional),
            len(additional),
            option.task_range.worker,
            option.task_range.accelerators,
        )

    def _task_options(
        self, shape: work.Shape, unused: entitlements.UnusedInstance, view: fleet.FleetView
    ) -> list[_TaskOption]:
        options: list[_TaskOption] = []
        size = shape.accelerators_per_task
        for unused_range in unused.tasks:
            worker = view.worker(unused_range.worker)
            if worker is None or not worker.accepts_work:
                continue
            holders = view.holders(worker)
            numbers = [
                number
                for number in unused_range.accelerators
                if all(gang.stoppable for gang in holders.get(number, ()))
            ]
            victims_by_number = {
                number: tuple(build_victim(gang, view.now_s) for gang in holders.get(number, ()))
                for number in numbers
            }
            numbers.sort(
                key=lambda number: self._accelerator_rank(number, victims_by_number[number])
            )
            for start in range(0, len(numbers) - size + 1, size):
                chosen = tuple(sorted(numbers[start : start + size]))
                task_range = workers.AcceleratorRange(unused_range.worker, chosen)
                options.append(
                    _TaskOption(task_range, _distinct_victims(victims_by_number, chosen))
                )
        return options

    def _accelerator_rank(self, number: int, victims: tuple[Victim, ...]) -> tuple[float, str, int]:
        if not victims:
            return (-1.0, "", number)
        return (self.cost(victims), victims[0].gang.job_id, number)


class LeastLostWork(PreemptionPolicy):
    """Stops the gangs that lose the least work; gangs that checkpoint lose almost none."""

    name = "least_lost_work"

    def cost(self, victims: tuple[Victim, ...]) -> float:
        """Return the lost work in accelerator-seconds."""
        return sum(victim.lost_work_s for victim in victims)


class YoungestFirst(PreemptionPolicy):
    """Stops the gangs that started last."""

    name = "youngest_first"

    def cost(self, victims: tuple[Victim, ...]) -> float:
        """Return the elapsed time of the oldest gang in seconds."""
        return max((victim.elapsed_s for victim in victims), default=0.0)


def build_victim(gang: entitlements.RunningGang, now_s: float) -> Victim:
    """Return a gang as a victim, with its lost work and the steps that stop it.

    :param gang: the gang.
    :param now_s: current time of the view in seconds.
    """
    elapsed_s = max(0.0, now_s - gang.started_s)
    lost_s = min(elapsed_s, CHECKPOINT_COST_S) if gang.checkpoint else elapsed_s
    return Victim(
        gang=gang.name,
        team=gang.team,
        lead_worker=gang.lead_worker,
        workers=tuple(worker_range.worker for worker_range in gang.accelerator_ranges),
        elapsed_s=elapsed_s,
        lost_work_s=lost_s * gang.accelerators,
        steps=CHECKPOINT_AND_STOP if gang.checkpoint else STOP_ONLY,
    )


def _distinct_victims(
    victims_by_number: dict[int, tuple[Victim, ...]], chosen: tuple[int, ...]
) -> tuple[Victim, ...]:
    victims = {victim.gang: victim for number in chosen for victim in victims_by_number[number]}
    return tuple(victims[name] for name in sorted(victims))
