"""Stand-ins of the platform, its workers and its callers, and a runner of the project's programs.

Only the standard library is used. The project's programs run as separate processes with the
commands of the deploy file; everything that they talk to runs in the process of the case.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST, PREFIX, KEY, SERVICE, TENANT = "photos.example", "/jobs/", "key-1", "photo-svc", "booths"
STORE_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8524, 8521, 8523, 8526, 8529
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
GANG_S = 3.0
STOP_S = 0.05
APPEND_S = 0.004
RESTART_S = 0.5
CALL_TIMEOUT_S = 3.0
PLAY_TIMEOUT_S = 110.0
BOUNDS = """
stable_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_ms = 2000
strict_revoke = true
revoke_ms = 5000
hold_max_ms = 6000
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
"""


class Record:
    """Record of a play, written to ``record.txt`` in the folder of the case.

    :param folder: folder of the case.
    """

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the play, in seconds."""
        return time.monotonic() - self._start_s

    def note(self, text):
        """Write a line with the time since the start of the play."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


async def _read_message(reader):
    """Return the first line, the headers and the body of an HTTP message, or ``None`` at its end.

    :param reader: stream to read from.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """A small HTTP server.

    :param answer: coroutine function from method, path, query, headers and body to status and body.
    """

    def __init__(self, answer):
        self._answer = answer
        self._server = None
        # Connections that are open, and those that have gone silent for good.
        self._open = set()
        self._silent = set()

    async def start(self, host, port):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=4_194_304)

    def close(self):
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def silence(self):
        """Make all open connections silent for good; new ones work. Return their number."""
        self._silent |= self._open
        return len(self._open)

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                first_line, headers, body = await _read_message(reader)
                if writer in self._silent:
                    continue
                method, target, _ = first_line.split(" ", 2)
                path, _, query = target.partition("?")
                values = dict(urllib.parse.parse_qsl(query))
                status, data = await self._answer(method, path, values, headers, body)
                content = data if isinstance(data, bytes) else json.dumps(data).encode()
                head = f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
                head += f"content-length: {len(content)}\r\n\r\n"
                if writer in self._silent:
                    continue
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            # The caller has left.
            pass
        except asyncio.CancelledError:
            # The play ends.
            pass
        finally:
            self._open.discard(writer)
            self._silent.discard(writer)
            writer.close()


async def request(address, method, path, headers, body=b"", timeout_s=CALL_TIMEOUT_S):
    """Send a request on a new connection; return status and body, or ``(None, b"")``.

    :param address: host and port.
    :param method: HTTP method.
    :param path: path and query.
    :param headers: headers by name.
    :param body: body to send.
    :param timeout_s: timeout for the whole call, in seconds.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first_line, _, data = await _read_message(reader)
            return int(first_line.split(" ")[1]), data
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


class Partition:
    """A partition of the store."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store, as its page describes it."""

    def __init__(self):
        self._partitions = {}
        self.server = Server(self._answer)

    def _partition(self, query):
        key = query["topic"], int(query["part"])
        return self._partitions.setdefault(key, Partition())

    async def _answer(self, method, path, query, headers, body):
        if path == "/api/log-append":
            return await self._append(self._partition(query), query, body)
        if path == "/api/log-read":
            return await self._read(self._partition(query), query)
        if path == "/api/log-newest":
            return self._newest(self._partition(query), query)
        return 404, {}

    async def _append(self, part, query, body):
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            end = len(part.records)
            known = part.producers.get(query.get("producer"))
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["seq"])
                if known is not None and epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if known is not None and epoch == known["epoch"]:
                    if sequence in known["answers"]:
                        return 200, known["answers"][sequence]
                    if known["last"] is not None and sequence != known["last"] + 1:
                        return 409, {"reason": "seq", "expected": known["last"] + 1}
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            position = 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                position += 4 + length
                key, value = content[1 : 1 + content[0]].decode(), content[1 + content[0] :]
                part.newest[key] = (value, len(part.records))
                if not value:
                    del part.newest[key]
                part.records.append(content)
            answer = {"offset": end, "end": len(part.records)}
            if "producer" in query:
                if known is None or epoch > known["epoch"]:
                    known = {"epoch": epoch, "last": None, "answers": {}}
                    part.producers[query["producer"]] = known
                if body:
                    known["last"] = sequence
                    known["answers"][sequence] = answer
                    for old in sorted(known["answers"])[:-5]:
                        del known["answers"][old]
            part.changed.set()
            part.changed = asyncio.Event()
            return 200, answer

    async def _read(self, part, query):
        offset, wait_s = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
        until_s = time.monotonic() + wait_s
        while offset >= len(part.records) and time.monotonic() < until_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until_s - time.monotonic()):
                    await part.changed.wait()
        packed, size = [], 0
        for content in part.records[offset:]:
            size += len(content)
            if packed and size > int(query.get("max_kb", "1024")) * 1024:
                break
            packed.append(struct.pack(">I", len(content)) + content)
        return 200, struct.pack(">QQ", len(part.records), 0) + b"".join(packed)

    def _newest(self, part, query):
        keys = [key for key in sorted(part.newest) if key > query.get("after", "")]
        items = []
        for key in keys[:500]:
            value, offset = part.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return 200, {"items": items, "has_more": len(keys) > 500, "end": len(part.records)}

    async def publish(self, configuration):
        """Store a version of the operator's configuration."""
        value = json.dumps(configuration).encode()
        content = bytes([6]) + b"config" + value
        body = struct.pack(">I", len(content)) + content
        part = self._partitions.setdefault(("keyed.op", 0), Partition())
        await self._append(part, {}, body)


