"""The operators' configuration: queues, teams with their keys and guarantees, and limits."""

import attrs


@attrs.frozen
class Queue:
    """A queue to which callers submit jobs.

    :param name: name of the queue.
    :param host: host name of the calls that address the queue.
    :param prefix: path prefix of the calls that address the queue.
    :param pool: pool of workers that runs the queue's tasks.
    :param timeout_ms: maximum duration of a call, in milliseconds.
    :param priority: scheduling priority; 0 is the highest.
    :param attempts: number of failed runs after which a task is not retried.
    :param stretch: completion time objective as a multiple of the job's critical path.
    :param objective_ms: fixed part of the completion time objective, in milliseconds.
    :param is_public: whether calls are accepted without an API key.
    """

    name: str
    host: str
    prefix: str
    pool: str
    timeout_ms: int
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    is_public: bool = False


@attrs.frozen
class Team:
    """A team of callers.

    :param name: name of the team.
    :param keys: API keys of the team.
    :param guaranteed_accelerators: number of accelerators guaranteed to the team's urgent jobs.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@attrs.frozen
class Limits:
    """Limits on the messages of callers.

    :param header_max_bytes: maximum size of a header, in bytes.
    :param body_max_bytes: maximum size of a body, in bytes.
    :param header_timeout_ms: timeout for receiving the whole header, in milliseconds.
    :param idle_timeout_ms: timeout after which an idle connection is closed, in milliseconds.
    """

    header_max_bytes: int = 16_384
    body_max_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.define
class Configuration:
    """One version of the configuration.

    :param version: version number; a higher version replaces a lower one.
    :param queues: queues that accept jobs.
    :param teams: teams that may call.
    :param limits: limits on the messages of callers.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]
    limits: Limits = attrs.field(factory=Limits)
    _teams_by_key: dict[str, Team] = attrs.field(init=False, repr=False, eq=False)
    _queues_by_name: dict[str, Queue] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        self._teams_by_key = {}
        for team in self.teams:
            for key in team.keys:
                self._teams_by_key[key] = team
        self._queues_by_name = {queue.name: queue for queue in self.queues}

    def match_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host whose prefix is the longest match, or ``None``."""
        longest_match: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if longest_match is None or len(queue.prefix) > len(longest_match.prefix):
                longest_match = queue
        return longest_match

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue with a name, or ``None``."""
        return self._queues_by_name.get(name)

    def find_team(self, key: str) -> Team | None:
        """Return the team that owns an API key, or ``None``."""
        return self._teams_by_key.get(key)

    def guaranteed_accelerators(self, team_name: str) -> int:
        """Return the number of accelerators guaranteed to a team's urgent jobs."""
        for team in self.teams:
            if team.name == team_name:
                return team.guaranteed_accelerators
        return 0
