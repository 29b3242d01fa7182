"""Runs one stand-in for the platform: the log service, or one worker."""

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
        kinds.Address(listening=True), "127.0.0.1:0", "where to listen; port 0 takes a free one"
    )
    appends_per_s: int = fields.default(
        kinds.Integer(minimum=1, unit="1/s"), "300", "log: most append calls a second"
    )
    retention_s: float | None = fields.optional(
        kinds.Seconds(minimum=1.0), "log: how long a record is kept; for ever when left out"
    )
    service_time_s: float = fields.default(
        kinds.Seconds(), "0.005", "worker: service time of a request that declares none"
    )
    usage_lag_s: float = fields.default(
        kinds.Seconds(), "1", "worker: how far the reported usage of tasks lags behind"
    )


@cappa.command(name="log", help="Serve the log service.")
@attrs.frozen
class ServeLog(programs.Action[Settings]):
    """Serves the log service."""

    async def run(self, settings: Settings) -> exits.ExitCode:
        """Serve until a signal."""
        log = memory_logs.MemoryLog(settings.appends_per_s, settings.retention_s)
        stopping = anyio.Event()
        async with _signals_watched(stopping), anyio.create_task_group() as tasks:
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
        async with _signals_watched(stopping), anyio.create_task_group() as tasks:
            address = await tasks.start(
                serving.serve_worker, settings.listen, runtime, target, stopping
            )
            print(f"standin=worker address={address}", flush=True)
        return exits.ExitCode.OK


@contextlib.asynccontextmanager
async def _signals_watched(stopping: anyio.Event) -> AsyncIterator[None]:
    """Watch for signals while the block runs."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, stopping, tasks.cancel_scope)
        yield
        tasks.cancel_scope.cancel()


async def _stop_on_signal(stopping: anyio.Event, hurry: anyio.CancelScope) -> None:
    """Stop gracefully on the first signal, at once on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            if stopping.is_set():
                break
            stopping.set()
    hurry.cancel()


PROGRAM = programs.Program(
    "papayaspar-standin",
    "Stands in for the platform in tests: log service, or worker with runtime and target.",
    Settings,
    (ServeLog, ServeWorker),
)


def main() -> NoReturn:
    """Run the program."""
    programs.run(PROGRAM)


if __name__ == "__main__":
    main()
