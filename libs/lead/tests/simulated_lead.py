"""The parts of a lead that a simulation replaces or observes: links, writer, spawner, workload."""

from collections.abc import Callable, Coroutine
from typing import Any

from papayaspar_events import journal, lines
from papayaspar_jobs import evacuations, tasks, units
from papayaspar_lead import links, state, workload
from papayaspar_model import errors
from papayaspar_runs import messages, workers
from papayaspar_scheduling import fleet, ordering, planner
from papayaspar_store import stores, writing

from . import simulated_workers


def run_now(coroutine: Coroutine[Any, Any, object]) -> None:
    """Run a coroutine that waits for nothing to its end."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


class Observer:
    """Receiver of what a lead learns and does; each check overrides what it needs."""

    def note_lead(self) -> None:
        """Handle a new lead, which has only the stored records."""

    def note_end(self, node: str, task: units.Task, kind: tasks.EndKind, now_s: float) -> None:
        """Handle an end before the lead applies it to the run's current assignment."""

    def note_health(self, node: str, started_s: float) -> None:
        """Handle lasting progress of a run."""

    def note_stall(self, node: str) -> None:
        """Handle a run on a worker that the lead takes for stalled."""

    def note_acknowledged(self, end: workers.RunResult) -> None:
        """Handle a result whose effects are stored."""

    def before_plan(self) -> None:
        """Handle the beginning of a planning round."""

    def note_start(self, unit: units.Unit) -> None:
        """Handle an assignment of the newest planning round."""

    def after_plan(self) -> None:
        """Handle the end of a planning round."""


class SimulatedLink(links.AgentLink):
    """A link whose stream is a call of the worker."""

    def __init__(
        self,
        worker: simulated_workers.SimulatedWorker,
        observer: Observer,
        find_unit: Callable[[tasks.TaskKey], units.Unit],
        *arguments: Any,
    ) -> None:
        super().__init__(*arguments)
        self.simulated = worker
        self._observer = observer
        self._is_up = False
        self._find_unit = find_unit

    @property
    def is_attached(self) -> bool:
        return self._is_up

    def exchange(self, now_s: float, is_confirmed: bool) -> None:
        """Attach or lose the stream as the worker's state has it, and deliver its report."""
        if self.simulated.incarnation is None or now_s < self.simulated.cut_until_s:
            self.disconnect()
            return
        previous, self._is_up = (self.state if self._is_up else None), True
        self._apply_state(self.simulated.report(now_s), previous)
        if is_confirmed:
            run_now(self.handle_call(None, messages.Vouch(self.node)))
            self.simulated.confirmed_s, self.simulated.has_lapsed = now_s, False

    def stop_dialling(self) -> None:
        self.disconnect()

    def disconnect(self) -> None:
        if not self._is_up:
            return
        self._is_up = False
        self.disconnected_since_s = self._clock.now_s()
        self._owner.handle_link_lost(self)

    def _check_stream(self) -> None:
        if not self._is_up:
            raise errors.PeerError("the agent is not attached")

    async def start(self, order: messages.StartRun) -> messages.StartOutcome:
        self._check_stream()
        reason = self.simulated.refusal(order)
        if reason is None:
            self.simulated.start(order, self._find_unit(order.task), self._clock.now_s())
        if self.simulated.loses_answers:
            self.simulated.loses_answers = False
            raise errors.PeerError("the answer was lost")
        return messages.StartOutcome(reason is None, reason)

    async def stop(self, task: tasks.TaskKey, run: int) -> None:
        self._check_stream()
        stopped = self.simulated.runs.get((task, run))
        if stopped is not None:
            stopped.end_early(self._clock.now_s() + simulated_workers.STOP_S, tasks.EndKind.STOPPED)

    async def acknowledge(self, incarnation: tasks.Incarnation, number: int) -> None:
        self._check_stream()
        if self.simulated.incarnation != incarnation:
            return
        for end in self.simulated.ends:
            if end.number <= number:
                self._observer.note_acknowledged(end)
        self.simulated.ends = [end for end in self.simulated.ends if end.number > number]


class RequestedEvacuations(evacuations.EvacuationSource):
    """Evacuations that a test requests; ``read_age_s`` is the age of the newest read."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = evacuations.Evacuations()
        self.read_age_s = 0.0

    def begin(self, data_centre: str) -> None:
        request = evacuations.Evacuation(data_centre, 1, simulated_workers.START_S)
        self.requests = self.requests.with_evacuation(request)

    def end(self, data_centre: str) -> None:
        self.requests = self.requests.without(data_centre)

    def current(self) -> evacuations.Evacuations:
        return self.requests

    def age_s(self) -> float:
        return self.read_age_s


class MemoryWriter(writing.EpochWriter):
    """A writer whose queue the simulation stores."""

    def __init__(self) -> None:
        self.queue: list[stores.KeyedRecord] = []
        self.confirmed_s = None

    def enqueue(self, *new_records: stores.KeyedRecord) -> None:
        self.queue += new_records

    async def write(self, *new_records: stores.KeyedRecord) -> None:
        self.queue += new_records

    def is_refused(self, key: str) -> bool:
        return False


class Spawner(state.TaskSpawner):
    """Keeps what the scheduler would run beside itself until the simulation runs it."""

    def __init__(self) -> None:
        self.calls: list[tuple[Callable[..., Coroutine[Any, Any, object]], tuple]] = []

    def start(self, function, *arguments) -> None:
        self.calls.append((function, arguments))


class ObservedJournal(journal.Journal):
    """A journal that tells an observer of stalled runs."""

    observer: Observer

    def record(self, kind: lines.EventKind, *, worker: str = "", **values: Any) -> None:
        if kind is lines.EventKind.TASK_STALLED:
            self.observer.note_stall(worker)
        super().record(kind, worker=worker, **values)


class ObservedWorkload(workload.Workload):
    """The workload of a lead; tells an observer what it applies."""

    def __init__(self, events: journal.Journal, observer: Observer) -> None:
        super().__init__(events)
        self._observer = observer

    def apply_end(self, node: str, end: workers.RunResult, now_s: float) -> None:
        task = self.find_task(end.task)
        if task is not None and task.record.run == end.run:
            is_assigned_here = task.is_assigned and task.record.node == node
            if is_assigned_here or (task.is_waiting and end.kind is tasks.EndKind.DONE):
                self._observer.note_end(node, task, end.kind, now_s)
        super().apply_end(node, end, now_s)

    def apply_progress(self, task: units.Task, run_status: workers.RunStatus, now_s: float) -> None:
        is_news = run_status.percent > task.percent
        super().apply_progress(task, run_status, now_s)
        if is_news and task.has_proven_start:
            self._observer.note_health(task.record.node, task.started_s)


class ObservedPlanner(planner.Planner):
    """The planner of a lead, which keeps the free capacity of its newest round, with its claims."""

    free: fleet.FreeCapacity | None = None

    def __init__(self) -> None:
        super().__init__(ordering.ByTeamShares())

    def plan(self, demands, free, *arguments):
        self.free = free
        return super().plan(demands, free, *arguments)
