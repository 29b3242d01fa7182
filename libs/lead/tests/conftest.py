"""Fixtures that run a lead, agents and workers in one process on an in-memory store."""

import contextlib
import functools
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc
import attrs
import loguru
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, registries, specs, tasks
from papayaspar_lead import election, scheduling
from papayaspar_model import causality, clock
from papayaspar_runs import registration, service, worker_control
from papayaspar_standin import keyed_stores, memory_workers
from papayaspar_store import following, records, views
from papayaspar_wire import transports

from . import operator_records, simulated_lead, waiting_simulation

LOOPBACK = "127.0.0.1"
LEASE_MAX_S = 6.0
STREAM_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
LIMITS = scheduling.SchedulerLimits(LEASE_MAX_S)


@pytest.fixture
async def simulation() -> AsyncIterator[waiting_simulation.Simulation]:
    """Return a simulation of a lead in virtual time, while the journal writes no lines."""
    loguru.logger.disable(journal.__name__)
    yield waiting_simulation.Simulation(simulated_lead.Observer())
    loguru.logger.enable(journal.__name__)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def queue(**changes: object) -> configurations.Queue:
    """Return a queue."""
    base = configurations.Queue("checks", "host", "/checks/", "pool", 3000, 1, 2, 3.0, 1000)
    return attrs.evolve(base, **changes)  # type: ignore[arg-type]


@attrs.define
class EntryUnderTest:
    """The scheduling part of one entry; it reads the operators' records by a client of its own."""

    store: keyed_stores.MemoryStore
    operators_store: keyed_stores.MemoryStore
    view: views.SharedView
    follower: following.Follower
    election: election.LeaderElection
    scope: anyio.CancelScope


@attrs.define
class AgentUnderTest:
    """One agent with its worker."""

    worker: memory_workers.MemoryWorker
    store: keyed_stores.MemoryStore
    controller: worker_control.WorkerController
    service: service.LeadService
    scope: anyio.CancelScope


