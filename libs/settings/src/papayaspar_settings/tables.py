"""Descriptions of settings and exit codes, for help texts and documentation."""

import attrs

from papayaspar_settings import exits, fields


@attrs.frozen
class Row:
    """Description of one setting.

    :param flag: its flag.
    :param variable: its environment variable.
    :param value: placeholder of its value.
    :param default: its default as text, ``required`` or ``none``.
    :param unit: unit of the value, or empty.
    :param help: description, one line.
    """

    flag: str
    variable: str
    value: str
    default: str
    unit: str
    help: str


def describe(cls: type[fields.Settings]) -> tuple[Row, ...]:
    """Return one row for each setting of a class, in order.

    :param cls: class that declares the settings.
    :return: the rows.
    """
    rows: list[Row] = []
    for setting in fields.settings_of(cls):
        spec = setting.spec
        default = spec.default or "none"
        rows.append(
            Row(
                flag=setting.flag,
                variable=setting.variable,
                value=spec.kind.placeholder,
                default="required" if spec.required else default,
                unit=spec.kind.unit,
                help=spec.help,
            )
        )
    return tuple(rows)


def markdown(cls: type[fields.Settings]) -> str:
    """Return the settings of a class as a Markdown table.

    :param cls: class that declares the settings.
    :return: the table, which ends in a line feed.
    """
    lines = ["| flag | variable | default | unit | meaning |", "|---|---|---|---|---|"]
    for row in describe(cls):
        lines.append(
            f"| `{row.flag}` | `{row.variable}` | `{row.default}` | {row.unit} | {row.help} |"
        )
    return "\n".join(lines) + "\n"


def exit_codes() -> str:
    """Return the exit codes in one sentence."""
    parts = [f"{code.value} {meaning}" for code, meaning in exits.MEANINGS.items()]
    return "Exit codes: " + "; ".join(parts) + "."
