"""Tests of streams: replies, late replies, silent peers, limits and invalid frames."""

import anyio
import msgpack
import pytest

from papayaspar_model import causality, clock, errors
from papayaspar_wire import codecs, messages, peers, transports

SHORT_LIMITS = peers.PeerLimits(ping_interval_s=0.05, silence_timeout_s=0.2, concurrent_calls=2)


class EchoHandler(peers.Handler):
    """Returns each call's message after a wait, and records late replies."""

    def __init__(self, wait_s=0.0):
        self.wait_s = wait_s
        self.late_messages = []

    async def handle_call(self, peer, message):
        """Return the message."""
        await anyio.sleep(self.wait_s)
        return message

    async def handle_notice(self, peer, message):
        """Ignore the notice."""

    async def handle_late_reply(self, peer, message):
        """Record a late reply."""
        self.late_messages.append(message)


@pytest.fixture
def hybrid_clock():
    return causality.HybridClock(clock.BootClock())


@pytest.fixture
def run_pair(hybrid_clock):
    """Return a function that runs a scenario over a served stream."""

    def run(scenario, server, client):
        async def main():
            listener = await transports.listen(transports.Address("127.0.0.1", 0))

            async def serve(stream):
                await peers.Peer(stream, messages.codec(), server, hybrid_clock, SHORT_LIMITS).run()

            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                stream = await transports.connect(listener.address)
                codec = messages.codec()
                async with peers.connected(
                    stream, codec, client, hybrid_clock, SHORT_LIMITS
                ) as peer:
                    await scenario(peer, stream)
                group.cancel_scope.cancel()

        anyio.run(main)

    return run


def test_late_reply_is_dropped_and_passed_to_the_late_reply_handler(run_pair):
    client = EchoHandler()

    async def scenario(peer, stream):
        with pytest.raises(errors.PeerError) as caught:
            await peer.call(messages.EventsWanted(1), 0.02)
        assert caught.value.ran is errors.Ran.UNKNOWN
        assert await peer.call(messages.EventsWanted(2), 5.0) == messages.EventsWanted(2)

    run_pair(scenario, EchoHandler(wait_s=0.06), client)
    assert client.late_messages == [messages.EventsWanted(1)]


def test_calls_above_the_limit_are_rejected_as_not_run(run_pair):
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


def test_stream_to_a_silent_peer_is_closed(run_pair, hybrid_clock):
    async def main():
        listener = await transports.listen(transports.Address("127.0.0.1", 0))

        async def send_nothing(stream):
            await anyio.sleep_forever()

        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, send_nothing)
            stream = await transports.connect(listener.address)
            peer = peers.Peer(stream, messages.codec(), EchoHandler(), hybrid_clock, SHORT_LIMITS)
            with anyio.fail_after(5.0):
                await peer.run()
            group.cancel_scope.cancel()
        with pytest.raises(errors.PeerError) as caught:
            await peer.call(messages.EventsWanted(1), 1.0)
        assert caught.value.ran is errors.Ran.NO

    anyio.run(main)


def test_frame_of_an_unregistered_type_is_rejected_before_sending():
    codec = codecs.Codec(())
    frame = codecs.Frame(codecs.FrameKind.CALL, 1, 0, messages.EventsWanted(1))
    with pytest.raises(errors.ProtocolError):
        codec.pack(frame)


# Guards against a process that ends at an odd frame of any process that can reach its port.
@pytest.mark.parametrize(
    "data",
    [
        b"\x91" * 100_000 + b"\xc0",
        b"\x81\x90\x01",
        msgpack.packb(["?", 1, 0, "", None]),
        msgpack.packb([[], 1, 0, "EventsWanted", {"limit": 1}]),
        msgpack.packb(["n", 1, 0, ["EventsWanted"], {}]),
        msgpack.packb(["n", 1, 2**64 - 1, "EventsWanted", {"limit": 1}]),
        msgpack.packb(["n", 1, 0, "EventsWanted", {"limit": float("inf")}]),
        msgpack.packb(["n", 1, 0, "EventsWanted", {"limit": float("nan")}]),
        b"\xc1",
    ],
    ids=[
        "nested",
        "list-as-key",
        "unknown-kind",
        "kind-is-a-list",
        "name-is-a-list",
        "large-stamp",
        "infinity",
        "not-a-number",
        "no-msgpack",
    ],
)
def test_odd_frame_is_a_protocol_error(data):
    codec = messages.codec()
    with pytest.raises(errors.ProtocolError):
        list(codec.read(codec.unpacker(), data))


@pytest.mark.parametrize(
    "text", ["10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1", ":80", "host:80", "[::1:80"]
)
def test_odd_address_is_refused(text):
    with pytest.raises(transports.AddressError):
        transports.Address.parse(text)


def test_address_is_parsed():
    assert transports.Address.parse("10.0.0.1:65535") == transports.Address("10.0.0.1", 65535)
    assert transports.Address.parse("[::1]:80") == transports.Address("::1", 80)
