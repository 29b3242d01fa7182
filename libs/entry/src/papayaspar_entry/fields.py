"""Checked reading of the fields of a JSON object; each fault names its field."""

import enum
import json
from typing import TypeVar, cast

from papayaspar_model import errors, identifiers

Choice = TypeVar("Choice", bound=enum.Enum)


class Fields:
    """The fields of one JSON object.

    :param body: JSON text.
    :raises InvalidRequestError: when it is no JSON object.
    """

    def __init__(self, body: bytes) -> None:
        try:
            parsed = json.loads(body, parse_constant=self._refuse_constant)
        except (ValueError, RecursionError) as error:
            raise errors.InvalidRequestError("the body is not JSON", field="body") from error
        if not isinstance(parsed, dict):
            raise errors.InvalidRequestError("the body is not a JSON object", field="body")
        self._values = cast(dict[str, object], parsed)
        self._unread = set(self._values)

    def name(self, field: str) -> str:
        """Return a required name."""
        value = self._take(field)
        if not isinstance(value, str) or not identifiers.is_name(value):
            raise errors.InvalidRequestError(f"{field} is not a name", field=field)
        return value

    def choice(self, field: str, kind: type[Choice], default: Choice) -> Choice:
        """Return one of an enumeration's values."""
        value = self._take(field, default.value)
        try:
            return kind(value)
        except ValueError as error:
            allowed = ", ".join(str(member.value) for member in kind)
            raise errors.InvalidRequestError(
                f"{field} is none of {allowed}", field=field
            ) from error

    def boolean(self, field: str, default: bool) -> bool:
        """Return true or false."""
        value = self._take(field, default)
        if not isinstance(value, bool):
            raise errors.InvalidRequestError(f"{field} is not true or false", field=field)
        return value

    def integer(self, field: str, least: int, most: int, default: int | None = None) -> int:
        """Return a whole number within bounds; required when there is no default."""
        value = self._take(field, default)
        if not isinstance(value, int) or isinstance(value, bool):
            raise errors.InvalidRequestError(f"{field} is not a whole number", field=field)
        if not least <= value <= most:
            raise errors.InvalidRequestError(
                f"{field} is not between {least} and {most}", field=field
            )
        return value

    def json_text(self, field: str) -> bytes:
        """Return any JSON value as compact text; null when left out."""
        self._unread.discard(field)
        value = self._values.get(field)
        return json.dumps(value, separators=(",", ":")).encode()

    def finish(self) -> None:
        """Refuse fields that nobody read."""
        if not self._unread:
            return
        field = min(self._unread)
        raise errors.InvalidRequestError(f"unknown field {field[:60]}", field=field[:60])

    def _take(self, field: str, default: object = None) -> object:
        self._unread.discard(field)
        value = self._values.get(field, default)
        if value is None:
            raise errors.InvalidRequestError(f"{field} is missing", field=field)
        return value

    @staticmethod
    def _refuse_constant(text: str) -> float:
        raise errors.InvalidRequestError(f"{text} is not JSON", field="body")
