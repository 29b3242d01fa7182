"""What must hold in a simulation of leads and workers, whatever happens to them."""

import attrs

from papayaspar_jobs import registries, tasks, units
from papayaspar_runs import workers
from papayaspar_scheduling import health

from . import simulated_lead, waiting_simulation

# Pauses and ejections as `health` and docs/notes/waiting.md (S1, S5, S7) state them, in seconds.
PAUSE_S, PAUSE_MAX_S = 0.5, 6.0
EJECTION_S, EJECTION_MAX_S = 6.0, 30.0
FAILED_JOBS_MAX = 2
TRIAL_SHARE_MAX = 0.5
TRIAL_MAX_S = FAILURE_KEPT_S = 30.0
REPEAT_PAUSE_S, REPEAT_PAUSE_MAX_S = 0.5, 2.0
ATTEMPT_PAUSE_S, LAST_ATTEMPT_PAUSE_S = 2.0, 6.0

UnitKey = tasks.TaskKey


def key_of(unit: units.Unit) -> UnitKey:
    """Return the key of a unit, which is the same for each lead."""
    return unit.members[0].key


class Check(simulated_lead.Observer):
    """An observer that checks a simulation, in which it is set once that is made."""

    simulation: waiting_simulation.Simulation

    @property
    def now_s(self) -> float:
        return self.simulation.now_s


class Checks(simulated_lead.Observer):
    """Several checks of one simulation."""

    def __init__(self, *checks: Check) -> None:
        self._checks = checks

    def set_simulation(self, simulation: waiting_simulation.Simulation) -> None:
        for check in self._checks:
            check.simulation = simulation

    def note_lead(self) -> None:
        for check in self._checks:
            check.note_lead()

    def note_end(self, node: str, task: units.Task, kind: tasks.EndKind, now_s: float) -> None:
        for check in self._checks:
            check.note_end(node, task, kind, now_s)

    def note_health(self, node: str, started_s: float) -> None:
        for check in self._checks:
            check.note_health(node, started_s)

    def note_stall(self, node: str) -> None:
        for check in self._checks:
            check.note_stall(node)

    def note_acknowledged(self, end: workers.RunResult) -> None:
        for check in self._checks:
            check.note_acknowledged(end)

    def before_plan(self) -> None:
        for check in self._checks:
            check.before_plan()

    def note_start(self, unit: units.Unit) -> None:
        for check in self._checks:
            check.note_start(unit)

    def after_plan(self) -> None:
        for check in self._checks:
            check.after_plan()


class AttemptsCheck(Check):
    """A failed run counts as one attempt, whoever tells of it, and a job ends at its limit.

    A failure counts from when a lead applies it to the run's current assignment. Another lead may
    not know of it before the worker lists it again, unless it was acknowledged.
    """

    def __init__(self) -> None:
        # Runs that some lead counted, that the present one has to count, and that each has to.
        self._counted: dict[UnitKey, set[int]] = {}
        self._present: dict[UnitKey, set[int]] = {}
        self._certain: dict[UnitKey, set[int]] = {}
        self._units: dict[tasks.TaskKey, UnitKey] = {}

    def note_lead(self) -> None:
        self._present = {key: set(runs) for key, runs in self._certain.items()}

    def note_end(self, node: str, task: units.Task, kind: tasks.EndKind, now_s: float) -> None:
        if kind is not tasks.EndKind.FAILED:
            return
        key = self._units[task.key] = key_of(task.unit)
        for counted in (self._counted, self._present):
            counted.setdefault(key, set()).add(task.record.run)

    def note_acknowledged(self, end: workers.RunResult) -> None:
        key = self._units.get(end.task)
        if key is not None and end.run in self._present.get(key, ()):
            self._certain.setdefault(key, set()).add(end.run)

    def note_start(self, unit: units.Unit) -> None:
        if unit.step.is_lasting:
            return
        count = len(self._present.get(key_of(unit), ()))
        assert count < unit.job.attempts, f"{key_of(unit)} starts after {count} failed runs"

    def after_plan(self) -> None:
        failed_jobs = set()
        for key, runs in self._counted.items():
            task = self.simulation.work.find_task(key)
            if task is None:
                continue
            unit = task.unit
            least = len(self._present.get(key, ()))
            assert least <= unit.failures <= len(runs), f"{key}: {unit.failures} of {runs} count"
            if unit.step.is_lasting or unit.is_done:
                continue
            assert unit.failures <= unit.job.attempts, f"{key}: more runs than attempts"
            if unit.failures == unit.job.attempts:
                failed_jobs.add(key.job_id)
        for active in self.simulation.work.jobs():
            job_id = active.progress.spec.job_id
            assert active.progress.has_failed == (job_id in failed_jobs), job_id
        self._check_shown()

    def _check_shown(self) -> None:
        """Check that a job is shown as failed only if a unit of it has used up its attempts."""
        limits = {
            accepted.spec.job_id: accepted.queue.attempts
            for accepted in self.simulation.view.jobs
            if accepted.phase is registries.JobPhase.FAILED
        }
        for job_id, limit in limits.items():
            counts = [len(runs) for key, runs in self._counted.items() if key.job_id == job_id]
            assert max(counts, default=0) >= limit, f"{job_id} is shown as failed"


