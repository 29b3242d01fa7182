"""A pool of whole workers that teams share, planned in virtual time."""

from collections.abc import Callable

import attrs

from papayaspar_jobs import configurations, progress, registries, specs, tasks, units
from papayaspar_scheduling import fleet, ordering, planner, preemption, shares

CAPACITY = specs.Resources(64_000, 262_144, 8)
QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000)
ROUND_S = 0.25
STRETCH, FIXED_S, WORTHLESS_OBJECTIVES = 3.0, 1.0, 3.0


@attrs.define
class Job:
    """A job of one unit, and when it came and began."""

    team: str
    unit: units.Unit
    rank: ordering.Rank
    came_s: float
    run_s: float
    began_s: float = float("inf")
    ends_s: float = float("inf")

    @property
    def waited_s(self) -> float:
        """Time until the job began, in seconds."""
        return self.began_s - self.came_s

    @property
    def objective_s(self) -> float:
        """Time after its arrival until which the job has its whole value, in seconds."""
        return STRETCH * self.run_s + FIXED_S

    @property
    def is_in_time(self) -> bool:
        """Whether the job meets its objective."""
        return self.ends_s <= self.came_s + self.objective_s


@attrs.define
class SharedPool:
    """Workers, the jobs of several teams, and the planner of the lead."""

    workers: list[fleet.Worker]
    guaranteed_accelerators: dict[str, int] = attrs.field(factory=dict)
    accounts: shares.ShareAccounts = attrs.field(factory=shares.ShareAccounts)
    unit_planner: planner.Planner = attrs.field(
        factory=lambda: planner.Planner(ordering.ByTeamShares())
    )
    now_s: float = 100.0
    jobs: list[Job] = attrs.field(factory=list)

    def submit(
        self,
        team: str,
        run_s: float,
        workers: int = 1,
        rank: ordering.Rank = ordering.Rank.NORMAL,
        accelerators: int = 8,
    ) -> Job:
        """Hand in a job that takes a number of workers at once."""
        room = specs.Resources(7_500, 20_000, accelerators)
        step = specs.Step(workers, room, int(run_s * 1000), is_gang=workers > 1)
        spec = specs.JobSpec(f"{len(self.jobs) + 1:016x}", "queue", team, "", (step,))
        accepted = progress.JobProgress(registries.AcceptedJob(spec, QUEUE, 0), 2)
        accepted.create_due_tasks(0.0)
        job = Job(team, next(accepted.waiting_units(0.0)), rank, self.now_s, run_s)
        self.jobs.append(job)
        return job

    def of(self, team: str) -> list[Job]:
        """Return the jobs of a team."""
        return [job for job in self.jobs if job.team == team]

    def play(self, duration_s: float, arrive: Callable[[float], None] = lambda _: None) -> None:
        """Plan rounds for a time; ``arrive`` hands in the jobs of each round.

        :param duration_s: the time, in seconds.
        :param arrive: is called with the seconds since the beginning.
        """
        begin_s = self.now_s
        while self.now_s < begin_s + duration_s:
            arrive(self.now_s - begin_s)
            self._plan()
            self.now_s += ROUND_S
            for job in self.jobs:
                if job.ends_s <= self.now_s and job.unit.is_active:
                    for task in job.unit.members:
                        task.record = tasks.TaskRecord(tasks.TaskPhase.DONE)

    def demand(self, job: Job) -> ordering.Demand:
        """Return the demand of a waiting job."""
        return ordering.Demand(
            job.unit,
            job.rank,
            job.came_s + job.objective_s,
            job.came_s + WORTHLESS_OBJECTIVES * job.objective_s,
            job.run_s,
            self.now_s - job.came_s,
        )

    def assessed(self) -> list[ordering.Demand]:
        """Return the demands of the waiting jobs, as the lead assesses them."""
        total = specs.Resources()
        for worker in self.workers:
            total = total.plus(worker.capacity)
        used: dict[str, specs.Resources] = {}
        for job in self._running():
            resources = job.unit.step.counted_resources.times(len(job.unit.members))
            used[job.team] = used.get(job.team, specs.Resources()).plus(resources)
        available = total
        for resources in used.values():
            available = available.minus(resources)
        pool = shares.Pool(total, available, self.guaranteed_accelerators)
        waiting = [self.demand(job) for job in self.jobs if job.unit.is_waiting]
        return self.accounts.assess(waiting, used, pool, self.now_s)

    def _running(self) -> list[Job]:
        return [job for job in self.jobs if job.unit.is_active]

    def _free(self) -> fleet.FreeCapacity:
        free = fleet.FreeCapacity(self.workers)
        for job in self._running():
            for task in job.unit.members:
                free.reserve(task.record.node, task.step.counted_resources)
        return free

    def _plan(self) -> None:
        victims = [preemption.Victim(job.unit, job.rank, 1000.0) for job in self._running()]
        jobs = {id(job.unit): job for job in self.jobs}
        demands = self.assessed()
        plan = self.unit_planner.plan(demands, self._free(), self._free(), victims, self.now_s)
        for start in plan.starts:
            job = jobs[id(start.demand.unit)]
            job.began_s, job.ends_s = self.now_s, self.now_s + job.run_s
            for task, node in zip(job.unit.members, start.nodes, strict=True):
                task.record = tasks.TaskRecord(tasks.TaskPhase.ASSIGNED, 1, node)
                task.started_s = self.now_s
