"""Gangs over real agents connected by loopback streams, each with an in-memory runtime."""

import contextlib
import random

import anyio
import anyio.lowlevel
import pytest

from papayaspar_agent import agent_links, config, gang_service, process
from papayaspar_events import journal, metrics
from papayaspar_model import causality, clock, errors, work, workers
from papayaspar_slots import calls, claims, gang_clients, launches, ledger, messages, peers, timings
from papayaspar_standin import memory_runtimes
from papayaspar_wire import messages as wire_messages
from papayaspar_wire import peers as wire_peers
from papayaspar_wire import transports

FENCE = claims.Fence("job-1", 1)
WORKERS = ("w0", "w1", "w2")


class OffsetClock(clock.BootClock):
    """The machine's clock plus an offset that ends the quarantine without a wait."""

    offset_s = 0.0

    def now_s(self):
        return super().now_s() + self.offset_s


class RefusingHandler(wire_peers.Handler):
    """Refuses all calls, as agents send none on the streams that an entry opens."""

    async def handle_call(self, peer, message):
        raise errors.ProtocolError(type(message).__name__)

    async def handle_notice(self, peer, message):
        """Ignore the notice."""


class DirectAgents(peers.GangAgents):
    """Client of the agents for an entry, over agent links that the test creates."""

    def __init__(self, links, addresses):
        self.links, self.addresses = links, addresses
        for worker, address in addresses.items():
            links.update_address(worker, address)

    async def _call(self, worker, message):
        return await self.links.call(worker, message, 15.0)

    async def reserve(self, worker, claim):
        return await self._call(worker, calls.Reserve(claim, self.addresses[claim.lead_worker]))

    async def unreserve(self, worker, fence):
        await self._call(worker, calls.Unreserve(fence))

    async def launch(self, worker, launch):
        addresses = tuple(self.addresses[member] for member in launch.members)
        return await self._call(worker, calls.LaunchGang(launch, addresses))

    async def inquire(self, worker, inquiry):
        return await self._call(worker, inquiry)

    async def cancel(self, worker, fence):
        return await self._call(worker, calls.CancelGang(fence))

    async def acknowledge(self, worker, fence):
        await self._call(worker, calls.AcknowledgeGang(fence))

    async def inquire_part(self, worker, fence):
        return await self._call(worker, calls.InquirePart(fence))


class Agents:
    """Agents in one process, each with its runtime and a scope that terminates it."""

    def __init__(self, group):
        self.group = group
        self.clock = OffsetClock()
        self.runtimes = {worker: memory_runtimes.MemoryRuntime(self.clock) for worker in WORKERS}
        self.scopes = {worker: anyio.CancelScope() for worker in WORKERS}
        self.addresses = {}
        self.times = timings.Timings()

    async def start(self):
        for worker in WORKERS:
            await self.group.start(self._run, worker)
        self.clock.offset_s = ledger.QUARANTINE_S
        event_journal = journal.Journal(
            "entry", "dc-1", causality.HybridClock(self.clock), metrics.Metrics()
        )
        codec = wire_messages.codec(*calls.ALL)
        links = agent_links.AgentLinks(RefusingHandler(), codec, event_journal, None)
        self.group.start_soon(links.run)
        await anyio.lowlevel.checkpoint()
        agents = self.agents = DirectAgents(links, self.addresses)
        self.launcher = launches.Launcher("entry", agents, random.Random(1), self.times)
        self.gang_client = gang_clients.GangClient(agents, self.times)

    async def _run(self, worker, *, task_status):
        settings = config.AgentConfig(
            worker, "rack-1", "dc-1", "region-1", 1, (), transports.Address("127.0.0.1", 1)
        )
        agent = process.Agent(settings, None, self.runtimes[worker], self.clock)
        with self.scopes[worker]:
            async with anyio.create_task_group() as group:
                await group.start(agent.run)
                self.addresses[worker] = agent.report().agent_address
                task_status.started()

    async def launch(self, run_time_s):
        tasks = tuple(workers.AcceleratorRange(worker, (0, 1)) for worker in WORKERS)
        shape = work.Shape(len(tasks), 2)
        job = work.Job(
            "job-1", "guest", "train", work.Urgency.NORMAL, shape, run_time_s, True, True
        )
        return await self.launcher.launch(job, workers.Placement(tasks), FENCE.attempt)

    def runs(self):
        return [run for runtime in self.runtimes.values() for run in runtime.runs()]


@pytest.fixture
def run_agents():
    """Return a function that runs a scenario on real agents."""

    def run(scenario):
        async def main():
            async with anyio.create_task_group() as group:
                agents = Agents(group)
                await agents.start()
                with anyio.fail_after(60.0):
                    await scenario(agents)
                group.cancel_scope.cancel()

        anyio.run(main)

    return run


def test_all_tasks_of_a_gang_run_over_streams_until_done(run_agents):
    async def scenario(agents):
        status = await agents.launch(run_time_s=1.0)
        while not status.state.over:
            status = await agents.gang_client.wait_for_status(FENCE, "w0", status.state, 10.0)
        assert status.state is messages.GangState.DONE
        runs = agents.runs()
        assert len(runs) == len(WORKERS)
        assert max(run.started_s for run in runs) < min(run.stopped_s for run in runs)

    run_agents(scenario)


@pytest.mark.parametrize("terminated_worker", WORKERS)
def test_a_gang_ends_within_the_bound_after_an_agent_terminates(run_agents, terminated_worker):
    async def scenario(agents):
        status = await agents.launch(run_time_s=600.0)
        while status.started < len(WORKERS):
            await anyio.sleep(0.05)
            status = await agents.gang_client.wait_for_status(FENCE, "w0")
        agents.scopes[terminated_worker].cancel()
        terminated_s = agents.clock.now_s()
        while True:
            with contextlib.suppress(errors.OutcomeUnknownError):
                status = await agents.gang_client.end_gang(FENCE, WORKERS)
                break
        await anyio.sleep(status.safe_after_s)
        runs = agents.runs()
        assert len(runs) == len(WORKERS)
        assert max(run.stopped_s for run in runs) <= terminated_s + agents.times.isolated_run_max_s

    run_agents(scenario)


def test_calls_about_an_unknown_gang_are_answered(run_agents):
    async def scenario(agents):
        unknown_fence = claims.Fence("job-unknown", 1)
        with pytest.raises(errors.NotFoundError):
            await agents.gang_client.wait_for_status(unknown_fence, "w1")
        part = await agents.agents.inquire_part("w1", unknown_fence)
        assert part == messages.PartStatus(unknown_fence, False, False, False, 0.0)
        status = await agents.gang_client.end_gang(unknown_fence, WORKERS)
        assert status.state is messages.GangState.CANCELLED
        await agents.gang_client.acknowledge(unknown_fence, "w0")

    run_agents(scenario)


def test_a_gang_service_refuses_other_messages():
    async def answer():
        await gang_service.GangService(None, None).answer(wire_messages.Done())

    with pytest.raises(errors.ProtocolError):
        anyio.run(answer)
