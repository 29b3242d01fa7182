"""What an entry needs to know at start."""

import attrs

from papayaspar_serving import listeners
from papayaspar_wire import transports


@attrs.frozen
class EntryConfig:
    """Checked settings of one entry.

    :param name: name of the process.
    :param data_centre: its data centre.
    :param callers: where callers reach it over HTTP.
    :param operators: where operators reach it over HTTP.
    :param listen: where agents and entries reach it.
    :param advertise: where agents and entries are told to reach it; ``listen`` when left out.
    :param log: address of the platform's log service.
    :param peers: other entries, if any are known at start.
    :param grace_s: longest wait for requests in progress at a shutdown.
    :param unready_s: time between turning unready and closing the listeners, so that the
        platform's balancer sees it first.
    :param http_tls: files for TLS on the HTTP listeners, or ``None``.
    :param stream_tls: files for mutual TLS on the streams, or ``None``.
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
    http_tls: listeners.ServerTls | None = None
    stream_tls: transports.TlsFiles | None = None
