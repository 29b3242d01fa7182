"""Shutdown of an agent whose replies are sent late, as on a VM with no processor time left.

A request counted as complete when the target had answered; the streams were closed before its reply
was sent, and callers got 502 for requests that had run.
"""

import anyio
import pytest

from papayaspar_agent import config, process, targets
from papayaspar_model import causality, clock, errors, work, workers
from papayaspar_wire import codecs, messages, peers, transports

REPLY_DELAY_S = 0.4
TARGET_TIME_S = 1.0
REQUESTS = 4


class SlowTarget(targets.Target):
    """A target that answers each request after a while."""

    async def run(self, request):
        """Answer with the request's id."""
        await anyio.sleep(TARGET_TIME_S)
        return targets.TargetAnswer(200, request.request_id.encode())

    async def aclose(self):
        """Close nothing."""


class EntryHandler(peers.Handler):
    """An entry that welcomes an agent and acknowledges its reports."""

    def __init__(self):
        self.connected = anyio.Event()

    async def handle_call(self, peer, message):
        """Return the answer to a hello or a report."""
        if isinstance(message, messages.Hello):
            self.connected.set()
            return messages.Welcome("entry-1", ())
        if isinstance(message, messages.Report):
            return messages.ReportTaken()
        raise errors.ProtocolError(type(message).__name__)

    async def handle_notice(self, peer, message):
        """Ignore the notice."""


@pytest.fixture
def delayed_replies(monkeypatch):
    """Delay each reply to a request between its completion and its sending."""
    send = peers.Peer._send

    async def send_late(peer, kind, call_id, message):
        if kind is codecs.FrameKind.REPLY and isinstance(message, messages.RequestAnswer):
            await anyio.sleep(REPLY_DELAY_S)
        await send(peer, kind, call_id, message)

    monkeypatch.setattr(peers.Peer, "_send", send_late)


def _request(number):
    return messages.RunRequest(
        f"request-{number}", 1, "team", "print", work.Urgency.NORMAL, False, 10_000, b""
    )


def test_agent_that_stops_sends_the_replies_to_all_requests_that_ran(delayed_replies):
    answers = []

    async def main():
        handler = EntryHandler()
        listener = await transports.listen(transports.Address("127.0.0.1", 0))
        streams = []
        hybrid_clock = causality.HybridClock(clock.BootClock())

        async def serve(stream):
            peer = peers.Peer(stream, messages.codec(), handler, hybrid_clock)
            streams.append(peer)
            await peer.run()

        async def call(number):
            answers.append(await streams[0].call(_request(number), 10.0))

        settings = config.AgentConfig(
            "w0",
            "rack-1",
            "dc-1",
            "region-1",
            1,
            (listener.address,),
            transports.Address("127.0.0.1", 1),
            capacity=workers.Capacity(slots=REQUESTS),
        )
        agent = process.Agent(settings, SlowTarget())
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            async with anyio.create_task_group() as daemon:
                await daemon.start(agent.run)
                await handler.connected.wait()
                for number in range(REQUESTS):
                    group.start_soon(call, number)
                await anyio.sleep(0.3)
                agent.stop()
            group.cancel_scope.cancel()

    anyio.run(main)
    assert sorted(answer.request_id for answer in answers) == [
        f"request-{number}" for number in range(REQUESTS)
    ]