@attrs.define
class KnownHealth:
    """What a lead was told of a worker, and what it has to do about it."""

    jobs: set[str] = attrs.field(factory=set)
    failed_s: float | None = None
    failed_trials: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    counted_s: float = float("-inf")

    def fail(self, job_id: str, now_s: float, started_s: float, had_progress: bool) -> None:
        if not had_progress:
            self.failed_trials += self.failed_s is None or started_s > self.failed_s
            self.failed_s = now_s
        if now_s >= max(self.counted_s, self.ejected_until_s) + FAILURE_KEPT_S:
            self.jobs.clear()
            self.ejections = 0
        self.counted_s = now_s
        self.jobs.add(job_id)
        failed_jobs_max = 1 if self.ejections else FAILED_JOBS_MAX
        if len(self.jobs) < failed_jobs_max or now_s < self.ejected_until_s:
            return
        self.ejected_until_s = now_s + min(EJECTION_MAX_S, EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.jobs.clear()

    def prove(self, started_s: float) -> bool:
        """Note a run that succeeded or makes progress; return whether it began after failures."""
        if self.failed_s is not None and started_s <= self.failed_s:
            return False
        self.failed_s, self.failed_trials = None, 0
        return True

    def succeed(self, started_s: float) -> None:
        if self.prove(started_s):
            self.jobs.clear()
            self.ejections, self.ejected_until_s = 0, float("-inf")

    def trial(self, now_s: float, newest_start_s: float) -> health.Trial:
        if self.failed_s is None:
            return health.Trial.NONE
        if now_s >= self.failed_s + TRIAL_MAX_S:
            return health.Trial.NONE
        pause_s = min(PAUSE_MAX_S, PAUSE_S * 2 ** (self.failed_trials - 1))
        if now_s < self.failed_s + pause_s:
            return health.Trial.CLOSED
        if newest_start_s > self.failed_s and now_s < newest_start_s + PAUSE_MAX_S:
            return health.Trial.CLOSED
        return health.Trial.OPEN


def repeat_pause_s(unit: units.Unit, last_run: int) -> float:
    """Return how long a unit pauses before it runs where it failed or was refused, in seconds.

    :param unit: the unit.
    :param last_run: number of its last run until then.
    """
    pause_s = min(REPEAT_PAUSE_MAX_S, REPEAT_PAUSE_S * 2 ** (last_run - 1))
    if unit.failures == 0 or unit.step.is_lasting or unit.failed_run != last_run:
        return pause_s
    if unit.failures + 1 >= unit.job.attempts:
        return LAST_ATTEMPT_PAUSE_S
    if unit.has_failed_widely:
        return pause_s
    return min(LAST_ATTEMPT_PAUSE_S, ATTEMPT_PAUSE_S * 2 ** (unit.failures - 1))


def paused_s(unit: units.Unit, now_s: float) -> float:
    """Return the time since a unit failed or was refused, or since it waits, in seconds."""
    since_s = unit.paused_from_s if unit.paused_from_s is not None else unit.ready_s
    return now_s - since_s if since_s is not None else 0.0


class BadWorkersCheck(Check):
    """No start on an ejected worker or in its pause, and one at a time on a worker on trial.

    A unit that failed or was refused on a worker starts there only after a pause of its own, and so
    does one that has failed on a worker on trial. A task that lasts may then use ejected workers,
    and a gang that failed on several workers these in their pause. A unit that no other worker
    could hold even if idle may start anywhere once it has waited for its estimate.
    """

    def __init__(self) -> None:
        self.known: dict[str, KnownHealth] = {}
        self._noted: set[tuple[UnitKey, int, str]] = set()
        # State before the newest planning round.
        self.ejected: set[str] = set()
        self.trials: dict[str, health.Trial] = {}
        self._ready_s: dict[UnitKey, float | None] = {}
        self._tried: dict[str, UnitKey] = {}

    def note_lead(self) -> None:
        self.known = {}
        self._noted = set()

    def health_of(self, node: str) -> KnownHealth:
        return self.known.setdefault(node, KnownHealth())

    def note_end(self, node: str, task: units.Task, kind: tasks.EndKind, now_s: float) -> None:
        run = task.record.run
        if kind is tasks.EndKind.DONE:
            for member in task.unit.members:
                if member.record.run == run:
                    self.health_of(member.record.node).succeed(member.started_s)
        if kind is not tasks.EndKind.FAILED or (key_of(task.unit), run, node) in self._noted:
            return
        is_repeated = any(
            (key, former_node) == (key_of(task.unit), node) and former_run < run
            for key, former_run, former_node in self._noted
        )
        self._noted.add((key_of(task.unit), run, node))
        if is_repeated and task.step.is_lasting:
            return
        had_progress = task.unit.has_proven_run(run)
        self.health_of(node).fail(task.key.job_id, now_s, task.started_s, had_progress)

    def note_health(self, node: str, started_s: float) -> None:
        self.health_of(node).prove(started_s)

    def note_stall(self, node: str) -> None:
        known = self.health_of(node)
        known.ejected_until_s = max(known.ejected_until_s, self.now_s + EJECTION_S)
        self.ejected.add(node)

    def before_plan(self) -> None:
        work, now_s = self.simulation.work, self.now_s
        self.ejected, self.trials, self._tried = set(), {}, {}
        pool = [node for node in self.simulation.workers if self.is_candidate(node)]
        for node in pool:
            if now_s < self.health_of(node).ejected_until_s:
                self.ejected.add(node)
            starts_s = [task.started_s for task in work.tasks_on_node(node)]
            newest_start_s = max(starts_s, default=float("-inf"))
            trial = self.health_of(node).trial(now_s, newest_start_s)
            if trial is not health.Trial.NONE:
                self.trials[node] = trial
        if len(self.trials) > TRIAL_SHARE_MAX * len(pool):
            self.trials = {}

    def is_candidate(self, node: str) -> bool:
        link = self.simulation.links().get(node)
        return link is not None and link.is_attached and not link.has_refused_recently(self.now_s)

    def note_start(self, unit: units.Unit) -> None:
        for node in sorted({task.record.node for task in unit.members}):
            assert self.simulation.is_open(node), f"{node} takes no work"
            if self._may_start(unit, node):
                self._tried[node] = key_of(unit)
                continue
            assert self._may_use_any(unit), f"{key_of(unit)} starts on {node}"

    def _may_start(self, unit: units.Unit, node: str) -> bool:
        """Return whether a unit may start on a worker, as far as its health is concerned."""
        trial = self.trials.get(node, health.Trial.NONE)
        has_history = unit.failures > 0 or bool(unit.failed_nodes)
        may_repeat = has_history and self._has_paused(unit)
        if may_repeat and unit.step.is_lasting:
            return True
        if node in self.ejected:
            return False
        if node in unit.failed_nodes and not may_repeat:
            return False
        if trial is health.Trial.NONE:
            return True
        if unit.failures > 0 and not may_repeat:
            return False
        if unit.failures > 0 and unit.has_failed_widely and node in unit.failed_nodes:
            return True
        is_free = self._tried.get(node, key_of(unit)) == key_of(unit)
        return trial is health.Trial.OPEN and is_free

    def _has_paused(self, unit: units.Unit) -> bool:
        last_run = unit.members[0].record.run - 1
        return paused_s(unit, self.now_s) >= repeat_pause_s(unit, last_run)

    def _may_use_any(self, unit: units.Unit) -> bool:
        estimate_s = unit.step.estimate_ms / waiting_simulation.MILLISECONDS_PER_SECOND
        return self._waited_s(unit) >= estimate_s and not self._could_others_hold(unit)

    def _waited_s(self, unit: units.Unit) -> float:
        return self.now_s - (unit.ready_s if unit.ready_s is not None else self.now_s)

    def _could_others_hold(self, unit: units.Unit) -> bool:
        """Return whether workers that are neither accused nor on trial could hold a unit."""
        resources = unit.step.counted_resources
        count = 0
        for node, link in self.simulation.links().items():
            worker = link.worker
            if not self.is_candidate(node) or not worker.is_open:
                continue
            if node in self.ejected or node in self.trials or node in unit.failed_nodes:
                continue
            if unit.step.required_label and unit.step.required_label not in worker.labels:
                continue
            count += worker.capacity.accelerators // resources.accelerators
        return count >= len(unit.members)
