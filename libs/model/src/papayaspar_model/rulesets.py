"""A revision of the rules: teams, guarantees, quotas and limits."""

import attrs

from papayaspar_model import work, workers


@attrs.frozen
class Team:
    """A team of callers.

    :param name: name of the team.
    :param weight: weight of the team's fair share of unreserved capacity.
    :param asked_by: name of the person who requested the rule.
    """

    name: str
    weight: int = 1
    asked_by: str = ""


@attrs.frozen
class Guarantee:
    """A guaranteed minimum of accelerators for a team, as instances of a shape.

    :param name: name of the rule.
    :param team: name of the team.
    :param shape: shape of each instance.
    :param count: number of instances.
    :param data_centre: data centre of the accelerators, or ``None`` for any.
    :param asked_by: name of the person who requested the rule.
    """

    name: str
    team: str
    shape: work.Shape
    count: int = 1
    data_centre: str | None = None
    asked_by: str = ""


@attrs.frozen
class SlotGuarantee:
    """A guaranteed minimum of request slots for a team, over all workers.

    :param name: name of the rule.
    :param team: name of the team.
    :param slots: number of slots.
    :param asked_by: name of the person who requested the rule.
    """

    name: str
    team: str
    slots: int
    asked_by: str = ""


@attrs.frozen
class Quota:
    """An upper limit on the resources of a team.

    :param name: name of the rule.
    :param team: name of the team.
    :param accelerators: maximum number of accelerators, or ``None`` for no limit.
    :param slots: maximum number of request slots, or ``None`` for no limit.
    :param asked_by: name of the person who requested the rule.
    """

    name: str
    team: str
    accelerators: int | None = None
    slots: int | None = None
    asked_by: str = ""


@attrs.frozen
class QueueLimit:
    """A limit on a team's queued requests of one urgency in an entry.

    :param name: name of the rule.
    :param urgency: urgency of the queue.
    :param depth: maximum number of queued requests.
    :param team: name of the team, or ``None`` for every team without its own rule.
    :param asked_by: name of the person who requested the rule.
    """

    name: str
    urgency: work.Urgency
    depth: int
    team: str | None = None
    asked_by: str = ""


@attrs.frozen
class RetryBudget:
    """A limit on the retries of an entry, as a share of its first attempts.

    :param name: name of the rule.
    :param share_ratio: allowed retries per first attempt.
    :param floor_per_s: retries per second that are always allowed.
    :param asked_by: name of the person who requested the rule.
    """

    name: str = "default"
    share_ratio: float = 0.1
    floor_per_s: float = 1.0
    asked_by: str = ""


@attrs.frozen
class RackInventory:
    """Workers and accelerators of one rack, as input for packing homes.

    :param rack: name of the rack.
    :param data_centre: data centre of the rack.
    :param workers: accelerators of each worker, sorted by worker name.
    """

    rack: str
    data_centre: str
    workers: tuple[workers.AcceleratorRange, ...]


@attrs.frozen
class Home:
    """Reserved accelerators of one instance of a guarantee.

    :param guarantee: name of the guarantee.
    :param team: name of the team.
    :param instance: number of the instance, from 0.
    :param tasks: accelerators of each task of the shape.
    """

    guarantee: str
    team: str
    instance: int
    tasks: tuple[workers.AcceleratorRange, ...]


@attrs.frozen
class RuleSet:
    """One accepted revision of the rules.

    :param revision: number of the revision; 0 is the empty rule set before the first revision.
    :param publish_id: id chosen by the publisher, which identifies the revision after the answer
        to its publication was lost.
    :param text: text of the rules in canonical form.
    """

    revision: int = 0
    publish_id: str = ""
    text: str = ""
    teams: tuple[Team, ...] = ()
    guarantees: tuple[Guarantee, ...] = ()
    slot_guarantees: tuple[SlotGuarantee, ...] = ()
    quotas: tuple[Quota, ...] = ()
    queue_limits: tuple[QueueLimit, ...] = ()
    retry_budget: RetryBudget = RetryBudget()

    def team(self, name: str) -> Team | None:
        """Return the team with a name, or ``None``."""
        for team in self.teams:
            if team.name == name:
                return team
        return None
