"""Command line of ``papayaspar-local``: the whole system in one process."""

import anyio
import attrs
import cappa
import loguru

from papayaspar_events import journal
from papayaspar_local import demo, layouts, systems
from papayaspar_settings import daemons, exits, fields, kinds, programs


@attrs.frozen(kw_only=True)
class LocalSettings(fields.Settings):
    """Settings of ``papayaspar-local``."""

    callers_port: int = fields.default(
        kinds.Integer(minimum=1, maximum=65_000), "7800", "serve: callers' port of the first entry"
    )
    operators_port: int = fields.default(
        kinds.Integer(minimum=1, maximum=65_000),
        "7810",
        "serve: operators' port of the first entry",
    )


class LocalDaemon(daemons.Daemon):
    """A local system that serves until it is stopped.

    :param ports: first ports of the listeners.
    """

    def __init__(self, ports: systems.Ports) -> None:
        self._ports = ports
        self._stopping = anyio.Event()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Start the system, print its addresses and serve."""
        async with systems.running(layouts.PHOTO_SERVICE, self._ports) as system:
            for entry in system.entries:
                print(f"{entry.name}: callers {entry.callers}, operators {entry.operators}")
            print("ready; press Ctrl-C to stop", flush=True)
            task_status.started()
            await self._stopping.wait()

    def stop(self) -> None:
        """Start a graceful stop."""
        self._stopping.set()


@cappa.command(
    name="demo", help="Run an example workload of a photo service and check its results."
)
@attrs.frozen
class Demo(programs.Action[LocalSettings]):
    """Runs the demo."""

    async def run(self, settings: LocalSettings) -> exits.ExitCode:
        """Run the demo; the exit code is not 0 if a check failed."""
        loguru.logger.remove()
        passed = await demo.run()
        return exits.ExitCode.OK if passed else exits.ExitCode.FAILED


@cappa.command(name="serve", help="Serve the system of the demo until a signal.")
@attrs.frozen
class Serve(programs.Action[LocalSettings]):
    """Serves a local system."""

    async def run(self, settings: LocalSettings) -> exits.ExitCode:
        """Serve until a signal."""
        journal.log_to_stderr()
        ports = systems.Ports(settings.callers_port, settings.operators_port)
        await daemons.run_until_signal(LocalDaemon(ports))
        return exits.ExitCode.OK


PROGRAM = programs.Program(
    "papayaspar-local",
    "Run the whole system in one process on loopback, for demonstrations.",
    LocalSettings,
    (Demo, Serve),
)


def main() -> None:
    """Run the program."""
    programs.run(PROGRAM)


if __name__ == "__main__":
    main()
