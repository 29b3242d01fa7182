"""One stream to one peer: calls, notices, and pings that detect a silent connection."""

import abc
import contextlib
import math
import random
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import attrs

from papayaspar_model import causality, errors, signals
from papayaspar_wire import codecs, failures

READ_CHUNK_BYTES = 65_536


@attrs.frozen
class PeerLimits:
    """Limits on one stream.

    :param ping_interval_s: time in seconds between pings.
    :param silence_timeout_s: time in seconds without received data before the stream is closed.
    :param send_timeout_s: longest time in seconds to write a frame before the stream is closed.
    :param concurrent_calls: maximum number of the peer's calls that run concurrently.
    """

    ping_interval_s: float = 1.0
    silence_timeout_s: float = 3.0
    send_timeout_s: float = 3.0
    concurrent_calls: int = 1024


class Handler(abc.ABC):
    """Handler of the messages that a peer sends."""

    @abc.abstractmethod
    async def handle_call(self, peer: "Peer", message: object) -> object:
        """Return the reply to a call; a raised ``PapayasparError`` is sent back as a failure."""

    @abc.abstractmethod
    async def handle_notice(self, peer: "Peer", message: object) -> None:
        """Handle a message that has no reply."""

    async def handle_late_reply(self, peer: "Peer", message: object) -> None:  # noqa: B027 - optional
        """Handle a reply that arrived after its call had ended; the reply is then dropped.

        Does nothing unless overridden.
        """


@attrs.define
class _PendingCall:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: object | None = None
    failure: errors.PapayasparError | None = None


class Peer:
    """A stream to another process, which many tasks may use concurrently.

    :param stream: open connection.
    :param codec: codec of the messages.
    :param handler: handler of the peer's messages.
    :param hybrid_clock: clock that stamps sent messages and observes received stamps.
    :param limits: timeouts and limits of the stream.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        codec: codecs.Codec,
        handler: Handler,
        hybrid_clock: causality.HybridClock,
        limits: PeerLimits | None = None,
    ) -> None:
        self._stream = stream
        self._codec = codec
        self._handler = handler
        self._hybrid_clock = hybrid_clock
        self._limits = limits or PeerLimits()
        self._send_lock = anyio.Lock()
        self._pending: dict[int, _PendingCall] = {}
        self._last_call_id = random.getrandbits(20)
        self._last_received_s = anyio.current_time()
        self._calls_in_progress = 0
        self._replies = signals.ChangeSignal()
        self._scope: anyio.CancelScope | None = None
        self.is_open = True

    async def run(self) -> None:
        """Read until the stream ends or becomes silent, then fail the pending calls."""
        try:
            async with anyio.create_task_group() as group:
                self._scope = group.cancel_scope
                if not self.is_open:
                    return
                group.start_soon(self._keep_alive)
                await self._read(group)
                group.cancel_scope.cancel()
        except* (errors.PapayasparError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The stream has ended; the pending calls fail below.
            pass
        finally:
            self.is_open = False
            self._fail_pending()
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(self._stream)

    def close(self) -> None:
        """Close the stream; pending calls fail with ``PeerError``."""
        self.is_open = False
        if self._scope is not None:
            self._scope.cancel()

    async def call(self, message: object, timeout_s: float) -> object:
        """Send a message and wait for its reply.

        :param message: call to send.
        :param timeout_s: longest wait for the reply in seconds.
        :return: reply of the peer.
        :raises PapayasparError: if the peer reports a failure; ``PeerError`` if the stream is lost,
            with a ``ran`` of ``no`` only if nothing was sent.
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
            raise errors.PeerError("no reply within the timeout", ran=errors.Ran.UNKNOWN)
        return pending.reply

    async def notify(self, message: object) -> None:
        """Send a message that has no reply.

        :raises PeerError: if the stream is lost.
        """
        await self._send(codecs.FrameKind.NOTICE, 0, message)

    async def wait_replied(self) -> None:
        """Wait until the reply to each received call has been sent, or the stream is closed."""
        seen_sequence = 0
        while self.is_open and self._calls_in_progress:
            seen_sequence = await self._replies.wait_for_change(seen_sequence)

    async def _send(self, kind: codecs.FrameKind, call_id: int, message: object) -> None:
        await self._write(
            self._codec.pack(codecs.Frame(kind, call_id, self._hybrid_clock.tick(), message))
        )

    async def _write(self, data: bytes) -> None:
        async with self._send_lock:
            if not self.is_open:
                raise errors.PeerError("the stream is closed")
            try:
                # A partly written frame would corrupt the stream, so cancellation of the caller
                # must not interrupt the write.
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
            self._last_received_s = anyio.current_time()
            for frame in self._codec.read(unpacker, data):
                await self._handle_frame(group, frame)

    async def _handle_frame(self, group: anyio.abc.TaskGroup, frame: codecs.Frame) -> None:
        if frame.kind is codecs.FrameKind.PING:
            return
        self._hybrid_clock.observe(frame.stamp)
        if frame.kind is codecs.FrameKind.CALL:
            await self._handle_call(group, frame)
            return
        if frame.kind is codecs.FrameKind.NOTICE:
            await self._handler.handle_notice(self, frame.message)
            return
        pending = self._pending.get(frame.call_id)
        if pending is None:
            await self._handler.handle_late_reply(self, frame.message)
            return
        if isinstance(frame.message, failures.Failure):
            pending.failure = failures.to_error(frame.message)
        pending.reply = frame.message
        pending.done.set()

    async def _handle_call(self, group: anyio.abc.TaskGroup, frame: codecs.Frame) -> None:
        if self._calls_in_progress >= self._limits.concurrent_calls:
            busy = failures.from_error(errors.BusyError("too many calls on one stream"))
            await self._send(codecs.FrameKind.FAILURE, frame.call_id, busy)
            return
        self._calls_in_progress += 1
        group.start_soon(self._reply, frame)

    async def _reply(self, frame: codecs.Frame) -> None:
        try:
            try:
                reply = await self._handler.handle_call(self, frame.message)
                kind = codecs.FrameKind.REPLY
            except errors.PapayasparError as error:
                reply = failures.from_error(error)
                kind = codecs.FrameKind.FAILURE
            await self._send(kind, frame.call_id, reply)
        finally:
            self._calls_in_progress -= 1
            self._replies.notify()

    async def _keep_alive(self) -> None:
        while True:
            await anyio.sleep(self._limits.ping_interval_s)
            silent_s = anyio.current_time() - self._last_received_s
            if silent_s > self._limits.silence_timeout_s:
                raise errors.PeerError(f"silent for {math.floor(silent_s)} s")
            # Both peers send pings, so neither needs replies to detect a failed peer.
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
    hybrid_clock: causality.HybridClock,
    limits: PeerLimits | None = None,
) -> AsyncIterator[Peer]:
    """Run a peer while the body runs; the body is cancelled when the stream ends.

    Parameters are those of :class:`Peer`.

    :raises PapayasparError: the error that the body raised, not wrapped in a group.
    """
    failure: errors.PapayasparError | None = None
    peer = Peer(stream, codec, handler, hybrid_clock, limits)
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
