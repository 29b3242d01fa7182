"""Connections of a server with limits: what is refused, closed, and served as before."""

import asyncio
import functools
import socket
import ssl
import struct

import anyio
import pytest

from papayaspar_serving import (
    applications,
    connections,
    http1,
    limits,
    listeners,
    load_tables,
    loads,
    servers,
)

pytestmark = pytest.mark.anyio

BODY_MAX_BYTES = 100_000
HEADER_MAX_BYTES = 4_000
BUDGET_BYTES = 400_000
CONNECTIONS_MAX = 8
TIMEOUT_S = 20.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


class EchoApp(applications.Application):
    """Answers with the number of bytes received; a path of ``/wait`` waits for a signal."""

    def __init__(self):
        self.resume = anyio.Event()
        self.served = 0

    def request_limits(self):
        return limits.RequestLimits(HEADER_MAX_BYTES, BODY_MAX_BYTES, 0.3, 0.3)

    async def answer(self, request):
        self.served += 1
        if request.path == "/wait":
            await self.resume.wait()
        return applications.Answer(200, b"%d" % len(request.body))


class RecordingObserver(loads.SilentObserver):
    """Keeps the causes of closed connections."""

    def __init__(self):
        self.causes = []
        self.failures = []

    def connection_closed(self, closure):
        self.causes.append(closure.cause)

    def connection_failed(self, address, error):
        self.failures.append(error)


