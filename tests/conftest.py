"""Fixtures that run the whole system as separate processes on loopback."""

import concurrent.futures
import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import attrs
import httpx
import pytest

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 30.0
RULES = """\
team booths weight=4 # asked by the booths' manager
team batch weight=1 # asked by the retouching desk
slots booths-slots team=booths slots=8 # asked by the booths' manager
"""


# Below the range from which the kernel assigns the ports of outgoing connections.
PORTS = range(12_000, 32_000)
# Distance between the first ports of test processes with consecutive ids, so that concurrent runs
# do not compete for the same ports.
PROCESS_PORT_STRIDE = 499
FIRST_PORT_INDEX = os.getpid() * PROCESS_PORT_STRIDE % len(PORTS)
CANDIDATE_PORTS = itertools.islice(itertools.cycle(PORTS), FIRST_PORT_INDEX, None)


def free_port():
    """Return a port on which no process listens."""
    for port in CANDIDATE_PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError


@attrs.define
class Program:
    """A started program of the system."""

    name: str
    process: subprocess.Popen
    log_path: pathlib.Path
    http: str = ""
    operators: str = ""
    streams: str = ""

    def send_signal(self, signal_number):
        """Send a signal to the process."""
        os.kill(self.process.pid, signal_number)

    def kill(self):
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)

    def lines(self):
        """Return the lines that the program has logged so far."""
        return self.log_path.read_text().splitlines()


class UnpooledTransport(httpx.BaseTransport):
    """Sends each request over a new connection, from a connection pool of its own.

    A pool shared by threads may close a connection that it has just handed to another thread.
    """

    def handle_request(self, request):
        """Send a request and read the whole response."""
        with httpx.HTTPTransport(verify=False, trust_env=False) as transport:
            response = transport.handle_request(request)
            response.read()
        return response


def new_client():
    """Return a client that many threads can share."""
    return httpx.Client(transport=UnpooledTransport(), timeout=CALL_TIMEOUT_S, trust_env=False)


