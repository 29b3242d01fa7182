"""Tests of listeners: sole ownership of their sockets."""

import socket

import anyio
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
