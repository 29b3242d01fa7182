"""One stream to one peer: calls, notices, and pings that notice a silent connection."""

import abc
import contextlib
import math
import random
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from papayaspar_model import causality, errors
from papayaspar_wire import codecs, failures

READ_CHUNK_BYTES = 65_536


@attrs.frozen
class PeerLimits:
    """Limits on one stream.

    :param ping_interval_s: time between pings.
    :param silence_s: a stream on which nothing arrived for so long is given up.
    :param send_timeout_s: a peer that takes no bytes for so long is given up.
    :param concurrent_calls: calls of the peer in progress at once.
    """

    ping_interval_s: float = 1.0
    silence_s: float = 3.0
    send_timeout_s: float = 3.0
    concurrent_calls: int = 1024


class Handler(abc.ABC):
    """What a process does with a peer's messages."""

    @abc.abstractmethod
    async def call(self, peer: "Peer", message: object) -> object:
        """Answer a call; a :class:`papayaspar_model.errors.PapayasparError` travels back."""

    @abc.abstractmethod
    async def notice(self, peer: "Peer", message: object) -> None:
        """Take a message that wants no answer."""

    async def late(self, peer: "Peer", message: object) -> None:  # noqa: B027 - optional
        """Take a reply that nobody waits for any more, to be counted; it is dropped.

        Does nothing unless overridden.
        """


@attrs.define
class _PendingCall:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: object | None = None
    failure: errors.PapayasparError | None = None


