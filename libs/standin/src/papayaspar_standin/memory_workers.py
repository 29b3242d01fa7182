"""In-memory worker: runs, leases, fencing tokens and run ends, with fault injection."""

import enum

import anyio
import attrs

from papayaspar_jobs import specs, tasks
from papayaspar_model import clock, errors
from papayaspar_runs import workers
from papayaspar_standin import scripts

MILLISECONDS_PER_SECOND = 1000.0
POLL_INTERVAL_S = 0.02
# Remaining time that a worker reports at the beginning of a drain.
DRAIN_REMAINING_MS = 3500


class WorkerFault(enum.Enum):
    """How the worker handles orders."""

    NONE = "none"
    # Never responds; calls have no effect.
    SILENT = "silent"
    # Has terminated; its VM refuses connections.
    GONE = "gone"
    # Runs on, but its VM refuses connections.
    REJECTED = "rejected"
    # Never responds to start orders, which take effect after a delay.
    LATE = "late"
    # Rejects start orders for lack of capacity.
    FULL = "full"
    # Every run fails.
    FAILS = "fails"
    # Executes calls, but never responds.
    MUTE = "mute"
    # Rejects all calls, because it is unhealthy.
    BUSY = "busy"


@attrs.define
class _Run:
    task: tasks.TaskKey
    run: int
    end_s: float
    run_time_s: float
    full_s: float
    planned_end: tasks.EndKind
    start_checkpoint: str = ""
    stop_s: float | None = None


@attrs.define
class RunRecorder:
    """Records all runs on all workers, for assertions in tests.

    :param starts: started runs as (task, run, worker), in order.
    :param checkpoints: checkpoint that each (task, run) resumed from, or empty.
    :param overlaps: tasks started while another run of the same task was running.
    :param restarts: tasks started after a run of the same task was done.
    :param running: workers on which each task is running.
    :param done: tasks with a run that ended as done.
    """

    starts: list[tuple[tasks.TaskKey, int, str]] = attrs.field(factory=list)
    checkpoints: dict[tuple[tasks.TaskKey, int], str] = attrs.field(factory=dict)
    overlaps: list[tasks.TaskKey] = attrs.field(factory=list)
    restarts: list[tasks.TaskKey] = attrs.field(factory=list)
    running: dict[tasks.TaskKey, set[str]] = attrs.field(factory=dict)
    done: set[tasks.TaskKey] = attrs.field(factory=set)

    def record_start(self, task: tasks.TaskKey, run: int, worker: str) -> None:
        """Record the start of a run."""
        self.starts.append((task, run, worker))
        if self.running.get(task):
            self.overlaps.append(task)
        if task in self.done:
            self.restarts.append(task)
        self.running.setdefault(task, set()).add(worker)

    def record_end(
        self, task: tasks.TaskKey, run: int, worker: str, kind: tasks.EndKind | None
    ) -> None:
        """Record the end of a run.

        :param kind: result of the run, or ``None`` if the worker lost it.
        """
        self.running.get(task, set()).discard(worker)
        if kind is tasks.EndKind.DONE:
            self.done.add(task)


