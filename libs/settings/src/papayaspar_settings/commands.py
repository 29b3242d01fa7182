"""The command line of a program, generated from its settings and actions by ``cappa``."""

import functools
import operator
from collections.abc import Sequence
from importlib import metadata
from typing import Annotated, TypeVar, cast

import attrs
import cappa

from papayaspar_settings import fields, programs, tables

S = TypeVar("S", bound=fields.Settings)

ACTION_FIELD = "action"
DISTRIBUTION = "papayaspar-settings"


def parse(program: programs.Program[S], argv: Sequence[str]) -> programs.Invocation[S]:
    """Parse a command line; help, version and invalid usage exit the process.

    :param program: the program.
    :param argv: the command line without the program's name.
    :return: the action and the flags.
    """
    command = cappa.Command(
        _command_class(program),
        name=program.name,
        help=program.summary,
        description=tables.exit_codes(),
    )
    arguments = cappa.parse(
        command, argv=list(argv), version=metadata.version(DISTRIBUTION), completion=False
    )
    flags = {}
    for setting in fields.settings_of(program.settings):
        flags[setting.name] = getattr(arguments, setting.name)
    return programs.Invocation(getattr(arguments, ACTION_FIELD), flags)


def _command_class(program: programs.Program[S]) -> type[attrs.AttrsInstance]:
    attributes = {ACTION_FIELD: attrs.field(type=_action_type(program), kw_only=True)}
    for row, setting in zip(
        tables.describe(program.settings), fields.settings_of(program.settings), strict=True
    ):
        argument = cappa.Arg[str](
            long=row.flag,
            value_name=row.value,
            help=f"{row.help} [{row.variable}; {row.default}]",
            propagate=True,
            show_default=False,
        )
        attributes[setting.name] = attrs.field(
            type=cast("type", Annotated[str | None, argument]), default=None, kw_only=True
        )
    return attrs.make_class("Arguments", attributes)


def _action_type(program: programs.Program[S]) -> type:
    if len(program.actions) == 1:
        return cast("type", Annotated[program.actions[0], cappa.Arg(destructure=True)])
    union = functools.reduce(operator.or_, program.actions)
    return cast("type", Annotated[union, cappa.Subcommand()])
