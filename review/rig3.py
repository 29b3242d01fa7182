"""Runs the programs of the deploy file beside stand-ins of the store, the workers and the platform.

Only the standard library is used. All addresses are loopback addresses of one network that is drawn
at random. The stand-ins follow the users' pages; what a case disturbs, it disturbs itself.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST, PREFIX = "checks.example", "/checks/"
KEYS = {"booths": "key-booths", "prints": "key-prints"}
HOLD_MAX_MS, GRACE_S, GANG_S = 6000, 6, 3.0
RESTART_S = 0.5
STORE_PORT, WORKER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 8200, 8080, 8521, 8523, 8526
# As in the deploy file.
METRICS_PORT = 7015


class CannotRunError(Exception):
    """The case could not run."""


def _free_network(hosts):
    """Return the first three numbers of a loopback network on which all ports in use are free."""
    ports = (STORE_PORT, WORKER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT, 7000, METRICS_PORT)
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(0, 250)}"
        probes = []
        try:
            for host in hosts:
                for port in ports:
                    probe = socket.socket()
                    probes.append(probe)
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{net}.{host}", port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        return net
    raise CannotRunError("no network with free ports")


class Record:
    """What was sent, answered and run; written to a file at the end."""

    def __init__(self, path):
        self._path = path
        self._lines = []
        self._start_s = time.monotonic()

    def add(self, text):
        """Add a line with the time."""
        self._lines.append(f"{time.monotonic() - self._start_s:8.3f} {text}")

    def write(self):
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


async def _read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        raise EOFError
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def http(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Return the status and the body of one call, or 0 and the reason if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, port = address
            reader, writer = await asyncio.open_connection(host, port)
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            if body is None:
                data = b""
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            fields = {"Host": host, "Connection": "close", "Content-Type": "application/json"}
            lines += [f"{name}: {value}" for name, value in {**fields, **(headers or {})}.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            first, _, answer = await _read_message(reader)
            return int(first.split()[1]), answer
    except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError) as error:
        return 0, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


class HttpStandin:
    """A stand-in with an HTTP/1.1 listener."""

    def __init__(self, address):
        self.address = address
        self._server = None
        self._writers = set()

    async def listen(self):
        """Accept connections from now on."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def close(self):
        """Refuse and reset connections from now on."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split()
                path, _, query = target.partition("?")
                values = dict(urllib.parse.parse_qsl(query))
                answer = await self.answer(method, path, values, headers, body)
                if answer is None:
                    continue
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, path, query, headers, body):
        """Return status and body, or ``None`` to leave the call unanswered."""
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's store: keyed topics, conditional appends, producers."""

    def __init__(self, address):
        super().__init__(address)
        self._parts = {}
        self._producers = {}
        self._grown = asyncio.Condition()
        self._versions = 0

    def _part(self, query):
        return self._parts.setdefault((query["topic"], int(query["part"])), [])

    async def answer(self, method, path, query, headers, body):
        """Answer a call of the system."""
        if path == "/api/log-append":
            return await self._append(query, body)
        if path == "/api/log-read":
            return await self._read(query)
        if path == "/api/log-newest":
            return self._newest(query)
        return 404, {}

    async def _append(self, query, body):
        records, newest = self._part(query), []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            newest.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        producer = None
        if "producer" in query:
            producer = (query["topic"], query["part"], query["producer"])
            epoch, number = int(query["epoch"]), int(query["seq"])
            known_epoch, expected, answers = self._producers.get(producer, (-1, None, {}))
            if epoch < known_epoch:
                return 409, {"reason": "fenced"}
            if epoch == known_epoch and number in answers:
                return 200, answers[number]
            if epoch == known_epoch and expected is not None and number != expected:
                return 409, {"reason": "seq", "expected": expected}
            if epoch > known_epoch:
                answers = {}
        if "at" in query and int(query["at"]) != len(records):
            return 412, {"end": len(records)}
        offset = len(records)
        records.extend(newest)
        answer = {"offset": offset, "end": len(records)}
        if producer is not None:
            answers = dict([*answers.items(), (number, answer)][-5:]) if newest else answers
            self._producers[producer] = (epoch, number + 1 if newest else None, answers)
        async with self._grown:
            self._grown.notify_all()
        await asyncio.sleep(0.004)
        return 200, answer

    async def _read(self, query):
        records, start = self._part(query), int(query["from"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000.0):
                async with self._grown:
                    await self._grown.wait_for(lambda: len(records) > start)
        data, size = [struct.pack(">QQ", len(records), 0)], 0
        for content in records[start:]:
            size += len(content) + 4
            if len(data) > 1 and size > int(query.get("max_kb", "1024")) * 1024:
                break
            data.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(data)

    def _newest(self, query):
        records, newest = self._part(query), {}
        for offset, content in enumerate(records):
            key, value = content[1 : 1 + content[0]].decode(), content[1 + content[0] :]
            newest[key] = (value, offset)
        keys = sorted(k for k, (value, _) in newest.items() if value and k > query.get("after", ""))
        items, size = [], 0
        for key in keys:
            value, offset = newest[key]
            size += len(value)
            if len(items) == 500 or (items and size > 1_000_000):
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys), "end": len(records)}

    async def publish(self, **changes):
        """Write a version of the configuration, as the operator does."""
        self._versions += 1
        route = {
            "name": "checks",
            "host": HOST,
            "prefix": PREFIX,
            "service": "photo",
            "timeout_ms": 3000,
            "prio": 1,
            "attempts": 2,
            "stretch": 3.0,
            "slo_ms": 3000,
        }
        value = {
            "version": self._versions,
            "routes": [{**route, **changes}],
            "services": [{"name": "photo"}],
            "tenants": [
                {"name": name, "keys": [key], "guaranteed": {"gpu": 4}}
                for name, key in KEYS.items()
            ],
            "limits": {},
        }
        content = b"\x06config" + json.dumps(value).encode()
        body = struct.pack(">I", len(content)) + content
        await self._append({"topic": "keyed.op", "part": "0"}, body)


