"""In-memory worker runtime: tasks run under leases, and their usage is reported with a lag."""

import math

import anyio
import attrs

from papayaspar_model import clock, errors
from papayaspar_platform import runtimes
from papayaspar_standin import faults

USAGE_LAG_S = 1.0


@attrs.frozen
class Run:
    """One interval in which a task ran, for assertions in tests.

    :param task_id: id of the task.
    :param job_id: id of the task's job.
    :param attempt: attempt number of the job.
    :param started_s: start time on the runtime's clock.
    :param stopped_s: stop time on the runtime's clock; infinite while the task runs.
    """

    task_id: str
    job_id: str
    attempt: int
    started_s: float
    stopped_s: float


@attrs.define
class _Task:
    """A task with its state, lease and progress."""

    spec: runtimes.TaskSpec
    state: runtimes.TaskState = runtimes.TaskState.PREPARED
    lease_until_s: float = 0.0
    started: bool = False
    started_s: float = 0.0
    stopped_s: float = math.inf
    work_s: float = 0.0
    work_updated_s: float = 0.0
    share_ratio: float = 1.0
    checkpoint_s: float = 0.0


class MemoryRuntime(runtimes.Runtime):
    """A runtime for tests and embedding.

    :param clock_source: clock that leases are measured on; the boot clock by default.
    :param run_time_ratio: ratio of a task's actual run time to its declared run time.
    :param usage_lag_s: delay of the reported usage, in seconds.
    """

    def __init__(
        self,
        clock_source: clock.Clock | None = None,
        run_time_ratio: float = 1.0,
        usage_lag_s: float = USAGE_LAG_S,
    ) -> None:
        self.faults = faults.WorkerFaults()
        self._clock = clock_source or clock.BootClock()
        self._run_time_ratio = run_time_ratio
        self._usage_lag_s = usage_lag_s
        self._tasks: dict[str, _Task] = {}

    async def prepare(self, spec: runtimes.TaskSpec) -> None:
        """Prepare a task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        self._tasks.setdefault(spec.task_id, _Task(spec))

    async def start(self, task_id: str, lease_until_s: float) -> None:
        """Start a prepared task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        task = self._update(task_id)
        if task is None:
            raise errors.TargetError(f"task {task_id} is not prepared")
        if task.state is runtimes.TaskState.RUNNING:
            task.lease_until_s = max(task.lease_until_s, lease_until_s)
            return
        if task.state is not runtimes.TaskState.PREPARED:
            raise errors.TargetError(f"task {task_id} has ended", ran=errors.Ran.YES)
        self._check_accelerators_free(task)
        now_s = self._clock.now_s()
        if lease_until_s <= now_s:
            raise errors.LeaseLostError(f"the lease of task {task_id} has expired")
        task.lease_until_s = lease_until_s
        task.started = True
        task.started_s = now_s
        task.work_updated_s = now_s
        task.state = runtimes.TaskState.RUNNING
        if self.faults.fail:
            _end(task, runtimes.TaskState.FAILED, now_s)

    async def renew(self, task_id: str, lease_until_s: float) -> runtimes.TaskStatus:
        """Renew a task's lease; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        task = self._update(task_id)
        if task is not None and task.state is runtimes.TaskState.RUNNING:
            task.lease_until_s = max(task.lease_until_s, lease_until_s)
        return self._status(task_id, task)

    async def throttle(self, task_id: str, share_ratio: float) -> None:
        """Limit a task's share; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        task = self._update(task_id)
        if task is not None:
            task.share_ratio = min(max(share_ratio, 0.0), 1.0)

    async def checkpoint(self, task_id: str) -> float:
        """Save a task's progress; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        task = self._update(task_id)
        if task is None or task.state is not runtimes.TaskState.RUNNING:
            raise errors.TargetError(f"task {task_id} is not running")
        if self.faults.fail:
            raise errors.TargetError(f"task {task_id} can't save its progress")
        task.checkpoint_s = task.work_s
        return task.checkpoint_s

    async def stop(self, task_id: str) -> None:
        """Stop a task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        task = self._update(task_id)
        if task is None:
            return
        if task.state in (runtimes.TaskState.PREPARED, runtimes.TaskState.RUNNING):
            _end(task, runtimes.TaskState.STOPPED, self._clock.now_s())

    async def status(self, task_id: str) -> runtimes.TaskStatus:
        """Return a task's status; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await anyio.sleep(self.faults.slow_s)
        return self._status(task_id, self._update(task_id))

    def runs(self) -> tuple[Run, ...]:
        """Return every run since the runtime was created, for assertions in tests."""
        runs: list[Run] = []
        for task_id in self._tasks:
            task = self._update(task_id)
            if task is None or not task.started:
                continue
            spec = task.spec
            runs.append(Run(task_id, spec.job_id, spec.attempt, task.started_s, task.stopped_s))
        return tuple(runs)

    def _check_accelerators_free(self, task: _Task) -> None:
        """Raise an error if another running task uses one of the accelerators."""
        required = set(task.spec.accelerators)
        for task_id in self._tasks:
            other = self._update(task_id)
            if other is None or other.state is not runtimes.TaskState.RUNNING:
                continue
            if required & set(other.spec.accelerators):
                raise errors.TargetError(f"task {task_id} uses some of the required accelerators")

    def _update(self, task_id: str) -> _Task | None:
        """Return a task, updated to the current time: completed, lease expired or progressed."""
        task = self._tasks.get(task_id)
        if task is None or task.state is not runtimes.TaskState.RUNNING:
            return task
        now_s = self._clock.now_s()
        completion_s = self._completion_s(task)
        if completion_s <= min(now_s, task.lease_until_s):
            _end(task, runtimes.TaskState.DONE, completion_s)
        elif task.lease_until_s <= now_s:
            _end(task, runtimes.TaskState.STOPPED, task.lease_until_s)
        else:
            _add_work(task, now_s)
        return task

    def _completion_s(self, task: _Task) -> float:
        """Return the time at which a running task completes its work."""
        remaining_s = task.spec.run_time_s * self._run_time_ratio - task.work_s
        if remaining_s <= 0:
            return task.work_updated_s
        if task.share_ratio == 0.0:
            return math.inf
        return task.work_updated_s + remaining_s / task.share_ratio

    def _status(self, task_id: str, task: _Task | None) -> runtimes.TaskStatus:
        """Return the status to report, with the usage lag."""
        if task is None:
            return runtimes.TaskStatus(task_id, runtimes.TaskState.STOPPED, 0.0, 0.0)
        until_s = min(task.stopped_s, self._clock.now_s()) - self._usage_lag_s
        ran_s = 0.0
        if task.started:
            ran_s = max(0.0, until_s - task.started_s)
        return runtimes.TaskStatus(task_id, task.state, ran_s, task.checkpoint_s)


def _add_work(task: _Task, until_s: float) -> None:
    """Add the work done since the last update."""
    task.work_s += max(0.0, until_s - task.work_updated_s) * task.share_ratio
    task.work_updated_s = until_s


def _end(task: _Task, state: runtimes.TaskState, stopped_s: float) -> None:
    """Set the final state and the stop time of a task."""
    if task.state is runtimes.TaskState.RUNNING:
        _add_work(task, stopped_s)
    task.state = state
    task.stopped_s = stopped_s
