"""Queue of waiting jobs: start order, rack reservations and backfilling."""

import heapq
import itertools

import attrs

from papayaspar_model import rulesets, work, workers
from papayaspar_placement import (
    completions,
    feasibility,
    fleet,
    policies,
    preemptions,
    reservations,
)

MIN_RESERVATION_ACCELERATORS = 8  # smallest gang for which racks are reserved
PROMOTE_AFTER_S = 1800.0  # each wait of this length raises the urgency by one level
BACKFILL_QUANTILE = 0.9
MAX_BACKFILL_CANDIDATES = 8  # jobs of one class that are tried in each pass
RESERVATION_REVIEW_S = 60.0
URGENCY_RANKS = {urgency: rank for rank, urgency in enumerate(work.Urgency)}


@attrs.frozen
class Decision:
    """A job to start now.

    :param job: the job.
    :param plan: its placement and the gangs to stop first.
    :param queued_at_s: time at which the job was queued, in seconds.
    :param is_guaranteed: whether it is within its team's guarantee.
    :param is_move: whether the job is already running and is moved; the only victim of the plan
        is then the job itself.
    """

    job: work.Job
    plan: preemptions.PreemptionPlan
    queued_at_s: float
    is_guaranteed: bool
    is_move: bool = False


@attrs.frozen
class _JobClass:
    """Properties that determine the placement of a job; jobs of one class are interchangeable."""

    team: str
    kind: str
    urgency: work.Urgency
    shape: work.Shape
    stoppable: bool
    checkpoint: bool


@attrs.frozen
class _WaitingJob:
    job: work.Job
    queued_at_s: float


# Sort key, smallest first: beyond the guarantee, urgency, use divided by weight, queue time, job.
_Rank = tuple[bool, int, float, float, str]


@attrs.frozen
class _FailedPlacement:
    """A placement that failed in this pass.

    Capacity only decreases during a pass, so that a failed placement need not be tried again.

    :param shape: shape of the job.
    :param stoppable: whether the job may run on homes of other teams.
    :param team: the team whose homes the job may use; empty if that makes no difference.
    :param excludes_reserved: whether the reserved racks were excluded.
    """

    shape: work.Shape
    stoppable: bool
    team: str
    excludes_reserved: bool


