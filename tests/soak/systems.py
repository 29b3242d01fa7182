"""The real programs on loopback addresses of their own, behind proxies."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import struct
import subprocess
import sys
import time

import anyio
import attrs
import httpx
import proxies

HERE = pathlib.Path(__file__).parent
# A whole 127.x network for each system, so that runs beside or after one another do not meet.
NETWORKS = [40 + os.getpid() % 200]
STORE_PORT, WORKER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8200, 8080, 8521, 8523, 8526
STORE_NUMBER = 9
ENTRY_NUMBERS, AGENT_NUMBERS = 1, 2
# The second address of a machine, where its proxy listens for what it calls or serves.
PROXY_OFFSET = 100
START_TIMEOUT_S = 30.0
HOST, PREFIX, KEY = "photos.example", "/checks/", "key-1"
GRACE_S = 6
BOUNDS = f"hold_max_ms = 6000\nrevoke_ms = 5000\ngrace_s = {GRACE_S}\nstatus_s = 120\n"


def address(group, number, port):
    """Return host and port of a machine."""
    return f"127.{NETWORKS[-1]}.{group}.{number}", port


def joined(host, port):
    """Return an address as text."""
    return f"{host}:{port}"


@attrs.define(eq=False)
class Machine:
    """A machine with one program of ours, its links and, beside an agent, a worker.

    :param name: its name.
    :param program: module that it runs.
    :param arguments: of the worker beside it, or empty.
    :param links: its proxies by what they lead to.
    """

    name: str
    program: str
    folder: pathlib.Path
    arguments: tuple = ()
    links: dict = attrs.field(factory=dict)
    process: subprocess.Popen | None = None
    worker: subprocess.Popen | None = None
    worker_deaths: list = attrs.field(factory=list)

    @property
    def log_path(self):
        """Where the program's log is written."""
        return self.folder / f"{self.name}.log"

    @property
    def events_path(self):
        """Where the worker's starts and ends are written."""
        return self.folder / f"{self.name}-runs.jsonl"

    def start(self):
        """Start the program, unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        environment = dict(os.environ, PAPAYASPAR_BOOT=str(self.folder / f"{self.name}.toml"))
        command = [sys.executable, "-m", "papayaspar_adapter", self.program]
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, env=environment)

    def start_worker(self):
        """Start the worker beside an agent, with a new life."""
        if not self.arguments:
            return
        command = [sys.executable, str(HERE / "standins.py"), "worker", *self.arguments]
        with self.events_path.open("a") as out, (self.folder / "workers.log").open("a") as log:
            self.worker = subprocess.Popen(command, stdout=out, stderr=log)

    def crash_worker(self):
        """Kill the worker; what it ran ends with it."""
        end(self.worker)
        self.worker_deaths.append(time.time())

    def send(self, number):
        """Send a signal to the program, by process id."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def events(self):
        """Return what the worker printed, oldest first."""
        if not self.events_path.exists():
            return []
        return [json.loads(line) for line in self.events_path.read_text().splitlines()]


def end(process):
    """Kill a process that was started here, paused or not, and wait for it."""
    if process is None or process.poll() is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()


