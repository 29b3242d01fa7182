"""A fleet in virtual time: the real scheduler of a lead, beside workers and a store in memory.

The scheduler, its workload, reconciler, orders, recorder, planner and links are the real ones. The
simulation takes the place of the streams, the store and the event loop: coroutines of the scheduler
run to their end at once, starts when their answer is due.
"""

from collections.abc import Iterable

import attrs

from papayaspar_events import metrics
from papayaspar_jobs import configurations, specs, tasks, units
from papayaspar_lead import planning_inputs, scheduling, workload
from papayaspar_model import causality, clock
from papayaspar_runs import lease, workers
from papayaspar_store import records, stores, views

from . import simulated_lead, simulated_workers

MILLISECONDS_PER_SECOND = 1000.0
TICK_S = scheduling.PLAN_INTERVAL_S
LEASE_MAX_S = 6.0
# A worker without a confirmation ends its runs after the leases of its agent and its own, before
# the lead counts them as ended.
WORKER_EXPIRY_S = lease.AGENT_LEAD_LEASE_S + LEASE_MAX_S
# Coroutines of the scheduler that do not wait for the store.
STOPS = ("_stop_task", "stop_run")
QUEUES = (
    configurations.Queue(
        "urgent", "host", "/urgent/", simulated_workers.POOL, 3000, 0, 3, 4.0, 2000
    ),
    configurations.Queue(
        "normal", "host", "/normal/", simulated_workers.POOL, 3000, 1, 2, 4.0, 2000
    ),
    configurations.Queue("bulk", "host", "/bulk/", simulated_workers.POOL, 3000, 2, 4, 8.0, 60_000),
)
GUARANTEED_TEAM = "guaranteed"
TEAMS = (
    configurations.Team(GUARANTEED_TEAM, frozenset({"k1"}), 16),
    configurations.Team("other", frozenset({"k2"})),
)


@attrs.frozen
class PendingStart:
    """A start that waits for the store, and then for its answer."""

    unit: units.Unit
    run: int
    due_s: float


