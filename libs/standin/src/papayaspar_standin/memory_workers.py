"""A worker of the users' platform in memory: runs, leases, tokens, ends, and its faults."""

import enum

import anyio
import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_model import clock, errors
from papayaspar_runs import workers

MILLISECONDS_PER_SECOND = 1000.0
POLL_S = 0.02
# Time that a draining worker says is left.
DRAIN_MS = 3500


class WorkerFault(enum.Enum):
    """What the worker does with orders."""

    NONE = "none"
    # Takes no calls.
    SILENT = "silent"
    # Answers no starts and carries them out later.
    LATE = "late"
    # Refuses starts for want of room.
    FULL = "full"
    # Fails all that it starts.
    FAILS = "fails"


@attrs.define
class _Run:
    task: tasks.TaskKey
    run: int
    ends_s: float
    will_fail: bool
    from_checkpoint: str = ""
    stops_s: float | None = None


@attrs.define
class TaskWitness:
    """Every run of every task that workers saw, for checks.

    :param starts: (task, run, worker) in order.
    :param checkpoints: checkpoint from which each (task, run) went on, or empty.
    :param overlaps: tasks that ran twice at the same time.
    :param restarts: tasks that were started after an end as done.
    """

    starts: list[tuple[tasks.TaskKey, int, str]] = attrs.field(factory=list)
    checkpoints: dict[tuple[tasks.TaskKey, int], str] = attrs.field(factory=dict)
    overlaps: list[tasks.TaskKey] = attrs.field(factory=list)
    restarts: list[tasks.TaskKey] = attrs.field(factory=list)
    running: dict[tasks.TaskKey, set[str]] = attrs.field(factory=dict)
    done: set[tasks.TaskKey] = attrs.field(factory=set)

    def began(self, task: tasks.TaskKey, run: int, worker: str) -> None:
        """Note a start."""
        self.starts.append((task, run, worker))
        if self.running.get(task):
            self.overlaps.append(task)
        if task in self.done:
            self.restarts.append(task)
        self.running.setdefault(task, set()).add(worker)

    def ended(self, task: tasks.TaskKey, worker: str, is_done: bool) -> None:
        """Note an end."""
        self.running.get(task, set()).discard(worker)
        if is_done:
            self.done.add(task)


