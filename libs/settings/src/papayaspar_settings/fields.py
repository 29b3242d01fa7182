"""Declaration of settings: each field of an ``attrs`` class is a flag and an environment variable.

A program declares its settings once::

    @attrs.frozen(kw_only=True)
    class Settings(fields.Settings):
        entry: str = fields.default(kinds.Address(), "127.0.0.1:7800", "address of an entry")
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
    """One fault in the settings.

    :param name: field name of the setting.
    :param code: code of the fault: ``missing``, ``invalid`` or ``inconsistent``.
    :param detail: description, one sentence.
    """

    name: str
    code: str
    detail: str

    def __str__(self) -> str:
        return f"{flag_of(self.name)} ({variable_of(self.name)}): {self.detail}"


@attrs.frozen
class Spec(Generic[T]):
    """Specification of one setting.

    :param kind: kind of its value.
    :param default: text of the value used when it is not given, or ``None``.
    :param help: description, one line.
    :param required: whether it must be given.
    """

    kind: kinds.Kind[T]
    default: str | None
    help: str
    required: bool


@attrs.frozen
class Setting:
    """One setting of a class.

    :param name: name of the field.
    :param spec: its specification.
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
    """Base class of the settings of a program."""

    def faults(self) -> tuple[Fault, ...]:
        """Return contradictions between settings that are valid individually.

        :return: the faults; none by default.
        """
        return ()


def default(kind: kinds.Kind[T], text: str, help_text: str) -> T:
    """Declare a setting that has a default.

    :param kind: kind of its value.
    :param text: text of the default, in the form of the flag.
    :param help_text: description, one line.
    :return: the field for the class body.
    """
    return _field(Spec(kind, text, help_text, required=False))


def required(kind: kinds.Kind[T], help_text: str) -> T:
    """Declare a setting that must be given.

    :param kind: kind of its value.
    :param help_text: description, one line.
    :return: the field for the class body.
    """
    return _field(Spec(kind, None, help_text, required=True))


def optional(kind: kinds.Kind[T], help_text: str) -> T | None:
    """Declare a setting that is ``None`` when not given.

    :param kind: kind of its value.
    :param help_text: description, one line.
    :return: the field for the class body.
    """
    return _field(Spec(kind, None, help_text, required=False))


def settings_of(cls: type[Settings]) -> tuple[Setting, ...]:
    """Return the settings that a class declares, in order.

    :param cls: the class.
    :return: its settings.
    """
    settings: list[Setting] = []
    for field in attrs.fields(cls):
        spec = field.metadata.get(METADATA_KEY)
        if not isinstance(spec, Spec):
            continue
        settings.append(Setting(field.name, spec))
    return tuple(settings)


def flag_of(name: str) -> str:
    """Return the flag of the setting with a field name."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of the setting with a field name."""
    return VARIABLE_PREFIX + name.upper()


def _field(spec: Spec[T]) -> T:
    if spec.required:
        return cast("T", attrs.field(metadata={METADATA_KEY: spec}))
    kind = spec.kind
    text = spec.default
    factory = attrs.Factory(lambda: None if text is None else kind.parse(text))
    return cast("T", attrs.field(default=factory, metadata={METADATA_KEY: spec}))
