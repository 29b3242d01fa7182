"""Settings of the agent, as flags and environment variables."""

import pathlib
import time

import attrs

from papayaspar_agent import config
from papayaspar_model import workers
from papayaspar_settings import fields, kinds
from papayaspar_wire import transports

MILLISECONDS_PER_SECOND = 1000
GIBIBYTE = 1024**3


@attrs.frozen(kw_only=True)
class AgentSettings(fields.Settings):
    """Settings of the program ``papayaspar-agent``."""

    worker: str = fields.required(kinds.Name(), "name of the worker")
    rack: str = fields.required(kinds.Name(), "rack of the worker")
    data_centre: str = fields.required(kinds.Name(), "data centre of the rack")
    region: str = fields.default(kinds.Name(), "region-1", "region of the data centre")
    entries: tuple[str, ...] = fields.required(
        kinds.Addresses(), "addresses of the entries to register with"
    )
    listen: str = fields.default(
        kinds.Address(listening=True), "127.0.0.1:0", "listen address for other agents"
    )
    advertise: str | None = fields.optional(
        kinds.Address(), "address advertised to other agents; the listen address if left out"
    )
    target: str = fields.required(kinds.Address(), "address of the target")
    runtime: str | None = fields.optional(kinds.Address(), "address of the worker runtime")
    slots: int = fields.default(
        kinds.Integer(minimum=1, maximum=1024), "8", "requests that the target serves concurrently"
    )
    connections: int = fields.default(
        kinds.Integer(minimum=1, maximum=4096), "64", "maximum number of connections to the target"
    )
    accelerators: int = fields.default(
        kinds.Integer(minimum=0, maximum=64), "8", "accelerators of the worker"
    )
    memory_gib: int = fields.default(
        kinds.Integer(minimum=1, unit="GiB"), "256", "memory for tasks"
    )
    grace_s: float = fields.default(
        kinds.Seconds(minimum=0.0), "60", "longest wait for work in progress at a shutdown"
    )
    metrics: str | None = fields.optional(kinds.Address(), "listen address for metrics over HTTP")
    tls_certificate: pathlib.Path | None = fields.optional(kinds.File(), "certificate, PEM")
    tls_key: pathlib.Path | None = fields.optional(kinds.File(), "private key, PEM")
    tls_authority: pathlib.Path | None = fields.optional(kinds.File(), "authority of peers, PEM")

    def faults(self) -> tuple[fields.Fault, ...]:
        """Return a fault if only some of the TLS files are given."""
        files = (self.tls_certificate, self.tls_key, self.tls_authority)
        if all(files) or not any(files):
            return ()
        return (fields.Fault("tls_certificate", "inconsistent", "TLS requires all three files"),)

    def config(self) -> config.AgentConfig:
        """Return the configuration of the agent."""
        return config.AgentConfig(
            worker=self.worker,
            rack=self.rack,
            data_centre=self.data_centre,
            region=self.region,
            incarnation=time.time_ns() // (1_000_000_000 // MILLISECONDS_PER_SECOND),
            entries=tuple(transports.Address.parse(text) for text in self.entries),
            target=transports.Address.parse(self.target),
            runtime=transports.Address.parse(self.runtime) if self.runtime else None,
            listen=transports.Address.parse(self.listen),
            advertise=transports.Address.parse(self.advertise) if self.advertise else None,
            capacity=workers.Capacity(
                self.slots, self.connections, self.accelerators, self.memory_gib * GIBIBYTE
            ),
            grace_s=self.grace_s,
            metrics=transports.Address.parse(self.metrics) if self.metrics else None,
            tls=transports.TlsFiles.of(self.tls_certificate, self.tls_key, self.tls_authority),
        )