class BatchingRelay:
    """A relay that delays an agent's messages to the lead and delivers them together.

    :param target: address of the agent.
    :param delay_s: time for which messages are collected, in seconds.
    """

    def __init__(self, target: transports.Address, delay_s: float) -> None:
        self._target = target
        self._delay_s = delay_s

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Relay one stream until either side closes it."""
        upstream = await transports.connect(self._target)
        async with anyio.create_task_group() as group:
            group.start_soon(self._relay_orders, stream, upstream, group.cancel_scope)
            group.start_soon(self._relay_reports, upstream, stream, group.cancel_scope)

    async def _relay_orders(
        self,
        lead: anyio.abc.ByteStream,
        agent: anyio.abc.ByteStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                await agent.send(await lead.receive())
        except STREAM_ERRORS:
            scope.cancel()

    async def _relay_reports(
        self,
        agent: anyio.abc.ByteStream,
        lead: anyio.abc.ByteStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                collected = await agent.receive()
                with anyio.move_on_after(self._delay_s):
                    while True:
                        collected += await agent.receive()
                await lead.send(collected)
        except STREAM_ERRORS:
            scope.cancel()


class Cluster:
    """Entries and agents that share one store.

    :param group: task group of all entries and agents.
    """

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self._group = group
        self.clock = clock.BootClock()
        self.log = keyed_stores.KeyedLog()
        self.run_recorder = memory_workers.RunRecorder()
        self.entries: dict[str, EntryUnderTest] = {}
        self.agents: dict[str, AgentUnderTest] = {}
        self.limits = LIMITS
        self._process_count = 0

    def _events(self, node: str) -> journal.Journal:
        hybrid_clock = causality.HybridClock(self.clock)
        return journal.Journal(node, "dc", hybrid_clock, metrics.Metrics())

    async def add_entry(
        self, node: str, cpu_cores: float = election.LEAD_CPU_CORES_MIN
    ) -> EntryUnderTest:
        """Start the scheduling part of an entry.

        :param node: name of the VM.
        :param cpu_cores: CPU of the VM, in cores.
        """
        self._process_count += 1
        store = keyed_stores.MemoryStore(self.log)
        view = views.SharedView(self.clock)
        events = self._events(node)
        follower = following.Follower(
            store, records.SHARED_PARTITION, view, self.clock, events, 0.5
        )
        operators = operator_records.EvacuationReader(self.clock)
        operators_store = keyed_stores.MemoryStore(self.log)
        operators.follower = following.Follower(
            operators_store,
            operator_records.PARTITION,
            operators,
            self.clock,
            events,
            operator_records.WAIT_S,
        )
        candidate = election.LeaderElection(
            node,
            f"boot-{self._process_count}",
            store,
            view,
            follower,
            self.limits,
            self.clock,
            events.hybrid_clock,
            events,
            cpu_cores,
            operators,
        )
        candidate.configure(configurations.Configuration(1, (queue(),), ()))
        scope = anyio.CancelScope()
        entry = EntryUnderTest(store, operators_store, view, follower, candidate, scope)
        self.entries[node] = entry
        self._group.start_soon(
            _run_within, scope, follower.run, candidate.run, operators.follower.run
        )
        return entry

    def evacuate(self, data_centre: str, is_evacuated: bool = True) -> float:
        """Store an operator's request, and return when it was acknowledged, on the clock."""
        operator_records.write(self.log, data_centre, is_evacuated)
        return self.clock.now_s()

    async def add_relay(self, target: str, delay_s: float) -> str:
        """Start a relay to an agent, and return its address.

        :param target: address of the agent.
        :param delay_s: time for which the agent's messages are collected, in seconds.
        """
        relay = BatchingRelay(transports.Address.parse(target), delay_s)
        listener = await service.listen(LOOPBACK, (0, 0))
        self._group.start_soon(listener.serve, relay.serve)
        return str(listener.address)

    async def add_agent(
        self, node: str, worker: memory_workers.MemoryWorker | None = None
    ) -> AgentUnderTest:
        """Start an agent.

        :param node: name of the VM.
        :param worker: a running worker, for a restarted agent; ``None`` starts a new worker.
        """
        self._process_count += 1
        worker = worker or memory_workers.MemoryWorker(node, self.run_recorder, self.clock)
        store = keyed_stores.MemoryStore(self.log)
        events = self._events(node)
        controller = worker_control.WorkerController(node, worker, LEASE_MAX_S, self.clock, events)
        lead_service = service.LeadService(
            node, controller, self.clock, events.hybrid_clock, events
        )
        listener = await service.listen(LOOPBACK, (0, 0))
        record = records.AgentRecord(node, str(listener.address), f"boot-{self._process_count}")
        scope = anyio.CancelScope()
        agent = AgentUnderTest(worker, store, controller, lead_service, scope)
        self.agents[node] = agent
        self._group.start_soon(
            _run_within,
            scope,
            functools.partial(listener.serve, lead_service.serve),
            controller.run,
            functools.partial(
                registration.keep_registered,
                store,
                record,
                controller,
                lead_service,
                self.clock,
                events,
            ),
            functools.partial(_heartbeat_forever, agent),
        )
        return agent

    async def start_single_task(
        self, spec: specs.JobSpec, run_time_s: float, job_queue: configurations.Queue | None = None
    ) -> tuple[EntryUnderTest, AgentUnderTest]:
        """Start an entry and an agent, submit a job and wait until its first task starts.

        :param spec: the job.
        :param run_time_s: run time of its tasks, in seconds.
        :param job_queue: the job's queue, or ``None`` for the default.
        """
        entry = await self.add_entry("entry-1")
        agent = await self.add_agent("node-1")
        agent.worker.run_time_s = run_time_s
        if job_queue is not None:
            self.configure(job_queue)
        self.submit(spec, job_queue)
        await self.wait_until(lambda: len(self.run_recorder.starts) == 1)
        return entry, agent

    def submit(self, spec: specs.JobSpec, job_queue: configurations.Queue | None = None) -> None:
        """Store a job's record, as the job service of an entry does."""
        record = records.JobRecord(
            spec, job_queue or queue(), int(self.clock.wall_s() * 1000), "entry"
        )
        self.log.append(
            keyed_stores.Append(
                records.SHARED_PARTITION,
                (records.encode(records.JOB_PREFIX + spec.job_id, record),),
                None,
                None,
            )
        )

    def configure(self, *queues: configurations.Queue) -> None:
        """Apply a configuration with the given queues to every entry."""
        for entry in self.entries.values():
            entry.election.configure(configurations.Configuration(2, queues, ()))

    def register(self, node: str, address: str) -> None:
        """Store the record of an agent that is not running."""
        record = records.encode(
            records.AGENT_PREFIX + node, records.AgentRecord(node, address, "boot-lost")
        )
        self.log.append(keyed_stores.Append(records.SHARED_PARTITION, (record,), None, None))

    def cancel(self, job_id: str) -> None:
        """Store a job's cancellation, as the job service of an entry does."""
        record = records.encode(records.CANCEL_PREFIX + job_id, records.CancelRecord("entry"))
        self.log.append(keyed_stores.Append(records.SHARED_PARTITION, (record,), None, None))

    def phase(self, job_id: str) -> registries.JobPhase | None:
        """Return a job's stored phase, or ``None``."""
        stored = self.log.partition(records.SHARED_PARTITION).newest.get(
            records.STATE_PREFIX + job_id
        )
        return records.decode(stored, records.StateRecord).phase if stored is not None else None

    def stored_task(self, key: tasks.TaskKey) -> tasks.TaskRecord:
        """Return the stored record of a task, or an empty one."""
        stored = self.log.partition(records.TASKS_PARTITION).newest.get(
            f"{records.TASK_PREFIX}{key}"
        )
        return records.decode(stored, tasks.TaskRecord) if stored else tasks.TaskRecord()

    def lead(self) -> str:
        """Return the name of the entry that is lead, or an empty text."""
        for node, entry in self.entries.items():
            if entry.election.is_lead:
                return node
        return ""

    async def sleep(self, pause_s: float) -> None:
        """Wait for a time in seconds."""
        await anyio.sleep(pause_s)

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 30.0) -> None:
        """Wait until a condition holds, at most ``timeout_s`` seconds."""
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(0.02)


