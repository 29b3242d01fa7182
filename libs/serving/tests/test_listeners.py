"""Tests of listeners: sole ownership of their sockets, connections accepted while they close."""

import asyncio
import socket

import anyio
import anyio.lowlevel
import pytest

from papayaspar_serving import applications, listeners

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class EmptyApp(applications.Application):
    """Answers 200."""

    async def answer(self, request):
        return applications.Answer(200)


async def _stop_soon():
    await anyio.sleep(0.05)


async def test_closing_the_socket_of_a_stopped_server_closes_no_other_socket():
    """Guard against closing a descriptor twice, found by the soak with seed 22.

    With two owners of one descriptor, the second close hit the socket that had reused its number:
    an open connection of an entry was closed at SIGTERM.
    """
    bound = listeners.bind("127.0.0.1", 0)
    descriptor = bound.fileno()
    await listeners.serve(EmptyApp(), bound, _stop_soon, grace_s=0.1)
    sockets = [socket.socket() for _ in range(64)]
    reused = [opened for opened in sockets if opened.fileno() == descriptor]
    assert reused
    bound.close()
    assert reused[0].getsockname() == ("0.0.0.0", 0)
    for opened in sockets:
        opened.close()


@pytest.mark.parametrize("steps", range(6))
async def test_connection_accepted_while_the_listener_closes_is_served(steps):
    """Guard against a connection that the closing server does not know, found by the soak.

    The server stopped without it: its request got no answer, and its task was cancelled with the
    event loop, which asyncio logs as an unhandled exception.
    """
    bound = listeners.bind("127.0.0.1", 0)
    address = bound.getsockname()
    client = socket.socket()
    other_tasks = asyncio.all_tasks()

    async def connect_then_stop():
        await anyio.sleep(0.05)
        client.connect(address)
        client.sendall(b"GET / HTTP/1.1\r\nhost: entry\r\n\r\n")
        for _ in range(steps):
            await anyio.lowlevel.checkpoint()

    await listeners.serve(EmptyApp(), bound, connect_then_stop, grace_s=5.0)
    assert not asyncio.all_tasks() - other_tasks
    client.setblocking(False)
    try:
        received = client.recv(1024)
    except ConnectionResetError:
        # The server closed before it accepted the connection, so the request did not run.
        received = b"HTTP/1.1 200"
    client.close()
    assert received.startswith(b"HTTP/1.1 200")