class JobQueue:
    """Waiting jobs of one entry.

    Jobs within their team's guarantee come first, because they could preempt whatever started
    before them. The further order is by urgency (a long wait raises it), by the team's current use
    divided by its weight, and by queue time. Racks are reserved for the oldest large gang; other
    jobs are backfilled there only if they complete in time or can be stopped.

    :param policy: chooses free accelerators.
    :param estimator: estimates how long running gangs take.
    :param preemption_policy: chooses the gangs that are preempted for jobs within a guarantee.
    """

    def __init__(
        self,
        policy: policies.PlacementPolicy,
        estimator: completions.CompletionEstimator,
        preemption_policy: preemptions.PreemptionPolicy | None = None,
    ) -> None:
        self._policy = policy
        self._preemption_policy = preemption_policy or preemptions.LeastLostWork()
        self._estimator = estimator
        self._classes: dict[_JobClass, dict[str, _WaitingJob]] = {}
        self._class_by_job: dict[str, _JobClass] = {}
        self._weights: dict[str, int] = {}
        self._quotas: dict[str, rulesets.Quota] = {}
        self._racks: tuple[rulesets.RackInventory, ...] = ()
        self._homes: tuple[rulesets.Home, ...] = ()
        self._reservation: reservations.RackReservation | None = None
        self._review_at_s = 0.0
        self._backfilled: set[str] = set()
        self._failed_placements: set[_FailedPlacement] = set()

    def __len__(self) -> int:
        return len(self._class_by_job)

    @property
    def reservation(self) -> reservations.RackReservation | None:
        """The current reservation, if any."""
        return self._reservation

    def set_rules(
        self,
        rules: rulesets.RuleSet,
        racks: tuple[rulesets.RackInventory, ...],
        homes: tuple[rulesets.Home, ...],
    ) -> None:
        """Apply rules.

        :param rules: the rules.
        :param racks: all racks that could exist; if empty, no job is rejected for its size.
        :param homes: homes of all guarantees.
        """
        self._weights = {team.name: team.weight for team in rules.teams}
        self._quotas = {quota.team: quota for quota in rules.quotas}
        self._racks = racks
        self._homes = homes

    def check(self, job: work.Job) -> None:
        """Reject a job that could never be placed.

        :param job: the job.
        :raises UnplaceableError: if the job can never be placed; the error states the reason.
        """
        feasibility.check(job, self._racks, self._homes, self._quotas.get(job.team))

    def submit(self, job: work.Job, queued_at_s: float) -> None:
        """Add a job, or requeue one that was stopped.

        :param job: the job.
        :param queued_at_s: time at which it was queued, in seconds; a requeued job keeps its first
            time.
        :raises UnplaceableError: if the job can never be placed.
        """
        self.check(job)
        job_class = _job_class(job)
        waiting = self._classes.setdefault(job_class, {})
        is_older = bool(waiting) and queued_at_s < next(reversed(waiting.values())).queued_at_s
        waiting[job.job_id] = _WaitingJob(job, queued_at_s)
        if is_older:
            ordered = sorted(waiting.items(), key=lambda entry: entry[1].queued_at_s)
            self._classes[job_class] = dict(ordered)
        self._class_by_job[job.job_id] = job_class

    def cancel(self, job_id: str) -> work.Job | None:
        """Remove a job in constant time.

        :param job_id: the job.
        :return: the job, or ``None`` if it is not in the queue.
        """
        job_class = self._class_by_job.pop(job_id, None)
        if job_class is None:
            return None
        waiting = self._classes[job_class]
        waiting_job = waiting.pop(job_id)
        if not waiting:
            del self._classes[job_class]
        if self._reservation is not None and self._reservation.job_id == job_id:
            self._drop_reservation()
        return waiting_job.job

    def schedule(self, view: fleet.FleetView, now_s: float) -> tuple[Decision, ...]:
        """Decide which jobs start now; they leave the queue and are counted in the view.

        :param view: the view of the fleet.
        :param now_s: current time of the process in seconds.
        :return: the decisions, in the order in which they were made.
        """
        view.advance(now_s)
        self._failed_placements.clear()
        self._review_reservation(view)
        decisions: list[Decision] = []
        unplaced: list[_WaitingJob] = []
        heap = [
            (self._rank(job_class, view), index, job_class)
            for index, job_class in enumerate(self._classes)
        ]
        heapq.heapify(heap)
        while heap:
            rank, index, job_class = heapq.heappop(heap)
            if job_class not in self._classes:
                continue
            current = self._rank(job_class, view)
            if current > rank:
                heapq.heappush(heap, (current, index, job_class))
                continue
            decision = self._plan_class(job_class, not current[0], view)
            if decision is None:
                if not self._is_over_quota(job_class, view):
                    unplaced.append(next(iter(self._classes[job_class].values())))
                continue
            decisions.append(decision)
            if job_class in self._classes:
                heapq.heappush(heap, (self._rank(job_class, view), index, job_class))
        self._reserve_for_oldest(unplaced, view)
        decisions.extend(self._moves(view))
        return tuple(decisions)

    def _moves(self, view: fleet.FleetView) -> list[Decision]:
        reserved_racks = () if self._reservation is None else self._reservation.racks
        decisions: list[Decision] = []
        for move in self._policy.moves(view.without_racks(reserved_racks)):
            view.assume(move.job, move.plan.placement)
            decisions.append(Decision(move.job, move.plan, view.now_s, False, is_move=True))
        return decisions

    def _rank(self, job_class: _JobClass, view: fleet.FleetView) -> _Rank:
        head = next(iter(self._classes[job_class].values()))
        promoted = int((view.now_s - head.queued_at_s) / PROMOTE_AFTER_S)
        return (
            not view.is_guaranteed(head.job),
            max(0, URGENCY_RANKS[job_class.urgency] - promoted),
            view.team_accelerators(job_class.team) / max(1, self._weights.get(job_class.team, 1)),
            head.queued_at_s,
            head.job.job_id,
        )

    def _plan_class(
        self, job_class: _JobClass, is_guaranteed: bool, view: fleet.FleetView
    ) -> Decision | None:
        if self._is_over_quota(job_class, view):
            return None
        for waiting in itertools.islice(self._classes[job_class].values(), MAX_BACKFILL_CANDIDATES):
            plan = self._plan(waiting.job, is_guaranteed, view)
            if plan is not None:
                return self._start(waiting, plan, is_guaranteed, view)
            if self._reservation is None or self._may_backfill(waiting.job, view):
                break
        return None

    def _is_over_quota(self, job_class: _JobClass, view: fleet.FleetView) -> bool:
        quota = self._quotas.get(job_class.team)
        if quota is None or quota.accelerators is None:
            return False
        used = view.team_accelerators(job_class.team)
        return used + job_class.shape.accelerators > quota.accelerators

    def _plan(
        self, job: work.Job, is_guaranteed: bool, view: fleet.FleetView
    ) -> preemptions.PreemptionPlan | None:
        reservation = self._reservation
        if is_guaranteed:
            placement = self._place(job, view)
            if placement is not None:
                return preemptions.PreemptionPlan(placement)
            return self._preemption_policy.plan(job, view)
        if reservation is not None and reservation.job_id == job.job_id:
            placement = self._place(job, view)
            if placement is not None:
                return preemptions.PreemptionPlan(placement)
            return reservations.plan_preemption(job, reservation, frozenset(self._backfilled), view)
        placement = self._place(job, view, excluded=reservation)
        if placement is None and reservation is not None and self._may_backfill(job, view):
            placement = self._place(job, view)
        return None if placement is None else preemptions.PreemptionPlan(placement)

    def _place(
        self,
        job: work.Job,
        view: fleet.FleetView,
        excluded: reservations.RackReservation | None = None,
    ) -> workers.Placement | None:
        is_team_bound = not job.stoppable and bool(view.homes_of(job.team))
        team = job.team if is_team_bound else ""
        attempted = _FailedPlacement(job.shape, job.stoppable, team, excluded is not None)
        if attempted in self._failed_placements:
            return None
        if excluded is not None:
            view = view.without_racks(excluded.racks)
        placement = self._policy.place(job, view)
        if placement is None:
            self._failed_placements.add(attempted)
        return placement

    def _start(
        self,
        waiting: _WaitingJob,
        plan: preemptions.PreemptionPlan,
        is_guaranteed: bool,
        view: fleet.FleetView,
    ) -> Decision:
        job = waiting.job
        reservation = self._reservation
        if reservation is not None and reservation.job_id != job.job_id and job.checkpoint:
            racks = {_rack_of(task_range.worker, view) for task_range in plan.placement.tasks}
            if not racks.isdisjoint(reservation.racks):
                self._backfilled.add(job.job_id)
        self.cancel(job.job_id)
        view.assume(job, plan.placement)
        self._estimator.record_start(job)
        return Decision(job, plan, waiting.queued_at_s, is_guaranteed)

    def _may_backfill(self, job: work.Job, view: fleet.FleetView) -> bool:
        """Return whether a job may run on the reserved racks."""
        reservation = self._reservation
        if reservation is None or job.checkpoint:
            return True
        end_s = view.now_s + self._estimator.run_times.estimate_s(job, BACKFILL_QUANTILE)
        return end_s <= reservation.ready_s

    def _reserve_for_oldest(self, unplaced: list[_WaitingJob], view: fleet.FleetView) -> None:
        """Reserve racks for the oldest of the large gangs that did not fit."""
        large = [
            waiting
            for waiting in unplaced
            if waiting.job.shape.accelerators >= MIN_RESERVATION_ACCELERATORS
        ]
        if self._reservation is not None or not large:
            return
        oldest = min(large, key=lambda waiting: (waiting.queued_at_s, waiting.job.job_id))
        self._reservation = reservations.choose(oldest.job, view, self._estimator)
        self._review_at_s = view.now_s + RESERVATION_REVIEW_S

    def _review_reservation(self, view: fleet.FleetView) -> None:
        """Choose the reserved racks again periodically, and when one no longer exists."""
        reservation = self._reservation
        if reservation is None:
            return
        racks_exist = all(view.rack(rack) is not None for rack in reservation.racks)
        if racks_exist and view.now_s < self._review_at_s:
            return
        job_class = self._class_by_job[reservation.job_id]
        waiting = self._classes[job_class][reservation.job_id]
        self._reservation = None
        if not self._is_over_quota(job_class, view):
            self._reserve_for_oldest([waiting], view)
        if self._reservation is None:
            self._drop_reservation()

    def _drop_reservation(self) -> None:
        self._reservation = None
        self._backfilled = set()
        self._failed_placements.clear()


def _job_class(job: work.Job) -> _JobClass:
    return _JobClass(job.team, job.kind, job.urgency, job.shape, job.stoppable, job.checkpoint)


def _rack_of(worker: str, view: fleet.FleetView) -> str:
    worker_view = view.worker(worker)
    return "" if worker_view is None else worker_view.report.identity.rack
