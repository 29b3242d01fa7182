"""The operators' configuration: queues, teams with keys and guarantees, limits."""

import attrs


@attrs.frozen
class Queue:
    """A queue that callers hand jobs to.

    :param name: its name.
    :param host: host name that selects it.
    :param prefix: path prefix that selects it.
    :param pool: pool of workers that runs its tasks.
    :param timeout_ms: longest a call to it may take.
    :param priority: 0 comes first.
    :param attempts: failed runs after which a task is given up.
    :param stretch: objective as a multiple of the job's critical path.
    :param objective_ms: what the objective allows besides.
    :param is_public: whether calls need no key.
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

    :param name: its name.
    :param keys: API keys.
    :param guaranteed_accelerators: accelerators that are its own for urgent jobs.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@attrs.frozen
class Limits:
    """Limits on callers' messages.

    :param header_max_bytes: longest header.
    :param body_max_bytes: longest body.
    :param header_timeout_ms: time for the whole header.
    :param idle_timeout_ms: time an idle connection stays open.
    """

    header_max_bytes: int = 16_384
    body_max_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.define
class Configuration:
    """One version of the configuration.

    :param version: its number; a higher one replaces a lower one.
    :param queues: the queues.
    :param teams: the teams.
    :param limits: limits on messages.
    """

    version: int
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]
    limits: Limits = attrs.field(factory=Limits)
    _by_key: dict[str, Team] = attrs.field(init=False, repr=False, eq=False)
    _by_name: dict[str, Queue] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        self._by_key = {}
        for team in self.teams:
            for key in team.keys:
                self._by_key[key] = team
        self._by_name = {queue.name: queue for queue in self.queues}

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that a path begins with, or ``None``."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def queue_named(self, name: str) -> Queue | None:
        """Return the queue of a name, or ``None``."""
        return self._by_name.get(name)

    def team_of(self, key: str) -> Team | None:
        """Return the team that a key belongs to, or ``None``."""
        return self._by_key.get(key)

    def guaranteed_accelerators(self, team_name: str) -> int:
        """Return how many accelerators are a team's own for urgent jobs."""
        for team in self.teams:
            if team.name == team_name:
                return team.guaranteed_accelerators
        return 0
