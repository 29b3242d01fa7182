"""Events and metrics of a listener's limits."""

import errno

from papayaspar_events import journal, lines
from papayaspar_serving import limits, load_tables, loads

# Causes that are counted without a line: clients reach them without any fault.
SILENT_CAUSES = (loads.Cause.IDLE_TIMEOUT,)
ACCEPT_FAILED, UNEXPECTED_ERROR = "accept_failed", "unexpected_error"


class JournalObserver(loads.Observer):
    """Records the connections that are closed because of a limit.

    :param events: journal of the process.
    :param listener: name of the listener.
    """

    def __init__(self, events: journal.Journal, listener: str) -> None:
        self._events = events
        self._listener = listener

    def connection_closed(self, closure: loads.Closure) -> None:
        """Record a closed connection with its load."""
        load = closure.load
        if closure.cause in SILENT_CAUSES:
            kind = lines.EventKind.CONNECTION_CLOSED
            self._events.metrics.count_event(kind.value, closure.cause.value)
            return
        self._record(
            closure.cause.value,
            f"client={load.address} phase={load.phase.value} held_bytes={load.held_bytes}",
        )

    def connection_refused(self, address: str) -> None:
        """Record a connection that was not accepted."""
        self._record(loads.Cause.CONNECTIONS.value, f"client={address} phase=new")

    def accept_failed(self, error: OSError) -> None:
        """Record the error of the operating system."""
        self._record(ACCEPT_FAILED, f"error={errno.errorcode.get(error.errno or 0, 'unknown')}")

    def connection_failed(self, address: str, error: Exception) -> None:
        """Record the type and the text of an unexpected error."""
        self._record(UNEXPECTED_ERROR, f"client={address} error={type(error).__name__} {error}")

    def _record(self, code: str, detail: str) -> None:
        self._events.record(
            lines.EventKind.CONNECTION_CLOSED,
            code=code,
            detail=f"listener={self._listener} {detail}",
        )


def make_table(
    listener_limits: limits.ListenerLimits,
    request_limits: limits.RequestLimitsSource,
    events: journal.Journal,
    listener: str,
) -> load_tables.LoadTable:
    """Return the loads of a listener, which are shown in the metrics of the process.

    :param listener_limits: limits on all connections together.
    :param request_limits: source of the limits on single requests.
    :param events: journal of the process.
    :param listener: name of the listener.
    """
    observer = JournalObserver(events, listener)
    table = load_tables.LoadTable(listener_limits, request_limits, observer)
    events.metrics.follow_state(f"{listener}_connections", table.connection_count)
    events.metrics.follow_state(f"{listener}_incomplete_bytes", table.incomplete_bytes)
    return table
