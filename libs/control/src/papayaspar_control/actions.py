"""What ``papayaspar-ctl`` does: one class for each command."""

import abc
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from papayaspar_control import client, files, publishing, settings, texts
from papayaspar_rules import faults, parsing
from papayaspar_settings import exits, programs

RulesPath = Annotated[pathlib.Path, cappa.Arg(help="path of the rules file")]
WorkerName = Annotated[str, cappa.Arg(help="name of the worker")]
JobName = Annotated[str, cappa.Arg(help="identifier of the job")]
ParentRevision = Annotated[
    int | None,
    cappa.Arg(
        long="--parent",
        value_name="n",
        help="revision the file was made from; the one in force when left out",
    ),
]


@attrs.frozen
class ControlAction(programs.Action[settings.ControlSettings]):
    """An action whose refused rules are shown fault by fault."""

    async def run(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Do it."""
        try:
            return await self.operate(settings)
        except faults.InvalidRulesError as error:
            for fault in error.faults:
                print(fault, file=sys.stderr)
            return exits.ExitCode.FAILED

    @abc.abstractmethod
    async def operate(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Do it.

        :param settings: the checked settings.
        :return: how the program ends.
        """


@attrs.frozen
class EntryAction(ControlAction):
    """An action that asks one entry and prints what it answers."""

    async def operate(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Ask the entry."""
        async with settings.client() as entry:
            print(await self.ask(entry, settings), end="")
        return exits.ExitCode.OK

    @abc.abstractmethod
    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Ask the entry.

        :param entry: the entry.
        :param settings: the checked settings.
        :return: text for a person, each line ended.
        """


@cappa.command(name="check", help="Check a rules file without asking an entry.")
@attrs.frozen
class CheckRules(ControlAction):
    """Checks a file."""

    file: RulesPath

    async def operate(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Read the file; faults end the program."""
        rules = files.read_rules(self.file).ruleset()
        print(f"{self.file}: {len(rules.text.splitlines())} rules, no faults")
        return exits.ExitCode.OK


@cappa.command(name="diff", help="Compare a rules file with the rules in force.")
@attrs.frozen
class DiffRules(EntryAction):
    """Compares a file with the rules in force."""

    file: RulesPath

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return the rules that differ."""
        wanted = files.read_rules(self.file)
        in_force = await entry.rules()
        current = parsing.parse_table(in_force.text, f"revision {in_force.revision}")
        return texts.changes(current.diff(wanted))


@cappa.command(name="publish", help="Publish a rules file as the next revision.")
@attrs.frozen
class PublishRules(EntryAction):
    """Publishes a file."""

    file: RulesPath
    parent: ParentRevision = None

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Publish the file and say which revision it became."""
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

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return the rules under a comment line with their revision."""
        return texts.rules(await entry.rules())


@cappa.command(name="history", help="List the revisions that were in force.")
@attrs.frozen
class ShowHistory(EntryAction):
    """Lists revisions."""

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return one line a revision, newest first."""
        return texts.history(await entry.history())


@cappa.command(name="rules", help="Check, compare, publish and show rules.")
@attrs.frozen
class Rules(programs.Action[settings.ControlSettings]):
    """The commands on rules."""

    action: cappa.Subcommands[CheckRules | DiffRules | PublishRules | ShowRules | ShowHistory]

    async def run(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Run the command."""
        return await self.action.run(settings)


@cappa.command(name="status", help="Show the workers and guarantees as an entry sees them.")
@attrs.frozen
class Status(EntryAction):
    """Shows what an entry sees."""

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return a table of the workers."""
        return texts.status(await entry.status())


@cappa.command(name="drain", help="Let a worker finish its work and take no more.")
@attrs.frozen
class Drain(EntryAction):
    """Drains a worker."""

    worker: WorkerName

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Drain the worker."""
        await entry.drain(self.worker)
        return f"{self.worker} is draining\n"


@cappa.command(name="retire", help="Say that a worker is gone for good.")
@attrs.frozen
class Retire(EntryAction):
    """Retires a worker."""

    worker: WorkerName

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Retire the worker."""
        await entry.retire(self.worker)
        return f"{self.worker} is retired\n"


@cappa.command(name="show", help="Show what is known of a job.")
@attrs.frozen
class ShowJob(EntryAction):
    """Shows a job."""

    job: JobName

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Return one line for each field of the job."""
        return texts.job(await entry.job(self.job))


@cappa.command(name="cancel", help="Cancel a job.")
@attrs.frozen
class CancelJob(EntryAction):
    """Cancels a job."""

    job: JobName

    async def ask(self, entry: client.Client, settings: settings.ControlSettings) -> str:
        """Cancel the job and return what is known of it."""
        return texts.job(await entry.cancel_job(self.job))


@cappa.command(name="job", help="Follow or cancel a job.")
@attrs.frozen
class Job(programs.Action[settings.ControlSettings]):
    """The commands on one job."""

    action: cappa.Subcommands[ShowJob | CancelJob]

    async def run(self, settings: settings.ControlSettings) -> exits.ExitCode:
        """Run the command."""
        return await self.action.run(settings)