async def _heartbeat_forever(agent: AgentUnderTest) -> None:
    sequence = 0
    while True:
        sequence += 1
        agent.controller.handle_heartbeat(agent.worker.heartbeat(sequence))
        await anyio.sleep(0.3)


async def _run_within(scope: anyio.CancelScope, *parts: Callable[[], Awaitable[None]]) -> None:
    with scope:
        async with anyio.create_task_group() as group:
            for part in parts:
                group.start_soon(part)


@contextlib.asynccontextmanager
async def _start_cluster() -> AsyncIterator[Cluster]:
    async with anyio.create_task_group() as group:
        yield Cluster(group)
        group.cancel_scope.cancel()


@pytest.fixture
def start_cluster() -> Callable[[], contextlib.AbstractAsyncContextManager[Cluster]]:
    """Return a context manager that runs a cluster."""
    return _start_cluster


def job(number: int, *steps: specs.Step, **changes: object) -> specs.JobSpec:
    """Return a job whose id is made from a number."""
    default = (specs.Step(1, specs.Resources(1000, 100, 1), 200),)
    spec = specs.JobSpec(f"{number:016x}", "checks", "team", "payload", steps or default)
    return attrs.evolve(spec, **changes)  # type: ignore[arg-type]


@pytest.fixture
def make_job() -> Callable[..., specs.JobSpec]:
    """Return a factory of jobs."""
    return job


@pytest.fixture
def make_queue() -> Callable[..., configurations.Queue]:
    """Return a factory of queues."""
    return queue
