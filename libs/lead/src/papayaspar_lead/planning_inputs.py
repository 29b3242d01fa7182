"""What a planning round decides from: waiting units, running units and free capacity."""

from collections.abc import Iterable, Iterator

import attrs

from papayaspar_jobs import rooms, specs, units
from papayaspar_lead import workload
from papayaspar_scheduling import fleet, guarantees, health, ordering, preemption, stop_costs

MILLISECONDS_PER_SECOND = 1000.0
# Maximum number of units of one step that a planning round considers; the units of a step differ in
# little, and a round starts no more of them (`scheduling.STARTING_TASKS_MAX`).
STEP_DEMANDS_MAX = 200
# Maximum number of units of one job that a planning round considers, where that leaves each step
# one: a job of hundreds of steps would keep the lead from renewing its leadership.
JOB_DEMANDS_MAX = 2000
# The members of a gang end within this time after the first one that failed, in seconds, unless the
# VM of one of them is unreachable.
GANG_END_TIMEOUT_S = 1.0


class PlanningInputs:
    """The input of planning rounds, computed from the unfinished jobs.

    :param work: the unfinished jobs.
    """

    def __init__(self, work: workload.Workload) -> None:
        self._work = work

    def demands(self, now_s: float, wall_ms: float) -> list[ordering.Demand]:
        """Return the waiting units that may start now."""
        covered = self._covered_jobs()
        demands: list[ordering.Demand] = []
        for active in self._work.jobs():
            job = active.progress
            if active.is_cancelled or job.has_failed:
                continue
            job.create_due_tasks(wall_ms)
            job.drop_done_occurrences(now_s)
            for unit in job.waiting_units(wall_ms, STEP_DEMANDS_MAX, JOB_DEMANDS_MAX):
                if unit.ready_s is None:
                    unit.ready_s = now_s
                if unit.paused_from_s is not None:
                    if now_s >= unit.paused_from_s + health.TRIAL_MAX_S:
                        unit.forget_failed_nodes()
                demands.append(self._demand(unit, covered, now_s, wall_ms))
        return demands

    def restart_demand(self, unit: units.Unit, now_s: float, wall_ms: float) -> ordering.Demand:
        """Return the demand of a running unit if it were stopped now."""
        demand = self._demand(unit, self._covered_jobs(), now_s, wall_ms)
        return attrs.evolve(demand, waited_s=0.0)

    def _demand(
        self, unit: units.Unit, covered: frozenset[str], now_s: float, wall_ms: float
    ) -> ordering.Demand:
        job = unit.job
        queue = self._work.queue_of(job)
        due_ms = job.accepted_job.accepted_ms
        if job.spec.schedule is not None:
            due_ms = job.spec.schedule.due_ms(unit.members[0].key.occurrence)
        age_s = max(0.0, (wall_ms - due_ms) / MILLISECONDS_PER_SECOND)
        objective_s = (
            queue.stretch * job.critical_path_s() + queue.objective_ms / MILLISECONDS_PER_SECOND
        )
        remaining_s = job.remaining_s(unit)
        return ordering.Demand(
            unit,
            ordering.Rank.of(queue.priority, job.spec.job_id in covered),
            now_s - age_s + objective_s,
            now_s - age_s + rooms.WORTHLESS_AFTER_OBJECTIVES * objective_s,
            remaining_s,
            now_s - (unit.ready_s if unit.ready_s is not None else now_s),
            slack_s=max(0.0, objective_s - age_s - remaining_s),
            paused_s=now_s - unit.paused_from_s if unit.paused_from_s is not None else None,
        )

    def _covered_jobs(self) -> frozenset[str]:
        """Return the ids of the urgent jobs that their teams' guarantees cover."""
        urgent = [
            active.progress
            for active in self._work.jobs()
            if not active.is_cancelled and self._work.queue_of(active.progress).priority == 0
        ]
        return guarantees.covered_jobs(urgent, self._work.guaranteed_accelerators)

    def starting_count(self, since_s: float) -> int:
        """Return the number of tasks whose start is in progress.

        :param since_s: starts that were begun before are not counted; on the lead's clock.
        """
        return sum(
            task.is_starting and task.started_s >= since_s for task in self._work.assigned_tasks()
        )

    def newest_start_s(self, node: str) -> float:
        """Return when the newest run on a VM started, on the lead's clock; ``-inf`` if none."""
        starts_s = (task.started_s for task in self._work.tasks_on_node(node))
        return max(starts_s, default=float("-inf"))

    def victims(self, now_s: float) -> list[preemption.Victim]:
        """Return the running units that may be preempted for urgent work."""
        covered = self._covered_jobs()
        victims: list[preemption.Victim] = []
        for active in self._work.jobs():
            job = active.progress
            rank = ordering.Rank.of(self._work.queue_of(job).priority, job.spec.job_id in covered)
            for unit in job.active_units():
                if unit.step.is_lasting:
                    continue
                if any(task.is_starting or task.is_stopping for task in unit.members):
                    continue
                cost = stop_costs.stop_cost(unit, now_s)
                victims.append(preemption.Victim(unit, rank, cost.weighed_core_s))
        return victims

    def free_capacity(
        self,
        candidates: list[fleet.Worker],
        unassigned: Iterable[tuple[str, specs.Resources]],
        now_s: float,
        is_stopping_counted: bool,
    ) -> fleet.FreeCapacity:
        """Return the free capacity of workers.

        :param candidates: the workers.
        :param unassigned: VM and resources of runs without an assigned task; they use capacity
            until the worker lists their end.
        :param now_s: the lead's clock.
        :param is_stopping_counted: whether tasks that are being stopped use capacity.
        """
        free = fleet.FreeCapacity(candidates)
        for node, resources in unassigned:
            free.reserve(node, resources)
        for task in self._work.assigned_tasks():
            if task.is_stopping and not is_stopping_counted:
                continue
            free.reserve(task.record.node, task.step.counted_resources, fleet.step_name(task.key))
        for task in self._vacating_members(now_s):
            free.reserve(task.record.node, task.step.counted_resources)
        return free

    def _vacating_members(self, now_s: float) -> Iterator[units.Task]:
        """Return the ended members of gangs whose other members are about to end.

        Their capacity is kept until the gang can start again as a whole: small tasks would take it
        within the fraction of a second in which the others end, and the gang would have to preempt
        them.
        """
        for active in self._work.jobs():
            if active.is_cancelled:
                continue
            for unit in active.progress.active_units():
                if len(unit.members) == 1 or not unit.is_ending_by_itself:
                    continue
                if active.progress.has_failed:
                    break
                if unit.ending_s is None:
                    unit.ending_s = now_s
                if now_s - unit.ending_s > GANG_END_TIMEOUT_S:
                    continue
                yield from (task for task in unit.members if task.is_waiting and task.record.node)
