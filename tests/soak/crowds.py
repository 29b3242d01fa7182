"""Crowds of clients outside the limits, and the processes that they connect to.

Each crowd sends without reading its answers and stays connected.
"""

import itertools
import json
import os
import pathlib
import selectors
import socket
import struct
import subprocess
import sys
import time

import attrs
import httpx
import pytest
import systems

MEBIBYTE = 1024 * 1024
# Limits of the machines, as in their settings.
MEMORY_MB = 80
FDS_MAX = 400
METRICS_PORT = 7015
HEADER_BYTES = 16_384
# One of so many members of a crowd completes its request.
COMPLETE_EVERY = 10
# A crowd has sent what it can when no member could send anything for this time, in seconds.
QUIET_S = 2.0
SENDING_MAX_S = 25.0
ANSWER_TIMEOUT_S = 60.0
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "checks",
            "host": systems.ROUTE_HOST,
            "prefix": systems.ROUTE_PREFIX,
            "service": "pool",
            "timeout_ms": 3000,
        }
    ],
    "tenants": [{"name": "booths", "keys": [systems.TEAM_KEY]}],
}
JOB_BODY = json.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 100, "est_ms": 100}]}).encode()
HEARTBEAT_BODY = json.dumps(
    {"service": "pool", "state": "ready", "capacity": {}, "labels": ["a"], "seq": 1, "born": 1}
).encode()