class Peer:
    """A stream to another process, used by many tasks at once.

    :param stream: the open connection.
    :param codec: knows the messages.
    :param handler: answers the peer's calls.
    :param stamps: hybrid clock that messages carry on.
    :param limits: timeouts and bounds.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        codec: codecs.Codec,
        handler: Handler,
        stamps: causality.HybridClock,
        limits: PeerLimits | None = None,
    ) -> None:
        self._stream = stream
        self._codec = codec
        self._handler = handler
        self._stamps = stamps
        self._limits = limits or PeerLimits()
        self._send_lock = anyio.Lock()
        self._pending: dict[int, _PendingCall] = {}
        self._last_call_id = random.getrandbits(20)
        self._heard_s = anyio.current_time()
        self._calls_in_progress = 0
        self._scope: anyio.CancelScope | None = None
        self.is_open = True

    async def run(self) -> None:
        """Read until the stream ends or goes silent, then fail what is pending."""
        try:
            async with anyio.create_task_group() as group:
                self._scope = group.cancel_scope
                if not self.is_open:
                    return
                group.start_soon(self._keep_alive)
                await self._read(group)
                group.cancel_scope.cancel()
        except* (errors.PapayasparError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The stream has ended; whoever waits on it learns so from its pending calls.
            pass
        finally:
            self.is_open = False
            self._fail_pending()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def close(self) -> None:
        """End the stream; calls in progress fail as lost."""
        self.is_open = False
        if self._scope is not None:
            self._scope.cancel()

    async def call(self, message: object, timeout_s: float) -> object:
        """Send a message and wait for its reply.

        :param message: the call.
        :param timeout_s: how long to wait.
        :return: the peer's reply.
        :raises PapayasparError: the peer's refusal, or ``PeerError``, whose ``ran`` is ``no``
            only when nothing was sent.
        """
        if not self.is_open:
            raise errors.PeerError("the stream is closed")
        self._last_call_id += 1
        call_id = self._last_call_id
        pending = _PendingCall()
        self._pending[call_id] = pending
        try:
            await self._send(codecs.FrameKind.CALL, call_id, message)
            with anyio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            del self._pending[call_id]
        if pending.failure is not None:
            raise pending.failure
        if pending.reply is None:
            raise errors.PeerError("no reply in time", ran=errors.Ran.UNKNOWN)
        return pending.reply

    async def notify(self, message: object) -> None:
        """Send a message that wants no answer.

        :raises PeerError: when the stream is lost.
        """
        await self._send(codecs.FrameKind.NOTICE, 0, message)

    async def _send(self, kind: codecs.FrameKind, call_id: int, message: object) -> None:
        await self._write(
            self._codec.pack(codecs.Frame(kind, call_id, self._stamps.tick(), message))
        )

    async def _write(self, data: bytes) -> None:
        async with self._send_lock:
            if not self.is_open:
                raise errors.PeerError("the stream is closed")
            try:
                # A frame cut in the middle would garble the stream, so a caller that gives up
                # must not cancel it.
                with anyio.fail_after(self._limits.send_timeout_s, shield=True):
                    await self._stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as error:
                self.close()
                raise errors.PeerError("the stream broke", ran=errors.Ran.UNKNOWN) from error

    async def _read(self, group: anyio.abc.TaskGroup) -> None:
        unpacker = self._codec.unpacker()
        while True:
            try:
                data = await self._stream.receive(READ_CHUNK_BYTES)
            except anyio.EndOfStream:
                return
            self._heard_s = anyio.current_time()
            for frame in self._codec.read(unpacker, data):
                await self._take(group, frame)

    async def _take(self, group: anyio.abc.TaskGroup, frame: codecs.Frame) -> None:
        if frame.kind is codecs.FrameKind.PING:
            return
        self._stamps.observe(frame.stamp)
        if frame.kind is codecs.FrameKind.CALL:
            await self._take_call(group, frame)
            return
        if frame.kind is codecs.FrameKind.NOTICE:
            await self._handler.notice(self, frame.message)
            return
        pending = self._pending.get(frame.call_id)
        if pending is None:
            await self._handler.late(self, frame.message)
            return
        if isinstance(frame.message, failures.Failure):
            pending.failure = failures.to_error(frame.message)
        pending.reply = frame.message
        pending.done.set()

    async def _take_call(self, group: anyio.abc.TaskGroup, frame: codecs.Frame) -> None:
        if self._calls_in_progress >= self._limits.concurrent_calls:
            busy = failures.from_error(errors.BusyError("too many calls on one stream"))
            await self._send(codecs.FrameKind.FAILURE, frame.call_id, busy)
            return
        self._calls_in_progress += 1
        group.start_soon(self._answer, frame)

    async def _answer(self, frame: codecs.Frame) -> None:
        try:
            try:
                reply = await self._handler.call(self, frame.message)
                kind = codecs.FrameKind.REPLY
            except errors.PapayasparError as error:
                reply = failures.from_error(error)
                kind = codecs.FrameKind.FAILURE
            await self._send(kind, frame.call_id, reply)
        finally:
            self._calls_in_progress -= 1

    async def _keep_alive(self) -> None:
        while True:
            await anyio.sleep(self._limits.ping_interval_s)
            quiet_s = anyio.current_time() - self._heard_s
            if quiet_s > self._limits.silence_s:
                raise errors.PeerError(f"silent for {math.floor(quiet_s)} s")
            # Both ends ping, so neither needs an answer to know that the other lives.
            await self._write(codecs.PING_BYTES)

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            pending.failure = errors.PeerError("the stream was lost", ran=errors.Ran.UNKNOWN)
            pending.done.set()


@contextlib.asynccontextmanager
async def connected(
    stream: anyio.abc.ByteStream,
    codec: codecs.Codec,
    handler: Handler,
    stamps: causality.HybridClock,
    limits: PeerLimits | None = None,
) -> AsyncIterator[Peer]:
    """Run a peer while the body runs; the body is cancelled when the stream ends.

    Parameters are those of :class:`Peer`.

    :raises PapayasparError: what the body raised, not wrapped in a group.
    """
    failure: errors.PapayasparError | None = None
    peer = Peer(stream, codec, handler, stamps, limits)
    async with anyio.create_task_group() as group:
        group.start_soon(_run_then_cancel, peer, group.cancel_scope)
        try:
            yield peer
        except errors.PapayasparError as error:
            failure = error
        finally:
            peer.close()
    if failure is not None:
        raise failure


async def _run_then_cancel(peer: Peer, scope: anyio.CancelScope) -> None:
    await peer.run()
    scope.cancel()
