"""Hostile input on each listener: the entry serves other callers, and its memory stays bounded."""

import contextlib
import socket

import msgpack
import pytest

CONNECTION_COUNT = 400
MEMORY_GROWTH_MAX_BYTES = 30 * 1024 * 1024
RECEIVE_TIMEOUT_S = 20.0
GARBAGE_BYTES = 8 * 1024 * 1024
KIBIBYTE = 1024


def address_of(text):
    """Return an address as a pair of host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def resident_bytes(program):
    """Return the resident memory of a process."""
    with open(f"/proc/{program.process.pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * KIBIBYTE
    raise AssertionError


def send_and_receive(address, data):
    """Send bytes and return the data received until the connection closes or times out."""
    received = b""
    with socket.create_connection(address_of(address), timeout=RECEIVE_TIMEOUT_S) as stream:
        with contextlib.suppress(OSError):
            stream.sendall(data)
        with contextlib.suppress(OSError):
            while chunk := stream.recv(65_536):
                received += chunk
    return received


@pytest.fixture
def entry(shared_system):
    """Return an entry; after the test, check that it serves requests in bounded memory."""
    first_entry = shared_system.entries[0]
    for _ in range(20):
        assert shared_system.request(first_entry).status_code == 200
    before_bytes = resident_bytes(first_entry)
    yield first_entry
    assert shared_system.request(first_entry).status_code == 200
    shared_system.wait_workers(3)
    after_bytes = resident_bytes(first_entry)
    print(f"resident {before_bytes} bytes before, {after_bytes} after")
    assert after_bytes - before_bytes < MEMORY_GROWTH_MAX_BYTES


def test_oversized_headers_are_refused(entry):
    for _ in range(20):
        request_head = b"GET /healthz HTTP/1.1\r\nhost: x\r\nx-long: " + b"a" * 200_000
        answer = send_and_receive(entry.http, request_head + b"\r\n\r\n")
        assert answer == b"" or b" 4" in answer.split(b"\r\n")[0]


def test_slow_body_is_timed_out(entry):
    request_head = b"POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{"
    assert b" 408 " in send_and_receive(entry.http, request_head).split(b"\r\n")[0]


def test_endless_body_is_refused(entry):
    request_head = b"POST /v1/requests HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n" % 65_536 + b"a" * 65_536 + b"\r\n"
    answer = send_and_receive(entry.http, request_head + chunk * 200)
    assert answer == b"" or b" 413 " in answer.split(b"\r\n")[0]


def test_many_idle_connections_block_no_requests(entry, shared_system):
    with contextlib.ExitStack() as connections:
        for number in range(CONNECTION_COUNT):
            address = (entry.http, entry.streams)[number % 2]
            stream = connections.enter_context(socket.create_connection(address_of(address)))
            stream.sendall(b"POST /v1/requests HTTP/1.1\r\n" if number % 2 == 0 else b"\x95")
        for _ in range(20):
            assert shared_system.request(entry).status_code == 200


GARBAGE = {
    "http": b"GET / HTTP/1.1\r\n\r\n" * 1000,
    "endless": b"\xdb\xff\xff\xff\xff" + b"a" * GARBAGE_BYTES,
    "unused": b"\xc1" * 99,
    "nested": b"\x91" * 100_000,
    "text stamp": msgpack.packb(["n", 0, "x", "", None]),
    "list call": msgpack.packb(["r", [], 1, "", None]),
    "long stamp": msgpack.packb(["c", 1, 2**64 - 1, "Hello", {}]),
    "map name": msgpack.packb(["c", 1, 1, {"a": 1}, {}]),
    "empty report": msgpack.packb(["n", 0, 1, "Report", {}]),
    "not rules": msgpack.packb(["n", 0, 1, "RulesInForce", {"record": b"x", "revision": 9}]),
}


@pytest.mark.parametrize("name", GARBAGE)
def test_garbage_on_the_stream_port_is_dropped(entry, name):
    for _ in range(5):
        send_and_receive(entry.streams, GARBAGE[name])
