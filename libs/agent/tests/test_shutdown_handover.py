"""Shutdown of an agent that hands its shards over while its stream is still sending another reply.

The stream was closed before the claims were sent, and the keys of the agent's shards were refused
until its VM was replaced, because no entry had evidence of the handover.
"""

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from papayaspar_agent import config, process, targets
from papayaspar_dispatch import calls, shard_chains, shards
from papayaspar_model import causality, clock, errors, workers
from papayaspar_wire import messages, peers, transports

SEND_DELAY_S = 0.2
# The agent waits for the handover by then; an entry asks late while the log is unavailable.
HANDOVER_DELAY_S = process.LATE_REQUESTS_WAIT_S + 1.0
ANSWER_TIMEOUT_S = 5.0


class IdleTarget(targets.Target):
    """A target that gets no requests."""

    async def run(self, request):
        """Fail, because no request is sent."""
        raise errors.TargetError("no request is expected")

    async def aclose(self):
        """Close nothing."""


class EntryHandler(peers.Handler):
    """An entry that assigns every shard to an agent and acknowledges its reports."""

    def __init__(self):
        self.connected = anyio.Event()
        self.draining = anyio.Event()

    async def handle_call(self, peer, message):
        """Return the answer to a hello or a report."""
        if isinstance(message, messages.Hello):
            shard_map = shards.create_initial_map([message.report.identity])
            await peer.notify(calls.ShardsInForce(shard_chains.ChainLink(shard_map, 1)))
            self.connected.set()
            return messages.Welcome("entry-1", ())
        if isinstance(message, messages.Report):
            if message.report.draining:
                self.draining.set()
            return messages.ReportTaken()
        raise errors.ProtocolError(type(message).__name__)

    async def handle_notice(self, peer, message):
        """Ignore the notice."""


class SlowStream(anyio.abc.ByteStream):
    """A connection that takes a while to send data.

    :param stream: the connection.
    """

    def __init__(self, stream):
        self._stream = stream

    async def send(self, item):
        """Send data after a delay."""
        await anyio.sleep(SEND_DELAY_S)
        await self._stream.send(item)

    async def receive(self, max_bytes=65_536):
        """Return received data."""
        return await self._stream.receive(max_bytes)

    async def send_eof(self):
        """Close the sending direction."""
        await self._stream.send_eof()

    async def aclose(self):
        """Close the connection."""
        await self._stream.aclose()


@pytest.fixture
def slow_streams(monkeypatch):
    """Make each stream that an agent opens send slowly."""
    connect = transports.connect

    async def connect_slowly(address, tls):
        return SlowStream(await connect(address, tls))

    monkeypatch.setattr(transports, "connect", connect_slowly)


def test_agent_that_stops_sends_the_claims_of_its_shards(slow_streams):
    answers = []

    async def main():
        handler = EntryHandler()
        listener = await transports.listen(transports.Address("127.0.0.1", 0))
        streams = []
        hybrid_clock = causality.HybridClock(clock.BootClock())

        async def serve(stream):
            codec = messages.codec(*calls.ALL)
            peer = peers.Peer(stream, codec, handler, hybrid_clock)
            streams.append(peer)
            await peer.run()

        async def take_over():
            await handler.draining.wait()
            await anyio.sleep(HANDOVER_DELAY_S)
            group.start_soon(streams[0].call, calls.ShardsWanted(), ANSWER_TIMEOUT_S)
            await anyio.lowlevel.checkpoint()
            answers.append(await streams[0].call(calls.SurrenderShards(), ANSWER_TIMEOUT_S))

        settings = config.AgentConfig(
            "w0",
            "rack-1",
            "dc-1",
            "region-1",
            1,
            (listener.address,),
            transports.Address("127.0.0.1", 1),
            capacity=workers.Capacity(slots=1),
        )
        agent = process.Agent(settings, IdleTarget())
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            async with anyio.create_task_group() as daemon:
                await daemon.start(agent.run)
                await handler.connected.wait()
                group.start_soon(take_over)
                agent.stop()
            group.cancel_scope.cancel()

    anyio.run(main)
    exported = [export.shard for export in answers[0].exports]
    assert exported == list(range(shards.SHARD_COUNT))
