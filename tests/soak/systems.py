"""Starts the real programs on loopback addresses, connected through proxies."""

import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import time

import anyio
import attrs
import httpx
import proxies

SOAK_FOLDER = pathlib.Path(__file__).parent
# Second octets of the 127.x networks in use. Each system gets a network of its own, so that
# concurrent and consecutive runs do not interfere.
NETWORK_OCTETS = [40 + os.getpid() % 200]
# Sockets that reserve the networks of the newest systems of this process.
NETWORK_GUARDS = collections.deque()
NETWORK_GUARDS_MAX = 4
GUARD_GROUP, GUARD_PORT = 0, 8099
STORE_PORT, WORKER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8200, 8080, 8521, 8523, 8526
STORE_GROUP = 9
ENTRY_GROUP, AGENT_GROUP = 1, 2
# Offset from the number of a machine to the number of its proxies' address.
PROXY_OFFSET = 100
START_TIMEOUT_S = 30.0
ROUTE_HOST, ROUTE_PREFIX, TEAM_KEY = "photos.example", "/checks/", "key-1"
GRACE_S = 6
DATA_CENTRES = ("dc-1", "dc-2")
# Time after the acknowledgement of an evacuation from which on nothing may start there, in seconds.
EVACUATION_S = 5.0
BOUNDS_SETTINGS = (
    f"hold_max_ms = 6000\nrevoke_ms = 5000\ngrace_s = {GRACE_S}\nstatus_s = 120\n"
    f"evac_ms = {EVACUATION_S * 1000:.0f}\n"
)


def reserve_network():
    """Choose a network that no other process has reserved, and on which no store runs."""
    while True:
        NETWORK_OCTETS.append(40 + (NETWORK_OCTETS[-1] + 7) % 200)
        guard, probe = socket.socket(), socket.socket()
        try:
            guard.bind(address(GUARD_GROUP, 1, GUARD_PORT))
            probe.bind(address(STORE_GROUP, 1, STORE_PORT))
        except OSError:
            guard.close()
            continue
        finally:
            probe.close()
        break
    NETWORK_GUARDS.append(guard)
    if len(NETWORK_GUARDS) > NETWORK_GUARDS_MAX:
        NETWORK_GUARDS.popleft().close()


def address(group, number, port):
    """Return the host and port of a machine, given its group and its number in the group."""
    return f"127.{NETWORK_OCTETS[-1]}.{group}.{number}", port


def format_address(host, port):
    """Return an address in the form ``host:port``."""
    return f"{host}:{port}"


@attrs.define(eq=False)
class Machine:
    """A machine with one program, its proxies and, if the program is an agent, a worker.

    :param name: name of the machine.
    :param program: name of the program: ``entry`` or ``agent``.
    :param folder: folder for settings, logs and events.
    :param worker_arguments: command-line arguments of the worker, or empty without one.
    :param links: proxies on the way to or from the machine, by name.
    :param worker_crashes_s: times at which the worker was killed, in seconds since the Unix epoch.
    :param data_centre: data centre of the machine.
    """

    name: str
    program: str
    folder: pathlib.Path
    worker_arguments: tuple = ()
    links: dict = attrs.field(factory=dict)
    process: subprocess.Popen | None = None
    worker: subprocess.Popen | None = None
    worker_crashes_s: list = attrs.field(factory=list)
    data_centre: str = DATA_CENTRES[0]

    @property
    def log_path(self):
        """Path of the program's log."""
        return self.folder / f"{self.name}.log"

    @property
    def events_path(self):
        """Path of the events that the worker prints."""
        return self.folder / f"{self.name}-runs.jsonl"

    def start(self):
        """Start the program unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        environment = dict(os.environ, PAPAYASPAR_BOOT=str(self.folder / f"{self.name}.toml"))
        command = [sys.executable, "-m", "papayaspar_adapter", self.program]
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    def start_worker(self):
        """Start a new incarnation of the worker, if the machine has a worker."""
        if not self.worker_arguments:
            return
        command = [
            sys.executable,
            str(SOAK_FOLDER / "standins.py"),
            "worker",
            *self.worker_arguments,
        ]
        with self.events_path.open("a") as out, (self.folder / "workers.log").open("a") as log:
            self.worker = subprocess.Popen(command, stdout=out, stderr=log)

    def crash_worker(self):
        """Kill the worker, which ends its runs."""
        kill(self.worker)
        self.worker_crashes_s.append(time.time())

    def send_signal(self, signal_number):
        """Send a signal to the program if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    def events(self):
        """Return the events that the worker printed, oldest first."""
        if not self.events_path.exists():
            return []
        return [json.loads(line) for line in self.events_path.read_text().splitlines()]


def kill(process):
    """Kill a process, even if it is paused, and wait for its exit."""
    if process is None or process.poll() is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()