class MemoryWorker(workers.Worker):
    """A worker that runs tasks in memory.

    :param name: id of the worker.
    :param run_recorder: recorder of all starts and ends of runs.
    :param clock_source: clock of the worker.
    :param lease_max_s: maximum remaining time of the lease, in seconds.
    :param run_time_s: run time of each task, in seconds.
    :param age_s: time since the start of the first incarnation, in seconds.
    """

    def __init__(
        self,
        name: str,
        run_recorder: RunRecorder,
        clock_source: clock.Clock,
        lease_max_s: float = 6.0,
        run_time_s: float = 0.2,
        age_s: float = 0.0,
    ) -> None:
        self.name = name
        self.fault = WorkerFault.NONE
        self.rack = "r1-1"
        self.data_centre = ""
        # Remaining time of the warm-up that heartbeats report.
        self.cold_remaining_ms = 0
        self.condition = workers.Condition.READY
        self.run_time_s = run_time_s
        self.start_delay_s = 2.0
        # Time from a stop order until the run ends.
        self.stop_time_s = 0.0
        self.saves_progress = False
        self.starts_to_delay = 0
        # Whether the remaining time that a draining worker reports passes.
        self.counts_down = False
        # Start of the drain that is reported, on the worker's clock.
        self._drained_s: float | None = None
        # Maximum number of results in one answer to a poll.
        self.ends_listed_max = 500
        self._wall_clock_offset_ms = 0
        self._age_ms = int(age_s * MILLISECONDS_PER_SECOND)
        self._run_recorder = run_recorder
        self._clock = clock_source
        self._lease_max_s = lease_max_s
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        wall_ms = int(self._clock.wall_s() * MILLISECONDS_PER_SECOND)
        self.born_ms = wall_ms + self._wall_clock_offset_ms - self._age_ms
        self._age_ms = 0
        self._incarnation_started_s = self._clock.now_s()
        self._token = 0
        self.lease_expiry_ms = 0
        self._runs: dict[tasks.TaskKey, _Run] = {}
        self._highest_runs: dict[tasks.TaskKey, int] = {}
        self._ends: list[workers.RunResult] = []
        self._end_count = 0
        self._delayed_starts: list[tuple[float, workers.StartOrder]] = []

    def crash(self, clock_back_ms: int = 0) -> None:
        """Lose all state and start a new incarnation.

        :param clock_back_ms: time that the worker's wall clock is set back, in milliseconds.
        """
        self._wall_clock_offset_ms -= clock_back_ms
        for run in self._runs.values():
            self._run_recorder.record_end(run.task, run.run, self.name, None)
        self._start_incarnation()

    def terminate(self) -> None:
        """Terminate all runs; the VM refuses connections from now on."""
        for run in self._runs.values():
            self._run_recorder.record_end(run.task, run.run, self.name, None)
        self._runs.clear()
        self.fault = WorkerFault.GONE

    def finish_runs(self) -> None:
        """End all runs successfully now."""
        for run in self._runs.values():
            run.end_s = self._clock.now_s()

    def heartbeat(self, sequence: int) -> workers.Heartbeat:
        """Return the worker's heartbeat message."""
        return workers.Heartbeat(
            worker=self.name,
            pool="pool",
            condition=self.condition,
            capacity=specs.Resources(64_000, 262_144, 8),
            labels=("a", self.rack),
            rack=self.rack,
            sequence=sequence,
            born_ms=self.born_ms,
            remaining_ms=self._remaining_ms(),
            data_centre=self.data_centre,
            cold_remaining_ms=self.cold_remaining_ms,
        )

    def _remaining_ms(self) -> int | None:
        """Return the time until a draining worker leaves, in milliseconds, or ``None``."""
        if self.condition is not workers.Condition.DRAINING:
            self._drained_s = None
            return None
        if self._drained_s is None or not self.counts_down:
            self._drained_s = self._clock.now_s()
        drained_ms = int((self._clock.now_s() - self._drained_s) * MILLISECONDS_PER_SECOND)
        return max(0, DRAIN_REMAINING_MS - drained_ms)

    def clock_ms(self) -> int:
        """Return the time since the incarnation started, in milliseconds."""
        return int((self._clock.now_s() - self._incarnation_started_s) * MILLISECONDS_PER_SECOND)

    async def start(self, order: workers.StartOrder) -> None:
        """Start a run, subject to the active fault."""
        await self._apply_fault()
        if self.fault is WorkerFault.FULL:
            raise workers.OrderRefusedError(workers.RefusalReason.ROOM)
        if self.starts_to_delay > 0 or self.fault is WorkerFault.LATE:
            self.starts_to_delay -= 1
            self._delayed_starts.append((self._clock.now_s() + self.start_delay_s, order))
            raise workers.WorkerError("no response", ran=errors.Ran.UNKNOWN)
        self._start_run(order)
        await self._drop_response()

    def _start_run(self, order: workers.StartOrder) -> None:
        self._check_token(order.token)
        current = self._runs.get(order.task)
        if current is not None and current.run == order.run:
            return
        if order.run <= self._highest_runs.get(order.task, 0) or current is not None:
            raise workers.OrderRefusedError(workers.RefusalReason.OLD_RUN)
        if order.expiry_ms <= self.clock_ms():
            raise workers.OrderRefusedError(workers.RefusalReason.LATE)
        self._extend_lease(order.expiry_ms)
        run_time_s, planned_end = self.run_time_s, tasks.EndKind.DONE
        script = scripts.parse(order.payload)
        if script.ends_s is not None:
            run_time_s = script.ends_s
        if script.covers(order.run):
            run_time_s, planned_end = script.run_time_s(order.task), script.end_kind(order.task)
        if self.fault is WorkerFault.FAILS:
            planned_end = tasks.EndKind.FAILED
        self._runs[order.task] = _Run(
            order.task,
            order.run,
            self._clock.now_s() + run_time_s,
            run_time_s,
            script.full_time_s(order.task, run_time_s),
            planned_end,
            order.checkpoint,
        )
        self._run_recorder.checkpoints[order.task, order.run] = order.checkpoint
        self._run_recorder.record_start(order.task, order.run, self.name)

    async def stop(self, task: tasks.TaskKey, run: int, token: int, worker: str) -> None:
        """Stop a run, or prevent its start if the start order arrives later."""
        await self._apply_fault()
        self._check_token(token)
        current = self._runs.get(task)
        if current is not None and current.run == run and current.stop_s is None:
            current.stop_s = self._clock.now_s() + self.stop_time_s
            self.advance()
        self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
        await self._drop_response()

    async def poll(
        self, token: int, acknowledged_number: int, expiry_ms: int | None, wait_ms: int, worker: str
    ) -> workers.WorkerStatus:
        """Check the token, renew the lease, and return the running and ended runs."""
        await self._apply_fault()
        self._check_token(token)
        if expiry_ms is not None:
            self._extend_lease(expiry_ms)
        self._ends = [end for end in self._ends if end.number > acknowledged_number]
        until_s = self._clock.now_s() + wait_ms / MILLISECONDS_PER_SECOND
        while not self._ends and self._clock.now_s() < until_s:
            await anyio.sleep(POLL_INTERVAL_S)
            if self.fault in (WorkerFault.GONE, WorkerFault.REJECTED):
                raise workers.WorkerError("the connection was closed", ran=errors.Ran.UNKNOWN)
            self.advance()
        await self._drop_response()
        running = tuple(
            workers.RunStatus(
                run.task, run.run, checkpoint=self._checkpoint(run), percent=self._percent(run)
            )
            for run in self._runs.values()
        )
        listed = tuple(self._ends[: self.ends_listed_max])
        has_more_ends = len(listed) >= self.ends_listed_max
        return workers.WorkerStatus(
            self.clock_ms(), self.born_ms, running, listed, has_more_ends=has_more_ends
        )

    def _percent(self, run: _Run) -> float:
        worked_s = run.run_time_s - (run.end_s - self._clock.now_s())
        return max(0.0, min(100.0, worked_s * 100.0 / run.full_s)) // 1

    def _checkpoint(self, run: _Run) -> str:
        if not self.saves_progress or self._percent(run) < 1:
            return run.start_checkpoint
        return f"{run.run}-{self._percent(run):.0f}"

    async def _apply_fault(self) -> None:
        if self.fault is WorkerFault.SILENT:
            await anyio.sleep(0.5)
            raise workers.WorkerError("no response", ran=errors.Ran.UNKNOWN)
        if self.fault is WorkerFault.GONE:
            raise workers.NotListeningError("no process listens on the port")
        if self.fault is WorkerFault.BUSY:
            raise workers.OrderRefusedError(workers.RefusalReason.UNHEALTHY)
        self.advance()
        if self.fault is WorkerFault.REJECTED:
            raise workers.NotListeningError("the connection was refused")

    async def _drop_response(self) -> None:
        """Raise the error of a call that was executed, if its response gets lost."""
        if self.fault is WorkerFault.MUTE:
            await anyio.sleep(0.5)
            raise workers.WorkerError("no response", ran=errors.Ran.UNKNOWN)

    def _check_token(self, token: int) -> None:
        if token < self._token:
            raise workers.OrderRefusedError(workers.RefusalReason.TOKEN)
        self._token = token

    def _extend_lease(self, expiry_ms: int) -> None:
        expiry_max_ms = self.clock_ms() + int(self._lease_max_s * MILLISECONDS_PER_SECOND)
        self.lease_expiry_ms = max(self.lease_expiry_ms, min(expiry_ms, expiry_max_ms))

    def advance(self) -> None:
        """Apply delayed start orders, ends of runs and lease expiry up to the current time."""
        now_s = self._clock.now_s()
        for due_s, order in list(self._delayed_starts):
            if due_s > now_s:
                continue
            self._delayed_starts.remove((due_s, order))
            try:
                self._start_run(order)
            except workers.OrderRefusedError:
                # No caller waits for the response to a delayed order, so the rejection is ignored.
                continue
        for run in list(self._runs.values()):
            if self.lease_expiry_ms <= self.clock_ms():
                self._end_run(run, tasks.EndKind.EXPIRED)
            elif run.stop_s is not None and run.stop_s <= now_s:
                self._end_run(run, tasks.EndKind.STOPPED)
            elif run.end_s <= now_s:
                self._end_run(run, run.planned_end)

    def _end_run(self, run: _Run, kind: tasks.EndKind) -> None:
        del self._runs[run.task]
        self._highest_runs[run.task] = max(run.run, self._highest_runs.get(run.task, 0))
        self._end_count += 1
        self._ends.append(workers.RunResult(self._end_count, run.task, run.run, kind))
        self._run_recorder.record_end(run.task, run.run, self.name, kind)
