"""Stand-ins of the platform's store and of a worker, run as programs.

``python standins.py store IP:PORT`` or
``python standins.py worker NAME IP:PORT CONTROL RUN_S DATA_CENTRE``.
They implement the platform's published protocol. A worker prints each start and end of a run as a
line of JSON.
"""

import base64
import json
import struct
import sys
import time
import urllib.parse

import anyio
import httpx

from papayaspar_jobs import tasks
from papayaspar_model import clock, errors
from papayaspar_runs import workers
from papayaspar_serving import applications, listeners
from papayaspar_standin import keyed_stores, memory_workers
from papayaspar_store import failures, stores
from papayaspar_wire import transports

HEARTBEAT_INTERVAL_S = 0.5
ADVANCE_INTERVAL_S = 0.02
# Events of ends whose result matters to the checks.
END_EVENTS = {tasks.EndKind.DONE: "done", tasks.EndKind.FAILED: "failed"}
REASON_CODES = {
    workers.RefusalReason.TOKEN: "fence",
    workers.RefusalReason.OLD_RUN: "old",
    workers.RefusalReason.LATE: "late",
}


def _json_answer(status, **values):
    return applications.Answer(status, json.dumps(values).encode())


class StoreApp(applications.Application):
    """HTTP interface of the store."""

    def __init__(self):
        self._log = keyed_stores.KeyedLog()
        self._store = keyed_stores.MemoryStore(self._log)

    async def answer(self, request):
        """Answer a request."""
        query = dict(urllib.parse.parse_qsl(request.query))
        partition = stores.Partition(query["topic"], int(query["part"]))
        if request.path == "/api/log-append":
            return self._append(partition, query, request.body)
        if request.path == "/api/log-read":
            return await self._read(partition, query)
        snapshot = await self._store.read_snapshot(partition)
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in snapshot.records
        ]
        return _json_answer(200, items=items, has_more=False, end=snapshot.end)

    def _append(self, partition, query, body):
        producer = None
        if "producer" in query:
            numbers = int(query["epoch"]), int(query["seq"])
            producer = stores.Producer(query["producer"], *numbers)
        expected_end = int(query["at"]) if "at" in query else None
        append = keyed_stores.Append(partition, tuple(_unpack(body)), producer, expected_end)
        try:
            offset = self._log.append(append)
        except failures.FencedError:
            return _json_answer(409, reason="fenced")
        except failures.SequenceError as error:
            return _json_answer(409, reason="seq", expected=error.expected)
        except failures.PositionError as error:
            return _json_answer(412, end=error.end)
        return _json_answer(200, offset=offset, end=offset + len(append.records))

    async def _read(self, partition, query):
        wait_s = int(query.get("wait_ms", "0")) / 1000.0
        try:
            page = await self._store.read(partition, int(query["from"]), wait_s)
        except failures.TrimmedError as error:
            return _json_answer(410, first=error.first)
        packed = b"".join(_pack(record) for record in page.records)
        return applications.Answer(200, struct.pack(">QQ", page.end, page.first) + packed)


def _unpack(body):
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        yield stores.KeyedRecord(content[1:key_end].decode(), content[key_end:], 0)


def _pack(record):
    content = bytes([len(record.key)]) + record.key.encode() + record.value
    return struct.pack(">I", len(content)) + content


class PrintingRunRecorder(memory_workers.RunRecorder):
    """Prints the starts and ends of runs."""

    def record_start(self, task, run, worker):
        """Print the start of a run."""
        self.print_event("began", task, run)

    def record_end(self, task, run, worker, kind):
        """Print the end of a run."""
        self.print_event(END_EVENTS.get(kind, "ended"), task, run)

    @staticmethod
    def print_event(what, task="", run=0):
        """Print an event as a line of JSON."""
        row = {"at_s": time.time(), "what": what, "task": str(task), "run": run}
        print(json.dumps(row), flush=True)


