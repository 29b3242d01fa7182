"""Limits of a listener: on single requests, and on all its connections together."""

import abc

import attrs

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
# Estimated memory of a connection without a request, in bytes.
CONNECTION_BYTES = 24 * KIBIBYTE
# Shares of a machine's memory: the rest is for the program and its state.
REQUESTS_MEMORY_RATIO = 1 / 8
CONNECTIONS_MEMORY_RATIO = 3 / 16
# Descriptors that remain for files, and the share of the others that one listener may use: the rest
# is for connections to other processes.
RESERVED_FDS = 200
CONNECTIONS_FDS_RATIO = 3 / 4
CONNECTIONS_MIN = 16


@attrs.frozen
class RequestLimits:
    """Limits on a single request.

    :param header_max_bytes: maximum size of the request line and the header fields, in bytes.
    :param body_max_bytes: maximum size of the body, in bytes.
    :param header_timeout_s: timeout for receiving the header, from its first byte, in seconds.
    :param idle_timeout_s: time for which a connection may stay open without a request, in seconds.
    """

    header_max_bytes: int = 32 * KIBIBYTE
    body_max_bytes: int = 4 * MEBIBYTE
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class RequestLimitsSource(abc.ABC):
    """Source of the limits on requests, which may change while a listener is open."""

    @abc.abstractmethod
    def request_limits(self) -> RequestLimits:
        """Return the limits that apply now."""


class FixedRequestLimits(RequestLimitsSource):
    """Limits that never change.

    :param request_limits: the limits.
    """

    def __init__(self, request_limits: RequestLimits) -> None:
        self._request_limits = request_limits

    def request_limits(self) -> RequestLimits:
        """Return the limits."""
        return self._request_limits


DEFAULT_REQUESTS = RequestLimits()
# Limits on requests without bodies: readiness checks and metrics.
AUXILIARY_REQUESTS = RequestLimits(body_max_bytes=16 * KIBIBYTE)


@attrs.frozen
class ListenerLimits:
    """Limits on all connections of a listener together.

    :param connections_max: maximum number of open connections.
    :param requests_max_bytes: maximum memory of all requests that are being received or answered,
        in bytes.
    """

    connections_max: int = 4096
    requests_max_bytes: int = 256 * MEBIBYTE

    @classmethod
    def of_machine(cls, memory_mb: int, fds_max: int) -> "ListenerLimits":
        """Return the limits of a machine's main listener.

        :param memory_mb: memory limit of the process, in MiB.
        :param fds_max: maximum number of descriptors of the process.
        """
        memory_bytes = memory_mb * MEBIBYTE
        by_memory = int(memory_bytes * CONNECTIONS_MEMORY_RATIO) // CONNECTION_BYTES
        by_descriptors = int((fds_max - RESERVED_FDS) * CONNECTIONS_FDS_RATIO)
        return cls(
            max(CONNECTIONS_MIN, min(by_memory, by_descriptors)),
            int(memory_bytes * REQUESTS_MEMORY_RATIO),
        )


# Limits of the listener for operators.
OPERATORS_LISTENER = ListenerLimits(connections_max=64, requests_max_bytes=8 * MEBIBYTE)
# Limits of listeners for readiness checks and metrics.
AUXILIARY_LISTENER = ListenerLimits(connections_max=32, requests_max_bytes=MEBIBYTE)