@attrs.define
class System:
    """The programs of one test."""

    folder: pathlib.Path
    programs: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    agents: dict = attrs.field(factory=dict)
    workers: dict = attrs.field(factory=dict)
    log: Program | None = None
    client: httpx.Client = attrs.field(factory=new_client)

    def start(self, name, program, *arguments):
        """Start a program that logs to a file."""
        log_path = self.folder / f"{name}-{len(self.programs)}.log"
        command = [sys.executable, "-m", f"papayaspar_{program}_main.main", *arguments]
        with log_path.open("w") as log_file:
            process = subprocess.Popen(command, stdout=log_file, stderr=log_file)
        new_program = Program(name, process, log_path)
        self.programs.append(new_program)
        return new_program

    def start_log(self):
        """Start the stand-in of the log service."""
        address = f"127.0.0.1:{free_port()}"
        self.log = self.start("log", "standin", "log", "--listen", address)
        self.log.http = address

    def start_worker(self, name):
        """Start the stand-in of a worker, with its target and its runtime."""
        address = f"127.0.0.1:{free_port()}"
        worker = self.start(f"{name}-worker", "standin", "worker", "--listen", address)
        worker.http = address
        self.workers[name] = worker

    def start_entry(self, name, *arguments, replaced_entry=None, wait=True):
        """Start an entry, at the addresses of the replaced entry if one is given."""
        callers, operators, streams = (f"127.0.0.1:{free_port()}" for _ in range(3))
        if replaced_entry is not None:
            callers, operators, streams = (
                replaced_entry.http,
                replaced_entry.operators,
                replaced_entry.streams,
            )
        peers = ",".join(entry.streams for entry in self.entries)
        entry = self.start(
            name,
            "entry",
            *("--name", name, "--data-centre", "dc-1", "--log", self.log.http),
            *("--callers", callers, "--operators", operators, "--listen", streams),
            *("--peers", peers, "--unready-s", "0.2"),
            *arguments,
        )
        entry.http, entry.operators, entry.streams = callers, operators, streams
        self.entries.append(entry)
        if wait:
            self.wait_until(lambda: self.get(f"http://{callers}/healthz"))
        return entry

    def start_agent(self, name, rack="rack-1", *arguments):
        """Start the agent beside a worker."""
        entries = ",".join(entry.streams for entry in self.entries)
        address = self.workers[name].http
        agent = self.start(
            name,
            "agent",
            *("--worker", name, "--rack", rack, "--data-centre", "dc-1"),
            *("--entries", entries, "--target", address, "--runtime", address),
            *("--listen", f"127.0.0.1:{free_port()}"),
            *arguments,
        )
        self.agents[name] = agent
        return agent

    def publish(self, text=RULES, entry=None, parent=None, publish_id=""):
        """Publish rules through an entry and return the HTTP response."""
        entry = entry or self.entries[0]
        url = f"http://{entry.operators}/v1/rules"
        if parent is None:
            parent = self.get(url).json()["revision"]
        headers = {
            "papayaspar-parent": str(parent),
            "papayaspar-publish-id": publish_id,
            "papayaspar-author": "tests",
        }
        return self.client.post(url, content=text, headers=headers)

    def revision(self, entry):
        """Return the revision of the rules in force at an entry."""
        return self.get(f"http://{entry.operators}/v1/rules").json()["revision"]

    def wait_revision(self, revision):
        """Wait until a revision is in force at every entry."""
        for entry in self.entries:
            self.wait_until(lambda entry=entry: self.revision(entry) == revision)

    def set_log_faults(self, **faults):
        """Enable the given faults of the log service and disable all others."""
        self.client.post(f"http://{self.log.http}/faults", json=faults)

    def wait_workers(self, count):
        """Wait until every entry sees exactly ``count`` usable workers."""
        for entry in self.entries:
            self.wait_until(lambda entry=entry: self.usable_workers(entry) == count)

    def wait_targets(self):
        """Wait until every worker accepts connections; an agent may be attached before."""
        for name in self.workers:
            self.wait_until(lambda name=name: self.counts(name) is not None)

    def usable_workers(self, entry):
        """Return how many workers are in state ``up`` at an entry."""
        rows = self.get(f"http://{entry.operators}/v1/status").json()["workers"]
        return sum(row["state"] == "up" for row in rows)

    def request(self, entry, key=None, **fields):
        """Send one request to an entry and return the HTTP response."""
        body = {"team": "booths", "kind": "check", "payload": {"n": 1}} | fields
        headers = {"idempotency-key": key} if key is not None else {}
        url = f"http://{entry.http}/v1/requests"
        return self.client.post(url, json=body, headers=headers)

    def request_all(self, requests):
        """Send requests concurrently and return the responses.

        Requests are pairs of an entry and the fields of the request. A request whose connection
        fails returns the exception in place of a response.
        """
        with concurrent.futures.ThreadPoolExecutor(max(1, len(requests))) as pool:
            futures = [pool.submit(self._request, entry, fields) for entry, fields in requests]
        return [future.result() for future in futures]

    def _request(self, entry, fields):
        try:
            return self.request(entry, **fields)
        except httpx.TransportError as error:
            return error

    def set_worker_faults(self, name, **faults):
        """Enable the given faults of a worker and disable all others."""
        url = f"http://{self.workers[name].http}/faults"
        self.client.post(url, json=faults)

    def counts(self, name):
        """Return the counts of executions that a worker keeps."""
        return self.get(f"http://{self.workers[name].http}/counts").json()

    def executions(self, key):
        """Return how often requests with a key started to run, as counted by the targets."""
        total = 0
        for name in self.workers:
            total += self.counts(name)["by_key"].get(key, 0)
        return total

    def wait_shards(self, revision=1):
        """Wait until every entry has at least this revision of the shard map."""
        for entry in self.entries:
            url = f"http://{entry.operators}/v1/status"
            self.wait_until(lambda url=url: self.get(url).json()["shards_revision"] >= revision)

    def get(self, url):
        """Send a GET request and return the response."""
        return self.client.get(url)

    @staticmethod
    def wait_until(condition, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds; a connection error means that it does not hold yet."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpx.TransportError):
                if condition():
                    return
            time.sleep(0.02)
        pytest.fail("the condition did not become true in time")

    def close(self):
        """Kill every program that is still running."""
        self.client.close()
        for program in self.programs:
            if program.process.poll() is not None:
                continue
            with contextlib.suppress(ProcessLookupError):
                program.send_signal(signal.SIGCONT)
            program.kill()


def start_small_system(system):
    """Start the log service, two entries and three workers with agents, and publish rules."""
    names = ("worker-1", "worker-2", "worker-3")
    system.start_log()
    system.start_entry("entry-1", wait=False)
    system.start_entry("entry-2", wait=False)
    for name in names:
        system.start_worker(name)
        system.start_agent(name)
    system.wait_workers(len(names))
    system.wait_until(lambda: system.publish().status_code == 200)
    system.wait_revision(1)
    system.wait_targets()


@pytest.fixture
def extended_rules():
    """Return the initial rules with an additional team."""
    return RULES + "team nights weight=1 # asked by the season planner\n"


@pytest.fixture
def system(tmp_path):
    """Return a system without programs; those started in the test are killed after it."""
    new_system = System(tmp_path)
    yield new_system
    new_system.close()


@pytest.fixture
def small_system(system):
    """Return a running small system for a single test."""
    start_small_system(system)
    return system


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    """Return a running small system, shared by the tests of a module that leave it unchanged."""
    new_system = System(tmp_path_factory.mktemp("shared"))
    try:
        start_small_system(new_system)
        yield new_system
    finally:
        new_system.close()
