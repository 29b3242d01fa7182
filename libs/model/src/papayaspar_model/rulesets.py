"""Rules in force: teams, guarantees, quotas and limits, as one immutable revision."""

import attrs

from papayaspar_model import work, workers


@attrs.frozen
class Team:
    """A tenant.

    :param name: its name.
    :param weight: share of what is left over, relative to other teams.
    :param asked_by: who asked for the rule.
    """

    name: str
    weight: int = 1
    asked_by: str = ""


@attrs.frozen
class Guarantee:
    """Shapes a team can always have: a floor.

    :param name: name of the rule.
    :param team: whose guarantee.
    :param shape: the shape.
    :param count: how many instances of it.
    :param data_centre: where, or ``None`` for anywhere.
    :param asked_by: who asked for the rule.
    """

    name: str
    team: str
    shape: work.Shape
    count: int = 1
    data_centre: str | None = None
    asked_by: str = ""


@attrs.frozen
class SlotGuarantee:
    """Request slots a team can always have over all workers: a floor.

    :param name: name of the rule.
    :param team: whose guarantee.
    :param slots: how many slots.
    :param asked_by: who asked for the rule.
    """

    name: str
    team: str
    slots: int
    asked_by: str = ""


@attrs.frozen
class Quota:
    """A ceiling on what a team may hold.

    :param name: name of the rule.
    :param team: whose ceiling.
    :param accelerators: most accelerators, or ``None`` for no ceiling.
    :param slots: most request slots, or ``None`` for no ceiling.
    :param asked_by: who asked for the rule.
    """

    name: str
    team: str
    accelerators: int | None = None
    slots: int | None = None
    asked_by: str = ""


@attrs.frozen
class QueueLimit:
    """How many requests of one urgency a team may have waiting in an entry.

    :param name: name of the rule.
    :param urgency: which queue.
    :param depth: most requests waiting.
    :param team: whose queue, or ``None`` for each team without a rule of its own.
    :param asked_by: who asked for the rule.
    """

    name: str
    urgency: work.Urgency
    depth: int
    team: str | None = None
    asked_by: str = ""


@attrs.frozen
class RetryBudget:
    """Retries an entry may send, as a share of fresh requests.

    :param name: name of the rule.
    :param share_ratio: retries per fresh request.
    :param floor_per_s: retries a second that are always allowed.
    :param asked_by: who asked for the rule.
    """

    name: str = "default"
    share_ratio: float = 0.1
    floor_per_s: float = 1.0
    asked_by: str = ""


@attrs.frozen
class RackInventory:
    """Workers known in one rack when the homes were packed.

    :param rack: name of the rack.
    :param data_centre: its data centre.
    :param workers: accelerator count by worker, sorted by name.
    """

    rack: str
    data_centre: str
    workers: tuple[workers.AcceleratorRange, ...]


@attrs.frozen
class Home:
    """Accelerators set aside for one instance of a guaranteed shape.

    :param guarantee: name of the guarantee.
    :param team: whose home.
    :param instance: which instance, from 0.
    :param tasks: one range of accelerators a task.
    """

    guarantee: str
    team: str
    instance: int
    tasks: tuple[workers.AcceleratorRange, ...]


@attrs.frozen
class RuleSet:
    """One accepted revision of the rules.

    :param revision: number of the revision; 0 is the empty set before the first.
    :param publish_id: the publisher's name for the revision, for settling a lost answer.
    :param text: the rules in canonical form.
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
        """Return a team by name, or ``None``."""
        for team in self.teams:
            if team.name == name:
                return team
        return None