class Simulation:
    """Leads that follow one another, the store, and the workers.

    :param observer: receiver of what the leads learn and do.
    :param evacuation_s: bound on starts after the request of an evacuation, in seconds.
    """

    def __init__(
        self, observer: simulated_lead.Observer, evacuation_s: float | None = None
    ) -> None:
        self.evacuation_s = evacuation_s
        self.evacuations = simulated_lead.RequestedEvacuations()
        self.clock = clock.ManualClock(simulated_workers.START_S)
        self.hybrid_clock = causality.HybridClock(self.clock)
        self.events = simulated_lead.ObservedJournal(
            "entry", "dc", self.hybrid_clock, metrics.Metrics()
        )
        self.events.observer = observer
        self.view = views.SharedView(self.clock)
        self.observer = observer
        self.workers: dict[str, simulated_workers.SimulatedWorker] = {}
        self.stored: dict[str, stores.KeyedRecord] = {}
        self.is_lead_present = False
        self.store_away_until_s = self.lead_from_s = float("-inf")
        self.start_delay_s = 0.0
        self.epoch = self.job_count = 0
        for node in simulated_workers.NODES:
            labels = (simulated_workers.SPECIAL,) if node in simulated_workers.SPECIAL_NODES else ()
            worker = simulated_workers.SimulatedWorker(node, labels)
            worker.join(simulated_workers.START_S)
            self.workers[node] = worker
            self._register(node)
        self._take_lead()

    def _register(self, node: str) -> None:
        self.view.agents[node] = records.AgentRecord(node, "127.0.0.1:1", node)

    @property
    def now_s(self) -> float:
        return self.clock.now_s()

    @property
    def work(self) -> workload.Workload:
        return self.scheduler._state.work

    @property
    def is_store_away(self) -> bool:
        return self.now_s < self.store_away_until_s

    def _find_unit(self, key: tasks.TaskKey) -> units.Unit:
        task = self.work.find_task(key)
        assert task is not None
        return task.unit

    def links(self) -> dict[str, simulated_lead.SimulatedLink]:
        """Return the links of the lead by VM."""
        return dict(self.scheduler._state.links)

    def is_open(self, node: str) -> bool:
        """Return whether the lead may start work on a VM, as far as its agent is concerned."""
        link = self.links().get(node)
        return link is not None and link.is_attached and link.worker.is_open

    # The lead.

    def _take_lead(self) -> None:
        self.epoch += 1
        self.is_lead_present = True
        self.shared, self.tasks_writer, self.spawner = (
            simulated_lead.MemoryWriter(),
            simulated_lead.MemoryWriter(),
            simulated_lead.Spawner(),
        )
        self.starts: list[PendingStart] = []
        self.scheduler = scheduling.Scheduler(
            "lead",
            self.epoch,
            self.view,
            None,
            self.shared,
            self.tasks_writer,
            self.now_s,
            scheduling.SchedulerLimits(
                LEASE_MAX_S, retention_s=float("inf"), evacuation_s=self.evacuation_s
            ),
            self.clock,
            self.hybrid_clock,
            self.events,
            self.evacuations,
        )
        self.planner = self.scheduler._planner = simulated_lead.ObservedPlanner()
        lead_state = self.scheduler._state
        lead_state.work = simulated_lead.ObservedWorkload(self.events, self.observer)
        self.scheduler._inputs = planning_inputs.PlanningInputs(lead_state.work)
        lead_state.spawner = self.spawner
        simulated_lead.run_now(
            self.scheduler.restore(stores.Snapshot(0, tuple(self.stored.values())))
        )
        self.scheduler.configure(configurations.Configuration(1, QUEUES, TEAMS))
        self._make_links()
        self.observer.note_lead()

    def _make_links(self) -> None:
        """Make the links of the registered agents; the lead forgets those that were long away."""
        known = self.scheduler._state.links
        for node, record in self.view.agents.items():
            if node in known:
                continue
            known[node] = simulated_lead.SimulatedLink(
                self.workers[node],
                self.observer,
                self._find_unit,
                record,
                self.scheduler,
                self.epoch,
                "lead",
                LEASE_MAX_S,
                self.now_s,
                self.clock,
                self.hybrid_clock,
                self.events,
            )

    def lose_lead(self, stored_count: int, gap_s: float) -> None:
        """End the lead after some of its queued records were stored."""
        if not self.is_lead_present:
            return
        self._store(self.tasks_writer.queue[:stored_count])
        for start in self.starts:
            self._order_unanswered(start)
        self.is_lead_present, self.lead_from_s = False, self.now_s + gap_s

    def _order_unanswered(self, start: PendingStart) -> None:
        """Execute a start whose answer no lead reads, if its assignment is stored."""
        for task in start.unit.members:
            stored = self.stored.get(f"{records.TASK_PREFIX}{task.key}")
            if stored is None or stored.value != records.encode("", task.record).value:
                continue
            if not task.is_starting or task.is_stopping or task.record.run != start.run:
                continue
            worker = self.workers[task.record.node]
            worker.loses_answers = True
            simulated_lead.run_now(self.scheduler._orders._start_task(start.unit, task, start.run))
            worker.loses_answers = False

    # The store and the orders.

    def _store(self, new_records: Iterable[stores.KeyedRecord]) -> None:
        self.stored.update((record.key, record) for record in new_records)

    def _run_spawned(self) -> None:
        """Order the stops, store what is queued, and run what waited for it."""
        calls, self.spawner.calls = self.spawner.calls, []
        for function, arguments in calls:
            if function.__name__ in STOPS:
                simulated_lead.run_now(function(*arguments))
                continue
            self.spawner.calls.append((function, arguments))
        if self.is_store_away:
            return
        while self.spawner.calls or self.tasks_writer.queue or self.shared.queue or self._due():
            self._store(self.tasks_writer.queue)
            for record in self.shared.queue:
                self.view.apply(record)
            self.tasks_writer.queue, self.shared.queue = [], []
            calls, self.spawner.calls = self.spawner.calls, []
            for function, arguments in calls:
                if function.__name__ != "_start_unit":
                    simulated_lead.run_now(function(*arguments))
                    continue
                unit, run, _ = arguments
                self.starts.append(PendingStart(unit, run, self.now_s + self.start_delay_s))
            for start in self._due():
                self.starts.remove(start)
                self._start_unit(start.unit, start.run)

    def _due(self) -> list[PendingStart]:
        return [start for start in self.starts if start.due_s <= self.now_s]

    def _start_unit(self, unit: units.Unit, run: int) -> None:
        """Order the starts of a unit, as ``Orders._start_unit`` does it in a task group."""
        orders = self.scheduler._orders
        for task in unit.members:
            simulated_lead.run_now(orders._start_task(unit, task, run))
        if any(task.record.run == run and task.is_waiting for task in unit.members):
            orders.stop_unit(unit, "a member did not start")
        self.scheduler._recorder.flush()

    # Time.

    def tick(self) -> None:
        """Let one planning interval pass."""
        self.clock.advance(TICK_S)
        self._end_runs()
        if not self.is_lead_present and self.now_s >= self.lead_from_s and not self.is_store_away:
            self._take_lead()
        if not self.is_lead_present:
            return
        if not self.is_store_away:
            self.shared.confirmed_s = self.now_s
        self._run_spawned()
        is_confirmed = self.scheduler.is_lead_lease_valid()
        self._make_links()
        for link in self.links().values():
            link.exchange(self.now_s, is_confirmed)
        self._run_spawned()
        self.observer.before_plan()
        former_count = len(self.spawner.calls)
        self.scheduler._plan()
        for function, arguments in self.spawner.calls[former_count:]:
            if function.__name__ == "_start_unit":
                self.observer.note_start(arguments[0])
        self.observer.after_plan()
        self._run_spawned()

    def _end_runs(self) -> None:
        """End the runs that are due, and what depends on them."""
        for worker in self.workers.values():
            if worker.is_failing or worker.is_refusing:
                worker.ill_s = self.now_s
            if worker.leaves_s <= self.now_s:
                self.leave(worker)
            if self.now_s - worker.confirmed_s >= WORKER_EXPIRY_S:
                worker.has_lapsed = worker.incarnation is not None
                for run in worker.runs.values():
                    run.end_early(self.now_s, tasks.EndKind.EXPIRED)
            for run_id, run in sorted(worker.runs.items()):
                if run.ends_s > self.now_s:
                    continue
                worker.end(run_id, run.kind)
                self._end_others(run_id, run, run.kind)

    def _end_others(
        self, run_id: tuple[tasks.TaskKey, int], ended: simulated_workers.Run, kind: tasks.EndKind
    ) -> None:
        """Let the other members of a gang's run end: they run on only together."""
        if len(ended.unit.members) == 1:
            return
        keys = {member.key for member in ended.unit.members}
        is_done = kind is tasks.EndKind.DONE
        for worker in self.workers.values():
            for (key, number), run in worker.runs.items():
                if key not in keys or number != run_id[1]:
                    continue
                if run.kind is tasks.EndKind.FAILED:
                    # It fails by itself; several members may.
                    continue
                other_kind = tasks.EndKind.DONE if is_done else tasks.EndKind.BROKEN
                run.end_early(
                    self.now_s if is_done else self.now_s + simulated_workers.BREAK_S, other_kind
                )

    # What callers, workers and the network do.

    def submit(self, step: specs.Step, queue: configurations.Queue, team: str, payload: str) -> str:
        self.job_count += 1
        job_id = f"{self.job_count:016x}"
        spec = specs.JobSpec(job_id, queue.name, team, payload, (step,))
        self.view.jobs.accept(spec, queue, int(self.now_s * MILLISECONDS_PER_SECOND))
        return job_id

    def cancel(self, job_id: str) -> None:
        self.view.jobs.cancel(job_id)

    def drain(self, worker: simulated_workers.SimulatedWorker) -> None:
        if worker.incarnation is None or worker.condition is workers.Condition.DRAINING:
            return
        worker.condition = workers.Condition.DRAINING
        worker.leaves_s = self.now_s + simulated_workers.DRAIN_MS / MILLISECONDS_PER_SECOND

    def leave(self, worker: simulated_workers.SimulatedWorker) -> None:
        """Terminate a worker; its agent stores its departure."""
        if worker.incarnation is None:
            return
        lost = list(worker.runs.items())
        worker.runs = {}
        done = tuple(
            records.DoneRun(end.task, end.run)
            for end in worker.ends
            if end.kind is tasks.EndKind.DONE
        )
        departure = records.Departure(worker.incarnation, done)
        if worker.node in self.view.agents:
            record = attrs.evolve(self.view.agents[worker.node], departure=departure)
            self.view.agents[worker.node] = record
        worker.incarnation, worker.leaves_s = None, float("inf")
        for run_id, run in lost:
            self._end_others(run_id, run, tasks.EndKind.EXPIRED)

    def join(self, worker: simulated_workers.SimulatedWorker) -> None:
        if worker.incarnation is not None:
            return
        worker.join(self.now_s)
        if worker.node not in self.view.agents:
            self._register(worker.node)
