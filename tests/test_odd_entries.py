"""Odd entries among those of the workers and agents, written to the real programs."""

import itertools
import json
import struct

import anyio
import httpx
import msgpack
import pytest
import systems

JOBS = itertools.count(1)
AGENTS, ENTRIES = 2, 2
SHARED = {"topic": "keyed.papayaspar", "part": 0}
NESTED = "[" * 100_000 + "]" * 100_000
ODD_HEARTBEATS = (
    NESTED,
    '{"state":"ready","service":"pool","seq":' + "9" * 5000 + "}",
    '{"state":"ready","service":"pool","seq":1e999,"capacity":{"cpu":NaN}}',
    '{"state":"ready","service":"pool","seq":99,"born":1,"capacity":{"cpu":' + "9" * 40 + "}}",
    r'{"state":"ready","service":"pool","seq":99,"born":1,"labels":["\ud800"]}',
    '{"state":"ready","service":"pool","seq":99,"addr":"10.0.0.1:99999","labels":' + NESTED + "}",
)
ODD_AGENTS = (
    {"node": "odd", "address": "127.0.0.1:99999", "incarnation": "x"},
    {"node": "odd", "address": "127.0.0.1:" + "9" * 5000, "incarnation": "x"},
    {"node": "odd", "address": "x", "incarnation": "x"},
    {"node": "odd", "address": float("nan"), "incarnation": 2**64 - 1},
)


@pytest.fixture
def system(tmp_path):
    started = systems.System(tmp_path, ENTRIES, AGENTS, 0.3)
    yield started
    started.close()


async def _append(client, key, value):
    content = bytes([len(key)]) + key.encode() + value
    store = systems.format_address(*systems.address(systems.STORE_GROUP, 1, systems.STORE_PORT))
    body = struct.pack(">I", len(content)) + content
    response = await client.post(f"http://{store}/api/log-append", params=SHARED, content=body)
    assert response.is_success


async def _write_odd_entries(client):
    for number in range(1, AGENTS + 1):
        control = systems.format_address(
            *systems.address(systems.AGENT_GROUP, number, systems.CONTROL_PORT)
        )
        for body in ODD_HEARTBEATS:
            url = f"http://{control}/api/instances/w-{number}/heartbeat"
            assert (await client.post(url, content=body.encode())).status_code == 400
    for values in ODD_AGENTS:
        await _append(client, "agent/odd", msgpack.packb(values))
    await _append(client, "agent/odd", b"\x91" * 100_000 + b"\xc0")
    await _append(client, "job/" + "0" * 16, b"\x91" * 100_000 + b"\xc0")
    await _append(client, "lead", msgpack.packb({"epoch": 2**64 - 1, "node": "o"}))


async def _serve_job(client, entry):
    host, port = systems.address(systems.ENTRY_GROUP, entry, systems.FRONT_PORT)
    url = f"http://{host}:{port}{systems.ROUTE_PREFIX}{next(JOBS):016x}"
    headers = {"host": systems.ROUTE_HOST, "authorization": f"Bearer {systems.TEAM_KEY}"}
    body = json.dumps({"spec": "", "steps": [{"count": 4, "gpu": 1, "est_ms": 300}]})
    assert (await client.post(url, content=body, headers=headers)).is_success
    with anyio.fail_after(20.0):
        while True:
            answer = (await client.get(url, headers=headers)).json()
            if answer.get("state") == "succeeded":
                return
            await anyio.sleep(0.1)


async def _check(system):
    async with anyio.create_task_group() as group:
        await system.start(group)
        processes = [machine.process for machine in system.machines]
        async with httpx.AsyncClient(trust_env=False, verify=False, timeout=10.0) as client:
            await _serve_job(client, 1)
            await _write_odd_entries(client)
            for entry in range(1, ENTRIES + 1):
                await _serve_job(client, entry)
        assert [process.poll() for process in processes] == [None] * (ENTRIES + AGENTS)
        group.cancel_scope.cancel()


# Guards against processes that end, or stop following a list, at one odd entry of another writer.
def test_processes_run_on_and_serve_jobs_after_odd_entries(system):
    anyio.run(_check, system)
