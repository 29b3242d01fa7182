"""HTTP listeners, served by hypercorn."""

import asyncio
import errno
import logging
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import cast

import attrs
import hypercorn.asyncio
import hypercorn.config
from hypercorn import typing as hypercorn_typing

from papayaspar_model import errors

BACKLOG = 1024
KEEP_ALIVE_S = 75.0
HEADERS_MAX_BYTES = 32 * 1024
# Iterations of the event loop for reading the requests of the connections accepted last; a server
# that closes regards a connection without a request as idle.
LAST_ACCEPTED_ITERATIONS = 10
LAST_ACCEPTED_INTERVAL_S = 0.001


class ListenError(errors.PapayasparError):
    """Binding a socket or listening on it failed."""

    code = "listen_failed"
    title = "The address can't be listened on"


@attrs.frozen
class ServerTls:
    """TLS files of a listener.

    :param certificate: path of the certificate chain, PEM.
    :param key: path of its private key, PEM.
    :param authority: path of the certificate authority that signs callers, or ``None`` to accept
        callers without a certificate.
    """

    certificate: str
    key: str
    authority: str | None = None


def bind(host: str, port: int) -> socket.socket:
    """Return a listening socket.

    :param host: IP address.
    :param port: TCP port; 0 selects a free port.
    :raises ListenError: if the address is in use or is not an address of this host.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    try:
        bound.bind((host, port))
        bound.listen(BACKLOG)
    except OSError as error:
        bound.close()
        error_name = errno.errorcode.get(error.errno or 0, "unknown")
        raise ListenError(f"{host}:{port}: {error_name}") from error
    return bound


async def serve(
    app: Callable[..., Awaitable[None]],
    bound: socket.socket,
    stop: Callable[[], Awaitable[None]],
    *,
    grace_s: float = 5.0,
    tls: ServerTls | None = None,
) -> None:
    """Serve an ASGI application on a bound socket.

    :param app: ASGI application.
    :param bound: socket from :func:`bind`; the server takes ownership and closes it.
    :param stop: function that returns when the server is to stop accepting connections.
    :param grace_s: longest time in seconds that requests in progress may take after that.
    :param tls: TLS files, or ``None`` for plain HTTP.
    """
    settings = hypercorn.config.Config()
    # The server owns and closes the descriptor. With a second owner, the descriptor would be
    # closed twice, and the second close would hit whichever file has reused its number.
    descriptor = bound.detach()
    settings.bind = [f"fd://{descriptor}"]
    settings.graceful_timeout = grace_s
    settings.shutdown_timeout = grace_s
    settings.keep_alive_timeout = KEEP_ALIVE_S
    settings.h11_max_incomplete_size = HEADERS_MAX_BYTES
    settings.accesslog = None
    settings.errorlog = logging.getLogger("hypercorn.silent")
    logging.getLogger("hypercorn.silent").setLevel(logging.CRITICAL)
    if tls is not None:
        settings.certfile = tls.certificate
        settings.keyfile = tls.key
        settings.ca_certs = tls.authority
        settings.verify_mode = ssl.CERT_REQUIRED if tls.authority else None

    async def stop_accepting() -> None:
        await stop()
        await _stop_accepting(descriptor)

    framework = cast(hypercorn_typing.ASGIFramework, app)
    await hypercorn.asyncio.serve(framework, settings, shutdown_trigger=stop_accepting, mode="asgi")


async def _stop_accepting(descriptor: int) -> None:
    """Accept no more connections, and wait until the server knows the accepted ones.

    When it closes, the server waits only for the connections that it knows; others would be cut
    with the event loop.

    :param descriptor: descriptor of the listening socket.
    """
    asyncio.get_running_loop().remove_reader(descriptor)
    for _ in range(LAST_ACCEPTED_ITERATIONS):
        await asyncio.sleep(LAST_ACCEPTED_INTERVAL_S)