class Served:
    """A server under test."""

    def __init__(self):
        self.app = EchoApp()
        self.observer = RecordingObserver()
        self.table = load_tables.LoadTable(
            limits.ListenerLimits(CONNECTIONS_MAX, BUDGET_BYTES), self.app, self.observer
        )
        self.stopping = anyio.Event()
        self.bound = listeners.bind("127.0.0.1", 0)
        self.address = self.bound.getsockname()

    async def run(self):
        await listeners.serve(
            self.app, self.bound, self.stopping.wait, grace_s=5.0, table=self.table
        )

    async def send(self, data):
        """Send data on a new connection, and return the connection."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        return reader, writer

    async def exchange(self, data):
        """Return all that is received for data on a new connection, until it is closed."""
        reader, writer = await self.send(data)
        with anyio.fail_after(TIMEOUT_S):
            received = await reader.read()
        writer.close()
        return received


@pytest.fixture
async def served():
    new_served = Served()
    async with anyio.create_task_group() as group:
        group.start_soon(new_served.run)
        yield new_served
        new_served.app.resume.set()
        new_served.stopping.set()
    assert new_served.table.held_bytes == 0
    assert new_served.table.connection_count() == 0
    assert new_served.observer.failures == []


def post(body, *fields, path="/", last=True):
    """Return a request with a content length."""
    lines = [f"POST {path} HTTP/1.1", "host: x", f"content-length: {len(body)}", *fields]
    if last:
        lines.append("connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunked(body, size):
    """Return a request in chunks."""
    head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n"
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in chunks) + b"0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 7, 65_536])
async def test_chunked_body_is_passed_on_whole(served, size):
    received = await served.exchange(chunked(b"a" * 50_000, size))
    assert received.endswith(b"\r\n\r\n50000")


async def test_requests_ahead_are_answered_in_order(served):
    requests = [post(b"a" * length, last=length == 20) for length in range(1, 21)]
    received = await served.exchange(b"".join(requests))
    assert [int(part.split(b"\r\n\r\n")[1]) for part in received.split(b"HTTP/1.1 200")[1:]] == [
        *range(1, 21)
    ]


async def test_client_that_ends_its_side_gets_its_answer(served):
    reader, writer = await served.send(post(b"abc", last=False))
    writer.write_eof()
    with anyio.fail_after(TIMEOUT_S):
        assert (await reader.read()).endswith(b"3")
    writer.close()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (post(b"a" * (BODY_MAX_BYTES + 1)), 413),
        (chunked(b"a" * (BODY_MAX_BYTES + 1), 1_000), 413),
        (post(b"", "x-long: " + "a" * HEADER_MAX_BYTES), 431),
        (b"GET / HTTP/1.1\r\nx-long: " + b"a" * 40_000, 431),
        (post(b"abc")[:-1], 408),
        (post(b"abc").replace(b"POST", b"HEAD")[:-1], 408),
        (b"GET / HTTP/1.1\r\nhost:", 408),
        (b"\x16\x03\x01", 400),
        (post(b"a", "transfer-encoding: x"), 501),
    ],
)
async def test_request_beyond_a_limit_is_refused_before_it_runs(served, request_bytes, status):
    """A refusal says that nothing has run, and arrives although the client was still sending."""
    received = await served.exchange(request_bytes)
    assert received.startswith(b"HTTP/1.1 %d" % status)
    if status in (408, 413, 431):
        assert b"papayaspar-ran: no" in received
        assert (b'"ran": "no"' in received) != request_bytes.startswith(b"HEAD")
    assert served.app.served == 0


async def test_refusal_after_a_head_request_has_its_body(served):
    answered = post(b"", last=False).replace(b"POST", b"HEAD")
    received = await served.exchange(answered + b"GET / HT")
    assert received.split(b"HTTP/1.1 ")[-1].startswith(b"408")
    assert b'"ran": "no"' in received


@pytest.mark.parametrize("protocol", ["h2c", "websocket"])
async def test_upgrade_to_another_protocol_is_not_offered(served, protocol):
    upgrade = f"upgrade: {protocol}\r\nconnection: upgrade, close\r\nhttp2-settings: AAMAAABk"
    received = await served.exchange(f"GET / HTTP/1.1\r\nhost: x\r\n{upgrade}\r\n\r\n".encode())
    assert received.startswith(b"HTTP/1.1 200")


async def test_client_that_waits_for_consent_gets_it_or_a_refusal(served):
    accepted = post(b"abc", "expect: 100-continue")
    refused = post(b"a" * (BODY_MAX_BYTES + 1), "expect: 100-continue")
    assert (await served.exchange(accepted)).startswith(b"HTTP/1.1 100")
    assert (await served.exchange(refused[:200])).startswith(b"HTTP/1.1 413")


async def test_stalled_bodies_make_room_for_an_ordinary_request(served):
    members = [
        await served.send(post(b"a" * BODY_MAX_BYTES)[:-1]) for _ in range(CONNECTIONS_MAX - 1)
    ]
    received = await served.exchange(post(b"abc"))
    assert received.endswith(b"3")
    assert loads.Cause.MEMORY in served.observer.causes
    for _, writer in members:
        writer.close()


async def test_idle_connections_make_room_for_an_ordinary_request(served):
    members = [await served.send(b"") for _ in range(CONNECTIONS_MAX * 3)]
    assert (await served.exchange(post(b"abc"))).endswith(b"3")
    assert served.table.connection_count() <= CONNECTIONS_MAX
    for _, writer in members:
        writer.close()


async def test_request_that_runs_is_answered_when_the_server_stops(served):
    reader, writer = await served.send(post(b"abc", path="/wait", last=False))
    while not served.app.served:
        await anyio.sleep(0.01)
    served.stopping.set()
    await anyio.sleep(0.1)
    served.app.resume.set()
    with anyio.fail_after(TIMEOUT_S):
        assert (await reader.read()).endswith(b"3")
    writer.close()


async def test_requests_sent_ahead_are_answered_when_the_server_stops(served):
    ahead = post(b"a", path="/wait", last=False) + post(b"ab", last=False)
    reader, writer = await served.send(ahead)
    while not served.app.served:
        await anyio.sleep(0.01)
    served.stopping.set()
    await anyio.sleep(0.1)
    served.app.resume.set()
    with anyio.fail_after(TIMEOUT_S):
        received = await reader.read()
    assert received.count(b"HTTP/1.1 200") == 2
    writer.close()


async def test_requests_are_not_read_while_answers_are_unread(served):
    """Guard against requests sent ahead that pile up in the process."""
    request = post(b"", last=False)
    _, writer = await served.send(request * 200_000)
    for _ in range(20):
        await anyio.sleep(0.05)
        assert served.table.held_bytes <= 64 * limits.KIBIBYTE
    assert served.app.served < 200_000
    writer.transport.abort()


async def test_request_that_outlasts_the_grace_time_is_cut_without_a_log_line(caplog):
    """Guard against errors that asyncio logs for connections cancelled at the end.

    The client gets no answer, so that it asks again: its request may have run.
    """
    app, stopping = EchoApp(), anyio.Event()
    bound = listeners.bind("127.0.0.1", 0)
    address = bound.getsockname()
    async with anyio.create_task_group() as group:
        serve = functools.partial(listeners.serve, app, bound, stopping.wait, grace_s=0.1)
        group.start_soon(serve)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post(b"abc", path="/wait"))
        while not app.served:
            await anyio.sleep(0.01)
        stopping.set()
        with anyio.fail_after(TIMEOUT_S):
            assert await reader.read() == b""
    writer.close()
    assert caplog.records == []


async def test_unfinished_tls_handshakes_stay_within_the_limit(monkeypatch):
    """Guard against closed connections that keep their descriptors until the handshake's end."""
    monkeypatch.setattr(connections, "HANDSHAKE_TIMEOUT_S", 100 * TIMEOUT_S)
    app, stopping, observer = EchoApp(), anyio.Event(), RecordingObserver()
    table = load_tables.LoadTable(
        limits.ListenerLimits(CONNECTIONS_MAX, BUDGET_BYTES), app, observer
    )
    bound = listeners.bind("127.0.0.1", 0)
    address = bound.getsockname()
    server = servers.HttpServer(app, bound, table, ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
    async with anyio.create_task_group() as group:
        group.start_soon(server.run, stopping.wait, 0.1)
        members = [await asyncio.open_connection(*address) for _ in range(CONNECTIONS_MAX * 3)]
        with anyio.fail_after(TIMEOUT_S):
            for reader, _ in members[: CONNECTIONS_MAX * 2]:
                assert await reader.read() == b""
        stopping.set()
    for _, writer in members:
        writer.close()
    assert observer.failures == []


async def test_client_that_resets_its_connection_at_once_is_no_failure(served):
    """Guard against a log line of an unexpected error for each such client."""
    for _ in range(20):
        client = socket.create_connection(served.address)
        # Closing with a linger time of 0 resets the connection.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
    assert (await served.exchange(post(b"abc"))).endswith(b"3")
    assert served.observer.failures == []


async def test_one_connection_with_many_chunks_decodes_in_an_iteration(served, monkeypatch):
    """Guard against a crowd of such connections that delays all other requests."""
    iteration_count = 0
    turn_iterations = []
    take = http1.Turns.take

    async def count_iterations():
        nonlocal iteration_count
        while True:
            await asyncio.sleep(0)
            iteration_count += 1

    async def take_and_note(turns):
        await take(turns)
        turn_iterations.append(iteration_count)

    monkeypatch.setattr(http1.Turns, "take", take_and_note)
    async with anyio.create_task_group() as group:
        group.start_soon(count_iterations)
        async with anyio.create_task_group() as clients:
            for _ in range(CONNECTIONS_MAX):
                clients.start_soon(served.exchange, chunked(b"a" * 5_000, 1))
        group.cancel_scope.cancel()
    assert served.app.served == CONNECTIONS_MAX
    assert len(set(turn_iterations)) == len(turn_iterations)


async def test_request_refused_while_it_waits_for_its_turn_is_not_decoded(served, monkeypatch):
    """Guard against an error of the parser, which has sent the response already."""
    turn = anyio.Event()

    async def take(_turns):
        await turn.wait()

    monkeypatch.setattr(http1.Turns, "take", take)
    monkeypatch.setattr(http1.Turns, "leave", lambda _turns: None)
    reader, writer = await served.send(post(b"a" * 3_000))
    with anyio.fail_after(TIMEOUT_S):
        while loads.Cause.HEADER_TIMEOUT not in served.observer.causes:
            await anyio.sleep(0.01)
        turn.set()
        assert (await reader.read()).startswith(b"HTTP/1.1 408")
    writer.close()
    assert served.app.served == 0
