"""Settings of the entry: command-line flags and environment variables."""

import pathlib

import attrs

from papayaspar_entry import config
from papayaspar_serving import listeners
from papayaspar_settings import fields, kinds
from papayaspar_wire import transports


@attrs.frozen(kw_only=True)
class EntrySettings(fields.Settings):
    """Settings of ``papayaspar-entry``."""

    name: str = fields.required(kinds.Name(), "name of the process")
    data_centre: str = fields.required(kinds.Name(), "its data centre")
    callers: str = fields.default(kinds.Address(), "127.0.0.1:7800", "listen address for callers")
    operators: str = fields.default(
        kinds.Address(), "127.0.0.1:7801", "listen address for operators"
    )
    listen: str = fields.default(
        kinds.Address(), "127.0.0.1:7802", "listen address for agents and entries"
    )
    advertise: str | None = fields.optional(
        kinds.Address(), "address advertised to agents and entries; the listen address if left out"
    )
    log: str = fields.required(kinds.Address(), "address of the platform's log service")
    peers: tuple[str, ...] = fields.default(
        kinds.Addresses(allow_empty=True), "", "addresses of other entries"
    )
    grace_s: float = fields.default(
        kinds.Seconds(minimum=0.0), "60", "longest wait for requests in progress at a shutdown"
    )
    unready_s: float = fields.default(
        kinds.Seconds(minimum=0.0, maximum=60.0),
        "1",
        "time between becoming unready and closing the listeners",
    )
    memory_mb: int = fields.default(
        kinds.Integer(minimum=64, unit="MiB"),
        "1024",
        "memory limit of the process, shared out to requests and connections",
    )
    fds_max: int = fields.default(
        kinds.Integer(minimum=256), "4096", "maximum number of descriptors of the process"
    )
    http_certificate: pathlib.Path | None = fields.optional(kinds.File(), "HTTP certificate, PEM")
    http_key: pathlib.Path | None = fields.optional(kinds.File(), "HTTP private key, PEM")
    tls_certificate: pathlib.Path | None = fields.optional(
        kinds.File(), "certificate of the streams, PEM"
    )
    tls_key: pathlib.Path | None = fields.optional(kinds.File(), "key of the streams, PEM")
    tls_authority: pathlib.Path | None = fields.optional(kinds.File(), "authority of peers, PEM")

    def faults(self) -> tuple[fields.Fault, ...]:
        """Return a fault for each incomplete set of TLS files."""
        tls_faults = []
        streams = (self.tls_certificate, self.tls_key, self.tls_authority)
        if any(streams) and not all(streams):
            tls_faults.append(
                fields.Fault(
                    "tls_certificate", "inconsistent", "TLS requires certificate, key and authority"
                )
            )
        if (self.http_certificate is None) != (self.http_key is None):
            tls_faults.append(
                fields.Fault(
                    "http_key", "inconsistent", "has to be given together with --http-certificate"
                )
            )
        return tuple(tls_faults)

    def config(self) -> config.EntryConfig:
        """Return the validated configuration of the entry."""
        http_tls = None
        if self.http_certificate is not None:
            http_tls = listeners.ServerTls(str(self.http_certificate), str(self.http_key))
        advertise = transports.Address.parse(self.advertise) if self.advertise else None
        return config.EntryConfig(
            name=self.name,
            data_centre=self.data_centre,
            callers=transports.Address.parse(self.callers),
            operators=transports.Address.parse(self.operators),
            listen=transports.Address.parse(self.listen),
            advertise=advertise,
            log=transports.Address.parse(self.log),
            peers=tuple(transports.Address.parse(text) for text in self.peers),
            grace_s=self.grace_s,
            unready_s=self.unready_s,
            memory_mb=self.memory_mb,
            fds_max=self.fds_max,
            http_tls=http_tls,
            stream_tls=transports.TlsFiles.of(
                self.tls_certificate, self.tls_key, self.tls_authority
            ),
        )
