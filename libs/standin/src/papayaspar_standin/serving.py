"""Serves the stand-ins over HTTP on asyncio, inside a task group."""

import socket

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config
from starlette import applications

from papayaspar_model import errors
from papayaspar_standin import log_apps, memory_logs, memory_runtimes, targets, worker_apps

GRACEFUL_TIMEOUT_S = 0.5
KEEP_ALIVE_TIMEOUT_S = 75.0


async def serve_log(
    address: str,
    log: memory_logs.MemoryLog,
    stopping: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the log service until it is told to stop.

    :param address: ``ip:port``; port 0 takes a free one.
    :param log: the log behind it, whose faults may be switched from outside.
    :param stopping: set it to stop gracefully.
    :param task_status: told the address in use once connections are accepted.
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
    """Serve one worker's runtime and target until it is told to stop.

    :param address: ``ip:port``; port 0 takes a free one.
    :param runtime: runs the tasks of gangs.
    :param target: runs requests.
    :param stopping: set it to stop gracefully.
    :param task_status: told the address in use once connections are accepted.
    """
    await _serve(address, worker_apps.WorkerApp(runtime, target).asgi(), stopping, task_status)


async def _serve(
    address: str,
    app: applications.Starlette,
    stopping: anyio.Event,
    task_status: anyio.abc.TaskStatus[str],
) -> None:
    """Serve an application on a socket that accepts before the server runs."""
    listener = _listen(address)
    host, port = listener.getsockname()[:2]
    config = hypercorn.config.Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.errorlog = None
    task_status.started(f"{host}:{port}")
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=stopping.wait)  # type: ignore[arg-type]


def _listen(address: str) -> socket.socket:
    """Return a listening socket.

    :param address: ``ip:port``.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise errors.SettingsError(f"{address} is not ip:port", field="address")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip("[]"), int(port)))
    listener.listen()
    return listener
