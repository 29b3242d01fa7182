"""A local system: stand-ins of the platform, entries and agents in one process."""

import contextlib
import socket
import time
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from papayaspar_agent import config as agent_config
from papayaspar_agent import process as agent_process
from papayaspar_control import client
from papayaspar_entry import config as entry_config
from papayaspar_entry import process as entry_process
from papayaspar_local import layouts
from papayaspar_model import errors
from papayaspar_standin import memory_logs, memory_runtimes, serving, targets
from papayaspar_wire import transports

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
CLIENT_TIMEOUT_S = 10.0
# Short, because no load balancer has to remove a stopping entry.
UNREADY_S = 0.1
GRACE_S = 5.0
# Author of the rules that are published at start.
AUTHOR = "papayaspar-local"


class StartError(errors.PapayasparError):
    """The local system did not start in time."""

    code = "start_failed"
    title = "The local system did not come up"


@attrs.frozen
class Ports:
    """First ports of a local system; 0 selects free ports.

    :param callers: port of the first entry's listener for callers; each next entry adds 1.
    :param operators: port of the first entry's listener for operators; each next entry adds 1.
    """

    callers: int = 0
    operators: int = 0


@attrs.define
class LocalEntry:
    """One entry of a local system.

    :param name: name of the entry.
    :param callers: ``ip:port`` of the listener for callers.
    :param operators: ``ip:port`` of the listener for operators.
    :param streams: ``ip:port`` of the listener for agents and other entries.
    :param daemon: the entry process object.
    """

    name: str
    callers: str
    operators: str
    streams: str
    daemon: entry_process.Entry


