"""Loopback proxies that delay, reset, silence or cut one way what passes them."""

import enum
import socket
import struct

import anyio
import attrs

CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """What a proxy does with what passes."""

    OPEN = "open"
    # Takes connections and resets them, also those that are open.
    RESET = "reset"
    # Passes nothing; connections that meet it stay silent for good.
    SILENT = "silent"
    # Loses answers only; connections that meet it never answer again.
    ONE_WAY = "one_way"
    # Passes all late.
    SLOW = "slow"


@attrs.define(eq=False)
class Proxy:
    """One address that stands before another.

    :param listen: host and port to listen on.
    :param target: host and port to pass on to.
    :param state: what happens to what passes.
    :param delay_s: how late things pass while slow.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    state: LinkState = LinkState.OPEN
    delay_s: float = 0.15
    _streams: set = attrs.field(factory=set)

    async def run(self):
        """Serve until cancelled."""
        host, port = self.listen
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        await listener.serve(self._serve)

    async def switch(self, state):
        """Change the state; a reset breaks open connections."""
        self.state = state
        if state is not LinkState.RESET:
            return
        for stream in list(self._streams):
            _break(stream)

    async def _serve(self, caller):
        try:
            async with caller, await anyio.connect_tcp(*self.target) as target:
                if self.state is LinkState.RESET:
                    _break(caller)
                    return
                self._streams.add(caller)
                async with anyio.create_task_group() as group:
                    group.start_soon(self._pump, caller, target, group.cancel_scope, False)
                    group.start_soon(self._pump, target, caller, group.cancel_scope, True)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # Either end is gone; the other sees its connection end.
            return
        finally:
            self._streams.discard(caller)

    async def _pump(self, source, sink, scope, is_answer):
        is_dead = False
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.state is LinkState.SLOW:
                    await anyio.sleep(self.delay_s)
                if self.state is LinkState.SILENT:
                    is_dead = True
                if self.state is LinkState.ONE_WAY and is_answer:
                    is_dead = True
                if not is_dead:
                    await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            scope.cancel()


def _break(stream):
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raw.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has closed meanwhile.
        return
