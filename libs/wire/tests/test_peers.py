"""Tests of streams: replies, late replies, silence, limits and garbage."""

import anyio
import pytest

from papayaspar_model import causality, clock, errors
from papayaspar_wire import codecs, messages, peers, transports

QUICK = peers.PeerLimits(ping_interval_s=0.05, silence_s=0.2, concurrent_calls=2)


class EchoHandler(peers.Handler):
    """Answers each call after a wait, and remembers what came too late."""

    def __init__(self, wait_s=0.0):
        self.wait_s = wait_s
        self.late_messages = []

    async def call(self, peer, message):
        """Return the message."""
        await anyio.sleep(self.wait_s)
        return message

    async def notice(self, peer, message):
        """Take no notice."""

    async def late(self, peer, message):
        """Remember a late reply."""
        self.late_messages.append(message)


@pytest.fixture
def stamps():
    return causality.HybridClock(clock.BootClock())


@pytest.fixture
def run_pair(stamps):
    """Return a function that runs a scenario over a served stream."""

    def run(scenario, server, client):
        async def main():
            listener = await transports.listen(transports.Address("127.0.0.1", 0))

            async def serve(stream):
                await peers.Peer(stream, messages.codec(), server, stamps, QUICK).run()

            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                stream = await transports.connect(listener.address)
                codec = messages.codec()
                async with peers.connected(stream, codec, client, stamps, QUICK) as peer:
                    await scenario(peer, stream)
                group.cancel_scope.cancel()

        anyio.run(main)

    return run


def test_a_late_reply_reaches_nobody_and_is_counted(run_pair):
    client = EchoHandler()

    async def scenario(peer, stream):
        with pytest.raises(errors.PeerError) as caught:
            await peer.call(messages.EventsWanted(1), 0.02)
        assert caught.value.ran is errors.Ran.UNKNOWN
        assert await peer.call(messages.EventsWanted(2), 5.0) == messages.EventsWanted(2)

    run_pair(scenario, EchoHandler(wait_s=0.06), client)
    assert client.late_messages == [messages.EventsWanted(1)]


def test_calls_beyond_the_limit_are_refused_as_not_run(run_pair):
    outcomes = []

    async def scenario(peer, stream):
        async def call(number):
            try:
                outcomes.append(await peer.call(messages.EventsWanted(number), 5.0))
            except errors.BusyError as error:
                outcomes.append(error.ran)

        async with anyio.create_task_group() as group:
            for number in range(4):
                group.start_soon(call, number)

    run_pair(scenario, EchoHandler(wait_s=0.1), EchoHandler())
    assert outcomes.count(errors.Ran.NO) == 2


def test_a_peer_that_goes_silent_is_given_up(run_pair, stamps):
    async def main():
        listener = await transports.listen(transports.Address("127.0.0.1", 0))

        async def say_nothing(stream):
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, say_nothing)
            stream = await transports.connect(listener.address)
            peer = peers.Peer(stream, messages.codec(), EchoHandler(), stamps, QUICK)
            with anyio.fail_after(5.0):
                await peer.run()
            group.cancel_scope.cancel()
        with pytest.raises(errors.PeerError) as caught:
            await peer.call(messages.EventsWanted(1), 1.0)
        assert caught.value.ran is errors.Ran.NO

    anyio.run(main)


def test_a_frame_of_an_unknown_type_is_refused_before_it_is_sent():
    codec = codecs.Codec(())
    frame = codecs.Frame(codecs.FrameKind.CALL, 1, 0, messages.EventsWanted(1))
    with pytest.raises(errors.ProtocolError):
        codec.pack(frame)
