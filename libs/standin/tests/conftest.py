"""Fixtures that serve the stand-ins over HTTP on the loopback address."""

import contextlib

import anyio
import attrs
import httpx
import pytest

from papayaspar_platform import http_logs, http_runtimes
from papayaspar_standin import memory_logs, memory_runtimes, serving, targets

LOOPBACK = "127.0.0.1:0"


@attrs.define
class ServedStandins:
    """A served log and a served worker, with a client of each."""

    log: memory_logs.MemoryLog
    log_client: http_logs.HttpLog
    runtime: memory_runtimes.MemoryRuntime
    runtime_client: http_runtimes.HttpRuntime
    target: targets.Target
    caller: httpx.AsyncClient


@pytest.fixture
def serve():
    """Return an async context that serves a log and a worker."""

    @contextlib.asynccontextmanager
    async def serve_standins(**log_options):
        stopping = anyio.Event()
        log = memory_logs.MemoryLog(**log_options)
        runtime, target = memory_runtimes.MemoryRuntime(usage_lag_s=0.0), targets.Target()
        async with anyio.create_task_group() as group:
            log_address = await group.start(serving.serve_log, LOOPBACK, log, stopping)
            worker_address = await group.start(
                serving.serve_worker, LOOPBACK, runtime, target, stopping
            )
            async with httpx.AsyncClient(
                base_url=f"http://{worker_address}", trust_env=False
            ) as caller:
                log_client = http_logs.HttpLog(log_address, client_timeout_s=0.3)
                runtime_client = http_runtimes.HttpRuntime(worker_address, client_timeout_s=0.3)
                yield ServedStandins(log, log_client, runtime, runtime_client, target, caller)
                await log_client.close()
                await runtime_client.close()
            stopping.set()

    return serve_standins
