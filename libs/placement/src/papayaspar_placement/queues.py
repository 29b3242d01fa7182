"""The jobs that wait: in which order they start, and what starts around a held gang."""

import heapq
import itertools

import attrs

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import ends, feasibility, fleet, holds, policies, reclaims

LARGE_ACCELERATORS = 8
PROMOTE_AFTER_S = 1800.0
BACKFILL_QUANTILE = 0.9
BACKFILL_TRIES = 8
HOLD_REVIEW_S = 60.0
URGENCY_RANKS = {urgency: rank for rank, urgency in enumerate(work.Urgency)}


@attrs.frozen
class Decision:
    """A job to start now.

    :param job: the job.
    :param plan: where, and what has to leave first.
    :param since_s: when the job began to wait.
    :param is_guaranteed: whether it is within its team's guarantee.
    :param is_move: whether the job runs already and goes on in another place; the one victim of
        the plan is then the job itself.
    """

    job: work.Job
    plan: reclaims.ReclaimPlan
    since_s: float
    is_guaranteed: bool
    is_move: bool = False


@attrs.frozen
class _Class:
    """Jobs that are alike to placement."""

    team: str
    kind: str
    urgency: work.Urgency
    shape: work.Shape
    stoppable: bool
    checkpoint: bool


@attrs.frozen
class _Waiting:
    job: work.Job
    since_s: float


# Whether beyond the guarantee, urgency, use for its weight, age and job: the smallest goes first.
_Rank = tuple[bool, int, float, float, str]


@attrs.frozen
class _Miss:
    """A shape that did not fit in this pass; during one the view only gets fuller.

    :param shape: the shape.
    :param stoppable: whether it may run on homes of others.
    :param team: the team whose homes it may use; empty if that makes no difference.
    :param around_hold: whether held racks were left out.
    """

    shape: work.Shape
    stoppable: bool
    team: str
    around_hold: bool


