"""Load of a listener's connections, and which of them to close when a limit is reached.

The decisions need no network. They answer these loads: many large bodies at once, whole or in
pieces, that stop short of their end; headers that do not end; clients that do not read their
answers; and more connections than the process has descriptors or memory for.
"""

from papayaspar_serving import limits, loads

# Estimated memory of one header field, in bytes, beyond the bytes that were received.
HEADER_FIELD_BYTES = 400
# Requests up to this size may use the whole budget, larger ones only a share: a crowd of large
# requests leaves room for small ones.
SMALL_REQUEST_BYTES = 32 * limits.KIBIBYTE
LARGE_REQUESTS_RATIO = 3 / 4
# A client makes progress when it sends this many bytes; single bytes do not count.
PROGRESS_BYTES = limits.KIBIBYTE
# Weight of a stalled connection among those of which one has to be closed.
STALLED_WEIGHT = 10.0
# Timeout of a body without progress, and of a whole body: a fixed part, and its size at the least
# rate.
BODY_TIMEOUT_S = 10.0
BODY_RATE_MIN_BYTES_PER_S = 8 * limits.KIBIBYTE
# Timeout for a client to read from a connection whose buffers are full, in seconds.
READ_TIMEOUT_S = 30.0
# A request that a client sends just before the idle timeout may still be on its way, in seconds.
IDLE_MARGIN_S = 1.0
# Lateness of a check, in seconds, from which on this process itself was suspended or overloaded.
SUSPENDED_S = 1.0
CHECK_INTERVAL_S = 1.0


