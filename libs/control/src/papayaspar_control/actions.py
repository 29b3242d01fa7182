"""Commands of ``papayaspar-ctl``, one class for each."""

import abc
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from papayaspar_control import client, files, formatting, publishing, settings
from papayaspar_rules import faults, parsing
from papayaspar_settings import exits, programs

RulesPath = Annotated[pathlib.Path, cappa.Arg(help="path of the rules file")]
WorkerName = Annotated[str, cappa.Arg(help="name of the worker")]
JobId = Annotated[str, cappa.Arg(help="identifier of the job")]
ParentRevision = Annotated[
    int | None,
    cappa.Arg(
        long="--parent",
        value_name="n",
        help="revision that the file is based on; the one in force if not given",
    ),
]


@attrs.frozen
class ControlAction(programs.Action[settings.ControlSettings]):
    """An action that prints each fault of rejected rules on a line of its own."""

    async def run(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Run the command and print the faults of rejected rules."""
        try:
            return await self.execute(settings)
        except faults.InvalidRulesError as error:
            for fault in error.faults:
                print(fault, file=sys.stderr)
            return exits.ExitCode.FAILED

    @abc.abstractmethod
    async def execute(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Run the command.

        :param settings: the validated settings.
        :return: the exit code of the program.
        """


@attrs.frozen
class EntryAction(ControlAction):
    """An action that calls the API of one entry and prints the result."""

    async def execute(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Call the entry and print the result."""
        async with settings.client() as entry:
            print(await self.call_entry(entry, settings), end="")
        return exits.ExitCode.OK

    @abc.abstractmethod
    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Call the entry.

        :param entry: client of the entry.
        :param settings: the validated settings.
        :return: text to print, which ends in a line feed unless it is empty.
        """


@cappa.command(name="check", help="Check a rules file without contacting an entry.")
@attrs.frozen
class CheckRules(ControlAction):
    """Checks a rules file."""

    file: RulesPath

    async def execute(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Parse the file; raise an error if it has faults."""
        rules = files.read_rules(self.file).ruleset()
        print(f"{self.file}: {len(rules.text.splitlines())} rules, no faults")
        return exits.ExitCode.OK


@cappa.command(name="diff", help="Compare a rules file with the rules in force.")
@attrs.frozen
class DiffRules(EntryAction):
    """Compares a rules file with the rules in force."""

    file: RulesPath

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return the rules that differ."""
        proposed = files.read_rules(self.file)
        in_force = await entry.rules()
        current = parsing.parse_table(in_force.text, f"revision {in_force.revision}")
        return formatting.format_changes(current.diff(proposed))


@cappa.command(name="publish", help="Publish a rules file as the next revision.")
@attrs.frozen
class PublishRules(EntryAction):
    """Publishes a rules file."""

    file: RulesPath
    parent: ParentRevision = None

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Publish the file and return the number of its revision."""
        author = settings.required_author()
        rules = files.read_rules(self.file).ruleset()
        parent = self.parent
        if parent is None:
            in_force = await entry.rules()
            parent = in_force.revision
        published = await publishing.publish(entry, rules.text, parent, author)
        return f"revision {published.revision} is accepted ({published.publish_id})\n"


@cappa.command(name="show", help="Print the rules in force, in canonical form.")
@attrs.frozen
class ShowRules(EntryAction):
    """Prints the rules in force."""

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return the rules, after a comment line with their revision."""
        return formatting.format_rules(await entry.rules())


@cappa.command(name="history", help="List the revisions that were in force.")
@attrs.frozen
class ShowHistory(EntryAction):
    """Lists the revisions that were in force."""

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return one line per revision, newest first."""
        return formatting.format_history(await entry.history())


@cappa.command(name="rules", help="Check, compare, publish and show rules.")
@attrs.frozen
class Rules(programs.Action[settings.ControlSettings]):
    """The commands for rules."""

    action: cappa.Subcommands[CheckRules | DiffRules | PublishRules | ShowRules | ShowHistory]

    async def run(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Run the command."""
        return await self.action.run(settings)


@cappa.command(name="status", help="Show the state of workers and guarantees as seen by an entry.")
@attrs.frozen
class Status(EntryAction):
    """Shows the state of workers and guarantees as seen by an entry."""

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return a table of the workers, and the guarantees that are short."""
        return formatting.format_status(await entry.status())


@cappa.command(name="drain", help="Drain a worker: it finishes its work and accepts no more.")
@attrs.frozen
class Drain(EntryAction):
    """Drains a worker."""

    worker: WorkerName

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Drain the worker."""
        await entry.drain(self.worker)
        return f"{self.worker} is draining\n"


@cappa.command(name="retire", help="Declare that a worker has terminated permanently.")
@attrs.frozen
class Retire(EntryAction):
    """Retires a worker."""

    worker: WorkerName

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Retire the worker."""
        await entry.retire(self.worker)
        return f"{self.worker} is retired\n"


@cappa.command(name="show", help="Show the state of a job.")
@attrs.frozen
class ShowJob(EntryAction):
    """Shows a job."""

    job: JobId

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return one line for each field of the job."""
        return formatting.format_job(await entry.job(self.job))


@cappa.command(name="cancel", help="Cancel a job.")
@attrs.frozen
class CancelJob(EntryAction):
    """Cancels a job."""

    job: JobId

    async def call_entry(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Cancel the job and return one line for each field of it."""
        return formatting.format_job(await entry.cancel_job(self.job))


@cappa.command(name="job", help="Show or cancel a job.")
@attrs.frozen
class Job(programs.Action[settings.ControlSettings]):
    """The commands for one job."""

    action: cappa.Subcommands[ShowJob | CancelJob]

    async def run(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Run the command."""
        return await self.action.run(settings)
