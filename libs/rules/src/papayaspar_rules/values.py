"""Types of the values of rules, with their parsing and formatting."""

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


class ValueType(abc.ABC, Generic[T]):
    """Parser and formatter of one type of value."""

    @abc.abstractmethod
    def parse(self, text: str) -> T:
        """Parse a value.

        :param text: the text after the equals sign.
        :return: the value.
        :raises InvalidValueError: if the text is not of this type, or out of range.
        """

    @abc.abstractmethod
    def format(self, value: T) -> str:
        """Return the canonical text of a value."""


@attrs.frozen
class Name(ValueType[str]):
    """A name of a team or data centre."""

    def parse(self, text: str) -> str:
        """Return the name."""
        if not identifiers.is_name(text):
            raise faults.InvalidValueError("value_invalid", f"{text!r} is not a name")
        return text

    def format(self, value: str) -> str:
        """Return the name."""
        return value


@attrs.frozen
class Choice(ValueType[E], Generic[E]):
    """One member of an enumeration.

    :param options: the enumeration; its values are strings.
    """

    options: type[E]

    def parse(self, text: str) -> E:
        """Return the member."""
        for option in self.options:
            if option.value == text:
                return option
        allowed = ", ".join(str(option.value) for option in self.options)
        raise faults.InvalidValueError("value_invalid", f"{text!r} is not one of {allowed}")

    def format(self, value: E) -> str:
        """Return the value of the member."""
        return str(value.value)


@attrs.frozen
class Count(ValueType[int]):
    """An integer without unit.

    :param minimum: smallest allowed number.
    :param maximum: largest allowed number.
    """

    minimum: int
    maximum: int

    def parse(self, text: str) -> int:
        """Return the number."""
        number = _parse_number(text, "")
        if number != number.to_integral_value():
            raise faults.InvalidValueError("value_invalid", f"{text!r} is not an integer")
        _check_range(text, number, self.minimum, self.maximum)
        return int(number)

    def format(self, value: int) -> str:
        """Return the digits."""
        return str(value)


@attrs.frozen
class Percentage(ValueType[float]):
    """A percentage, stored as a ratio.

    :param maximum_ratio: largest allowed ratio.
    """

    maximum_ratio: int = 1

    def parse(self, text: str) -> float:
        """Return the ratio."""
        ratio = _parse_number(text, "%") / PERCENT
        _check_range(text, ratio, 0, self.maximum_ratio)
        return float(ratio)

    def format(self, value: float) -> str:
        """Return the ratio in percent."""
        return _format_decimal(decimal.Decimal(repr(value)) * PERCENT) + "%"


@attrs.frozen
class Rate(ValueType[float]):
    """A rate per second.

    :param maximum_per_s: largest allowed rate.
    """

    maximum_per_s: int

    def parse(self, text: str) -> float:
        """Return the rate."""
        rate = _parse_number(text, "/s")
        _check_range(text, rate, 0, self.maximum_per_s)
        return float(rate)

    def format(self, value: float) -> str:
        """Return the rate with its unit."""
        return _format_decimal(decimal.Decimal(repr(value))) + "/s"


def _parse_number(text: str, unit: str) -> decimal.Decimal:
    match = NUMBER_PATTERN.match(text)
    if match is None or len(match.group(1)) > NUMBER_MAX_CHARS:
        raise faults.InvalidValueError("value_invalid", f"{text!r} is not a number")
    digits, actual_unit = match.groups()
    if actual_unit == unit:
        return decimal.Decimal(digits)
    if not actual_unit:
        raise faults.InvalidValueError("unit_missing", f"{text!r} must have the unit {unit!r}")
    expected = f"{unit!r}" if unit else "no unit"
    raise faults.InvalidValueError(
        "unit_wrong", f"{text!r} has the unit {actual_unit!r}, expected {expected}"
    )


def _check_range(text: str, value: decimal.Decimal, minimum: int, maximum: int) -> None:
    if minimum <= value <= maximum:
        return
    raise faults.InvalidValueError(
        "out_of_range", f"{text!r} is not between {minimum} and {maximum}"
    )


def _format_decimal(value: decimal.Decimal) -> str:
    if value == value.to_integral_value():
        return format(value.quantize(decimal.Decimal(1)), "f")
    return format(value.normalize(), "f")
