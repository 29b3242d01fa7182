"""Experiment: overhead of entry and agent compared with direct calls to the same target."""

import math
import time

import anyio
import attrs
import httpx
import loguru

from papayaspar_bench import experiments
from papayaspar_local import layouts, systems

CALLS = 400
WARM_UP_CALLS = 50
CONCURRENCY = 16
MILLISECONDS_PER_SECOND = 1000
CALL_TIMEOUT_S = 30.0
SERVICE_MS = 0
RULES = """\
team bench weight=1 # asked by the benchmark
slots bench-slots team=bench slots=64 # asked by the benchmark
"""
LAYOUT = layouts.Layout(
    "bench-region",
    ("entry-1",),
    tuple(layouts.WorkerPlace(f"worker-{number}", "rack-1", "dc-1") for number in (1, 2)),
    RULES,
)


@attrs.frozen
class Route:
    """One route of calls to the target.

    :param base_url: base URL of the calls.
    :param path: path of the calls.
    :param body: JSON body of the calls.
    """

    base_url: str
    path: str
    body: dict[str, object]


@attrs.frozen
class RouteTimings:
    """Latency and throughput of one route.

    :param p50_ms: median latency of sequential calls, in milliseconds.
    :param p99_ms: 99th percentile of the latency of sequential calls, in milliseconds.
    :param calls_per_s: completed calls per second with ``CONCURRENCY`` concurrent calls.
    """

    p50_ms: float
    p99_ms: float
    calls_per_s: float


class Overhead(experiments.Experiment):
    """Compares calls through entry and agent with direct calls, in real time."""

    name = "overhead"
    summary = "latency and throughput through entry and agent vs. direct calls (real time)"

    def run(self, seed: int) -> experiments.Outcome:
        """Measure both routes; the load is the same for every seed."""
        loguru.logger.remove()
        direct, through_entry = anyio.run(_measure_routes)
        return experiments.Outcome(
            self.name,
            seed,
            {
                "direct_p50_ms": direct.p50_ms,
                "direct_p99_ms": direct.p99_ms,
                "direct_per_s": direct.calls_per_s,
                "through_p50_ms": through_entry.p50_ms,
                "through_p99_ms": through_entry.p99_ms,
                "through_per_s": through_entry.calls_per_s,
                "added_p50_ms": through_entry.p50_ms - direct.p50_ms,
                "p50_ratio": through_entry.p50_ms / direct.p50_ms,
                "throughput_ratio": through_entry.calls_per_s / direct.calls_per_s,
            },
        )


async def _measure_routes() -> tuple[RouteTimings, RouteTimings]:
    payload: dict[str, object] = {"service_ms": SERVICE_MS}
    body: dict[str, object] = {"team": "bench", "kind": "echo", "payload": payload}
    async with systems.running(LAYOUT) as system:
        worker = system.workers["worker-1"]
        direct = Route(f"http://{worker.address}", "/run", payload)
        through_entry = Route(f"http://{system.entries[0].callers}", "/v1/requests", body)
        return await _measure_route(direct), await _measure_route(through_entry)


async def _measure_route(route: Route) -> RouteTimings:
    async with httpx.AsyncClient(
        base_url=route.base_url, timeout=CALL_TIMEOUT_S, trust_env=False
    ) as client:
        await _call_sequentially(client, route, WARM_UP_CALLS)
        latencies_ms = sorted(await _call_sequentially(client, route, CALLS))
        calls_per_s = await _measure_throughput(client, route)
    p99_ms = latencies_ms[math.ceil(len(latencies_ms) * 0.99) - 1]
    return RouteTimings(latencies_ms[len(latencies_ms) // 2], p99_ms, calls_per_s)


async def _call_sequentially(client: httpx.AsyncClient, route: Route, count: int) -> list[float]:
    latencies_ms = []
    for _ in range(count):
        started_s = time.perf_counter()
        await _call(client, route)
        latencies_ms.append((time.perf_counter() - started_s) * MILLISECONDS_PER_SECOND)
    return latencies_ms


async def _measure_throughput(client: httpx.AsyncClient, route: Route) -> float:
    started_s = time.perf_counter()
    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENCY):
            group.start_soon(_call_repeatedly, client, route, CALLS // CONCURRENCY)
    return CALLS / (time.perf_counter() - started_s)


async def _call_repeatedly(client: httpx.AsyncClient, route: Route, count: int) -> None:
    for _ in range(count):
        await _call(client, route)


async def _call(client: httpx.AsyncClient, route: Route) -> None:
    headers = {"papayaspar-request-id": "bench", "papayaspar-attempt": "1"}
    response = await client.post(route.path, json=route.body, headers=headers)
    response.raise_for_status()