@attrs.define
class Target:
    """A listener of one process, and what a crowd sends to it.

    :param process: process under test.
    :param address: host and port of the listener.
    :param memory_mb: memory of its machine, in MiB.
    :param method_and_path: returns the request line's method and path for a number.
    :param document: JSON document that is padded to a body.
    :param body_bytes: largest legal body.
    :param ask: sends an ordinary request to the process and returns the status of its answer.
    """

    process: subprocess.Popen
    address: tuple
    memory_mb: int
    method_and_path: object
    document: bytes
    body_bytes: int
    ask: object

    def head(self, number, headers):
        """Return the header of a request."""
        request_line = f"{self.method_and_path(number)} HTTP/1.1\r\n"
        fixed = f"host: {systems.ROUTE_HOST}\r\nauthorization: Bearer {systems.TEAM_KEY}\r\n"
        return (request_line + fixed + headers + "\r\n").encode()

    def body(self):
        """Return a legal body of the largest size: a document and blanks."""
        return self.document.ljust(self.body_bytes)

    def status_field(self, name):
        """Return a field of the process's status in bytes."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        row = next(line for line in status.splitlines() if line.startswith(f"{name}:"))
        return int(row.split()[1]) * 1024

    def check(self):
        """Check that the process is within its limits and answers an ordinary request."""
        assert self.process.poll() is None
        status = self.ask()
        descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        peak_bytes = self.status_field("VmHWM")
        print(f"status {status}, peak {peak_bytes / MEBIBYTE:.1f} MiB, {descriptors} descriptors")
        assert status == 200
        assert self.process.poll() is None
        assert peak_bytes <= self.memory_mb * MEBIBYTE
        assert descriptors <= FDS_MAX


def with_length(target, number):
    """Return a request with a content length."""
    return target.head(number, f"content-length: {target.body_bytes}\r\n") + target.body()


def with_large_chunks(target, number):
    """Return a request in chunks of 64 KiB."""
    body = target.body()
    chunks = [body[start : start + 65_536] for start in range(0, len(body), 65_536)]
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return target.head(number, "transfer-encoding: chunked\r\n") + encoded + b"0\r\n\r\n"


def with_small_chunks(target, number, count=100_000):
    """Return a request in chunks of one byte."""
    body = target.document.ljust(count)
    encoded = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    return target.head(number, "transfer-encoding: chunked\r\n") + encoded + b"0\r\n\r\n"


def ahead(target, number):
    """Return many requests, sent ahead."""
    path = target.method_and_path(number).partition(" ")[2]
    request = f"GET {path} HTTP/1.1\r\nhost: {systems.ROUTE_HOST}\r\n\r\n"
    return request.encode() * 20_000


def endless_header(target, number):
    """Return a header that does not end, of legal size."""
    return target.head(number, "x-long: ")[:-2].ljust(HEADER_BYTES - 100, b"a")


def long_header(target, number):
    """Return a header that does not end, over the legal size."""
    return target.head(number, "x-long: ")[:-2].ljust(30_000, b"a")


def header_of_many_fields(target, number):
    """Return a header of legal size with many short fields, and a body that does not end."""
    fields = "a:\r\n" * ((HEADER_BYTES - 400) // 4)
    return target.head(number, f"content-length: 9\r\n{fields}") + b"12345678"


# Kinds of crowd: the message, the number of members, the size of their pieces in bytes, and the
# number of last bytes that most members withhold.
CROWDS = {
    "ahead": (ahead, 120, 65_536, 0),
    "whole": (with_length, 200, 1_000_000, 1),
    "pieces": (with_length, 200, 4_096, 1),
    "large chunks": (with_large_chunks, 200, 65_536, 6),
    "small chunks": (with_small_chunks, 200, 65_536, 6),
    "endless header": (endless_header, 450, 65_536, 0),
    "long header": (long_header, 450, 65_536, 0),
    "header of many fields": (header_of_many_fields, 200, 65_536, 0),
}


@attrs.define
class Member:
    """A connection of a crowd, with what is left to send."""

    connection: socket.socket
    unsent: memoryview


class Crowd:
    """Connections that send without reading and stay open.

    :param target: listener that they connect to.
    """

    def __init__(self, target):
        self._target = target
        self._connections = []

    def send(self, kind):
        """Send a kind of crowd until nothing more can be sent; the connections stay open."""
        make_message, count, piece_bytes, withheld_bytes = CROWDS[kind]
        selector = selectors.DefaultSelector()
        for number in range(count):
            message = make_message(self._target, number)
            if withheld_bytes and number % COMPLETE_EVERY:
                message = message[:-withheld_bytes]
            connection = socket.socket()
            self._connections.append(connection)
            connection.setblocking(False)
            connection.connect_ex(self._target.address)
            member = Member(connection, memoryview(message))
            selector.register(connection, selectors.EVENT_WRITE, member)
        quiet_at_s = time.monotonic() + QUIET_S
        end_s = time.monotonic() + SENDING_MAX_S
        while selector.get_map() and time.monotonic() < min(quiet_at_s, end_s):
            for key, _ in selector.select(POLL_INTERVAL_S):
                if not self._send_piece(key.data, piece_bytes):
                    selector.unregister(key.fileobj)
                quiet_at_s = time.monotonic() + QUIET_S
        selector.close()

    def connect(self, count):
        """Open idle connections."""
        for _ in range(count):
            address = self._target.address
            self._connections.append(socket.create_connection(address, ANSWER_TIMEOUT_S))

    def _send_piece(self, member, piece_bytes):
        """Send a piece, and return whether the member has more to send."""
        try:
            sent_bytes = member.connection.send(member.unsent[:piece_bytes])
        except BlockingIOError:
            return True
        except OSError:
            return False
        member.unsent = member.unsent[sent_bytes:]
        return len(member.unsent) > 0

    def close(self):
        """Close all connections."""
        for connection in self._connections:
            connection.close()


class Machines:
    """A store, an entry, an agent and its worker, without proxies.

    :param folder: folder for settings and logs.
    """

    def __init__(self, folder):
        self._folder = folder
        self._started = []
        self._job_numbers = itertools.count(1)
        # A system that is not started reserves a network of its own.
        systems.System(folder, entries=0, agents=0)
        self.store = systems.address(systems.STORE_GROUP, 1, systems.STORE_PORT)
        self.front = systems.address(systems.ENTRY_GROUP, 1, systems.FRONT_PORT)
        self.ready = systems.address(systems.ENTRY_GROUP, 1, systems.READY_PORT)
        self.metrics = systems.address(systems.ENTRY_GROUP, 1, METRICS_PORT)
        self.control = systems.address(systems.AGENT_GROUP, 1, systems.CONTROL_PORT)
        self.agent_metrics = systems.address(systems.AGENT_GROUP, 1, METRICS_PORT)
        self._worker = systems.address(systems.AGENT_GROUP, 1, systems.WORKER_PORT)
        self.client = httpx.Client(trust_env=False, verify=False, timeout=ANSWER_TIMEOUT_S)

    def start(self):
        """Start all processes and wait until the entry is ready."""
        standins = str(systems.SOAK_FOLDER / "standins.py")
        store = systems.format_address(*self.store)
        worker = systems.format_address(*self._worker)
        control = systems.format_address(*self.control)
        self._popen("store", sys.executable, standins, "store", store)
        self._popen("worker", sys.executable, standins, "worker", "w-1", worker, control, "0.1")
        front, ready = systems.format_address(*self.front), systems.format_address(*self.ready)
        entry_listen = f'front = "{front}"\nready = "{ready}"'
        self.entry = self._program("entry", self.front[0], entry_listen, MEMORY_MB)
        agent_listen = f'control = "{control}"'
        self.agent = self._program("agent", self.control[0], agent_listen, MEMORY_MB, worker)
        self._wait(self._publish)
        self._wait(lambda: self.get(self.ready, "/api/readyz") == 200)
        self._wait(lambda: self.submit() == 200)
        self._wait(lambda: self.get(self.agent_metrics, "/metrics") == 200)

    def _program(self, name, host, listen, memory_mb, worker=""):
        text = (
            f'node = "{name}-1"\nzone = "dc-1"\nip = "{host}"\n'
            f'internal_ports = [7000, 7010]\napp = "{worker}"\n'
            f'[platform]\naddr = "{systems.format_address(*self.store)}"\n[listen]\n{listen}\n'
            f"[limits]\nmemory_mb = {memory_mb}\nmax_fds = {FDS_MAX}\n"
            f"[bounds]\n{systems.BOUNDS_SETTINGS}"
        )
        path = self._folder / f"{name}.toml"
        path.write_text(text)
        command = (sys.executable, "-m", "papayaspar_adapter", name)
        return self._popen(name, *command, environment={"PAPAYASPAR_BOOT": str(path)})

    def _popen(self, name, *command, environment=None):
        with (self._folder / f"{name}.log").open("w") as log:
            process = subprocess.Popen(
                command, stdout=log, stderr=log, env=os.environ | (environment or {})
            )
        self._started.append(process)
        return process

    def _publish(self):
        content = bytes([len("config")]) + b"config" + json.dumps(CONFIGURATION).encode()
        url = f"http://{systems.format_address(*self.store)}/api/log-append"
        body = struct.pack(">I", len(content)) + content
        return self.client.post(
            url, params={"topic": "keyed.op", "part": 0}, content=body
        ).is_success

    @staticmethod
    def _wait(condition):
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            try:
                if condition():
                    return
            except httpx.TransportError:
                pass
            time.sleep(POLL_INTERVAL_S)
        pytest.fail("the condition did not become true in time")

    def get(self, address, path):
        """Return the status of a GET request on a new connection."""
        url = f"http://{systems.format_address(*address)}{path}"
        return self.client.get(url, headers={"connection": "close"}).status_code

    def submit(self, body=JOB_BODY):
        """Submit a job, and return the status of the answer."""
        job_id = f"{next(self._job_numbers):016x}"
        url = f"http://{systems.format_address(*self.front)}{systems.ROUTE_PREFIX}{job_id}"
        headers = {
            "host": systems.ROUTE_HOST,
            "authorization": f"Bearer {systems.TEAM_KEY}",
            "connection": "close",
        }
        response = self.client.post(url, content=body, headers=headers)
        if not response.is_success:
            print(f"job {job_id}: {response.status_code}, {response.text}")
        return response.status_code

    def beat(self):
        """Send a heartbeat of a worker that is not the agent's, and return the answer's status."""
        url = f"http://{systems.format_address(*self.control)}/api/instances/w-1/heartbeat"
        headers = {"connection": "close"}
        return self.client.post(url, content=HEARTBEAT_BODY, headers=headers).status_code

    def close(self):
        """Kill all processes."""
        self.client.close()
        for process in self._started:
            systems.kill(process)
