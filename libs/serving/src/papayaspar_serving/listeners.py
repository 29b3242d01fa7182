"""HTTP listeners."""

import errno
import socket
import ssl
from collections.abc import Awaitable, Callable

import attrs

from papayaspar_model import errors
from papayaspar_serving import limits, load_tables, loads, servers

BACKLOG = 1024
ALPN_PROTOCOL = "http/1.1"


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

    def context(self) -> ssl.SSLContext:
        """Return a TLS context for HTTP/1.1."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=self.authority)
        context.load_cert_chain(self.certificate, self.key)
        context.verify_mode = ssl.CERT_REQUIRED if self.authority else ssl.CERT_NONE
        context.set_alpn_protocols([ALPN_PROTOCOL])
        return context


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
    table: load_tables.LoadTable | None = None,
) -> None:
    """Serve an ASGI application on a bound socket.

    :param app: ASGI application.
    :param bound: socket from :func:`bind`; the server takes ownership and closes it.
    :param stop: function that returns when the server is to stop accepting connections.
    :param grace_s: longest time in seconds that requests in progress may take after that.
    :param tls: TLS files, or ``None`` for plain HTTP.
    :param table: loads of the connections, with their limits; by default, limits for a machine of
        2 GB.
    """
    if table is None:
        request_limits = limits.FixedRequestLimits(limits.DEFAULT_REQUESTS)
        table = load_tables.LoadTable(
            limits.ListenerLimits(), request_limits, loads.SilentObserver()
        )
    context = tls.context() if tls is not None else None
    await servers.HttpServer(app, bound, table, context).run(stop, grace_s)