class Run:
    """A run on a worker.

    :param task: name of the task.
    :param number: number of the run.
    :param work: what the ``spec`` says of the task's step: ``gang``, ``count``, and either
        ``work_s`` or, for a task that lasts, ``startup_s``; with ``fail_after_s``, its runs fail so
        long after they have begun.
    """

    def __init__(self, task, number, work):
        self.task = task
        self.number = number
        self.lasts = "startup_s" in work
        self.work_s = work["startup_s"] if self.lasts else work["work_s"]
        self.fail_after_s = work.get("fail_after_s")
        self.gang_size = work["count"] if work.get("gang") else 1
        self.group = task.rpartition(".")[0], number
        self.arrived_s = time.monotonic()
        self.began_s = None
        self.stop_s = None
        self.broken_s = None


class Worker:
    """A worker of the platform, as its page describes it.

    :param fleet: all workers, for gangs.
    :param name: id of the worker.
    :param host: IP address of its machine.
    :param labels: kind and rack.
    :param record: record of the play.
    """

    def __init__(self, fleet, name, host, labels, record):
        self.name = name
        self.host = host
        self.labels = labels
        # Status with which starts are refused, as by an unhealthy worker; ``None``: none is.
        self.refusal_status = None
        # Time after which everything that has begun fails, in seconds; ``None``: nothing does.
        self.fail_after_s = None
        self.runs = {}
        # Names of the tasks that were ever started here.
        self.started = set()
        self._fleet = fleet
        self._record = record
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._fence = 0
        self._expiry_ms = 0
        self._highest = {}
        self._ended = []
        self._end_count = 0
        self._sequence = 0
        self._changed = asyncio.Event()
        self.server = Server(self._answer)

    def clock_ms(self):
        """Return the worker's steady clock, in milliseconds."""
        return int((time.monotonic() - self._born_s) * 1000)

    async def _answer(self, method, path, query, headers, body):
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        values = json.loads(body)
        if path == "/api/run-start" and self.refusal_status is not None:
            self._record.note(f"{self.name} refused {values['task']} with {self.refusal_status}")
            return self.refusal_status, {"clock_ms": self.clock_ms()}
        if values["fence"] < self._fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self._fence = values["fence"]
        if path == "/api/run-start":
            return self._start(values)
        if path == "/api/run-stop":
            return self._stop(values)
        return await self._hold(values)

    def _extend(self, expiry_ms):
        self._expiry_ms = max(self._expiry_ms, min(expiry_ms, self.clock_ms() + HOLD_MAX_MS))

    def _start(self, values):
        task, number = values["task"], values["run"]
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if current is not None or number <= self._highest.get(task, 0):
            self._extend(values["expiry_ms"])
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if values["expiry_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self._extend(values["expiry_ms"])
        step = int(task.split(".")[2])
        self.runs[task] = Run(task, number, json.loads(values["spec"])[step])
        self.started.add(task)
        self._record.note(f"{self.name} started {task} run {number}")
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, values):
        task, number = values["task"], values["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_S
        self._highest[task] = max(number, self._highest.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, values):
        if "expiry_ms" in values:
            self._extend(values["expiry_ms"])
        self._ended = [row for row in self._ended if row[0] > values["seen_upto"]]
        if not self._ended and values.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(values["wait_ms"] / 1000):
                    await self._changed.wait()
        now_s = time.monotonic()
        running = []
        for run in self.runs.values():
            worked_s = now_s - run.began_s if run.began_s is not None else 0.0
            percent = min(100 if run.lasts else 99, int(worked_s * 100 / run.work_s))
            running.append([run.task, run.number, "", percent, 0])
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self._born_ms,
            "running": running,
            "ended": self._ended[:500],
        }

    def end(self, run, how):
        """End a run and list its end."""
        del self.runs[run.task]
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.number, how, ""])
        self._record.note(f"{self.name} ended {run.task} run {run.number} {how}")
        self._changed.set()
        self._changed = asyncio.Event()
        if how != "done":
            self._fleet.break_gang(run)

    def advance(self):
        """Begin and end runs that are due."""
        now_s = time.monotonic()
        for run in list(self.runs.values()):
            if self._expiry_ms <= self.clock_ms():
                self.end(run, "lapsed")
            elif run.stop_s is not None and run.stop_s <= now_s:
                self.end(run, "stopped")
            elif run.began_s is None:
                self._begin(run, now_s)
            elif self._fails(run, now_s):
                self.end(run, "failed")
            elif run.broken_s is not None and run.broken_s <= now_s:
                self.end(run, "broken")
            elif not run.lasts and run.began_s + run.work_s <= now_s:
                self.end(run, "done")

    def _fails(self, run, now_s):
        times_s = [run.fail_after_s, self.fail_after_s]
        return any(time_s is not None and run.began_s + time_s <= now_s for time_s in times_s)

    def _begin(self, run, now_s):
        members = self._fleet.members(run.group)
        if len(members) >= run.gang_size:
            for member in members:
                member.began_s = now_s
        elif run.arrived_s + GANG_S <= now_s:
            self.end(run, "alone")

    async def send_heartbeats(self, control):
        """Send heartbeats to the agent's address until cancelled."""
        while True:
            self._sequence += 1
            body = {
                "service": SERVICE,
                "addr": f"{self.host}:{APP_PORT}",
                "zone": "zone-1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "seq": self._sequence,
                "born": self._born_ms,
            }
            headers = {"content-type": "application/json", "host": "agent"}
            path = f"/api/instances/{self.name}/heartbeat"
            await request(control, "POST", path, headers, json.dumps(body).encode(), 1.0)
            await asyncio.sleep(HEARTBEAT_S)


