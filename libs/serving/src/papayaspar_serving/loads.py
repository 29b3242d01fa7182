"""Load of one connection of a listener, and the causes for which connections are closed."""

import abc
import enum

import attrs

# Time without progress after which a client counts as stalled while memory is short, in seconds.
STALL_S = 1.0


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    HEADER = "header"
    BODY = "body"
    # The request is complete and may have run.
    ANSWER = "answer"
    CLOSING = "closing"


INCOMPLETE_PHASES = (Phase.HEADER, Phase.BODY)


class Cause(enum.Enum):
    """Limit because of which a connection is closed; the value is the code in logs and metrics."""

    CONNECTIONS = "connections_max"
    MEMORY = "requests_max_bytes"
    HEADER_SIZE = "header_max_bytes"
    BODY_SIZE = "body_max_bytes"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    READ_TIMEOUT = "read_timeout"


# Causes for which a connection is closed at once; what was not sent is dropped.
ABORTED_CAUSES = (Cause.CONNECTIONS, Cause.READ_TIMEOUT)


@attrs.define(eq=False)
class ConnectionLoad:
    """Load of one connection.

    :param address: address of the client.
    :param phase: what the connection is doing.
    :param phase_start_s: start of the phase, in seconds.
    :param progress_s: time of the client's last progress, in seconds.
    :param progress_bytes: bytes received since then.
    :param received_bytes: bytes received in this phase.
    :param held_bytes: estimated memory of the request and of the bytes that follow it.
    :param releasing_bytes: memory that a connection which is being closed has not released yet.
    :param unread_since_s: time since which the client has not read an answer, or ``None``.
    """

    address: str
    phase: Phase
    phase_start_s: float
    progress_s: float
    progress_bytes: int = 0
    received_bytes: int = 0
    held_bytes: int = 0
    releasing_bytes: int = 0
    unread_since_s: float | None = None

    def is_closable(self, now_s: float) -> bool:
        """Return whether the connection may be closed: no request runs whose answer is wanted."""
        if self.unread_since_s is not None:
            return self.is_stalled(now_s)
        return self.phase in INCOMPLETE_PHASES

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the client has made no progress for some time."""
        last_s = self.progress_s if self.unread_since_s is None else self.unread_since_s
        return now_s - last_s >= STALL_S


@attrs.frozen
class Closure:
    """Decision to close a connection.

    :param load: load of the connection.
    :param cause: limit that was reached.
    """

    load: ConnectionLoad
    cause: Cause


class Observer(abc.ABC):
    """Observer of the connections that are closed because of a limit."""

    @abc.abstractmethod
    def connection_closed(self, closure: Closure) -> None:
        """Record that a connection is closed; its load is as it was before."""

    @abc.abstractmethod
    def connection_refused(self, address: str) -> None:
        """Record that a new connection of a client was not accepted."""

    @abc.abstractmethod
    def accept_failed(self, error: OSError) -> None:
        """Record that the operating system could not accept a connection."""

    @abc.abstractmethod
    def connection_failed(self, address: str, error: Exception) -> None:
        """Record that an unexpected error ended a connection."""


class SilentObserver(Observer):
    """Records nothing."""

    def connection_closed(self, closure: Closure) -> None:
        """Do nothing."""

    def connection_refused(self, address: str) -> None:
        """Do nothing."""

    def accept_failed(self, error: OSError) -> None:
        """Do nothing."""

    def connection_failed(self, address: str, error: Exception) -> None:
        """Do nothing."""
