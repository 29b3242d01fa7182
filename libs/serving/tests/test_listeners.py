"""Listeners own their sockets alone."""

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


async def _stop_at_once():
    await anyio.sleep(0.05)


async def test_socket_of_a_server_that_has_ended_closes_no_other():
    """Found by the soak, seed 22: an entry's connection was closed under it at SIGTERM.

    Two owners of one descriptor: the second closed what had got its number meanwhile.
    """
    bound = listeners.bind("127.0.0.1", 0)
    number = bound.fileno()
    await listeners.serve(EmptyApp(), bound, _stop_at_once, grace_s=0.1)
    others = [socket.socket() for _ in range(64)]
    reused = [other for other in others if other.fileno() == number]
    assert reused
    bound.close()
    assert reused[0].getsockname() == ("0.0.0.0", 0)
    for other in others:
        other.close()
