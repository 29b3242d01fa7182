"""Fixtures for tests of the planner: a cluster of workers, and a factory of steps."""

from collections.abc import Callable

import attrs
import pytest

from papayaspar_jobs import configurations, progress, registries, specs, tasks, units
from papayaspar_scheduling import fleet, ordering, planner, preemption, stop_costs

CAPACITY = specs.Resources(64_000, 262_144, 8)
QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)


@attrs.define
class Cluster:
    """Workers with running, stopping and waiting units, and a planner for them."""

    workers: list[fleet.Worker]
    running: list[preemption.Victim] = attrs.field(factory=list)
    waiting: list[ordering.Demand] = attrs.field(factory=list)
    stopping: list[preemption.Victim] = attrs.field(factory=list)
    job_count: int = 0
    unit_planner: planner.Planner = attrs.field(factory=planner.Planner)

    def new_unit(self, step: specs.Step) -> units.Unit:
        """Return the first unit of a new job of one step."""
        self.job_count += 1
        spec = specs.JobSpec(f"{self.job_count:016x}", "queue", "team", "", (step,))
        job = progress.JobProgress(registries.AcceptedJob(spec, QUEUE, 0), 2)
        job.create_due_tasks(0.0)
        return next(job.waiting_units(0.0))

    def add_running_unit(
        self, step: specs.Step, *nodes: str, rank: ordering.Rank, elapsed_s: float = 5.0
    ) -> units.Unit:
        """Add a unit that has run on the given VMs for ``elapsed_s`` seconds."""
        unit = self.new_unit(step)
        for task, node in zip(unit.members, nodes, strict=True):
            task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, node)
            task.mark_starting(100.0 - elapsed_s)
            task.mark_started(100.0 - elapsed_s)
        cost = stop_costs.stop_cost(unit, 100.0)
        self.running.append(preemption.Victim(unit, rank, cost.weighed_core_s))
        return unit

    def add_waiting_unit(
        self,
        step: specs.Step,
        rank: ordering.Rank,
        waited_s: float = 0.0,
        objective_s: float = 110.0,
        worthless_after_s: float = 30.0,
    ) -> units.Unit:
        """Add a waiting unit."""
        unit = self.new_unit(step)
        remaining_s = step.estimate_ms / 1000.0
        self.waiting.append(
            ordering.Demand(
                unit, rank, objective_s, objective_s + worthless_after_s, remaining_s, waited_s
            )
        )
        return unit

    def update_costs(self, now_s: float = 100.0) -> None:
        """Compute the costs of stopping the running units again."""
        self.running = [
            attrs.evolve(
                victim, cost_core_s=stop_costs.stop_cost(victim.unit, now_s).weighed_core_s
            )
            for victim in self.running
        ]

    def start_unit(self, start: planner.Start, now_s: float) -> None:
        """Run a unit that the planner started."""
        self.waiting.remove(start.demand)
        unit = start.demand.unit
        for task, node in zip(unit.members, start.nodes, strict=True):
            task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, node)
            task.mark_starting(now_s)
            task.mark_started(now_s)
        self.running.append(preemption.Victim(unit, start.demand.rank, 0.0))

    def end_unit(self, unit: units.Unit) -> None:
        """End a running unit successfully."""
        self.running = [victim for victim in self.running if victim.unit is not unit]
        for task in unit.members:
            task.record = tasks.TaskRecord(tasks.TaskPhase.DONE)

    def free(self, is_stopping_counted: bool = True) -> fleet.FreeCapacity:
        """Return the free capacity; tasks that stop use capacity if ``is_stopping_counted``.

        So do those that have ended, and are among the stopping units until a test removes them.
        """
        free = fleet.FreeCapacity(self.workers)
        for victim in self.running + self.stopping:
            for task in victim.unit.members:
                if (task.is_stopping or not task.is_assigned) and not is_stopping_counted:
                    continue
                free.reserve(
                    task.record.node, task.step.counted_resources, fleet.step_name(task.key)
                )
        return free

    def plan(
        self,
        now_s: float = 100.0,
        is_reconnect_expected: bool = False,
        deferred: list[ordering.Demand] | None = None,
        start_limit: planner.StartLimit | None = None,
    ) -> planner.Plan:
        """Plan one round, and mark the preempted units as stopping."""
        plan = self.unit_planner.plan(
            self.waiting,
            self.free(),
            self.free(False),
            self.running,
            now_s,
            is_reconnect_expected,
            deferred,
            start_limit,
        )
        for victim, _ in plan.stops:
            self.running.remove(victim)
            self.stopping.append(victim)
            for task in victim.unit.members:
                task.is_stopping = True
        return plan


@pytest.fixture
def cluster() -> Cluster:
    """Return a cluster of four idle workers on two racks."""
    workers = []
    for number in range(4):
        rack = f"r1-{number // 2}"
        workers.append(
            fleet.Worker(
                f"node-{number}",
                "pool",
                tasks.Incarnation(f"w-{number}", 1),
                CAPACITY,
                frozenset({"a", rack}),
                rack,
                is_open=True,
            )
        )
    return Cluster(workers)


@pytest.fixture
def make_step() -> Callable[..., specs.Step]:
    """Return a factory of steps whose tasks use a whole worker by default."""

    def make(count: int = 1, accelerators: int = 8, estimate_ms: int = 5000, **changes: object):
        step = specs.Step(count, specs.Resources(7_500, 20_000, accelerators), estimate_ms)
        return attrs.evolve(step, **changes)  # type: ignore[arg-type]

    return make