class LoadTable:
    """Loads of all connections of a listener.

    :param listener_limits: limits on all connections together.
    :param request_limits: source of the limits on single requests.
    :param observer: observer of closed connections.
    """

    def __init__(
        self,
        listener_limits: limits.ListenerLimits,
        request_limits: limits.RequestLimitsSource,
        observer: loads.Observer,
    ) -> None:
        self._limits = listener_limits
        self._request_limits = request_limits
        self.observer = observer
        self._loads: dict[loads.ConnectionLoad, None] = {}
        self._bytes_by_address: dict[str, int] = {}
        self._next_check_s: float | None = None
        self.held_bytes = 0
        self._releasing_bytes = 0

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._loads)

    @property
    def request_limits(self) -> limits.RequestLimits:
        """Limits on single requests that apply now."""
        return self._request_limits.request_limits()

    def incomplete_bytes(self) -> int:
        """Return the memory of the requests that are not complete, in bytes."""
        total_bytes = 0
        for load in self._loads:
            if load.phase in loads.INCOMPLETE_PHASES:
                total_bytes += load.held_bytes
        return total_bytes

    def make_room(
        self, now_s: float, is_exhausted: bool = False
    ) -> tuple[loads.Closure, ...] | None:
        """Choose connections to close before another one is opened.

        The longest idle connection is chosen first, then the one whose request has been incomplete
        for the longest time.

        :param now_s: current time in seconds.
        :param is_exhausted: whether the process has no descriptor left below the limit.
        :return: connections to close, or ``None`` if a request is running on each of them, so that
            the new connection has to be refused.
        """
        if len(self._loads) < self._limits.connections_max and not is_exhausted:
            return ()
        for phases in ((loads.Phase.CLOSING,), (loads.Phase.IDLE,), loads.INCOMPLETE_PHASES):
            oldest: loads.ConnectionLoad | None = None
            for load in self._loads:
                if load.phase not in phases:
                    continue
                if oldest is None or load.phase_start_s < oldest.phase_start_s:
                    oldest = load
            if oldest is not None:
                return (loads.Closure(oldest, loads.Cause.CONNECTIONS),)
        for load in self._loads:
            if load.is_closable(now_s):
                return (loads.Closure(load, loads.Cause.CONNECTIONS),)
        return None

    def open(self, address: str, now_s: float) -> loads.ConnectionLoad:
        """Add a connection.

        :param address: address of the client.
        :param now_s: current time in seconds.
        """
        load = loads.ConnectionLoad(address, loads.Phase.IDLE, now_s, now_s)
        self._loads[load] = None
        return load

    def close(self, load: loads.ConnectionLoad) -> None:
        """Remove a connection; removing it again does nothing."""
        self.begin_closing(load, load.phase_start_s)
        self.release(load)
        self._loads.pop(load, None)

    def receive(
        self, load: loads.ConnectionLoad, count: int, now_s: float
    ) -> tuple[loads.Closure, ...]:
        """Count received bytes.

        :param load: load of the connection that received them.
        :param count: number of bytes.
        :param now_s: current time in seconds.
        :return: connections to close, possibly this one.
        """
        if load.phase is loads.Phase.CLOSING:
            return ()
        if load.phase is loads.Phase.IDLE:
            self._enter(load, loads.Phase.HEADER, now_s)
        load.received_bytes += count
        load.progress_bytes += count
        if load.progress_bytes >= PROGRESS_BYTES:
            load.progress_s, load.progress_bytes = now_s, 0
        return self._hold(load, count, now_s)

    def begin_body(
        self, load: loads.ConnectionLoad, fields: int, now_s: float
    ) -> tuple[loads.Closure, ...]:
        """Note that a header is complete.

        :param load: load of its connection.
        :param fields: number of header fields.
        :param now_s: current time in seconds.
        :return: connections to close, possibly this one.
        """
        self._enter(load, loads.Phase.BODY, now_s)
        return self._hold(load, fields * HEADER_FIELD_BYTES, now_s)

    def settle(self, load: loads.ConnectionLoad, held_bytes: int) -> None:
        """Correct the memory that a connection holds once what it received has been decoded.

        :param load: load of the connection.
        :param held_bytes: memory of its request and of the bytes that follow it.
        """
        if load.phase is not loads.Phase.CLOSING:
            self._charge(load, held_bytes - load.held_bytes)

    def begin_answer(self, load: loads.ConnectionLoad, now_s: float) -> None:
        """Note that a request is complete and can run."""
        self._enter(load, loads.Phase.ANSWER, now_s)

    def finish(self, load: loads.ConnectionLoad, unparsed_bytes: int, now_s: float) -> None:
        """Note that a request is answered.

        :param load: load of its connection.
        :param unparsed_bytes: bytes of further requests that were already received.
        :param now_s: current time in seconds.
        """
        if load.phase is loads.Phase.CLOSING:
            return
        self._charge(load, unparsed_bytes - load.held_bytes)
        self._enter(load, loads.Phase.HEADER if unparsed_bytes else loads.Phase.IDLE, now_s)

    def begin_closing(self, load: loads.ConnectionLoad, now_s: float) -> None:
        """Note that a connection is being closed; it holds memory until :meth:`release`."""
        load.releasing_bytes += load.held_bytes
        self._releasing_bytes += load.held_bytes
        self._charge(load, -load.held_bytes)
        self._enter(load, loads.Phase.CLOSING, now_s)

    def release(self, load: loads.ConnectionLoad) -> None:
        """Note that a connection that is being closed has released what it held."""
        self._releasing_bytes -= load.releasing_bytes
        load.releasing_bytes = 0

    def is_releasing(self) -> bool:
        """Return whether the budget is met only when connections have released what they hold."""
        return self.held_bytes + self._releasing_bytes > self._limits.requests_max_bytes

    def excuse(self, load: loads.ConnectionLoad, waited_s: float) -> None:
        """Disregard time for which this process did not read from a connection.

        :param load: load of the connection.
        :param waited_s: that time in seconds.
        """
        load.phase_start_s += waited_s
        load.progress_s += waited_s

    def expired(self, now_s: float) -> tuple[loads.Closure, ...]:
        """Return the connections whose timeouts have passed.

        After a suspension of this process, no timeout has passed: what the clients sent meanwhile
        has not been read yet.

        :param now_s: current time in seconds.
        """
        if self._next_check_s is not None and now_s > self._next_check_s + SUSPENDED_S:
            late_s = now_s - self._next_check_s
            for load in self._loads:
                self.excuse(load, late_s)
                if load.unread_since_s is not None:
                    load.unread_since_s += late_s
        closures = []
        for load in self._loads:
            deadline_s, cause = self._deadline(load)
            if now_s >= deadline_s:
                closures.append(loads.Closure(load, cause))
        return tuple(closures)

    def check_delay_s(self, now_s: float) -> float:
        """Return the time until the next call of :meth:`expired`, in seconds.

        :param now_s: current time in seconds.
        """
        delay_s = self.request_limits.idle_timeout_s
        for load in self._loads:
            delay_s = min(delay_s, self._deadline(load)[0] - now_s)
        # Headers are short-lived, so the interval follows their timeout.
        delay_s = min(max(delay_s, CHECK_INTERVAL_S), self.request_limits.header_timeout_s)
        self._next_check_s = now_s + delay_s
        return delay_s

    def _deadline(self, load: loads.ConnectionLoad) -> tuple[float, loads.Cause]:
        """Return when the timeout of a connection passes, in seconds, and which one it is."""
        if load.unread_since_s is not None:
            return load.unread_since_s + READ_TIMEOUT_S, loads.Cause.READ_TIMEOUT
        if load.phase is loads.Phase.IDLE:
            idle_s = self.request_limits.idle_timeout_s + IDLE_MARGIN_S
            return load.phase_start_s + idle_s, loads.Cause.IDLE_TIMEOUT
        if load.phase is loads.Phase.HEADER:
            header_s = self.request_limits.header_timeout_s
            return load.phase_start_s + header_s, loads.Cause.HEADER_TIMEOUT
        if load.phase is loads.Phase.BODY:
            whole_s = BODY_TIMEOUT_S + load.received_bytes / BODY_RATE_MIN_BYTES_PER_S
            deadline_s = min(load.phase_start_s + whole_s, load.progress_s + BODY_TIMEOUT_S)
            return deadline_s, loads.Cause.BODY_TIMEOUT
        return float("inf"), loads.Cause.READ_TIMEOUT

    def _enter(self, load: loads.ConnectionLoad, phase: loads.Phase, now_s: float) -> None:
        load.phase, load.phase_start_s, load.progress_s = phase, now_s, now_s
        load.received_bytes = load.progress_bytes = 0

    def _hold(
        self, load: loads.ConnectionLoad, count: int, now_s: float
    ) -> tuple[loads.Closure, ...]:
        """Charge memory to a connection, and choose connections to close if it is short."""
        self._charge(load, count)
        closures: list[loads.Closure] = []
        excess_bytes = self.held_bytes - self._budget_bytes(load)
        chosen: set[loads.ConnectionLoad] = set()
        while excess_bytes > 0:
            costliest = self._costliest(chosen, now_s)
            if costliest is None:
                break
            chosen.add(costliest)
            closures.append(loads.Closure(costliest, loads.Cause.MEMORY))
            if costliest is load:
                break
            excess_bytes -= costliest.held_bytes
        return tuple(closures)

    def _budget_bytes(self, load: loads.ConnectionLoad) -> float:
        if load.held_bytes <= SMALL_REQUEST_BYTES:
            return self._limits.requests_max_bytes
        return self._limits.requests_max_bytes * LARGE_REQUESTS_RATIO

    def _costliest(
        self, chosen: set[loads.ConnectionLoad], now_s: float
    ) -> loads.ConnectionLoad | None:
        """Return the closable connection that costs most, the newest of equal ones.

        What all connections of a client hold comes before what one of them holds, so that a crowd
        of middling requests does not push out a larger one of another client.
        """
        costliest: loads.ConnectionLoad | None = None
        cost_max = (0.0, 0)
        for load in self._loads:
            if load in chosen or not load.is_closable(now_s):
                continue
            client_cost = float(self._bytes_by_address.get(load.address, 0))
            if load.is_stalled(now_s):
                client_cost *= STALLED_WEIGHT
            if (client_cost, load.held_bytes) >= cost_max:
                costliest, cost_max = load, (client_cost, load.held_bytes)
        return costliest

    def _charge(self, load: loads.ConnectionLoad, count: int) -> None:
        load.held_bytes += count
        self.held_bytes += count
        address_bytes = self._bytes_by_address.get(load.address, 0) + count
        self._bytes_by_address[load.address] = address_bytes
        if not address_bytes:
            del self._bytes_by_address[load.address]