class Fleet:
    """All workers."""

    def __init__(self):
        self.workers = []

    def members(self, group):
        """Return the runs of a gang that are present on any worker."""
        runs = [run for worker in self.workers for run in worker.runs.values()]
        return [run for run in runs if run.group == group]

    def break_gang(self, ended):
        """Tell the workers that a member of a gang has ended; the news takes some milliseconds."""
        if ended.gang_size == 1:
            return
        for run in self.members(ended.group):
            if run.broken_s is None:
                run.broken_s = time.monotonic() + 0.005

    async def advance(self):
        """Advance all workers until cancelled."""
        while True:
            for worker in self.workers:
                worker.advance()
            await asyncio.sleep(0.01)


class Machine:
    """A machine of the system with one of the project's programs.

    :param name: name of the machine.
    :param command: command of the deploy file.
    :param settings: contents of its settings file.
    :param folder: temporary folder.
    """

    def __init__(self, name, command, settings, folder):
        self.name = name
        self.process = None
        self.is_kept = True
        self._command = command
        self._settings_path = folder / f"{name}.toml"
        self._settings_path.write_text(settings)
        self._log_path = folder / f"{name}.log"

    def start(self):
        """Start the program."""
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PAPAYASPAR_BOOT"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the program, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the program for good."""
        self.is_kept = False
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def keep(self):
        """Start the program again a short time after it has ended, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            if self.is_kept and self.process.poll() is not None:
                await asyncio.sleep(RESTART_S)
                self.start()


class Lab:
    """A deployment: store, entries, agents and workers on loopback addresses.

    :param record: record of the play.
    :param entries: number of entries.
    :param labels: labels of each worker, which also give their number.
    """

    def __init__(self, record, entries, labels):
        self.record = record
        self.store = Store()
        self.fleet = Fleet()
        self._folder = tempfile.TemporaryDirectory()
        # Configuration that the operator has written before the start; ``None`` for one queue.
        self.first_configuration = None
        self._tasks = []
        self._network = self._free_network()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        commands = {role["on"]: role["run"].split() for role in deploy["roles"].values()}
        path = pathlib.Path(self._folder.name)
        self.entries, self.agents = [], []
        for number in range(1, entries + 1):
            name, host = f"edge-{number}", self.host(1, number)
            listen = f'front = "{host}:{FRONT_PORT}"\nready = "{host}:{READY_PORT}"'
            settings = self._settings(name, host, "edge", listen, "")
            self.entries.append(Machine(name, commands["edge"], settings, path))
        for number, worker_labels in enumerate(labels, 1):
            name, host = f"side-{number}", self.host(2, number)
            listen = f'control = "{host}:{CONTROL_PORT}"'
            app = f'app = "{host}:{APP_PORT}"\nservice = "{SERVICE}"'
            settings = self._settings(name, host, "side", listen, app)
            self.agents.append(Machine(name, commands["side"], settings, path))
            worker = Worker(self.fleet, f"w-{number}", host, worker_labels, record)
            self.fleet.workers.append(worker)

    @staticmethod
    def _free_network():
        """Return the second octet of a loopback network that no other play uses."""
        while True:
            octet = random.randint(40, 239)
            with socket.socket() as probe:
                try:
                    probe.bind((f"127.{octet}.9.1", STORE_PORT))
                except OSError:
                    continue
                return octet

    def host(self, group, number):
        """Return the IP address of a machine of group 1 (entries), 2 (agents) or 9 (store)."""
        return f"127.{self._network}.{group}.{number}"

    def store_address(self, machine):
        """Return the address at which a machine reaches the store."""
        return self.host(9, 1), STORE_PORT

    def _settings(self, name, host, machine_class, listen, app):
        store_host, store_port = self.store_address(name)
        return (
            f'node = "{name}"\nclass = "{machine_class}"\nip = "{host}"\nzone = "zone-1"\n'
            f'region = "region-1"\ninternal_ports = [7000, 7015]\nheartbeat_ms = 1500\n'
            f'bootstrap = true\norders = "rpc"\nseeds = []\n{app}\n[listen]\n{listen}\n'
            f"[limits]\ncpu_quota = 0.537\ncores = 2\nmemory_mb = 300\n[bounds]\n{BOUNDS}"
            f'[platform]\naddr = "{store_host}:{store_port}"\nform = "log"\nparts = 8\n'
            f"record_bytes = 262144\nrequest_bytes = 2097152\nkeep_s = 300\n"
        )

    def configuration(self, version, **changes):
        """Return a version of the configuration with one queue and one tenant."""
        route = {"name": "q-1", "host": HOST, "prefix": PREFIX, "service": SERVICE}
        route |= {"timeout_ms": 3000, "prio": 1, "attempts": 2, "stretch": 3.0, "slo_ms": 1000}
        tenant = {"name": TENANT, "keys": [KEY], "guaranteed": {"gpu": 8}}
        values = {"version": version, "routes": [route], "services": [{"name": SERVICE}]}
        return values | {"tenants": [tenant], "limits": {}} | changes

    def spawn(self, coroutine):
        """Run a coroutine in the background until the end of the play."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def start(self):
        """Start everything, and wait until each entry is ready and each worker is known."""
        await self.store.server.start(self.host(9, 1), STORE_PORT)
        await self.store.publish(self.first_configuration or self.configuration(1))
        for worker, agent in zip(self.fleet.workers, self.agents, strict=True):
            await worker.server.start(worker.host, APP_PORT)
            self.spawn(worker.send_heartbeats((worker.host, CONTROL_PORT)))
            agent.start()
        self.spawn(self.fleet.advance())
        for machine in self.entries:
            machine.start()
        for machine in (*self.entries, *self.agents):
            self.spawn(machine.keep())
        for number in range(1, len(self.entries) + 1):
            while True:
                ready = self.host(1, number), READY_PORT
                status, _ = await request(ready, "GET", "/api/readyz", {"host": "edge"})
                if status == 200:
                    break
                await asyncio.sleep(0.1)
        # An election takes up to two seconds, and the lead then connects to the agents.
        await asyncio.sleep(6.0)

    def stop(self):
        """End all processes that the play started."""
        for task in self._tasks:
            task.cancel()
        for machine in (*self.entries, *self.agents):
            machine.kill()
        logs = os.environ.get("LOGS")
        for log in pathlib.Path(self._folder.name).glob("*.log") if logs else ():
            pathlib.Path(logs, log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    async def call(self, entry, method, job_id="", body=None, path=PREFIX, key=KEY):
        """Send a caller's request to an entry; return the status and the decoded body.

        :param entry: number of the entry, from 1.
        :param method: HTTP method.
        :param job_id: id of the job, or empty for the queue itself.
        :param body: body of the request, or ``None``.
        :param path: prefix of the queue.
        :param key: API key.
        """
        headers = {
            "host": HOST,
            "authorization": f"Bearer {key}",
            "content-type": "application/json",
            "x-deadline-ms": "3000",
        }
        data = json.dumps(body).encode() if body is not None else b""
        address = self.host(1, entry), FRONT_PORT
        status, content = await request(address, method, path + job_id, headers, data)
        self.record.note(f"{method} {path}{job_id} at edge-{entry} -> {status} {content[:80]!r}")
        try:
            return status, json.loads(content)
        except ValueError:
            return status, {}

    async def submit(self, entry, steps, work):
        """Submit a job until it is accepted or all attempts have failed; return its id.

        :param entry: number of the entry, from 1.
        :param steps: steps of the job.
        :param work: for each step, what its tasks do (see :class:`Run`).
        """
        job_id = f"{random.getrandbits(64):016x}"
        body = {"spec": json.dumps(work), "steps": steps}
        for attempt in range(5):
            number = (entry - 1 + attempt) % len(self.entries) + 1
            status, _ = await self.call(number, "POST", job_id, body)
            if status is not None and 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.5)
        return None


async def _play_in_time(case, record, has_trouble):
    async with asyncio.timeout(PLAY_TIMEOUT_S):
        return await case(record, has_trouble)


def play(case, folder):
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param case: coroutine function from a record and whether there is a disruption to the result:
        whether the rule was broken, or ``None`` if the case couldn't run.
    :param folder: folder of the case.
    """
    record = Record(pathlib.Path(folder))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"play begins, trouble={has_trouble}")
    is_broken = None
    try:
        is_broken = asyncio.run(_play_in_time(case, record, has_trouble))
    except Exception as error:  # noqa: BLE001 - whatever it is, the case couldn't run
        record.note(f"the case couldn't run: {error!r}")
    record.note(f"result: {'could not run' if is_broken is None else is_broken}")
    sys.exit(2 if is_broken is None else int(is_broken))