class System:
    """A store, entries, agents with workers, and the proxies between them.

    :param folder: folder for settings, logs and events.
    :param entries: number of entries.
    :param agents: number of agents, each with a worker.
    :param run_time_s: run time of each task, in seconds.
    :param attempts: number of failed runs after which a task or a gang is not started again.
    """

    def __init__(self, folder, entries=3, agents=4, run_time_s=1.5, attempts=3):
        reserve_network()
        self._folder = folder
        self._run_time_s = run_time_s
        self.attempts = attempts
        # Data centre, acknowledgement and begin of the end of each evacuation, in seconds since the
        # Unix epoch.
        self.evacuations = []
        self._store = None
        self._versions = itertools.count(1)
        self.entries = [self._entry(number) for number in range(1, entries + 1)]
        self.agents = [self._agent(number) for number in range(1, agents + 1)]

    @property
    def machines(self):
        """All machines."""
        return self.entries + self.agents

    def _machine(self, group, number, name, program, **options):
        machine = Machine(name, program, self._folder, **options)
        store = address(group, number + PROXY_OFFSET, STORE_PORT)
        store_target = address(STORE_GROUP, 1, STORE_PORT)
        machine.links["store"] = proxies.Proxy(store, store_target)
        return machine

    def _entry(self, number):
        machine = self._machine(ENTRY_GROUP, number, f"entry-{number}", "entry")
        front = address(ENTRY_GROUP, number, FRONT_PORT)
        machine.links["front"] = proxies.Proxy(
            address(ENTRY_GROUP, number + PROXY_OFFSET, FRONT_PORT), front
        )
        ready = address(ENTRY_GROUP, number, READY_PORT)
        self._write_settings(
            machine,
            ENTRY_GROUP,
            number,
            f'front = "{format_address(*front)}"\nready = "{format_address(*ready)}"',
        )
        return machine

    def _agent(self, number):
        worker = address(AGENT_GROUP, number, WORKER_PORT)
        control = format_address(*address(AGENT_GROUP, number, CONTROL_PORT))
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        worker_arguments = (
            f"w-{number}",
            format_address(*worker),
            control,
            str(self._run_time_s),
            data_centre,
        )
        machine = self._machine(
            AGENT_GROUP,
            number,
            f"agent-{number}",
            "agent",
            worker_arguments=worker_arguments,
            data_centre=data_centre,
        )
        link = proxies.Proxy(address(AGENT_GROUP, number + PROXY_OFFSET, WORKER_PORT), worker)
        machine.links["worker"] = link
        self._write_settings(
            machine, AGENT_GROUP, number, f'control = "{control}"', format_address(*link.listen)
        )
        return machine

    def _write_settings(self, machine, group, number, listen, worker=""):
        host, _ = address(group, number, 0)
        store = format_address(*machine.links["store"].listen)
        text = (
            f'node = "{machine.name}"\nzone = "{machine.data_centre}"\nip = "{host}"\n'
            f'internal_ports = [7000, 7010]\napp = "{worker}"\n'
            f'[platform]\naddr = "{store}"\n[listen]\n{listen}\n[bounds]\n{BOUNDS_SETTINGS}'
        )
        (self._folder / f"{machine.name}.toml").write_text(text)

    async def start(self, group):
        """Start all processes and proxies, and wait until every entry is ready."""
        self._start_store()
        for machine in self.machines:
            for link in machine.links.values():
                group.start_soon(link.run)
            machine.start_worker()
            machine.start()
        group.start_soon(self._restart_forever)
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            with anyio.fail_after(START_TIMEOUT_S):
                await self._wait_until(self.publish, client)
                for machine in self.entries:
                    await self._wait_until(self._is_ready, client, machine)

    def _start_store(self):
        store = format_address(*address(STORE_GROUP, 1, STORE_PORT))
        with (self._folder / "store.log").open("a") as log:
            command = [sys.executable, str(SOAK_FOLDER / "standins.py"), "store", store]
            self._store = subprocess.Popen(command, stdout=log, stderr=log)

    async def _wait_until(self, check, *arguments):
        while True:
            with contextlib.suppress(httpx.TransportError):
                if await check(*arguments):
                    return
            await anyio.sleep(0.1)

    async def _is_ready(self, client, machine):
        host, port = address(ENTRY_GROUP, self.entries.index(machine) + 1, READY_PORT)
        return (await client.get(f"http://{host}:{port}/api/readyz")).status_code == 200

    async def publish(self, client):
        """Publish a new version of the configuration, and return whether the store accepted it."""
        version = next(self._versions)
        route = {
            "name": "checks",
            "host": ROUTE_HOST,
            "prefix": ROUTE_PREFIX,
            "service": "pool",
            "timeout_ms": 3000,
            "prio": 1,
            "attempts": self.attempts,
            "stretch": 3.0,
            "slo_ms": 1000 + version,
        }
        tenant = {"name": "booths", "keys": [TEAM_KEY], "guaranteed": {"gpu": 8}}
        value = json.dumps({"version": version, "routes": [route], "tenants": [tenant]}).encode()
        return await self._write_operator_record(client, "config", value)

    async def evacuate(self, client, data_centre, duration_s):
        """Evacuate a data centre for a time, in seconds."""
        key = f"evacuate/{data_centre}"
        if not await self._write_operator_record(client, key, b"{}"):
            return
        acknowledged_s = time.time()
        await anyio.sleep(duration_s)
        self.evacuations.append((data_centre, acknowledged_s, time.time()))
        await self._write_operator_record(client, key, b"")

    async def _write_operator_record(self, client, key, value):
        """Write a record to the operators' partition, and return whether the store accepted it."""
        content = bytes([len(key)]) + key.encode() + value
        url = f"http://{format_address(*address(STORE_GROUP, 1, STORE_PORT))}/api/log-append"
        body = struct.pack(">I", len(content)) + content
        response = await client.post(url, params={"topic": "keyed.op", "part": 0}, content=body)
        return response.is_success

    async def _restart_forever(self):
        """Restart programs that have ended, as the platform does."""
        while True:
            await anyio.sleep(0.3)
            for machine in self.machines:
                machine.start()

    def close(self):
        """Kill all processes."""
        for machine in self.machines:
            kill(machine.process)
            kill(machine.worker)
        kill(self._store)
