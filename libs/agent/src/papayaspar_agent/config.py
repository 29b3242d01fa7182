"""What an agent needs to know at start."""

import attrs

from papayaspar_model import workers
from papayaspar_wire import transports


@attrs.frozen
class AgentConfig:
    """Checked settings of one agent.

    :param worker: name of the worker.
    :param rack: its rack.
    :param data_centre: its data centre.
    :param region: its region.
    :param incarnation: grows with each start; wall clock milliseconds by default.
    :param entries: entries to announce the worker to.
    :param listen: where other agents reach this one.
    :param advertise: address told to other agents, if not the listening one.
    :param target: where the target listens.
    :param runtime: where the worker runtime listens.
    :param capacity: what the worker can hold.
    :param grace_s: longest wait for requests in progress at a shutdown.
    :param metrics: where metrics are served over HTTP, or ``None``.
    :param tls: files for mutual TLS on the streams, or ``None``.
    """

    worker: str
    rack: str
    data_centre: str
    region: str
    incarnation: int
    entries: tuple[transports.Address, ...]
    target: transports.Address
    runtime: transports.Address | None = None
    listen: transports.Address = transports.Address("127.0.0.1", 0)
    advertise: transports.Address | None = None
    capacity: workers.Capacity = workers.Capacity()
    grace_s: float = 60.0
    metrics: transports.Address | None = None
    tls: transports.TlsFiles | None = None

    @property
    def identity(self) -> workers.WorkerIdentity:
        """Identity of the worker in this life of its agent."""
        return workers.WorkerIdentity(
            self.worker, self.incarnation, self.rack, self.data_centre, self.region
        )
