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
# A complete message and the bytes that follow it in the same read.
BUFFER_MAX_BYTES = MESSAGE_MAX_BYTES + 128 * 1024
INTEGER_MAX = 2**63 - 1
# Errors that values of other types or of extreme size cause when they are structured.
STRUCTURE_ERRORS = (KeyError, TypeError, ValueError, OverflowError, RecursionError)


class FrameKind(enum.Enum):
    """Purpose of a frame."""

    CALL = "c"
    REPLY = "r"
    FAILURE = "f"
    NOTICE = "n"
    PING = "p"


@attrs.frozen
class Frame:
    """One message on a stream.

    :param kind: purpose of the frame.
    :param call_id: identifier that a call and its reply share; 0 for notices.
    :param stamp: time of the sender's hybrid clock; 0 for pings.
    :param message: typed message, or ``None`` for pings.
    """

    kind: FrameKind
    call_id: int
    stamp: int
    message: object | None = None


# Pings carry no data, not even a stamp, to keep the cost of thousands of idle streams low.
PING_BYTES = cast(bytes, msgpack.packb(FrameKind.PING.value))


class Codec:
    """Encodes and decodes frames whose messages are of registered types.

    :param message_types: ``attrs`` classes of all messages that may be sent.
    """

    def __init__(self, message_types: tuple[type, ...]) -> None:
        self._types = {message_type.__name__: message_type for message_type in message_types}
        self._converter = cattrs_msgpack.make_converter()

    def pack(self, frame: Frame) -> bytes:
        """Return the encoded form of a frame.

        :raises ProtocolError: if the message is of an unregistered type or too large.
        """
        name = type(frame.message).__name__ if frame.message is not None else ""
        if name and name not in self._types:
            raise errors.ProtocolError(f"message type {name} is not registered")
        body = self._converter.unstructure(frame.message)
        fields = [frame.kind.value, frame.call_id, frame.stamp, name, body]
        data = cast(bytes, msgpack.packb(fields))
        if len(data) > MESSAGE_MAX_BYTES:
            raise errors.ProtocolError(f"{name} is {len(data)} bytes, over {MESSAGE_MAX_BYTES}")
        return data

    def unpacker(self) -> msgpack.Unpacker:
        """Return a decoder with a bounded buffer for one stream."""
        return msgpack.Unpacker(max_buffer_size=BUFFER_MAX_BYTES, strict_map_key=False)

    def read(self, unpacker: msgpack.Unpacker, data: bytes) -> Iterator[Frame]:
        """Feed received bytes and yield the frames that are complete.

        :param unpacker: decoder of the stream.
        :param data: received bytes.
        :raises ProtocolError: if the data is not a sequence of frames, or a frame is too large.
        """
        try:
            unpacker.feed(data)
            decoded = list(unpacker)
        except (msgpack.UnpackException, ValueError, TypeError, RecursionError) as error:
            # TypeError: a map has a key that is not hashable.
            raise errors.ProtocolError(f"not msgpack: {type(error).__name__}") from error
        for fields in decoded:
            yield self.structure(fields)

    def structure(self, fields: object) -> Frame:
        """Return the frame that decoded fields describe.

        :raises ProtocolError: if the fields do not describe a frame.
        """
        if fields == FrameKind.PING.value:
            return Frame(FrameKind.PING, 0, 0)
        try:
            kind, call_id, stamp, name, body = cast(tuple[str, int, int, str, object], fields)
            _check_integer(call_id)
            _check_integer(stamp)
            frame_kind = FrameKind(kind)
            if not name:
                return Frame(frame_kind, call_id, stamp)
            message: object = self._converter.structure(body, self._types[name])
        except (cattrs.BaseValidationError, *STRUCTURE_ERRORS) as error:
            raise errors.ProtocolError(f"not a frame: {type(error).__name__}") from error
        return Frame(frame_kind, call_id, stamp, message)


def _check_integer(value: object) -> None:
    if not isinstance(value, int) or not 0 <= value <= INTEGER_MAX:
        raise errors.ProtocolError("an integer of a frame is out of range")
