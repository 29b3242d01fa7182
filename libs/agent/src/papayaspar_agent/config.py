"""Configuration of an agent."""

import attrs

from papayaspar_model import workers
from papayaspar_wire import transports


@attrs.frozen
class AgentConfig:
    """Validated configuration of one agent.

    :param worker: name of the worker.
    :param rack: rack of the worker.
    :param data_centre: data centre of the rack.
    :param region: region of the data centre.
    :param incarnation: number that increases with each start of the agent; the settings use the
        wall clock in milliseconds.
    :param entries: addresses of the entries to register the worker with.
    :param listen: address on which the agent accepts connections of other agents.
    :param advertise: address that other agents connect to, if not the listening one.
    :param target: address of the target.
    :param runtime: address of the worker runtime, or ``None``.
    :param capacity: capacity of the worker.
    :param grace_s: maximum wait in seconds for requests in progress at a shutdown.
    :param metrics: address on which metrics are served over HTTP, or ``None``.
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
        """Identity of the worker with this incarnation of its agent."""
        return workers.WorkerIdentity(
            self.worker, self.incarnation, self.rack, self.data_centre, self.region
        )
