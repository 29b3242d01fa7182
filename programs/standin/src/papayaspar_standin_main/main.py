"""Command line of ``papayaspar-standin``: serves one stand-in of the platform."""

import contextlib
import signal
from collections.abc import AsyncIterator
from typing import NoReturn

import anyio
import anyio.abc
import attrs
import cappa

from papayaspar_settings import exits, fields, kinds, programs
from papayaspar_standin import memory_logs, memory_runtimes, serving, targets

MILLISECONDS_PER_SECOND = 1000.0


@attrs.frozen(kw_only=True)
class Settings(fields.Settings):
    """Settings of the stand-ins."""

    listen: str = fields.default(
        kinds.Address(listening=True),
        "127.0.0.1:0",
        "address to listen on; port 0 selects a free port",
    )
    appends_per_s: int = fields.default(
        kinds.Integer(minimum=1, unit="1/s"),
        "300",
        "log: maximum number of append calls per second",
    )
    retention_s: float | None = fields.optional(
        kinds.Seconds(minimum=1.0), "log: time that a record is kept; no limit if unset"
    )
    service_time_s: float = fields.default(
        kinds.Seconds(), "0.005", "worker: default service time of a request"
    )
    usage_lag_s: float = fields.default(
        kinds.Seconds(), "1", "worker: delay of the reported usage of tasks"
    )


@cappa.command(name="log", help="Serve the log service.")
@attrs.frozen
class ServeLog(programs.Action[Settings]):
    """Serves the log service."""

    async def run(self, settings: Settings) -> exits.ExitCode:
        """Serve until a signal."""
        log = memory_logs.MemoryLog(settings.appends_per_s, settings.retention_s)
        stopping = anyio.Event()
        async with _stop_signals_handled(stopping), anyio.create_task_group() as tasks:
            address = await tasks.start(serving.serve_log, settings.listen, log, stopping)
            print(f"standin=log address={address}", flush=True)
        return exits.ExitCode.OK


@cappa.command(name="worker", help="Serve one worker: its runtime and its target.")
@attrs.frozen
class ServeWorker(programs.Action[Settings]):
    """Serves one worker."""

    async def run(self, settings: Settings) -> exits.ExitCode:
        """Serve until a signal."""
        runtime = memory_runtimes.MemoryRuntime(usage_lag_s=settings.usage_lag_s)
        target = targets.Target(service_ms=settings.service_time_s * MILLISECONDS_PER_SECOND)
        stopping = anyio.Event()
        async with _stop_signals_handled(stopping), anyio.create_task_group() as tasks:
            address = await tasks.start(
                serving.serve_worker, settings.listen, runtime, target, stopping
            )
            print(f"standin=worker address={address}", flush=True)
        return exits.ExitCode.OK


@contextlib.asynccontextmanager
async def _stop_signals_handled(stopping: anyio.Event) -> AsyncIterator[None]:
    """Return a context manager that stops the block on signals: gracefully, then at once."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, stopping, tasks.cancel_scope)
        yield
        tasks.cancel_scope.cancel()


async def _stop_on_signal(stopping: anyio.Event, scope: anyio.CancelScope) -> None:
    """Stop gracefully on the first signal, and at once on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping.is_set():
                break
            stopping.set()
    scope.cancel()


PROGRAM = programs.Program(
    "papayaspar-standin",
    "Serve a stand-in of the platform for tests: the log service, or a worker.",
    Settings,
    (ServeLog, ServeWorker),
)


def main() -> NoReturn:
    """Run the program."""
    programs.run(PROGRAM)


if __name__ == "__main__":
    main()
