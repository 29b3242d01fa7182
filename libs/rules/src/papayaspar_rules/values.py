"""Kinds of values in a rule: how each is read, and how it is written."""

import abc
import decimal
import enum
import re
from typing import Generic, TypeVar

import attrs

from papayaspar_model import identifiers
from papayaspar_rules import faults

T = TypeVar("T")
E = TypeVar("E", bound=enum.Enum)

NUMBER_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(.*)\Z", re.ASCII | re.DOTALL)
NUMBER_MAX_CHARS = 24
PERCENT = decimal.Decimal(100)


class Value(abc.ABC, Generic[T]):
    """How one kind of value is read and written."""

    @abc.abstractmethod
    def read(self, text: str) -> T:
        """Read a value.

        :param text: the text after the equals sign.
        :return: the value.
        :raises InvalidValueError: if the text is not of this kind, or out of range.
        """

    @abc.abstractmethod
    def write(self, value: T) -> str:
        """Return the canonical text of a value."""


@attrs.frozen
class Name(Value[str]):
    """A name of a team or data centre."""

    def read(self, text: str) -> str:
        """Return the name."""
        if not identifiers.is_name(text):
            raise faults.InvalidValueError("value_invalid", f"{text!r} is not a name")
        return text

    def write(self, value: str) -> str:
        """Return the name."""
        return value


@attrs.frozen
class Choice(Value[E], Generic[E]):
    """One member of an enumeration.

    :param options: the enumeration; its values are texts.
    """

    options: type[E]

    def read(self, text: str) -> E:
        """Return the member."""
        for option in self.options:
            if option.value == text:
                return option
        known = ", ".join(str(option.value) for option in self.options)
        raise faults.InvalidValueError("value_invalid", f"{text!r} is none of {known}")

    def write(self, value: E) -> str:
        """Return the value of the member."""
        return str(value.value)


@attrs.frozen
class Count(Value[int]):
    """A whole number without unit.

    :param minimum: smallest allowed.
    :param maximum: largest allowed.
    """

    minimum: int
    maximum: int

    def read(self, text: str) -> int:
        """Return the number."""
        number = _read_number(text, "")
        if number != number.to_integral_value():
            raise faults.InvalidValueError("value_invalid", f"{text!r} is not a whole number")
        _check_range(text, number, self.minimum, self.maximum)
        return int(number)

    def write(self, value: int) -> str:
        """Return the digits."""
        return str(value)


@attrs.frozen
class Share(Value[float]):
    """A share in percent, kept as a ratio.

    :param maximum_ratio: largest allowed ratio.
    """

    maximum_ratio: int = 1

    def read(self, text: str) -> float:
        """Return the ratio."""
        ratio = _read_number(text, "%") / PERCENT
        _check_range(text, ratio, 0, self.maximum_ratio)
        return float(ratio)

    def write(self, value: float) -> str:
        """Return the share in percent."""
        return _decimal_text(decimal.Decimal(repr(value)) * PERCENT) + "%"


@attrs.frozen
class Rate(Value[float]):
    """A rate per second.

    :param maximum_per_s: largest allowed rate.
    """

    maximum_per_s: int

    def read(self, text: str) -> float:
        """Return the rate."""
        rate = _read_number(text, "/s")
        _check_range(text, rate, 0, self.maximum_per_s)
        return float(rate)

    def write(self, value: float) -> str:
        """Return the rate with its unit."""
        return _decimal_text(decimal.Decimal(repr(value))) + "/s"


def _read_number(text: str, unit: str) -> decimal.Decimal:
    match = NUMBER_PATTERN.match(text)
    if match is None or len(match.group(1)) > NUMBER_MAX_CHARS:
        raise faults.InvalidValueError("value_invalid", f"{text!r} is not a number")
    digits, found = match.groups()
    if found == unit:
        return decimal.Decimal(digits)
    if not found:
        raise faults.InvalidValueError("unit_missing", f"{text!r} lacks its unit {unit!r}")
    wanted = f"{unit!r}" if unit else "no unit"
    raise faults.InvalidValueError("unit_wrong", f"{text!r} has {found!r}, wanted {wanted}")


def _check_range(text: str, value: decimal.Decimal, minimum: int, maximum: int) -> None:
    if minimum <= value <= maximum:
        return
    raise faults.InvalidValueError(
        "out_of_range", f"{text!r} is not within {minimum} and {maximum}"
    )


def _decimal_text(value: decimal.Decimal) -> str:
    if value == value.to_integral_value():
        return format(value.quantize(decimal.Decimal(1)), "f")
    return format(value.normalize(), "f")
