"""Fixtures: the whole system as separate processes on loopback."""

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


# Below the range that the kernel takes the ports of outgoing connections from.
PORTS = range(12_000, 32_000)
RUNS_SPACING_PORTS = 499
FIRST_PORT = os.getpid() * RUNS_SPACING_PORTS % len(PORTS)
PORTS_NEXT = itertools.islice(itertools.cycle(PORTS), FIRST_PORT, None)


def free_port():
    """Return a port nobody listens on now; runs beside one another start at other places."""
    for port in PORTS_NEXT:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise AssertionError


@attrs.define
class Program:
    """One running program of the system."""

    name: str
    process: subprocess.Popen
    log_path: pathlib.Path
    http: str = ""
    operators: str = ""
    streams: str = ""

    def send(self, number):
        """Send a signal, by process id."""
        os.kill(self.process.pid, number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)

    def lines(self):
        """Return what the program logged so far."""
        return self.log_path.read_text().splitlines()


class UnpooledTransport(httpx.BaseTransport):
    """Sends each request over a connection and a pool of its own.

    A pool that threads share may close a connection that it has just given to another thread.
    """

    def handle_request(self, request):
        """Send a request and read its whole answer."""
        with httpx.HTTPTransport(verify=False, trust_env=False) as transport:
            response = transport.handle_request(request)
            response.read()
        return response


def new_client():
    """Return a client for many threads."""
    return httpx.Client(transport=UnpooledTransport(), timeout=CALL_TIMEOUT_S, trust_env=False)


@attrs.define
class System:
    """Starts and holds the programs of one test."""

    folder: pathlib.Path
    programs: list = attrs.field(factory=list)
    entries: list = attrs.field(factory=list)
    agents: dict = attrs.field(factory=dict)
    workers: dict = attrs.field(factory=dict)
    log: Program | None = None
    client: httpx.Client = attrs.field(factory=new_client)

    def start(self, name, program, *arguments):
        """Start one program; its log goes to a file."""
        log_path = self.folder / f"{name}-{len(self.programs)}.log"
        command = [sys.executable, "-m", f"papayaspar_{program}_main.main", *arguments]
        with log_path.open("w") as log_file:
            process = subprocess.Popen(command, stdout=log_file, stderr=log_file)
        started = Program(name, process, log_path)
        self.programs.append(started)
        return started

    def start_log(self):
        """Start the stand-in of the log service."""
        address = f"127.0.0.1:{free_port()}"
        self.log = self.start("log", "standin", "log", "--listen", address)
        self.log.http = address

    def start_worker(self, name):
        """Start the stand-in of a worker: its target and its runtime."""
        address = f"127.0.0.1:{free_port()}"
        worker = self.start(f"{name}-worker", "standin", "worker", "--listen", address)
        worker.http = address
        self.workers[name] = worker

    def start_entry(self, name, *arguments, place_of=None, wait=True):
        """Start one entry, at the addresses of an earlier one if asked for."""
        callers, operators, streams = (f"127.0.0.1:{free_port()}" for _ in range(3))
        if place_of is not None:
            callers, operators, streams = place_of.http, place_of.operators, place_of.streams
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
        """Return the revision of the rules that an entry has in force."""
        return self.get(f"http://{entry.operators}/v1/rules").json()["revision"]

    def wait_revision(self, revision):
        """Wait until every entry has a revision in force."""
        for entry in self.entries:
            self.wait_until(lambda entry=entry: self.revision(entry) == revision)

    def fail_log(self, **faults):
        """Switch faults of the log service on; those left out go off."""
        self.client.post(f"http://{self.log.http}/faults", json=faults)

    def wait_workers(self, count):
        """Wait until every entry sees so many usable workers."""
        for entry in self.entries:
            self.wait_until(lambda entry=entry: self.usable_workers(entry) == count)

    def usable_workers(self, entry):
        """Return how many workers an entry would send work to."""
        rows = self.get(f"http://{entry.operators}/v1/status").json()["workers"]
        return sum(row["state"] == "up" for row in rows)

    def request(self, entry, key=None, **fields):
        """Send one request to an entry and return the HTTP response."""
        body = {"team": "booths", "kind": "check", "payload": {"n": 1}} | fields
        headers = {"idempotency-key": key} if key is not None else {}
        url = f"http://{entry.http}/v1/requests"
        return self.client.post(url, json=body, headers=headers)

    def ask_all(self, asked):
        """Send requests at once, each given as an entry and its fields; return the responses.

        A connection that broke is returned as its error.
        """
        with concurrent.futures.ThreadPoolExecutor(max(1, len(asked))) as pool:
            sent = [pool.submit(self._ask, entry, fields) for entry, fields in asked]
        return [future.result() for future in sent]

    def _ask(self, entry, fields):
        try:
            return self.request(entry, **fields)
        except httpx.TransportError as error:
            return error

    def fail_worker(self, name, **faults):
        """Switch faults of a worker on; those left out go off."""
        url = f"http://{self.workers[name].http}/faults"
        self.client.post(url, json=faults)

    def counts(self, name):
        """Return a worker's own counts of what it ran."""
        return self.get(f"http://{self.workers[name].http}/counts").json()

    def executions(self, key):
        """Return how often requests with a key began to run, by the targets' own counts."""
        total = 0
        for name in self.workers:
            total += self.counts(name)["by_key"].get(key, 0)
        return total

    def wait_shards(self, revision=1):
        """Wait until every entry knows who owns the shards of keys, by some revision."""
        for entry in self.entries:
            url = f"http://{entry.operators}/v1/status"
            self.wait_until(lambda url=url: self.get(url).json()["shards_revision"] >= revision)

    def get(self, url):
        """Return the response to a GET."""
        return self.client.get(url)

    @staticmethod
    def wait_until(condition, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds; connection errors count as not yet."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpx.TransportError):
                if condition():
                    return
            time.sleep(0.02)
        pytest.fail("the condition did not come true in time")

    def close(self):
        """End every program that was started, by its process id."""
        self.client.close()
        for program in self.programs:
            if program.process.poll() is not None:
                continue
            with contextlib.suppress(ProcessLookupError):
                program.send(signal.SIGCONT)
            program.kill()


def start_small(system):
    """Start one log, two entries and three workers, and publish rules."""
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
    for name in names:
        system.wait_until(
            lambda name=name: system.get(f"http://{system.workers[name].http}/counts")
        )


@pytest.fixture
def more_rules():
    """Return rules with one more team than those in force at first."""
    return RULES + "team nights weight=1 # asked by the season planner\n"


@pytest.fixture
def system(tmp_path):
    """Return an empty system; its programs end with the test."""
    made = System(tmp_path)
    yield made
    made.close()


@pytest.fixture
def small_system(system):
    """Return a running small system for one test."""
    start_small(system)
    return system


@pytest.fixture(scope="module")
def shared_system(tmp_path_factory):
    """Return a running small system for all tests of a module that leave it as it was."""
    made = System(tmp_path_factory.mktemp("shared"))
    try:
        start_small(made)
        yield made
    finally:
        made.close()