class JobQueue:
    """Waiting jobs of one entry.

    Work within its team's guarantee goes first, for it could take its place back at once. Then
    the order is by urgency (a long wait raises it), then the team with the least present use for
    its weight, then age. Racks are held for the oldest large gang, and others are let in there
    only if they end in time or can be stopped.

    :param policy: chooses free accelerators.
    :param expected: expected ends of running gangs.
    :param reclaim: chooses what makes room for claims within a guarantee.
    """

    def __init__(
        self,
        policy: policies.PlacementPolicy,
        expected: ends.EndEstimator,
        reclaim: reclaims.ReclaimPolicy | None = None,
    ) -> None:
        self._policy = policy
        self._reclaim = reclaim or reclaims.LeastLostWork()
        self._expected = expected
        self._classes: dict[_Class, dict[str, _Waiting]] = {}
        self._class_of: dict[str, _Class] = {}
        self._weights: dict[str, int] = {}
        self._quotas: dict[str, rulesets.Quota] = {}
        self._racks: tuple[rulesets.RackInventory, ...] = ()
        self._homes: tuple[rulesets.Home, ...] = ()
        self._hold: holds.Hold | None = None
        self._hold_until_s = 0.0
        self._backfilled: set[str] = set()
        self._misses: set[_Miss] = set()

    def __len__(self) -> int:
        return len(self._class_of)

    @property
    def hold(self) -> holds.Hold | None:
        """The hold in force, if any."""
        return self._hold

    def set_rules(
        self,
        rules: rulesets.RuleSet,
        racks: tuple[rulesets.RackInventory, ...],
        homes: tuple[rulesets.Home, ...],
    ) -> None:
        """Put rules in force.

        :param rules: the rules.
        :param racks: all racks that could exist; none means that no job is refused for its size.
        :param homes: homes of all guarantees.
        """
        self._weights = {team.name: team.weight for team in rules.teams}
        self._quotas = {quota.team: quota for quota in rules.quotas}
        self._racks = racks
        self._homes = homes

    def check(self, job: work.Job) -> None:
        """Refuse a job that nothing which could exist can hold.

        :param job: the job.
        :raises UnplaceableError: with the reason.
        """
        feasibility.check(job, self._racks, self._homes, self._quotas.get(job.team))

    def submit(self, job: work.Job, since_s: float) -> None:
        """Add a job, or put back one that had to leave its place.

        :param job: the job.
        :param since_s: when it began to wait; a job put back keeps its first time.
        :raises UnplaceableError: if nothing that could exist can hold the job.
        """
        self.check(job)
        name = _class_of(job)
        waiting = self._classes.setdefault(name, {})
        is_older = bool(waiting) and since_s < next(reversed(waiting.values())).since_s
        waiting[job.job_id] = _Waiting(job, since_s)
        if is_older:
            ordered = sorted(waiting.items(), key=lambda item: item[1].since_s)
            self._classes[name] = dict(ordered)
        self._class_of[job.job_id] = name

    def cancel(self, job_id: str) -> work.Job | None:
        """Take a job out, in constant time.

        :param job_id: the job.
        :return: the job, or ``None`` if it does not wait here.
        """
        name = self._class_of.pop(job_id, None)
        if name is None:
            return None
        waiting = self._classes[name]
        entry = waiting.pop(job_id)
        if not waiting:
            del self._classes[name]
        if self._hold is not None and self._hold.job_id == job_id:
            self._drop_hold()
        return entry.job

    def schedule(self, view: fleet.FleetView, now_s: float) -> tuple[Decision, ...]:
        """Decide which jobs start now; they leave the queue and are assumed in the view.

        :param view: the fleet.
        :param now_s: reading of the process's clock.
        :return: the decisions, in the order in which they were taken.
        """
        view.advance(now_s)
        self._misses.clear()
        self._review_hold(view)
        taken: list[Decision] = []
        missed: list[_Waiting] = []
        heap = [(self._rank(name, view), index, name) for index, name in enumerate(self._classes)]
        heapq.heapify(heap)
        while heap:
            rank, index, name = heapq.heappop(heap)
            if name not in self._classes:
                continue
            current = self._rank(name, view)
            if current > rank:
                heapq.heappush(heap, (current, index, name))
                continue
            decision = self._try(name, not current[0], view)
            if decision is None:
                if not self._is_over_quota(name, view):
                    missed.append(next(iter(self._classes[name].values())))
                continue
            taken.append(decision)
            if name in self._classes:
                heapq.heappush(heap, (self._rank(name, view), index, name))
        self._hold_for_oldest(missed, view)
        taken.extend(self._moves(view))
        return tuple(taken)

    def _moves(self, view: fleet.FleetView) -> list[Decision]:
        held = () if self._hold is None else self._hold.racks
        found: list[Decision] = []
        for move in self._policy.moves(view.hiding(held)):
            view.assume(move.job, move.plan.placement)
            found.append(Decision(move.job, move.plan, view.now_s, False, is_move=True))
        return found

    def _rank(self, name: _Class, view: fleet.FleetView) -> _Rank:
        head = next(iter(self._classes[name].values()))
        promoted = int((view.now_s - head.since_s) / PROMOTE_AFTER_S)
        return (
            not view.is_guaranteed(head.job),
            max(0, URGENCY_RANKS[name.urgency] - promoted),
            view.team_accelerators(name.team) / max(1, self._weights.get(name.team, 1)),
            head.since_s,
            head.job.job_id,
        )

    def _try(self, name: _Class, is_guaranteed: bool, view: fleet.FleetView) -> Decision | None:
        if self._is_over_quota(name, view):
            return None
        for waiting in itertools.islice(self._classes[name].values(), BACKFILL_TRIES):
            plan = self._plan(waiting.job, is_guaranteed, view)
            if plan is not None:
                return self._take(waiting, plan, is_guaranteed, view)
            if self._hold is None or self._may_enter(waiting.job, view):
                break
        return None

    def _is_over_quota(self, name: _Class, view: fleet.FleetView) -> bool:
        quota = self._quotas.get(name.team)
        if quota is None or quota.accelerators is None:
            return False
        used = view.team_accelerators(name.team)
        return used + name.shape.accelerators > quota.accelerators

    def _plan(
        self, job: work.Job, is_guaranteed: bool, view: fleet.FleetView
    ) -> reclaims.ReclaimPlan | None:
        hold = self._hold
        if is_guaranteed:
            placement = self._place(job, view)
            if placement is not None:
                return reclaims.ReclaimPlan(placement)
            return self._reclaim.plan(job, view)
        if hold is not None and hold.job_id == job.job_id:
            placement = self._place(job, view)
            if placement is not None:
                return reclaims.ReclaimPlan(placement)
            return holds.clear(job, hold, frozenset(self._backfilled), view)
        placement = self._place(job, view, around=hold)
        if placement is None and hold is not None and self._may_enter(job, view):
            placement = self._place(job, view)
        return None if placement is None else reclaims.ReclaimPlan(placement)

    def _place(
        self, job: work.Job, view: fleet.FleetView, around: holds.Hold | None = None
    ) -> workers.Placement | None:
        is_team_bound = not job.stoppable and bool(view.homes_of(job.team))
        team = job.team if is_team_bound else ""
        miss = _Miss(job.shape, job.stoppable, team, around is not None)
        if miss in self._misses:
            return None
        if around is not None:
            view = view.hiding(around.racks)
        placement = self._policy.place(job, view)
        if placement is None:
            self._misses.add(miss)
        return placement

    def _take(
        self,
        waiting: _Waiting,
        plan: reclaims.ReclaimPlan,
        is_guaranteed: bool,
        view: fleet.FleetView,
    ) -> Decision:
        job = waiting.job
        hold = self._hold
        if hold is not None and hold.job_id != job.job_id and job.checkpoint:
            racks = {_rack_of(item.worker, view) for item in plan.placement.tasks}
            if not racks.isdisjoint(hold.racks):
                self._backfilled.add(job.job_id)
        self.cancel(job.job_id)
        view.assume(job, plan.placement)
        self._expected.started(job)
        return Decision(job, plan, waiting.since_s, is_guaranteed)

    def _may_enter(self, job: work.Job, view: fleet.FleetView) -> bool:
        """Return whether a job may run on the held racks."""
        hold = self._hold
        if hold is None or job.checkpoint:
            return True
        end_s = view.now_s + self._expected.estimator.estimate_s(job, BACKFILL_QUANTILE)
        return end_s <= hold.ready_s

    def _hold_for_oldest(self, missed: list[_Waiting], view: fleet.FleetView) -> None:
        """Hold racks for the oldest of the large gangs that did not fit."""
        large = [one for one in missed if one.job.shape.accelerators >= LARGE_ACCELERATORS]
        if self._hold is not None or not large:
            return
        oldest = min(large, key=lambda one: (one.since_s, one.job.job_id))
        self._hold = holds.choose(oldest.job, view, self._expected)
        self._hold_until_s = view.now_s + HOLD_REVIEW_S

    def _review_hold(self, view: fleet.FleetView) -> None:
        """Choose the held racks anew from time to time, and when one is gone."""
        hold = self._hold
        if hold is None:
            return
        stands = all(view.rack(name) is not None for name in hold.racks)
        if stands and view.now_s < self._hold_until_s:
            return
        name = self._class_of[hold.job_id]
        waiting = self._classes[name][hold.job_id]
        self._hold = None
        if not self._is_over_quota(name, view):
            self._hold_for_oldest([waiting], view)
        if self._hold is None:
            self._drop_hold()

    def _drop_hold(self) -> None:
        self._hold = None
        self._backfilled = set()
        self._misses.clear()


def _class_of(job: work.Job) -> _Class:
    return _Class(job.team, job.kind, job.urgency, job.shape, job.stoppable, job.checkpoint)


def _rack_of(worker: str, view: fleet.FleetView) -> str:
    known = view.worker(worker)
    return "" if known is None else known.report.identity.rack
