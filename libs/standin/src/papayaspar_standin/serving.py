"""Serve the stand-ins over HTTP on asyncio, inside a task group."""

import anyio
import anyio.abc
from starlette import applications

from papayaspar_serving import listeners
from papayaspar_standin import log_apps, memory_logs, memory_runtimes, targets, worker_apps

STOP_GRACE_S = 1.0


async def serve_log(
    address: str,
    log: memory_logs.MemoryLog,
    stopping: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the log service until the stop event is set.

    :param address: ``ip:port`` to listen on; port 0 selects a free port.
    :param log: log to serve; its faults can also be set over HTTP.
    :param stopping: event that starts a graceful stop.
    :param task_status: receives the address in use once connections are accepted.
    """
    await _serve(address, log_apps.LogApp(log).asgi(), stopping, task_status)


async def serve_worker(
    address: str,
    runtime: memory_runtimes.MemoryRuntime,
    target: targets.Target,
    stopping: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve one worker's runtime and target until the stop event is set.

    :param address: ``ip:port`` to listen on; port 0 selects a free port.
    :param runtime: runtime that runs the tasks of gangs.
    :param target: target that runs requests.
    :param stopping: event that starts a graceful stop.
    :param task_status: receives the address in use once connections are accepted.
    """
    await _serve(address, worker_apps.WorkerApp(runtime, target).asgi(), stopping, task_status)


async def _serve(
    address: str,
    app: applications.Starlette,
    stopping: anyio.Event,
    task_status: anyio.abc.TaskStatus[str],
) -> None:
    """Serve an application on a socket that accepts connections before the server runs."""
    host, _, port = address.rpartition(":")
    listener = listeners.bind(host.strip("[]"), int(port))
    host, bound_port = listener.getsockname()[:2]
    task_status.started(f"{host}:{bound_port}")
    await listeners.serve(app, listener, stopping.wait, grace_s=STOP_GRACE_S)
