"""Command line of ``papayaspar-agent``."""

import attrs

from papayaspar_agent import process, settings
from papayaspar_events import journal
from papayaspar_settings import daemons, exits, programs


@attrs.frozen
class Serve(programs.Action[settings.AgentSettings]):
    """Serve until a signal."""

    async def run(self, settings: settings.AgentSettings) -> exits.ExitCode:
        """Run the agent; SIGTERM drains it, and a second signal stops it at once."""
        journal.log_to_stderr()
        await daemons.run_until_signal(process.Agent(settings.config()))
        return exits.ExitCode.OK


PROGRAM = programs.Program(
    "papayaspar-agent", "Run one agent of papayaspar.", settings.AgentSettings, (Serve,)
)


def main() -> None:
    """Run the program."""
    programs.run(PROGRAM)


if __name__ == "__main__":
    main()
