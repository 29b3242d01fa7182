"""Command line of ``papayaspar-entry``."""

import attrs

from papayaspar_entry import process, settings
from papayaspar_events import journal
from papayaspar_settings import daemons, exits, programs


@attrs.frozen
class Serve(programs.Action[settings.EntrySettings]):
    """Serve until a signal."""

    async def run(self, settings: settings.EntrySettings) -> exits.ExitCode:
        """Run the entry; SIGTERM drains it, and a second signal stops it at once."""
        journal.log_to_stderr()
        await daemons.run_until_signal(process.Entry(settings.config()))
        return exits.ExitCode.OK


PROGRAM = programs.Program(
    "papayaspar-entry", "Run one entry of papayaspar.", settings.EntrySettings, (Serve,)
)


def main() -> None:
    """Run the program."""
    programs.run(PROGRAM)


if __name__ == "__main__":
    main()
