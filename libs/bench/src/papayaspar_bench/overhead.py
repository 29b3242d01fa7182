"""What entry and agent add to a call, beside direct calls to the same target."""

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
    """One way to the target.

    :param base_url: where calls go.
    :param path: path of a call.
    :param body: body of a call.
    """

    base_url: str
    path: str
    body: dict[str, object]


@attrs.frozen
class Timings:
    """What one route gave.

    :param p50_ms: median latency of calls one after the other.
    :param p99_ms: 99th percentile of the same.
    :param per_s: calls a second with several at a time.
    """

    p50_ms: float
    p99_ms: float
    per_s: float


class Overhead(experiments.Experiment):
    """Latency and throughput through entry and agent beside direct calls; in real time."""

    name = "overhead"
    summary = "latency and throughput through entry and agent beside direct calls (real time)"

    def run(self, seed: int) -> experiments.Outcome:
        """Run once; the load is the same for every seed."""
        loguru.logger.remove()
        direct, through = anyio.run(_measure)
        return experiments.Outcome(
            self.name,
            seed,
            {
                "direct_p50_ms": direct.p50_ms,
                "direct_p99_ms": direct.p99_ms,
                "direct_per_s": direct.per_s,
                "through_p50_ms": through.p50_ms,
                "through_p99_ms": through.p99_ms,
                "through_per_s": through.per_s,
                "added_p50_ms": through.p50_ms - direct.p50_ms,
                "p50_ratio": through.p50_ms / direct.p50_ms,
                "throughput_ratio": through.per_s / direct.per_s,
            },
        )


async def _measure() -> tuple[Timings, Timings]:
    payload: dict[str, object] = {"service_ms": SERVICE_MS}
    body: dict[str, object] = {"team": "bench", "kind": "echo", "payload": payload}
    async with systems.running(LAYOUT) as system:
        worker = system.workers["worker-1"]
        direct = Route(f"http://{worker.address}", "/run", payload)
        through = Route(f"http://{system.entries[0].callers}", "/v1/requests", body)
        return await _time(direct), await _time(through)


async def _time(route: Route) -> Timings:
    async with httpx.AsyncClient(
        base_url=route.base_url, timeout=CALL_TIMEOUT_S, trust_env=False
    ) as client:
        await _serial(client, route, WARM_UP_CALLS)
        taken_ms = sorted(await _serial(client, route, CALLS))
        per_s = await _throughput(client, route)
    p99 = taken_ms[math.ceil(len(taken_ms) * 0.99) - 1]
    return Timings(taken_ms[len(taken_ms) // 2], p99, per_s)


async def _serial(client: httpx.AsyncClient, route: Route, count: int) -> list[float]:
    taken_ms = []
    for _ in range(count):
        started_s = time.perf_counter()
        await _call(client, route)
        taken_ms.append((time.perf_counter() - started_s) * MILLISECONDS_PER_SECOND)
    return taken_ms


async def _throughput(client: httpx.AsyncClient, route: Route) -> float:
    started_s = time.perf_counter()
    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENCY):
            group.start_soon(_repeat, client, route, CALLS // CONCURRENCY)
    return CALLS / (time.perf_counter() - started_s)


async def _repeat(client: httpx.AsyncClient, route: Route, count: int) -> None:
    for _ in range(count):
        await _call(client, route)


async def _call(client: httpx.AsyncClient, route: Route) -> None:
    headers = {"papayaspar-request-id": "bench", "papayaspar-attempt": "1"}
    response = await client.post(route.path, json=route.body, headers=headers)
    response.raise_for_status()