class System:
    """A store, entries, agents with workers, and the proxies between them.

    :param folder: where logs and settings go.
    :param run_time_s: how long a task takes.
    """

    def __init__(self, folder, entries=3, agents=4, run_time_s=1.5):
        NETWORKS.append(40 + (NETWORKS[-1] + 7) % 200)
        self._folder = folder
        self._run_time_s = run_time_s
        self._store = None
        self._versions = itertools.count(1)
        self.entries = [self._entry(number) for number in range(1, entries + 1)]
        self.agents = [self._agent(number) for number in range(1, agents + 1)]

    @property
    def machines(self):
        """All machines."""
        return self.entries + self.agents

    def _machine(self, group, number, name, program, **changes):
        machine = Machine(name, program, self._folder, **changes)
        store = address(group, number + PROXY_OFFSET, STORE_PORT)
        store_target = address(STORE_NUMBER, 1, STORE_PORT)
        machine.links["store"] = proxies.Proxy(store, store_target)
        return machine

    def _entry(self, number):
        machine = self._machine(ENTRY_NUMBERS, number, f"entry-{number}", "entry")
        front = address(ENTRY_NUMBERS, number, FRONT_PORT)
        machine.links["front"] = proxies.Proxy(
            address(ENTRY_NUMBERS, number + PROXY_OFFSET, FRONT_PORT), front
        )
        ready = address(ENTRY_NUMBERS, number, READY_PORT)
        self._write_settings(
            machine,
            ENTRY_NUMBERS,
            number,
            f'front = "{joined(*front)}"\nready = "{joined(*ready)}"',
        )
        return machine

    def _agent(self, number):
        worker = address(AGENT_NUMBERS, number, WORKER_PORT)
        control = joined(*address(AGENT_NUMBERS, number, CONTROL_PORT))
        arguments = (f"w-{number}", joined(*worker), control, str(self._run_time_s))
        machine = self._machine(
            AGENT_NUMBERS, number, f"agent-{number}", "agent", arguments=arguments
        )
        link = proxies.Proxy(address(AGENT_NUMBERS, number + PROXY_OFFSET, WORKER_PORT), worker)
        machine.links["worker"] = link
        self._write_settings(
            machine, AGENT_NUMBERS, number, f'control = "{control}"', joined(*link.listen)
        )
        return machine

    def _write_settings(self, machine, group, number, listen, worker=""):
        host, _ = address(group, number, 0)
        store = joined(*machine.links["store"].listen)
        text = (
            f'node = "{machine.name}"\nzone = "dc-1"\nip = "{host}"\n'
            f'internal_ports = [7000, 7010]\napp = "{worker}"\n'
            f'[platform]\naddr = "{store}"\n[listen]\n{listen}\n[bounds]\n{BOUNDS}'
        )
        (self._folder / f"{machine.name}.toml").write_text(text)

    async def start(self, group):
        """Start everything, and wait until each entry is ready."""
        self._start_store()
        for machine in self.machines:
            for link in machine.links.values():
                group.start_soon(link.run)
            machine.start_worker()
            machine.start()
        group.start_soon(self._restart_forever)
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            with anyio.fail_after(START_TIMEOUT_S):
                await self._until(self.publish, client)
                for machine in self.entries:
                    await self._until(self._is_ready, client, machine)

    def _start_store(self):
        store = joined(*address(STORE_NUMBER, 1, STORE_PORT))
        with (self._folder / "store.log").open("a") as log:
            command = [sys.executable, str(HERE / "standins.py"), "store", store]
            self._store = subprocess.Popen(command, stdout=log, stderr=log)

    async def _until(self, check, *arguments):
        while True:
            with contextlib.suppress(httpx.TransportError):
                if await check(*arguments):
                    return
            await anyio.sleep(0.1)

    async def _is_ready(self, client, machine):
        host, port = address(ENTRY_NUMBERS, self.entries.index(machine) + 1, READY_PORT)
        return (await client.get(f"http://{host}:{port}/api/readyz")).status_code == 200

    async def publish(self, client):
        """Put another version of the configuration into force, as the operator does."""
        version = next(self._versions)
        route = {
            "name": "checks",
            "host": HOST,
            "prefix": PREFIX,
            "service": "pool",
            "timeout_ms": 3000,
            "prio": 1,
            "attempts": 3,
            "stretch": 3.0,
            "slo_ms": 1000 + version,
        }
        tenant = {"name": "booths", "keys": [KEY], "guaranteed": {"gpu": 8}}
        value = json.dumps({"version": version, "routes": [route], "tenants": [tenant]}).encode()
        content = bytes([len("config")]) + b"config" + value
        url = f"http://{joined(*address(STORE_NUMBER, 1, STORE_PORT))}/api/log-append"
        body = struct.pack(">I", len(content)) + content
        answer = await client.post(url, params={"topic": "keyed.op", "part": 0}, content=body)
        return answer.is_success

    async def _restart_forever(self):
        """Start again what has ended, as the platform does."""
        while True:
            await anyio.sleep(0.3)
            for machine in self.machines:
                machine.start()

    def close(self):
        """End every process that was started here."""
        for machine in self.machines:
            end(machine.process)
            end(machine.worker)
        end(self._store)