@attrs.define
class LocalWorker:
    """One worker of a local system with its agent.

    :param place: location of the worker.
    :param address: ``ip:port`` of the worker's stand-in target and runtime.
    :param target: stand-in target, which counts executed requests.
    :param runtime: stand-in runtime.
    :param agent: the agent of the worker.
    :param scope: cancel scope of the agent; cancelling it ends the agent without a graceful stop.
    """

    place: layouts.WorkerPlace
    address: str
    target: targets.Target
    runtime: memory_runtimes.MemoryRuntime
    agent: agent_process.Agent
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class LocalSystem:
    """A running local system, created by :func:`running`.

    :param layout: workers, entries and rules.
    :param ports: first ports of the listeners.
    """

    def __init__(self, layout: layouts.Layout, ports: Ports) -> None:
        self.layout = layout
        self.log = memory_logs.MemoryLog()
        self.entries: list[LocalEntry] = []
        self.workers: dict[str, LocalWorker] = {}
        self._ports = ports
        self._standins_stopping = anyio.Event()

    async def start(self, platform: anyio.abc.TaskGroup, group: anyio.abc.TaskGroup) -> None:
        """Start each component in its own task, and publish the rules.

        :param platform: task group of the stand-ins, which stop last.
        :param group: task group of entries and agents.
        """
        log_address = await platform.start(
            serving.serve_log, f"{LOOPBACK}:0", self.log, self._standins_stopping
        )
        for index, name in enumerate(self.layout.entries):
            await self._start_entry(group, index, name, log_address)
        for place in self.layout.workers:
            await self._start_worker(platform, group, place)
        await self.wait_for_workers(len(self.workers))
        await self.publish(self.layout.rules)
        await self._wait_for_shard_maps()

    def stop(self) -> None:
        """Start a graceful stop of entries and agents."""
        for worker in self.workers.values():
            worker.agent.stop()
        for entry in self.entries:
            entry.daemon.stop()

    def stop_platform(self) -> None:
        """Stop the stand-ins."""
        self._standins_stopping.set()

    async def publish(self, text: str) -> int:
        """Publish rules through the first entry and wait until all entries apply them.

        :param text: text of the rules.
        :return: revision number of the rules.
        """
        async with self.operators(self.entries[0]) as operator:
            parent = (await operator.rules()).revision
            revision = (await operator.publish_rules(text, parent, "", AUTHOR)).revision
        for entry in self.entries:
            async with self.operators(entry) as operator:
                await self._wait_for_revision(operator, revision)
        return revision

    async def wait_for_workers(self, count: int) -> None:
        """Wait until every entry has a given number of available workers.

        :param count: number of workers.
        :raises StartError: if the number is not reached in time.
        """
        for entry in self.entries:
            async with self.operators(entry) as operator:
                await self._wait_for_worker_count(operator, count)

    def operators(self, entry: LocalEntry) -> client.Client:
        """Return a client for operators of an entry, to be used as a context manager."""
        return client.Client(f"http://{entry.operators}", CLIENT_TIMEOUT_S)

    async def _wait_for_shard_maps(self) -> None:
        """Wait until every entry has a shard map, which assigns idempotency keys to workers."""
        for entry in self.entries:
            async with self.operators(entry) as operator:
                with anyio.fail_after(START_TIMEOUT_S):
                    await self._wait_for_shard_map(operator)

    async def _wait_for_shard_map(self, operator: client.Client) -> None:
        while True:
            if (await operator.status()).shards_revision > 0:
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def _wait_for_revision(self, operator: client.Client, revision: int) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            while True:
                if (await operator.rules()).revision >= revision:
                    return
                await anyio.sleep(POLL_INTERVAL_S)
        raise StartError(f"revision {revision} was not applied in time")

    async def _wait_for_worker_count(self, operator: client.Client, count: int) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(errors.PapayasparError):
                    rows = (await operator.status()).workers
                    if sum(row.state == "up" for row in rows) == count:
                        return
                await anyio.sleep(POLL_INTERVAL_S)
        raise StartError(f"{count} workers did not become available in time")

    async def _start_entry(
        self, group: anyio.abc.TaskGroup, index: int, name: str, log_address: str
    ) -> None:
        callers = _address(self._ports.callers, index)
        operators = _address(self._ports.operators, index)
        streams = _address(0, index)
        settings = entry_config.EntryConfig(
            name=name,
            data_centre=self.layout.workers[0].data_centre,
            callers=transports.Address.parse(callers),
            operators=transports.Address.parse(operators),
            listen=transports.Address.parse(streams),
            log=transports.Address.parse(log_address),
            peers=tuple(transports.Address.parse(entry.streams) for entry in self.entries),
            grace_s=GRACE_S,
            unready_s=UNREADY_S,
        )
        daemon = entry_process.Entry(settings)
        await group.start(daemon.run)
        self.entries.append(LocalEntry(name, callers, operators, streams, daemon))

    async def _start_worker(
        self,
        platform: anyio.abc.TaskGroup,
        group: anyio.abc.TaskGroup,
        place: layouts.WorkerPlace,
    ) -> None:
        runtime = memory_runtimes.MemoryRuntime()
        target = targets.Target(runtime.faults)
        address = await platform.start(
            serving.serve_worker, f"{LOOPBACK}:0", runtime, target, self._standins_stopping
        )
        settings = agent_config.AgentConfig(
            worker=place.worker,
            rack=place.rack,
            data_centre=place.data_centre,
            region=self.layout.region,
            incarnation=time.time_ns() // 1_000_000,
            entries=tuple(transports.Address.parse(entry.streams) for entry in self.entries),
            target=transports.Address.parse(address),
            runtime=transports.Address.parse(address),
            grace_s=GRACE_S,
        )
        worker = LocalWorker(place, address, target, runtime, agent_process.Agent(settings))
        self.workers[place.worker] = worker
        group.start_soon(_run_agent, worker)


@contextlib.asynccontextmanager
async def running(layout: layouts.Layout, ports: Ports | None = None) -> AsyncIterator[LocalSystem]:
    """Return a context manager that runs a local system.

    :param layout: workers, entries and rules.
    :param ports: first ports of the listeners; free ports by default.
    """
    system = LocalSystem(layout, ports or Ports())
    async with anyio.create_task_group() as platform:
        async with anyio.create_task_group() as group:
            try:
                await system.start(platform, group)
                yield system
            finally:
                system.stop()
                group.cancel_scope.deadline = anyio.current_time() + GRACE_S
        system.stop_platform()


async def _run_agent(worker: LocalWorker) -> None:
    with worker.scope:
        await worker.agent.run()


def _address(first_port: int, index: int) -> str:
    if first_port:
        return f"{LOOPBACK}:{first_port + index}"
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"
