"""Kinds of values of settings, with their parsing."""

import abc
import enum
import ipaddress
import math
import pathlib
from typing import Generic, TypeVar

import attrs

from papayaspar_model import errors, identifiers

T = TypeVar("T")
E = TypeVar("E", bound=enum.Enum)

PORT_MAX = 65535
BOOLEANS = {"yes": True, "true": True, "1": True, "no": False, "false": False, "0": False}


class InvalidValueError(errors.SettingsError):
    """A value is not valid for the kind of its setting."""

    code = "setting_invalid"
    title = "The value is not valid"


class Kind(abc.ABC, Generic[T]):
    """Parser of one kind of value.

    :cvar placeholder: placeholder of the value in help texts.
    :cvar unit: unit of the value, or empty.
    """

    placeholder = "text"
    unit = ""

    @abc.abstractmethod
    def parse(self, text: str) -> T:
        """Parse a value.

        :param text: text of the flag or variable.
        :return: the value.
        :raises InvalidValueError: if the text is not of this kind.
        """


@attrs.frozen
class Text(Kind[str]):
    """A text that is not empty."""

    def parse(self, text: str) -> str:
        """Return the text without surrounding whitespace."""
        stripped = text.strip()
        if not stripped:
            raise InvalidValueError("is empty")
        return stripped


@attrs.frozen
class Name(Kind[str]):
    """A name of a worker, rack, data centre or team."""

    placeholder = "name"

    def parse(self, text: str) -> str:
        """Return the name."""
        if not identifiers.is_name(text):
            raise InvalidValueError(f"{text!r} is not a name (a-z, 0-9, '.', '_', '-')")
        return text


@attrs.frozen
class Address(Kind[str]):
    """An address ``ip:port`` with a numeric IP address.

    :param listening: whether port 0 is allowed, for which the operating system chooses a port.
    """

    listening: bool = False
    placeholder = "ip:port"

    def parse(self, text: str) -> str:
        """Return the address in canonical form."""
        host, separator, port_text = text.strip().rpartition(":")
        if not separator:
            raise InvalidValueError(f"{text!r} is not ip:port")
        is_bracketed = host.startswith("[") and host.endswith("]")
        try:
            address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
        except ValueError:
            raise InvalidValueError(f"{host!r} is not an IP address") from None
        if (address.version == 6) is not is_bracketed:
            raise InvalidValueError(
                f"{text!r} must have brackets around an IPv6 address and around no other"
            )
        if not (port_text.isascii() and port_text.isdigit()) or int(port_text) > PORT_MAX:
            raise InvalidValueError(f"{port_text!r} is not a port")
        port = int(port_text)
        if port == 0 and not self.listening:
            raise InvalidValueError("port 0 is not valid for a connection")
        return f"[{address}]:{port}" if is_bracketed else f"{address}:{port}"


@attrs.frozen
class Addresses(Kind[tuple[str, ...]]):
    """Addresses separated by commas.

    :param allow_empty: whether an empty list is allowed.
    """

    allow_empty: bool = False
    placeholder = "ip:port,…"

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the addresses in the order given."""
        if not text.strip():
            if self.allow_empty:
                return ()
            raise InvalidValueError("is empty")
        kind = Address()
        addresses: list[str] = []
        for part in text.split(","):
            address = kind.parse(part)
            if address in addresses:
                raise InvalidValueError(f"{address} is listed twice")
            addresses.append(address)
        return tuple(addresses)


@attrs.frozen
class Integer(Kind[int]):
    """An integer within bounds.

    :param minimum: smallest allowed number, or ``None``.
    :param maximum: largest allowed number, or ``None``.
    :param unit: unit of the number.
    """

    minimum: int | None = 0
    maximum: int | None = None
    unit: str = ""
    placeholder = "n"

    def parse(self, text: str) -> int:
        """Return the number."""
        try:
            value = int(text)
        except ValueError:
            raise InvalidValueError(f"{text!r} is not an integer") from None
        _check_bounds(value, self.minimum, self.maximum)
        return value


@attrs.frozen
class Seconds(Kind[float]):
    """A number of seconds within bounds.

    :param minimum: smallest allowed number, in seconds.
    :param maximum: largest allowed number, in seconds, or ``None``.
    """

    minimum: float = 0.0
    maximum: float | None = None
    placeholder = "seconds"
    unit = "s"

    def parse(self, text: str) -> float:
        """Return the number of seconds."""
        try:
            value = float(text)
        except ValueError:
            raise InvalidValueError(f"{text!r} is not a number of seconds") from None
        if not math.isfinite(value):
            raise InvalidValueError(f"{text!r} is not finite")
        _check_bounds(value, self.minimum, self.maximum)
        return value


@attrs.frozen
class File(Kind[pathlib.Path]):
    """A file that is readable at startup, such as a certificate."""

    placeholder = "file"

    def parse(self, text: str) -> pathlib.Path:
        """Return the path."""
        path = pathlib.Path(text)
        try:
            with path.open("rb"):
                pass
        except (OSError, ValueError) as error:
            raise InvalidValueError(f"{text!r} can't be read: {error}") from None
        return path


@attrs.frozen
class Boolean(Kind[bool]):
    """Yes or no."""

    placeholder = "yes|no"

    def parse(self, text: str) -> bool:
        """Return whether the value is yes."""
        value = BOOLEANS.get(text.strip().lower())
        if value is None:
            raise InvalidValueError(f"{text!r} is neither yes nor no")
        return value


@attrs.frozen
class Choice(Kind[E], Generic[E]):
    """One member of an enumeration, by its value.

    :param options: the enumeration; its values are strings.
    """

    options: type[E]

    @property
    def placeholder(self) -> str:  # type: ignore[override]
        """All values, separated by vertical bars."""
        return "|".join(str(option.value) for option in self.options)

    def parse(self, text: str) -> E:
        """Return the member."""
        for option in self.options:
            if option.value == text:
                return option
        raise InvalidValueError(f"{text!r} is not one of {self.placeholder}")


def _check_bounds(value: float, minimum: float | None, maximum: float | None) -> None:
    if minimum is not None and value < minimum:
        raise InvalidValueError(f"{value:g} is below {minimum:g}")
    if maximum is not None and value > maximum:
        raise InvalidValueError(f"{value:g} is above {maximum:g}")
