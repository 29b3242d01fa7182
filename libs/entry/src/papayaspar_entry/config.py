"""Configuration of an entry."""

import attrs

from papayaspar_serving import listeners
from papayaspar_wire import transports


@attrs.frozen
class EntryConfig:
    """Validated configuration of one entry.

    :param name: name of the process.
    :param data_centre: data centre the process runs in.
    :param callers: listen address of the HTTP API for callers.
    :param operators: listen address of the HTTP API for operators.
    :param listen: listen address for streams from agents and other entries.
    :param advertise: address advertised to agents and other entries; defaults to ``listen``.
    :param log: address of the platform's log service.
    :param peers: addresses of other entries to connect to at start.
    :param grace_s: longest wait in seconds for requests in progress at a shutdown.
    :param unready_s: time in seconds between becoming unready and closing the listeners, in which
        the platform's load balancer removes this entry.
    :param memory_mb: memory limit of the process, in MiB, from which the HTTP listeners' limits are
        derived.
    :param fds_max: maximum number of descriptors of the process.
    :param http_tls: TLS files for the HTTP listeners, or ``None`` for plain HTTP.
    :param stream_tls: mutual TLS files for the streams, or ``None`` for plain TCP.
    """

    name: str
    data_centre: str
    callers: transports.Address
    operators: transports.Address
    listen: transports.Address
    log: transports.Address
    peers: tuple[transports.Address, ...] = ()
    advertise: transports.Address | None = None
    grace_s: float = 60.0
    unready_s: float = 1.0
    memory_mb: int = 1024
    fds_max: int = 4096
    http_tls: listeners.ServerTls | None = None
    stream_tls: transports.TlsFiles | None = None