class WorkerApp(applications.Application):
    """HTTP interface of a worker, called by its agent."""

    def __init__(self, worker):
        self._worker = worker

    async def answer(self, request):
        """Answer a request."""
        if request.headers.get("x-target-instance", self._worker.name) != self._worker.name:
            return applications.Answer(421)
        values = json.loads(request.body)
        try:
            return _json_answer(200, **await self._act(request.path, values))
        except workers.OrderRefusedError as error:
            reason = REASON_CODES[error.reason]
            return _json_answer(409, clock_ms=self._worker.clock_ms(), reason=reason)
        except errors.PapayasparError:
            return applications.Answer(503)

    async def _act(self, path, values):
        worker = self._worker
        if path == "/api/hold":
            status = await worker.poll(
                values["fence"],
                values["seen_upto"],
                values.get("expiry_ms"),
                values.get("wait_ms", 0),
                worker.name,
            )
            return {
                "clock_ms": status.clock_ms,
                "born": status.born_ms,
                "running": [
                    [str(row.task), row.run, row.checkpoint, row.percent, 0]
                    for row in status.running
                ],
                "ended": [
                    [end.number, str(end.task), end.run, end.kind.value, end.checkpoint]
                    for end in status.ended
                ],
            }
        task = tasks.TaskKey.parse(values["task"])
        if path == "/api/run-stop":
            await worker.stop(task, values["run"], values["fence"], worker.name)
        else:
            order = workers.StartOrder(
                task,
                values["run"],
                values["spec"],
                values.get("saved", ""),
                values["expiry_ms"],
                values["fence"],
                worker.name,
            )
            await worker.start(order)
        return {"clock_ms": worker.clock_ms()}


async def _advance_forever(worker):
    was_expired = False
    while True:
        worker.advance()
        is_expired = worker.lease_expiry_ms <= worker.clock_ms()
        if is_expired and not was_expired:
            PrintingRunRecorder.print_event("lapsed")
        was_expired = is_expired
        await anyio.sleep(ADVANCE_INTERVAL_S)


async def _send_heartbeats(worker, address, control):
    sequence = 0
    async with httpx.AsyncClient(trust_env=False, verify=False, timeout=1.0) as client:
        while True:
            sequence += 1
            heartbeat = worker.heartbeat(sequence)
            body = {
                "service": heartbeat.pool,
                "addr": address,
                "zone": heartbeat.data_centre,
                "state": "ready",
                "capacity": {"cpu": 64_000, "mem_mb": 262_144, "gpu": 8},
                "labels": list(heartbeat.labels),
                "seq": sequence,
                "born": heartbeat.born_ms,
            }
            url = f"http://{control}/api/instances/{worker.name}/heartbeat"
            try:
                await client.post(url, json=body)
            except httpx.TransportError:
                # The agent is unavailable; the next heartbeat carries the complete state.
                pass
            await anyio.sleep(HEARTBEAT_INTERVAL_S)


async def _serve(app, address, *background_tasks):
    listen_address = transports.Address.parse(address)
    listening_socket = listeners.bind(listen_address.host, listen_address.port)
    async with anyio.create_task_group() as group:
        for task, *arguments in background_tasks:
            group.start_soon(task, *arguments)
        await listeners.serve(app, listening_socket, anyio.sleep_forever)


async def main(kind, *arguments):
    """Run the stand-in of a store or a worker."""
    if kind == "store":
        await _serve(StoreApp(), arguments[0])
        return
    name, address, control, run_time_s, data_centre = arguments
    worker = memory_workers.MemoryWorker(
        name, PrintingRunRecorder(), clock.BootClock(), run_time_s=float(run_time_s)
    )
    worker.data_centre = data_centre
    background_tasks = ((_advance_forever, worker), (_send_heartbeats, worker, address, control))
    await _serve(WorkerApp(worker), address, *background_tasks)


if __name__ == "__main__":
    anyio.run(main, *sys.argv[1:])
