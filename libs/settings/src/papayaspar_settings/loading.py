"""Loading of settings: a flag overrides its variable, and all faults are reported together."""

from collections.abc import Mapping
from typing import TypeVar

from papayaspar_model import errors
from papayaspar_settings import fields, kinds

S = TypeVar("S", bound=fields.Settings)


class InvalidSettingsError(errors.SettingsError):
    """The settings are rejected.

    :param faults: all faults.
    """

    def __init__(self, faults: tuple[fields.Fault, ...]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults), field=faults[0].name)
        self.faults = faults


def load(cls: type[S], flags: Mapping[str, str | None], environment: Mapping[str, str]) -> S:
    """Read and validate the settings of a program.

    An empty variable counts as not given.

    :param cls: class that declares the settings.
    :param flags: text of each flag by field name; ``None`` or absent if not given.
    :param environment: the environment variables.
    :return: the settings.
    :raises InvalidSettingsError: with every fault.
    """
    faults: list[fields.Fault] = []
    values: dict[str, object] = {}
    for setting in fields.settings_of(cls):
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(setting.variable) or None
        if text is None:
            if setting.spec.required:
                faults.append(fields.Fault(setting.name, "missing", "must be given"))
            continue
        try:
            values[setting.name] = setting.spec.kind.parse(text)
        except kinds.InvalidValueError as error:
            faults.append(fields.Fault(setting.name, "invalid", error.detail))
    if faults:
        raise InvalidSettingsError(tuple(faults))
    settings = cls(**values)
    contradictions = settings.faults()
    if contradictions:
        raise InvalidSettingsError(contradictions)
    return settings
