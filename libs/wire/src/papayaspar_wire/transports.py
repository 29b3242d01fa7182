"""TCP connections to IP addresses, with optional mutual TLS."""

import ipaddress
import pathlib
import ssl
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
from anyio.streams import tls as tls_streams

from papayaspar_model import errors

CONNECT_TIMEOUT_S = 3.0
PORT_MAX = 65_535
PORT_DIGITS_MAX = 5
# Number of characters of an invalid address that an error shows.
ADDRESS_SHOWN_MAX = 64


class AddressError(errors.PeerError):
    """A text is not an IP address and a port."""

    code = "address_invalid"
    title = "The address is not valid"


@attrs.frozen
class Address:
    """Address on which a process listens.

    :param host: IP address.
    :param port: TCP port; when listening, 0 selects a free port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address written as ``ip:port``.

        :raises AddressError: when the text is not an IP address and a port.
        """
        host, _, port = text.rpartition(":")
        if host.startswith("[") and host.endswith("]"):
            host = host[1:-1]
        if not (port.isascii() and port.isdecimal()) or len(port) > PORT_DIGITS_MAX:
            raise AddressError(f"not ip:port: {text[:ADDRESS_SHOWN_MAX]!r}")
        if int(port) > PORT_MAX:
            raise AddressError(f"the port is out of range: {text[:ADDRESS_SHOWN_MAX]!r}")
        try:
            ipaddress.ip_address(host)
        except ValueError as error:
            raise AddressError(f"not an IP address: {text[:ADDRESS_SHOWN_MAX]!r}") from error
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@attrs.frozen
class TlsFiles:
    """Files for mutual TLS on the streams.

    :param certificate: path of the certificate chain, PEM.
    :param key: path of its private key, PEM.
    :param authority: path of the certificate authority that signs peers, PEM.
    """

    certificate: str
    key: str
    authority: str

    @classmethod
    def of(
        cls,
        certificate: pathlib.Path | None,
        key: pathlib.Path | None,
        authority: pathlib.Path | None,
    ) -> "TlsFiles | None":
        """Return the files if all are given, else ``None``."""
        if certificate is None or key is None or authority is None:
            return None
        return cls(str(certificate), str(key), str(authority))

    def context(self, purpose: ssl.Purpose) -> ssl.SSLContext:
        """Return a TLS context that requires a certificate from the peer."""
        context = ssl.create_default_context(purpose, cafile=self.authority)
        context.load_cert_chain(self.certificate, self.key)
        context.verify_mode = ssl.CERT_REQUIRED
        return context


async def connect(address: Address, tls: TlsFiles | None = None) -> anyio.abc.ByteStream:
    """Open a stream to a peer.

    :param address: address on which the peer listens.
    :param tls: files for mutual TLS, or ``None`` for plain TCP.
    :raises PeerError: if no connection is established in time; nothing was sent.
    """
    context = tls.context(ssl.Purpose.SERVER_AUTH) if tls is not None else None
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            if context is None:
                return await anyio.connect_tcp(address.host, address.port)
            return await anyio.connect_tcp(
                address.host, address.port, ssl_context=context, tls_hostname=address.host
            )
    except (OSError, TimeoutError, ssl.SSLError) as error:
        raise errors.PeerError(f"no connection to {address}: {type(error).__name__}") from error


class Listener:
    """A bound listening socket.

    :param listener: socket, wrapped in TLS if configured.
    :param address: bound address, with the actual port.
    """

    def __init__(
        self, listener: anyio.abc.Listener[anyio.abc.ByteStream], address: Address
    ) -> None:
        self._listener = listener
        self.address = address

    async def serve(self, handle: Callable[[anyio.abc.ByteStream], Awaitable[None]]) -> None:
        """Run ``handle`` in a separate task for each connection, until cancelled."""
        await self._listener.serve(handle)

    async def aclose(self) -> None:
        """Stop listening."""
        await self._listener.aclose()


async def listen(address: Address, tls: TlsFiles | None = None) -> Listener:
    """Bind a listening socket.

    :param address: address to bind; port 0 selects a free port.
    :param tls: files for mutual TLS, or ``None`` for plain TCP.
    """
    tcp_listener = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
    port = tcp_listener.extra(anyio.abc.SocketAttribute.local_port)
    bound = Address(address.host, port)
    if tls is None:
        return Listener(tcp_listener, bound)
    context = tls.context(ssl.Purpose.CLIENT_AUTH)
    tls_listener = tls_streams.TLSListener(tcp_listener, context, standard_compatible=False)
    return Listener(tls_listener, bound)
