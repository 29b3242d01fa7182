"""Loopback TCP proxies that can delay, drop or reset traffic."""

import enum
import socket
import struct

import anyio
import attrs

CHUNK_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """How a proxy treats its connections."""

    OPEN = "open"
    # Accepts connections and resets them; open connections are reset too.
    RESET = "reset"
    # Drops all data, and keeps dropping it on connections that lost data in this state.
    SILENT = "silent"
    # Drops responses only, and keeps dropping them on connections that lost one in this state.
    ONE_WAY = "one_way"
    # Delays all data.
    SLOW = "slow"


@attrs.define(eq=False)
class Proxy:
    """A proxy from one address to another.

    :param listen: host and port to listen on.
    :param target: host and port to forward to.
    :param state: how connections are treated.
    :param delay_s: delay of each chunk of data in state ``SLOW``, in seconds.
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
        """Change the state; ``RESET`` also resets the open connections."""
        self.state = state
        if state is not LinkState.RESET:
            return
        for stream in list(self._streams):
            _reset(stream)

    async def _serve(self, caller):
        try:
            async with caller, await anyio.connect_tcp(*self.target) as target:
                if self.state is LinkState.RESET:
                    _reset(caller)
                    return
                self._streams.add(caller)
                async with anyio.create_task_group() as group:
                    group.start_soon(self._pump, caller, target, group.cancel_scope, False)
                    group.start_soon(self._pump, target, caller, group.cancel_scope, True)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            # One side has closed; leaving the block closes the connection to the other.
            return
        finally:
            self._streams.discard(caller)

    async def _pump(self, source, sink, scope, is_response):
        is_dropping = False
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.state is LinkState.SLOW:
                    await anyio.sleep(self.delay_s)
                if self.state is LinkState.SILENT:
                    is_dropping = True
                if self.state is LinkState.ONE_WAY and is_response:
                    is_dropping = True
                if not is_dropping:
                    await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            scope.cancel()


def _reset(stream):
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    try:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        raw_socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The connection is already closed.
        return
