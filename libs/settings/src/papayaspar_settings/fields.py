"""Declaration of settings: one field of an ``attrs`` class is one flag and one variable.

A program declares its settings once::

    @attrs.frozen(kw_only=True)
    class Settings(fields.Settings):
        entry: str = fields.default(kinds.Address(), "127.0.0.1:7800", "entry to ask")
        worker: str = fields.required(kinds.Name(), "name of the worker")
        ca: pathlib.Path | None = fields.optional(kinds.File(), "CA certificates, PEM")
"""

from typing import Generic, TypeVar, cast

import attrs

from papayaspar_settings import kinds

T = TypeVar("T")

METADATA_KEY = "papayaspar_setting"
VARIABLE_PREFIX = "PAPAYASPAR_"


@attrs.frozen
class Fault:
    """One thing that is wrong with the settings.

    :param name: field name of the setting.
    :param code: kind of fault: ``missing``, ``invalid`` or ``inconsistent``.
    :param detail: one sentence for a person.
    """

    name: str
    code: str
    detail: str

    def __str__(self) -> str:
        return f"{flag_of(self.name)} ({variable_of(self.name)}): {self.detail}"


@attrs.frozen
class Spec(Generic[T]):
    """How one setting is read.

    :param kind: reads its text.
    :param default: text used when it is left out, or ``None``.
    :param help: one line for a person.
    :param required: whether leaving it out is a fault.
    """

    kind: kinds.Kind[T]
    default: str | None
    help: str
    required: bool


@attrs.frozen
class Setting:
    """One setting of a class.

    :param name: name of the field.
    :param spec: how it is read.
    """

    name: str
    spec: Spec[object]

    @property
    def flag(self) -> str:
        """Its flag on the command line."""
        return flag_of(self.name)

    @property
    def variable(self) -> str:
        """Its environment variable."""
        return variable_of(self.name)


@attrs.frozen(kw_only=True)
class Settings:
    """Base of the settings of a program."""

    def faults(self) -> tuple[Fault, ...]:
        """Return what is wrong between settings that are each right alone.

        :return: the faults; none by default.
        """
        return ()


def default(kind: kinds.Kind[T], text: str, help_text: str) -> T:
    """Declare a setting that has a default.

    :param kind: reads its text.
    :param text: text of the default, in the form a person would give it.
    :param help_text: one line for a person.
    :return: the field for the class body.
    """
    return _field(Spec(kind, text, help_text, required=False))


def required(kind: kinds.Kind[T], help_text: str) -> T:
    """Declare a setting that must be given.

    :param kind: reads its text.
    :param help_text: one line for a person.
    :return: the field for the class body.
    """
    return _field(Spec(kind, None, help_text, required=True))


def optional(kind: kinds.Kind[T], help_text: str) -> T | None:
    """Declare a setting that is ``None`` when left out.

    :param kind: reads its text.
    :param help_text: one line for a person.
    :return: the field for the class body.
    """
    return _field(Spec(kind, None, help_text, required=False))


def settings_of(cls: type[Settings]) -> tuple[Setting, ...]:
    """Return the settings a class declares, in order.

    :param cls: the class.
    :return: its settings.
    """
    found: list[Setting] = []
    for field in attrs.fields(cls):
        spec = field.metadata.get(METADATA_KEY)
        if not isinstance(spec, Spec):
            continue
        found.append(Setting(field.name, spec))
    return tuple(found)


def flag_of(name: str) -> str:
    """Return the flag of a setting by its field name."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting by its field name."""
    return VARIABLE_PREFIX + name.upper()


def _field(spec: Spec[T]) -> T:
    if spec.required:
        return cast("T", attrs.field(metadata={METADATA_KEY: spec}))
    kind = spec.kind
    text = spec.default
    factory = attrs.Factory(lambda: None if text is None else kind.parse(text))
    return cast("T", attrs.field(default=factory, metadata={METADATA_KEY: spec}))
