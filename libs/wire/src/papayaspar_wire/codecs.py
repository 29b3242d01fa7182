"""Encoding of typed messages as msgpack maps."""

import enum
from collections.abc import Iterator
from typing import cast

import attrs
import cattrs
import msgpack
from cattrs.preconf import msgpack as cattrs_msgpack

from papayaspar_model import errors

MESSAGE_MAX_BYTES = 4 * 1024 * 1024
# A whole message and what came behind it in one read.
BUFFER_MAX_BYTES = MESSAGE_MAX_BYTES + 128 * 1024
NUMBER_MAX = 2**63 - 1


class FrameKind(enum.Enum):
    """What a frame is for."""

    CALL = "c"
    REPLY = "r"
    FAILURE = "f"
    NOTICE = "n"
    PING = "p"


@attrs.frozen
class Frame:
    """One message on a stream.

    :param kind: what it is for.
    :param call_id: ties a reply to its call; 0 for notices.
    :param stamp: the sender's hybrid clock; 0 in pings.
    :param message: the typed message, or ``None`` for pings.
    """

    kind: FrameKind
    call_id: int
    stamp: int
    message: object | None = None


# Pings carry nothing, not even a stamp, so that thousands of idle streams cost little.
PING_BYTES = cast(bytes, msgpack.packb(FrameKind.PING.value))


class Codec:
    """Packs and unpacks frames whose messages are of known types.

    :param message_types: every ``attrs`` class that may travel.
    """

    def __init__(self, message_types: tuple[type, ...]) -> None:
        self._types = {message_type.__name__: message_type for message_type in message_types}
        self._converter = cattrs_msgpack.make_converter()

    def pack(self, frame: Frame) -> bytes:
        """Return the bytes of a frame.

        :raises ProtocolError: when the message is of an unknown type or too large.
        """
        name = type(frame.message).__name__ if frame.message is not None else ""
        if name and name not in self._types:
            raise errors.ProtocolError(f"no message type {name}")
        body = self._converter.unstructure(frame.message)
        fields = [frame.kind.value, frame.call_id, frame.stamp, name, body]
        data = cast(bytes, msgpack.packb(fields))
        if len(data) > MESSAGE_MAX_BYTES:
            raise errors.ProtocolError(f"{name} is {len(data)} bytes, over {MESSAGE_MAX_BYTES}")
        return data

    def unpacker(self) -> msgpack.Unpacker:
        """Return a buffer for one stream, bounded in memory."""
        return msgpack.Unpacker(max_buffer_size=BUFFER_MAX_BYTES, strict_map_key=False)

    def read(self, unpacker: msgpack.Unpacker, data: bytes) -> Iterator[Frame]:
        """Return the frames that are whole once more bytes have arrived.

        :param unpacker: the buffer of the stream.
        :param data: the bytes.
        :raises ProtocolError: when they are no frames, or one is too large.
        """
        try:
            unpacker.feed(data)
            unpacked = list(unpacker)
        except (msgpack.UnpackException, ValueError) as error:
            raise errors.ProtocolError(f"not msgpack: {type(error).__name__}") from error
        for fields in unpacked:
            yield self.structure(fields)

    def structure(self, fields: object) -> Frame:
        """Return the frame that unpacked fields describe.

        :raises ProtocolError: when they describe none.
        """
        if fields == FrameKind.PING.value:
            return Frame(FrameKind.PING, 0, 0)
        try:
            kind, call_id, stamp, name, body = cast(tuple[str, int, int, str, object], fields)
            _check_number(call_id)
            _check_number(stamp)
            if not name:
                return Frame(FrameKind(kind), call_id, stamp)
            message: object = self._converter.structure(body, self._types[name])
        except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
            raise errors.ProtocolError(f"not a frame: {type(error).__name__}") from error
        return Frame(FrameKind(kind), call_id, stamp, message)


def _check_number(value: object) -> None:
    if not isinstance(value, int) or not 0 <= value <= NUMBER_MAX:
        raise errors.ProtocolError("a frame's number is out of range")
