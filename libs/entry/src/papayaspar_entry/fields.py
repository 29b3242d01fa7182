"""Validated reading of the fields of a JSON object; errors name the field at fault."""

import enum
import json
from typing import TypeVar, cast

from papayaspar_model import errors, identifiers

Choice = TypeVar("Choice", bound=enum.Enum)


class Fields:
    """The fields of one JSON object.

    :param body: JSON text.
    :raises InvalidRequestError: if the text is not a JSON object.
    """

    def __init__(self, body: bytes | bytearray) -> None:
        try:
            parsed = json.loads(body, parse_constant=self._reject_constant)
        except (ValueError, RecursionError) as error:
            raise errors.InvalidRequestError("the body is not JSON", field="body") from error
        if not isinstance(parsed, dict):
            raise errors.InvalidRequestError("the body is not a JSON object", field="body")
        self._values = cast(dict[str, object], parsed)
        self._unread = set(self._values)

    def name(self, field: str) -> str:
        """Return a required name."""
        value = self._read(field)
        if not isinstance(value, str) or not identifiers.is_name(value):
            raise errors.InvalidRequestError(f"{field} is not a name", field=field)
        return value

    def choice(self, field: str, kind: type[Choice], default: Choice) -> Choice:
        """Return a member of an enumeration."""
        value = self._read(field, default.value)
        try:
            return kind(value)
        except ValueError as error:
            allowed = ", ".join(str(member.value) for member in kind)
            raise errors.InvalidRequestError(
                f"{field} is not one of {allowed}", field=field
            ) from error

    def boolean(self, field: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._read(field, default)
        if not isinstance(value, bool):
            raise errors.InvalidRequestError(f"{field} is not true or false", field=field)
        return value

    def integer(self, field: str, minimum: int, maximum: int, default: int | None = None) -> int:
        """Return an integer within inclusive bounds; it is required if there is no default."""
        value = self._read(field, default)
        if not isinstance(value, int) or isinstance(value, bool):
            raise errors.InvalidRequestError(f"{field} is not an integer", field=field)
        if not minimum <= value <= maximum:
            raise errors.InvalidRequestError(
                f"{field} is not between {minimum} and {maximum}", field=field
            )
        return value

    def json_text(self, field: str) -> bytes:
        """Return any JSON value as compact text; ``null`` if the field is missing."""
        self._unread.discard(field)
        value = self._values.get(field)
        return json.dumps(value, separators=(",", ":")).encode()

    def finish(self) -> None:
        """Reject fields that were not read."""
        if not self._unread:
            return
        field = min(self._unread)
        raise errors.InvalidRequestError(f"unknown field {field[:60]}", field=field[:60])

    def _read(self, field: str, default: object = None) -> object:
        self._unread.discard(field)
        value = self._values.get(field, default)
        if value is None:
            raise errors.InvalidRequestError(f"{field} is missing", field=field)
        return value

    @staticmethod
    def _reject_constant(text: str) -> float:
        raise errors.InvalidRequestError(f"{text} is not valid JSON", field="body")
