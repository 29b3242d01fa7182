"""Command line of ``papayaspar-timeline``: one timeline of the events of all processes."""

import pathlib

import anyio
import attrs
import cappa

from papayaspar_control import client
from papayaspar_events import lines, timeline
from papayaspar_model import errors
from papayaspar_settings import exits, fields, kinds, programs


class FileReadError(errors.PapayasparError):
    """A log file can't be read."""

    code = "file_unreadable"
    title = "The file can't be read"


@attrs.frozen(kw_only=True)
class TimelineSettings(fields.Settings):
    """Settings of ``papayaspar-timeline``."""

    entries: tuple[str, ...] = fields.default(
        kinds.Addresses(), "127.0.0.1:7801", "live: operators' listeners of the entries"
    )
    timeout_s: float = fields.default(
        kinds.Seconds(minimum=0.1), "5", "live: timeout of the call to one entry"
    )
    job: str | None = fields.optional(kinds.Text(), "only events of this job")
    request: str | None = fields.optional(kinds.Text(), "only events of this request")
    team: str | None = fields.optional(kinds.Name(), "only events of this team")
    worker: str | None = fields.optional(kinds.Name(), "only events of this worker")

    def event_filter(self) -> timeline.Filter:
        """Return the event filter of these settings."""
        return timeline.Filter(
            self.job or "", self.request or "", self.team or "", self.worker or ""
        )


@cappa.command(name="merge", help="Merge log files of several processes.")
@attrs.frozen
class Merge(programs.Action[TimelineSettings]):
    """Merges log files."""

    files: list[str]

    async def run(self, settings: TimelineSettings) -> exits.ExitCode:
        """Print the merged timeline."""
        sources = []
        for path in self.files:
            sources.append(timeline.parse(await _read_lines(path)))
        _print_events(sources, settings)
        return exits.ExitCode.OK


@cappa.command(name="live", help="Merge the buffered events of running entries and their agents.")
@attrs.frozen
class Live(programs.Action[TimelineSettings]):
    """Merges the buffered events of running entries and their agents."""

    async def run(self, settings: TimelineSettings) -> exits.ExitCode:
        """Print the merged timeline."""
        sources = []
        for address in settings.entries:
            async with client.Client(f"http://{address}", settings.timeout_s) as operator:
                sources.append(timeline.parse(await operator.event_lines()))
        _print_events(sources, settings)
        return exits.ExitCode.OK


PROGRAM = programs.Program(
    "papayaspar-timeline",
    "Show one timeline of the events of all processes, causes before effects.",
    TimelineSettings,
    (Merge, Live),
)


async def _read_lines(path: str) -> list[str]:
    try:
        text = await anyio.Path(pathlib.Path(path)).read_text(errors="replace")
    except OSError as error:
        raise FileReadError(f"{path}: {error.strerror}") from error
    return text.splitlines()


def _print_events(sources: list[list[lines.Event]], settings: TimelineSettings) -> None:
    for event in timeline.merge(sources, settings.event_filter()):
        print(timeline.render(event))


def main() -> None:
    """Run the program."""
    programs.run(PROGRAM)