class Run:
    """A run on a worker."""

    def __init__(self, task, number, spec, saved):
        self.task, self.number, self.spec, self.saved = task, number, spec, saved
        self.started_s = time.monotonic()
        # When its work began: for a member of a gang once all members are present.
        self.working_s = self.started_s


class Worker(HttpStandin):
    """A worker with its lease, fence, runs and ends.

    ``plan(run)`` returns how long a run lasts, in seconds, and how it ends; ``None`` for a run that
    lasts until it is stopped.
    """

    def __init__(self, name, address, control, rack, record, plan):
        super().__init__(address)
        self.name, self._control, self._rack = name, control, rack
        self._record, self._plan = record, plan
        self.starts, self.finished = [], []
        self.state = "ready"
        # Whether it answers start orders with 503, and does nothing for them.
        self.is_unhealthy = False
        self.born = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._runs, self._highest, self._ends = {}, {}, []
        self._end_count, self._beats = 0, 0
        self._ended = asyncio.Condition()
        # Number of members of each gang, by the name of its step in its occurrence.
        self.gangs = {}

    async def end_if_running(self, run, how):
        """End a run unless it has ended."""
        if self._runs.get(run.task) is run:
            await self._end(run, how)

    def clock_ms(self):
        """Return the worker's steady clock, in milliseconds."""
        return int((time.monotonic() - self._born_s) * 1000)

    @property
    def running(self):
        """The runs that have not ended."""
        return list(self._runs.values())

    async def live(self):
        """Send check-ins and end runs until cancelled."""
        await asyncio.gather(self._beat(), self._advance())

    async def _beat(self):
        while True:
            self._beats += 1
            body = {
                "service": "photo",
                "addr": f"{self.address[0]}:{self.address[1]}",
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
                "labels": ["a", self._rack],
                "clock_ms": self.clock_ms(),
                "seq": self._beats,
                "born": self.born,
            }
            path = f"/api/instances/{self.name}/heartbeat"
            status, _ = await http(self._control, "POST", path, body, timeout_s=1.0)
            await asyncio.sleep(1.0 if status == 200 else 0.2)

    async def _advance(self):
        while True:
            now_s = time.monotonic()
            for run in self.running:
                planned = self._plan(run)
                if self._lease_ms <= self.clock_ms():
                    await self._end(run, "lapsed")
                elif run.working_s is None or planned is None:
                    continue
                elif now_s - run.working_s >= planned[0]:
                    await self._end(run, planned[1])
            await asyncio.sleep(0.02)

    async def _end(self, run, how):
        del self._runs[run.task]
        self._highest[run.task] = max(run.number, self._highest.get(run.task, 0))
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.number, how, run.saved])
        self.finished.append((run.task, run.number, how, time.monotonic()))
        self._record.add(f"{self.name} ended {run.task} run {run.number}: {how}")
        async with self._ended:
            self._ended.notify_all()

    def _extend(self, expiry_ms):
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(expiry_ms, limit_ms))

    async def answer(self, method, path, query, headers, body):
        """Answer an order of the worker's agent."""
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, {}
        values = json.loads(body)
        if values.get("fence", 0) < self._fence:
            return 409, self._stamped(reason="fence")
        self._fence = values.get("fence", 0)
        if path == "/api/hold":
            return await self._hold(values)
        if path == "/api/run-start" and self.is_unhealthy:
            self._record.add(f"{self.name} refused {values['task']} run {values['run']} with 503")
            return 503, {}
        if path == "/api/run-start":
            return self._start(values)
        if path == "/api/run-stop":
            return await self._stop(values)
        return 404, {}

    def _stamped(self, **values):
        return {"clock_ms": self.clock_ms(), "born": self.born, **values}

    async def _hold(self, values):
        if "expiry_ms" in values:
            self._extend(values["expiry_ms"])
        self._ends = [end for end in self._ends if end[0] > values["seen_upto"]]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(values.get("wait_ms", 0) / 1000.0):
                async with self._ended:
                    await self._ended.wait_for(lambda: bool(self._ends))
        now_s = time.monotonic()
        running = []
        for run in self.running:
            planned = self._plan(run)
            share = 0.0 if run.working_s is None else 1.0
            if planned is not None and run.working_s is not None:
                share = min(1.0, (now_s - run.working_s) / planned[0])
            running.append([run.task, run.number, run.saved, int(100 * share), 0])
        return 200, self._stamped(running=running, ended=self._ends[:500])

    def _start(self, values):
        task, number = values["task"], values["run"]
        current = self._runs.get(task)
        if current is not None and current.number == number:
            return 200, self._stamped()
        if current is not None or number <= self._highest.get(task, 0):
            return 409, self._stamped(reason="old")
        if values["expiry_ms"] <= self.clock_ms():
            return 409, self._stamped(reason="late")
        self._extend(values["expiry_ms"])
        run = self._runs[task] = Run(task, number, values["spec"], values.get("saved", ""))
        if task.rpartition(".")[0] in self.gangs:
            run.working_s = None
        self.starts.append(run)
        self._record.add(f"{self.name} started {task} run {number}")
        return 200, self._stamped()

    async def _stop(self, values):
        task, number = values["task"], values["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        current = self._runs.get(task)
        if current is not None and current.number == number:
            await self._end(current, "stopped")
        return 200, self._stamped()


class Program:
    """One role of the deploy file on one machine; the platform starts it again when it ends."""

    def __init__(self, role, name, settings, folder, record):
        self.name, self.ip = name, settings["ip"]
        self._command, self._record = role["run"].split(), record
        self._settings_path = folder / f"{name}.toml"
        self._settings_path.write_text(_toml(settings))
        self._log_path = folder / f"{name}.log"
        self.process = None
        # How each process ended: by itself with its status, or killed by the platform.
        self.own_ends, self.memory_kills = [], 0
        self.peak_mb = 0.0
        self._is_closing = False
        # The task that starts the program again and again, once it was begun.
        self.living = None

    async def live(self):
        """Start the program, and start it again after each end, until cancelled."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PAPAYASPAR_BOOT"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        while not self._is_closing:
            with self._log_path.open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
                )
            if self._is_closing:
                # It was being started while the others were ended.
                self.send(signal.SIGKILL)
            self._record.add(f"{self.name} started as a process")
            status = await self.process.wait()
            if self._is_closing:
                return
            self._record.add(f"{self.name} ended with status {status}")
            if status != -signal.SIGKILL:
                self.own_ends.append(status)
            await asyncio.sleep(RESTART_S)

    def resident_mb(self):
        """Return the resident memory of the process, in MB."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        resident_mb = int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        self.peak_mb = max(self.peak_mb, resident_mb)
        return resident_mb

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log(self):
        """Return what the processes have logged."""
        return self._log_path.read_text(errors="replace") if self._log_path.exists() else ""

    async def close(self):
        """Kill the process, and start it no more."""
        self._is_closing = True
        with contextlib.suppress(ProcessLookupError):
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _toml(values):
    """Return a table as TOML: plain values first, then tables."""
    lines = [f"{key} = {json.dumps(v)}" for key, v in values.items() if not isinstance(v, dict)]
    for key, table in values.items():
        if isinstance(table, dict):
            lines += [f"[{key}]", *(f"{name} = {json.dumps(v)}" for name, v in table.items())]
    return "\n".join(lines) + "\n"


class System:
    """A store, entries, agents with their workers, and a consumer."""

    def __init__(self, folder, record, entries=3, workers=4, memory_mb=300, plan=None, rack=None):
        entry_hosts = [10 + number for number in range(1, entries + 1)]
        worker_hosts = [100 + number for number in range(1, workers + 1)]
        self._net = _free_network([1, *entry_hosts, *worker_hosts])
        self.record = record
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = list(tomllib.load(file)["roles"].values())
        entry_role = next(role for role in roles if role["on"] == "edge")
        agent_role = next(role for role in roles if role["on"] == "side")
        self.store = Store((f"{self._net}.1", STORE_PORT))
        self.entries, self.agents, self.workers = [], [], []
        plan = plan or (lambda run: (1.0, "done"))
        for number in range(1, entries + 1):
            ip = f"{self._net}.{10 + number}"
            listen = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"}
            settings = self._settings(f"edge-{number}", ip, "edge", listen, memory_mb)
            self.entries.append(Program(entry_role, f"edge-{number}", settings, folder, record))
        for number in range(1, workers + 1):
            ip = f"{self._net}.{100 + number}"
            worker = Worker(
                f"i-{number:08x}",
                (ip, WORKER_PORT),
                (ip, CONTROL_PORT),
                rack(number) if rack else f"r1-{1 + (number - 1) // 3}",
                record,
                plan,
            )
            self.workers.append(worker)
            listen = {"control": f"{ip}:{CONTROL_PORT}"}
            settings = self._settings(f"side-{number}", ip, "side", listen, 168)
            settings["app"] = f"{ip}:{WORKER_PORT}"
            self.agents.append(Program(agent_role, f"side-{number}", settings, folder, record))
        self._tasks = []
        self._gangs = {}
        for worker in self.workers:
            worker.gangs = self._gangs

    def add_gang(self, job_id, count):
        """Let the workers treat the tasks of a job's first step as a gang."""
        self._gangs[f"{job_id}.0.0"] = count

    async def _watch_gangs(self):
        """Begin and end the work of gangs as a whole, as the workers do between them."""
        seen = {}
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            present = {}
            for worker in self.workers:
                for run in worker.running:
                    name = run.task.rpartition(".")[0]
                    if name in self._gangs:
                        present.setdefault((name, run.number), []).append((worker, run))
            for key in set(seen) - set(present):
                del seen[key]
            for key, members in present.items():
                if len(members) == self._gangs[key[0]]:
                    for _, run in members:
                        run.working_s = run.working_s or now_s
                is_at_work = any(run.working_s is not None for _, run in members)
                how = "broken" if len(members) < seen.get(key, 0) else ""
                if not is_at_work and not how:
                    late = [pair for pair in members if now_s - pair[1].started_s > GANG_S]
                    members, how = late or members, "alone" if late else ""
                seen[key] = max(seen.get(key, 0), len(present[key]))
                for worker, run in members if how else ():
                    done = [e for w in self.workers for e in w.finished if e[0].startswith(key[0])]
                    is_done = any(e[1] == run.number and e[2] == "done" for e in done)
                    await worker.end_if_running(run, "done" if is_done else how)

    def _settings(self, name, ip, kind, listen, memory_mb):
        return {
            "node": name,
            "role": f"papayaspar-{'entry' if kind == 'edge' else 'agent'}",
            "class": kind,
            "serves": [kind],
            "ip": ip,
            "zone": "z1",
            "region": "bengal",
            "internal_ports": [7000, 7015],
            "bootstrap": True,
            "heartbeat_ms": 1000,
            "orders": "rpc",
            "listen": listen,
            "limits": {"cpu_quota": 1.0, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100},
            "bounds": {
                "hold_max_ms": HOLD_MAX_MS,
                "revoke_ms": 5000,
                "grace_s": GRACE_S,
                "status_s": 120,
                "stable_ms": 3000,
                "config_ms": 2000,
                "strict_revoke": True,
            },
            "platform": {
                "addr": f"{self._net}.1:{STORE_PORT}",
                "form": "log",
                "request_bytes": 2097152,
                "record_bytes": 262144,
            },
        }

    async def start(self):
        """Start everything, and wait until all entries are ready and all workers are known."""
        await self.store.listen()
        await self.store.publish()
        for worker in self.workers:
            await worker.listen()
        self._tasks.append(asyncio.create_task(self._watch_gangs()))
        for worker in self.workers:
            self._tasks.append(asyncio.create_task(worker.live()))
        for program in (*self.entries, *self.agents):
            program.living = asyncio.create_task(program.live())
        deadline_s = time.monotonic() + 30.0
        while time.monotonic() < deadline_s:
            ready = [await self.is_ready(entry) for entry in self.entries]
            attached = any("event=agent_attached" in entry.log() for entry in self.entries)
            if all(ready) and attached and all(worker._fence for worker in self.workers):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the system did not start")

    async def is_ready(self, entry):
        """Return whether an entry reports itself ready."""
        status, _ = await http((entry.ip, READY_PORT), "GET", "/api/readyz", timeout_s=1.0)
        return status == 200

    async def call(self, method, job_id, body=None, entry=None, tenant="booths", timeout_s=3.0):
        """Call an entry as a consumer does, and return the status and the body."""
        entry = entry or random.choice(self.entries)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEYS[tenant]}",
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        status, answer = await http(
            (entry.ip, FRONT_PORT), method, PREFIX + job_id, body, headers, timeout_s
        )
        text = answer.decode(errors="replace")[:160]
        sent = json.dumps(body)[:200] if body is not None else ""
        self.record.add(f"{tenant} {method} {job_id} at {entry.name} {sent} -> {status} {text}")
        return status, answer

    async def submit(self, job_id, body, tenant="booths", attempts=5):
        """Hand a job in as a consumer does; return the status of the last attempt."""
        status = 0
        for number in range(attempts):
            entry = self.entries[(int(job_id, 16) + number) % len(self.entries)]
            status, _ = await self.call("POST", job_id, body, entry, tenant)
            if status == 200 or status in (400, 401, 404, 413):
                return status
            await asyncio.sleep(0.7)
        return status

    async def state(self, job_id, tenant="booths"):
        """Return the state that some entry shows of a job, or what all of them answer instead."""
        seen = []
        for entry in random.sample(self.entries, len(self.entries)):
            status, answer = await self.call("GET", job_id, None, entry, tenant)
            if status == 200:
                return json.loads(answer)["state"]
            seen.append(str(status))
        return "no answer: " + ",".join(seen)

    def starts(self, job_id):
        """Return the runs of a job that workers have begun, oldest first."""
        found = [run for worker in self.workers for run in worker.starts]
        return sorted((r for r in found if r.task.startswith(job_id)), key=lambda r: r.started_s)

    async def close(self):
        """End everything that was started."""
        programs = (*self.entries, *self.agents)
        await asyncio.gather(*(program.close() for program in programs))
        for program in programs:
            if program.living is not None:
                await asyncio.wait([program.living], timeout=5.0)
        for task in self._tasks:
            task.cancel()
        for standin in (self.store, *self.workers):
            standin.close()


async def _bounded(running_case):
    """Run a case within its time; a signal to the script ends it, with all that it started."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(running_case, 115.0)


def main(case_folder, case):
    """Run a case: 1 if it returns that the rule was broken, 0 if it held, 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(case_folder) / "record.txt")
    record.add(f"begins, with the disruption: {has_trouble}")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="papayaspar-"))
    status = 2
    try:
        is_broken = asyncio.run(_bounded(case(folder, record, has_trouble)))
        status = 1 if is_broken else 0
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.add(f"could not run: {type(error).__name__} {error}")
    finally:
        record.add(f"exit status {status}")
        record.write()
        if os.environ.get("KEEP"):
            print(folder, file=sys.stderr)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)


@contextlib.asynccontextmanager
async def running(system):
    """Start a system, and end all of its processes afterwards."""
    try:
        await system.start()
        yield system
    finally:
        await system.close()
