"""Workers in virtual time, with what their agents report."""

import attrs

from papayaspar_jobs import specs, tasks, units
from papayaspar_runs import messages, workers

MILLISECONDS_PER_SECOND = 1000.0
START_S = 1000.0
POOL = "pool"
SPECIAL = "special"
CAPACITY = specs.Resources(64_000, 262_144, 8)
NODES = ("node-0", "node-1", "node-2", "node-3", "node-4")
SPECIAL_NODES = NODES[:2]
# Times from a start to its failure, which each worker after the first adds to, so that the members
# of a gang fail one after another; from an ordered stop to the end; and from the end of one member
# of a gang to that of the others.
FAIL_S = 0.2
FAIL_STEP_S = 0.25
STOP_S = 0.3
BREAK_S = 0.1
# Part of its run after which a task fails that fails late.
LATE_SHARE = 0.6
DRAIN_MS = 5_000
# Payloads of tasks that fail on every worker: at once, or after progress.
BAD, LATE = "bad", "late"


@attrs.define
class Run:
    """A run on a worker, and how it will end unless it is stopped before."""

    unit: units.Unit
    started_s: float
    ends_s: float
    kind: tasks.EndKind
    room: specs.Resources
    has_progress: bool = True

    def end_early(self, ends_s: float, kind: tasks.EndKind) -> None:
        if ends_s < self.ends_s:
            self.ends_s, self.kind = ends_s, kind


@attrs.define(eq=False)
class SimulatedWorker:
    """A worker with its agent; ``ill_s`` is the newest time at which it did not work well."""

    node: str
    labels: tuple[str, ...]
    incarnation: tasks.Incarnation | None = None
    condition: workers.Condition = workers.Condition.READY
    is_failing: bool = False
    is_refusing: bool = False
    loses_answers: bool = False
    lists_ended_runs: bool = False
    ill_s: float = float("-inf")
    leaves_s: float = float("inf")
    cut_until_s: float = float("-inf")
    confirmed_s: float = START_S
    has_lapsed: bool = False
    data_centre: str = ""
    cold_until_s: float = float("-inf")
    born_count: int = 0
    end_count: int = 0
    runs: dict[tuple[tasks.TaskKey, int], Run] = attrs.field(factory=dict)
    ends: list[workers.RunResult] = attrs.field(factory=list)

    def join(self, now_s: float) -> None:
        self.born_count += 1
        self.incarnation = tasks.Incarnation(self.node, self.born_count)
        self.condition, self.leaves_s = workers.Condition.READY, float("inf")
        self.confirmed_s, self.has_lapsed, self.end_count = now_s, False, 0
        self.runs, self.ends = {}, []

    def end(self, run_id: tuple[tasks.TaskKey, int], kind: tasks.EndKind) -> None:
        del self.runs[run_id]
        self.end_count += 1
        self.ends.append(workers.RunResult(self.end_count, *run_id, kind))

    def refusal(self, order: messages.StartRun) -> workers.RefusalReason | None:
        if self.incarnation != order.incarnation:
            return workers.RefusalReason.INCARNATION
        if self.condition is workers.Condition.DRAINING:
            return workers.RefusalReason.DRAINING
        if self.is_refusing:
            return workers.RefusalReason.UNHEALTHY
        if any(key == order.task for key, _ in self.runs):
            return workers.RefusalReason.OLD_RUN
        free = CAPACITY
        for run in self.runs.values():
            free = free.minus(run.room)
        return None if free.holds(order.room) else workers.RefusalReason.ROOM

    def start(self, order: messages.StartRun, unit: units.Unit, now_s: float) -> None:
        duration_s = unit.step.estimate_ms / MILLISECONDS_PER_SECOND
        ends_s, kind, has_progress = now_s + duration_s, tasks.EndKind.DONE, True
        if unit.step.is_lasting:
            ends_s = float("inf")
        if order.payload == LATE:
            ends_s, kind = now_s + LATE_SHARE * duration_s, tasks.EndKind.FAILED
        if order.payload == BAD or self.is_failing:
            fail_s = FAIL_S + FAIL_STEP_S * NODES.index(self.node)
            ends_s, kind, has_progress = now_s + fail_s, tasks.EndKind.FAILED, False
        run = Run(unit, now_s, ends_s, kind, order.room, has_progress)
        self.runs[order.task, order.run] = run

    def report(self, now_s: float) -> messages.AgentState:
        """Return the state that the agent reports."""
        statuses = []
        for (key, number), run in self.runs.items():
            percent = 0.0
            if run.has_progress:
                duration_s = max(0.1, run.unit.step.estimate_ms / MILLISECONDS_PER_SECOND)
                percent = min(99.0, 100.0 * (now_s - run.started_s) / duration_s)
            statuses.append(workers.RunStatus(key, number, percent=percent))
        if self.lists_ended_runs:
            statuses += [workers.RunStatus(end.task, end.run) for end in self.ends]
        remaining_ms = None
        if self.condition is workers.Condition.DRAINING:
            remaining_ms = int((self.leaves_s - now_s) * MILLISECONDS_PER_SECOND)
        heartbeat = workers.Heartbeat(
            self.node,
            POOL,
            self.condition,
            CAPACITY,
            self.labels,
            "r1",
            1,
            self.born_count,
            remaining_ms=remaining_ms,
            data_centre=self.data_centre,
            cold_remaining_ms=int(max(0.0, self.cold_until_s - now_s) * MILLISECONDS_PER_SECOND),
        )
        return messages.AgentState(
            self.node,
            heartbeat,
            self.incarnation,
            is_answering=True,
            has_lapsed=self.has_lapsed,
            runs=tuple(statuses),
            ends=tuple(self.ends),
        )
