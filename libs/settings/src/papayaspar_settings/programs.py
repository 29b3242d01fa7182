"""Running of a program: its command line, settings, errors and exit codes."""

import abc
import os
import sys
from collections.abc import Iterator, Mapping, Sequence
from typing import Generic, NoReturn, TypeVar

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_settings import exits, fields, loading

S = TypeVar("S", bound=fields.Settings)


@attrs.frozen
class Action(abc.ABC, Generic[S]):
    """An action of a program; its fields are the arguments on the command line."""

    @abc.abstractmethod
    async def run(self, settings: S) -> exits.ExitCode:
        """Run the action.

        :param settings: the validated settings.
        :return: the exit code of the program.
        """


@attrs.frozen
class Program(Generic[S]):
    """A program.

    :param name: name of its command.
    :param summary: description, one sentence.
    :param settings: class that declares its settings.
    :param actions: classes of its actions; a single action has no subcommand.
    :param backend: event loop for :func:`anyio.run`.
    """

    name: str
    summary: str
    settings: type[S]
    actions: tuple[type[Action[S]], ...]
    backend: str = "asyncio"


@attrs.frozen
class Invocation(Generic[S]):
    """The action and flags of a command line.

    :param action: the action to run.
    :param flags: text of each flag by field name.
    """

    action: Action[S]
    flags: Mapping[str, str | None]


def run(program: Program[S]) -> NoReturn:
    """Run a program with the command line and environment of this process, then exit.

    :param program: the program.
    """
    sys.exit(execute(program, sys.argv[1:], os.environ))


def execute(program: Program[S], argv: Sequence[str], environment: Mapping[str, str]) -> int:
    """Run a program and print its error, if any, to standard error.

    :param program: the program.
    :param argv: the command line without the program's name.
    :param environment: the environment variables.
    :return: the exit code.
    """
    try:
        invocation = _parse(program, argv)
        settings = loading.load(program.settings, invocation.flags, environment)
        return anyio.run(invocation.action.run, settings, backend=program.backend)
    except KeyboardInterrupt:
        return exits.ExitCode.FAILED
    except errors.PapayasparError as error:
        return _report(program.name, error)
    except BaseExceptionGroup as group:
        nested = _find_error(group)
        if nested is None:
            raise
        return _report(program.name, nested)


def _parse(program: Program[S], argv: Sequence[str]) -> Invocation[S]:
    action_fields = attrs.fields(program.actions[0]) if len(program.actions) == 1 else ()
    if not argv and len(program.actions) == 1 and not action_fields:
        return Invocation(program.actions[0](), {})
    # cappa is large; a process that is configured by variables alone doesn't import it.
    from papayaspar_settings import commands

    return commands.parse(program, argv)


def _report(name: str, error: errors.PapayasparError) -> exits.ExitCode:
    for line in _error_lines(error):
        print(f"{name}: {error.code}: {line}", file=sys.stderr)
    return exits.exit_code_of(error)


def _error_lines(error: errors.PapayasparError) -> Iterator[str]:
    if isinstance(error, loading.InvalidSettingsError):
        for fault in error.faults:
            yield str(fault)
        return
    yield error.detail


def _find_error(group: BaseExceptionGroup[BaseException]) -> errors.PapayasparError | None:
    for error in group.exceptions:
        if isinstance(error, errors.PapayasparError):
            return error
        if not isinstance(error, BaseExceptionGroup):
            continue
        nested = _find_error(error)
        if nested is not None:
            return nested
    return None
