"""Authorization of calls to queues, under a configuration of bounded age."""

import abc

import anyio
import attrs

from papayaspar_jobs import configurations
from papayaspar_model import errors

# Delay after which callers may retry while the store is unavailable, in seconds: outages last up to
# about 5 s and callers try four times, so retries at intervals of a second would all fall into the
# same outage.
RETRY_AFTER_S = 2.0
# Share of the caller's timeout for which a call waits for the store. Callers retry only a few times
# in quick succession, and most of the timeout must remain for an attempt at another entry.
STORE_WAIT_RATIO = 1 / 3
# Maximum duration of an outage during which calls wait for the store, in seconds: outages that
# affect all entries last up to about 5 s. A longer outage affects this entry only, so callers are
# rejected at once and retry at another entry.
OUTAGE_MAX_S = 5.0
# Maximum age of a configuration that proves a queue or a key not to exist, in seconds: a read of
# the configuration is answered within a second, so an older one may have a successor.
REFUSAL_AGE_MAX_S = 1.5
DEFAULT_LIMITS = configurations.Limits()


class UnknownQueueError(errors.NotFoundError):
    """The current configuration has no such queue."""

    code = "unknown_queue"
    title = "No such queue"


class UnknownKeyError(errors.PapayasparError):
    """The current configuration has no such API key."""

    code = "unknown_key"
    status = 401
    title = "The key is not known"


class NoConfigurationError(errors.UnavailableError):
    """No configuration has been read yet, or the one that was read may be outdated."""

    code = "no_configuration"
    title = "No current configuration"


class ConfigurationSource(abc.ABC):
    """Source of an entry's configuration."""

    @abc.abstractmethod
    def current(self) -> configurations.Configuration | None:
        """Return the newest configuration that was read, or ``None``."""

    @abc.abstractmethod
    def age_s(self) -> float:
        """Return the maximum age of the configuration, in seconds."""

    @abc.abstractmethod
    async def wait_connected(self) -> None:
        """Wait until a configuration was read and the most recent read succeeded."""


@attrs.frozen
class Authorization:
    """An authorized call.

    :param queue: queue that the call addresses.
    :param team: name of the caller's team; empty on a public queue.
    :param guaranteed_accelerators: number of accelerators guaranteed to the team's urgent jobs.
    """

    queue: configurations.Queue
    team: str
    guaranteed_accelerators: int = 0


class Authorizer:
    """Authorizes calls.

    :param source: source of the configuration.
    :param age_max_s: maximum age of a configuration under which keys are accepted, in seconds: an
        entry that can't reach the store must also reject a revoked key in time.
    """

    def __init__(self, source: ConfigurationSource, age_max_s: float) -> None:
        self._source = source
        self._age_max_s = age_max_s

    def limits(self) -> configurations.Limits:
        """Return the limits on calls: of the newest configuration, else the defaults."""
        configuration = self._source.current()
        return configuration.limits if configuration is not None else DEFAULT_LIMITS

    def is_available(self) -> bool:
        """Return whether calls can be authorized now."""
        return self._source.current() is not None and self._source.age_s() <= self._age_max_s

    async def wait_available(self, timeout_s: float) -> None:
        """Wait a share of the caller's timeout until calls can be authorized.

        Return immediately when the configuration is so old that the wait is unlikely to succeed.

        :param timeout_s: timeout of the caller, in seconds.
        """
        is_long_outage = self._source.current() is not None and self._source.age_s() > OUTAGE_MAX_S
        if self.is_available() or is_long_outage:
            return
        with anyio.move_on_after(timeout_s * STORE_WAIT_RATIO):
            await self._source.wait_connected()

    def authorize(self, host: str, path: str, key: str) -> Authorization:
        """Authorize a call and return its queue and team.

        :param host: host name that the call addresses, without a port.
        :param path: path of the call.
        :param key: API key of the call, or empty.
        :raises NoConfigurationError: when no configuration is current, or the queue or the key may
            have been added since it was read.
        :raises UnknownQueueError: when no queue matches the host and path.
        :raises UnknownKeyError: when the key is not known.
        """
        configuration = self._source.current()
        if configuration is None or self._source.age_s() > self._age_max_s:
            raise self._outdated_error()
        queue = configuration.match_queue(host, path)
        if queue is None:
            if self._source.age_s() > REFUSAL_AGE_MAX_S:
                raise self._outdated_error()
            raise UnknownQueueError(f"no queue at host {host} matches the path")
        if queue.is_public:
            return Authorization(queue, "")
        team = configuration.find_team(key)
        if team is None:
            if self._source.age_s() > REFUSAL_AGE_MAX_S:
                raise self._outdated_error()
            raise UnknownKeyError(
                f"the key is not in configuration version {configuration.version}"
            )
        return Authorization(queue, team.name, team.guaranteed_accelerators)

    def _outdated_error(self) -> NoConfigurationError:
        return NoConfigurationError(
            f"the configuration is {self._source.age_s():.1f} s old", retry_after_s=RETRY_AFTER_S
        )
