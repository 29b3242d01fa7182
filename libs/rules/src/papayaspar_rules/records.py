"""Encoding of revisions as records of the platform's log."""

import json
import math
from typing import cast

import attrs

from papayaspar_rules import faults

RECORD_MAX_BYTES = 16 * 1024 * 1024


@attrs.frozen
class RevisionRecord:
    """One revision as stored on the log or forwarded by a peer.

    :param revision: its number, one above its parent's.
    :param parent: number of the revision it is based on.
    :param publish_id: identifier of this publish, chosen by the publisher.
    :param author: name of the publisher.
    :param text: the rules, or the changes from the parent's rules.
    :param published_wall_s: time of the publish, in seconds since the Unix epoch; only for
        display.
    :param reappended: whether the record repeats the head for readers that start later.
    :param is_change: whether the text holds changes as returned by
        ``rule_tables.RuleTable.format_changes_to``.
    :param as_of_offset: for a repeated head, the offset up to which its writer had read the log;
        the revision was the head after all records before it.
    """

    revision: int
    parent: int
    publish_id: str
    author: str
    text: str
    published_wall_s: float
    reappended: bool = False
    is_change: bool = False
    as_of_offset: int = 0


def encode(record: RevisionRecord) -> bytes:
    """Encode a record.

    :param record: the record.
    :return: JSON in ASCII.
    """
    return json.dumps(attrs.asdict(record), separators=(",", ":")).encode("ascii")


def decode(data: bytes) -> RevisionRecord:
    """Decode a record; fields of later versions are ignored.

    :param data: bytes from the log or a peer.
    :return: the record.
    :raises InvalidRecordError: if the bytes are not a record.
    """
    if len(data) > RECORD_MAX_BYTES:
        raise faults.InvalidRecordError(f"longer than {RECORD_MAX_BYTES} bytes")
    try:
        content = json.loads(data)
    except (ValueError, RecursionError):
        raise faults.InvalidRecordError("not JSON") from None
    if not isinstance(content, dict):
        raise faults.InvalidRecordError("not a JSON object")
    fields = cast("dict[str, object]", content)
    return RevisionRecord(
        revision=_number(fields, "revision"),
        parent=_number(fields, "parent"),
        publish_id=_text(fields, "publish_id"),
        author=_text(fields, "author"),
        text=_text(fields, "text"),
        published_wall_s=_seconds(fields, "published_wall_s"),
        reappended=_flag(fields, "reappended"),
        is_change=_flag(fields, "is_change"),
        as_of_offset=_number(fields, "as_of_offset"),
    )


def _number(fields: dict[str, object], name: str) -> int:
    value = fields.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise faults.InvalidRecordError("not a non-negative integer", field=name)
    return value


def _text(fields: dict[str, object], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str):
        raise faults.InvalidRecordError("not a string", field=name)
    return value


def _seconds(fields: dict[str, object], name: str) -> float:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise faults.InvalidRecordError("not a number of seconds", field=name)
    try:
        seconds = float(value)
    except OverflowError:
        raise faults.InvalidRecordError("not a number of seconds", field=name) from None
    if not math.isfinite(seconds):
        raise faults.InvalidRecordError("not a number of seconds", field=name)
    return seconds


def _flag(fields: dict[str, object], name: str) -> bool:
    value = fields.get(name)
    if not isinstance(value, bool):
        raise faults.InvalidRecordError("not a boolean", field=name)
    return value
