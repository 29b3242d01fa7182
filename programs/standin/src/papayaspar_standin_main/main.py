"""Command line of ``papayaspar-standin``: stand-ins for the platform, for tests only."""

import anyio
import attrs
import cappa

from papayaspar_settings import daemons, exits, fields, kinds, programs
from papayaspar_standin import memory_logs, memory_runtimes, serving, targets


@attrs.frozen(kw_only=True)
class StandinSettings(fields.Settings):
    """What ``papayaspar-standin`` is told at start."""

    listen: str = fields.default(kinds.Address(listening=True), "127.0.0.1:7700", "where to listen")
    accelerators: int = fields.default(
        kinds.Integer(minimum=0, maximum=64), "8", "accelerators of a worker"
    )


class LogDaemon(daemons.Daemon):
    """The stand-in of the log service.

    :param address: where it listens.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._stopping = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until told to stop."""
        await serving.serve_log(self._address, memory_logs.MemoryLog(), self._stopping)

    def stop(self) -> None:
        """Stop serving."""
        self._stopping.set()


class WorkerDaemon(daemons.Daemon):
    """The stand-in of one worker: its runtime and its target.

    :param address: where it listens.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._stopping = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until told to stop."""
        runtime = memory_runtimes.MemoryRuntime()
        target = targets.Target(runtime.faults)
        await serving.serve_worker(self._address, runtime, target, self._stopping)

    def stop(self) -> None:
        """Stop serving."""
        self._stopping.set()


@cappa.command(name="log", help="Stand in for the platform's log service.")
@attrs.frozen
class ServeLog(programs.Action[StandinSettings]):
    """Serve the log."""

    async def run(self, settings: StandinSettings) -> exits.ExitCode:
        """Serve until a signal."""
        await daemons.run_until_signal(LogDaemon(settings.listen))
        return exits.ExitCode.OK


@cappa.command(name="worker", help="Stand in for one worker: its runtime and its target.")
@attrs.frozen
class ServeWorker(programs.Action[StandinSettings]):
    """Serve one worker."""

    async def run(self, settings: StandinSettings) -> exits.ExitCode:
        """Serve until a signal."""
        await daemons.run_until_signal(WorkerDaemon(settings.listen))
        return exits.ExitCode.OK


PROGRAM = programs.Program(
    "papayaspar-standin",
    "Stand in for the platform, for tests and first looks.",
    StandinSettings,
    (ServeLog, ServeWorker),
)


def main() -> None:
    """Run the program."""
    programs.run(PROGRAM)


if __name__ == "__main__":
    main()
