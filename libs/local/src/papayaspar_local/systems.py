"""A local system: stand-in platform, entries and agents as tasks of one process."""

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
POLL_S = 0.05
CLIENT_TIMEOUT_S = 10.0
UNREADY_S = 0.1
GRACE_S = 5.0
AUTHOR = "papayaspar-local"


class StartError(errors.PapayasparError):
    """The local system did not come up."""

    code = "start_failed"
    title = "The local system did not come up"


@attrs.frozen
class Ports:
    """First ports of a local system; 0 lets the system choose.

    :param callers: callers' listener of the first entry; the next entries follow.
    :param operators: operators' listener of the first entry; the next entries follow.
    """

    callers: int = 0
    operators: int = 0


@attrs.define
class LocalEntry:
    """One entry of a local system.

    :param name: its name.
    :param callers: ``ip:port`` for callers.
    :param operators: ``ip:port`` for operators.
    :param streams: ``ip:port`` for agents and entries.
    :param daemon: the entry itself.
    """

    name: str
    callers: str
    operators: str
    streams: str
    daemon: entry_process.Entry


@attrs.define
class LocalWorker:
    """One worker of a local system with its agent.

    :param place: where it stands.
    :param address: ``ip:port`` of its stand-in target and runtime.
    :param target: its stand-in target, which counts what it ran.
    :param runtime: its stand-in runtime.
    :param agent: the agent itself.
    :param scope: cancel it to lose the agent without warning.
    """

    place: layouts.WorkerPlace
    address: str
    target: targets.Target
    runtime: memory_runtimes.MemoryRuntime
    agent: agent_process.Agent
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)


class LocalSystem:
    """A running local system; made by :func:`running`.

    :param layout: workers, entries and rules.
    :param ports: first ports of the listeners.
    """

    def __init__(self, layout: layouts.Layout, ports: Ports) -> None:
        self.layout = layout
        self.log = memory_logs.MemoryLog()
        self.entries: list[LocalEntry] = []
        self.workers: dict[str, LocalWorker] = {}
        self._ports = ports
        self._stop_stand_ins = anyio.Event()

    async def start(self, platform: anyio.abc.TaskGroup, group: anyio.abc.TaskGroup) -> None:
        """Start every part in a task of its own, and publish the rules.

        :param platform: task group of the stand-ins, which end last.
        :param group: task group of entries and agents.
        """
        log_address = await platform.start(
            serving.serve_log, f"{LOOPBACK}:0", self.log, self._stop_stand_ins
        )
        for index, name in enumerate(self.layout.entries):
            await self._start_entry(group, index, name, log_address)
        for place in self.layout.workers:
            await self._start_worker(platform, group, place)
        await self.wait_workers(len(self.workers))
        await self.publish(self.layout.rules)
        await self._wait_shards()

    def stop(self) -> None:
        """Drain and end entries and agents."""
        for worker in self.workers.values():
            worker.agent.stop()
        for entry in self.entries:
            entry.daemon.stop()

    def stop_platform(self) -> None:
        """End the stand-ins."""
        self._stop_stand_ins.set()

    async def publish(self, text: str) -> int:
        """Publish rules through the first entry and wait until all have them.

        :param text: the rules.
        :return: number of the revision.
        """
        async with self.operators(self.entries[0]) as asked:
            parent = (await asked.rules()).revision
            revision = (await asked.publish_rules(text, parent, "", AUTHOR)).revision
        for entry in self.entries:
            async with self.operators(entry) as asked:
                await self._wait_revision(asked, revision)
        return revision

    async def wait_workers(self, count: int) -> None:
        """Wait until every entry sees so many workers up.

        :param count: how many.
        :raises StartError: when it does not come true in time.
        """
        for entry in self.entries:
            async with self.operators(entry) as asked:
                await self._wait_workers(asked, count)

    def operators(self, entry: LocalEntry) -> client.Client:
        """Return an operator's client of an entry, to be used as a context manager."""
        return client.Client(f"http://{entry.operators}", CLIENT_TIMEOUT_S)

    async def _wait_shards(self) -> None:
        """Wait until the owners of idempotency keys are chosen, once after the first start."""
        for entry in self.entries:
            async with self.operators(entry) as asked:
                with anyio.fail_after(START_TIMEOUT_S):
                    await self._wait_shards_of(asked)

    async def _wait_shards_of(self, asked: client.Client) -> None:
        while True:
            if (await asked.status()).shards_revision > 0:
                return
            await anyio.sleep(POLL_S)

    async def _wait_revision(self, asked: client.Client, revision: int) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            while True:
                if (await asked.rules()).revision >= revision:
                    return
                await anyio.sleep(POLL_S)
        raise StartError(f"revision {revision} did not come into force")

    async def _wait_workers(self, asked: client.Client, count: int) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(errors.PapayasparError):
                    rows = (await asked.status()).workers
                    if sum(row.state == "up" for row in rows) == count:
                        return
                await anyio.sleep(POLL_S)
        raise StartError(f"not all of {count} workers came up")

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
            serving.serve_worker, f"{LOOPBACK}:0", runtime, target, self._stop_stand_ins
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
    """Run a local system while the body runs.

    :param layout: workers, entries and rules.
    :param ports: first ports of the listeners; the system chooses when left out.
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