class MemoryWorker(workers.Worker):
    """One worker.

    :param name: its id.
    :param witness: sees all starts and ends.
    :param source: time.
    :param lease_max_s: longest lease.
    :param run_time_s: how long its tasks take.
    """

    def __init__(
        self,
        name: str,
        witness: TaskWitness,
        source: clock.Clock,
        lease_max_s: float = 6.0,
        run_time_s: float = 0.2,
    ) -> None:
        self.name = name
        self.fault = WorkerFault.NONE
        self.rack = "r1-1"
        self.condition = workers.Condition.READY
        self.run_time_s = run_time_s
        self.late_by_s = 2.0
        self.stop_time_s = 0.0
        self.saves_progress = False
        self.late_starts = 0
        self._clock_ahead_ms = 0
        self._witness = witness
        self._clock = source
        self._lease_max_s = lease_max_s
        self._begin()

    def _begin(self) -> None:
        self.born_ms = int(self._clock.now_s() * MILLISECONDS_PER_SECOND) + self._clock_ahead_ms
        self._born_s = self._clock.now_s()
        self._token = 0
        self.expiry_ms = 0
        self._runs: dict[tasks.TaskKey, _Run] = {}
        self._highest: dict[tasks.TaskKey, int] = {}
        self._ends: list[workers.EndRow] = []
        self._end_count = 0
        self._late: list[tuple[float, workers.StartOrder]] = []

    def crash(self, clock_back_ms: int = 0) -> None:
        """Lose everything and begin another life, perhaps under a clock that was set back."""
        self._clock_ahead_ms -= clock_back_ms
        for run in self._runs.values():
            self._witness.ended(run.task, self.name, is_done=False)
        self._begin()

    def leave(self) -> None:
        """End for good, with all that runs here."""
        for run in self._runs.values():
            self._witness.ended(run.task, self.name, is_done=False)
        self._runs.clear()
        self.fault = WorkerFault.SILENT

    def heartbeat(self, sequence: int) -> workers.Heartbeat:
        """Return what it says of itself."""
        return workers.Heartbeat(
            worker=self.name,
            pool="pool",
            condition=self.condition,
            capacity=specs.Resources(64_000, 262_144, 8),
            labels=("a", self.rack),
            rack=self.rack,
            sequence=sequence,
            born_ms=self.born_ms,
            remaining_ms=DRAIN_MS if self.condition is workers.Condition.DRAINING else None,
        )

    def clock_ms(self) -> int:
        """Return its steady clock."""
        return int((self._clock.now_s() - self._born_s) * MILLISECONDS_PER_SECOND)

    async def start(self, order: workers.StartOrder) -> None:
        """Start a run."""
        await self._suffer()
        if self.fault is WorkerFault.FULL:
            raise workers.OrderRefusedError(workers.RefusalReason.ROOM)
        if self.late_starts > 0 or self.fault is WorkerFault.LATE:
            self.late_starts -= 1
            self._late.append((self._clock.now_s() + self.late_by_s, order))
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)
        self._start(order)

    def _start(self, order: workers.StartOrder) -> None:
        self._check_token(order.token)
        known = self._runs.get(order.task)
        if known is not None and known.run == order.run:
            return
        if order.run <= self._highest.get(order.task, 0) or known is not None:
            raise workers.OrderRefusedError(workers.RefusalReason.OLD_RUN)
        if order.expiry_ms <= self.clock_ms():
            raise workers.OrderRefusedError(workers.RefusalReason.LATE)
        self._extend(order.expiry_ms)
        will_fail = self.fault is WorkerFault.FAILS
        ends_s = self._clock.now_s() + self.run_time_s
        self._runs[order.task] = _Run(order.task, order.run, ends_s, will_fail, order.checkpoint)
        self._witness.checkpoints[order.task, order.run] = order.checkpoint
        self._witness.began(order.task, order.run, self.name)

    async def stop(self, task: tasks.TaskKey, run: int, token: int, worker: str) -> None:
        """Stop a run, or see that it never starts."""
        await self._suffer()
        self._check_token(token)
        known = self._runs.get(task)
        if known is not None and known.run == run and known.stops_s is None:
            known.stops_s = self._clock.now_s() + self.stop_time_s
            self.advance()
        self._highest[task] = max(run, self._highest.get(task, 0))

    async def look(
        self, token: int, seen_end: int, expiry_ms: int | None, wait_ms: int, worker: str
    ) -> workers.Look:
        """Confirm a token, renew the lease, and return what runs and ended."""
        await self._suffer()
        self._check_token(token)
        if expiry_ms is not None:
            self._extend(expiry_ms)
        self._ends = [end for end in self._ends if end.number > seen_end]
        until_s = self._clock.now_s() + wait_ms / MILLISECONDS_PER_SECOND
        while not self._ends and self._clock.now_s() < until_s:
            await anyio.sleep(POLL_S)
            self.advance()
        running = tuple(
            workers.RunningRow(
                run.task, run.run, checkpoint=self._checkpoint(run), percent=self._percent(run)
            )
            for run in self._runs.values()
        )
        return workers.Look(self.clock_ms(), self.born_ms, running, tuple(self._ends))

    def _percent(self, run: _Run) -> float:
        worked_s = self.run_time_s - (run.ends_s - self._clock.now_s())
        return max(0.0, min(100.0, worked_s * 100.0 / self.run_time_s)) // 1

    def _checkpoint(self, run: _Run) -> str:
        if not self.saves_progress or self._percent(run) < 1:
            return run.from_checkpoint
        return f"{run.run}-{self._percent(run):.0f}"

    async def _suffer(self) -> None:
        if self.fault is WorkerFault.SILENT:
            await anyio.sleep(0.5)
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)
        self.advance()

    def _check_token(self, token: int) -> None:
        if token < self._token:
            raise workers.OrderRefusedError(workers.RefusalReason.TOKEN)
        self._token = token

    def _extend(self, expiry_ms: int) -> None:
        longest_ms = self.clock_ms() + int(self._lease_max_s * MILLISECONDS_PER_SECOND)
        self.expiry_ms = max(self.expiry_ms, min(expiry_ms, longest_ms))

    def advance(self) -> None:
        """Let time have its effect: late orders, ends, the lease."""
        now_s = self._clock.now_s()
        for due_s, order in list(self._late):
            if due_s > now_s:
                continue
            self._late.remove((due_s, order))
            try:
                self._start(order)
            except workers.OrderRefusedError:
                # Refused as any order would be; nobody waits for the answer.
                continue
        for run in list(self._runs.values()):
            if self.expiry_ms <= self.clock_ms():
                self._end(run, tasks.EndKind.EXPIRED)
            elif run.stops_s is not None and run.stops_s <= now_s:
                self._end(run, tasks.EndKind.STOPPED)
            elif run.ends_s <= now_s:
                self._end(run, tasks.EndKind.FAILED if run.will_fail else tasks.EndKind.DONE)

    def _end(self, run: _Run, kind: tasks.EndKind) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._end_count += 1
        self._ends.append(workers.EndRow(self._end_count, run.task, run.run, kind))
        self._witness.ended(run.task, self.name, is_done=kind is tasks.EndKind.DONE)
