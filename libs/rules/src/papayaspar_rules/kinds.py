"""Kinds of rules, with their keys and the conversion between lines and rules."""

import abc
from collections.abc import Mapping
from typing import Generic, TypeVar, cast

import attrs

from papayaspar_model import rulesets, work
from papayaspar_rules import values

T = TypeVar("T")

Rule = (
    rulesets.Team
    | rulesets.Guarantee
    | rulesets.SlotGuarantee
    | rulesets.Quota
    | rulesets.QueueLimit
    | rulesets.RetryBudget
)
R = TypeVar("R", bound=Rule)


@attrs.frozen
class Key(Generic[T]):
    """A key of a rule.

    :param name: the text before the equals sign.
    :param value_type: type of its value.
    :param required: whether a rule must have it.
    """

    name: str
    value_type: values.ValueType[T]
    required: bool = True

    def get_required(self, values_by_key: Mapping[str, object]) -> T:
        """Return the value of a required key."""
        return cast("T", values_by_key[self.name])

    def get_optional(self, values_by_key: Mapping[str, object]) -> T | None:
        """Return the value of an optional key, or ``None`` if it is not given."""
        return cast("T | None", values_by_key.get(self.name))

    def format(self, value: T | None) -> str:
        """Return ``key=value`` after a space, or an empty string for ``None``."""
        if value is None:
            return ""
        return f" {self.name}={self.value_type.format(value)}"


AnyKey = Key[str] | Key[int] | Key[float] | Key[work.Adjacency] | Key[work.Urgency]


class Kind(abc.ABC, Generic[R]):
    """One kind of rule.

    :cvar keyword: first word of its lines.
    :cvar rule_class: class of its rules.
    :cvar keys: its keys, in canonical order.
    :cvar any_of: names of keys of which at least one must be given.
    :cvar only_name: the only allowed name, or empty if any name is allowed.
    """

    keyword: str
    rule_class: type[R]
    keys: tuple[AnyKey, ...]
    any_of: tuple[str, ...] = ()
    only_name = ""

    @abc.abstractmethod
    def build(self, name: str, values_by_key: Mapping[str, object], asked_by: str) -> R:
        """Return the rule of a line.

        :param name: name of the rule.
        :param values_by_key: values by name of key; all required keys are present.
        :param asked_by: who requested the rule.
        """

    @abc.abstractmethod
    def format(self, rule: R) -> str:
        """Return the pairs of a rule in canonical order, each after a space."""


TEAM = Key("team", values.Name())
OPTIONAL_TEAM = Key("team", values.Name(), required=False)
WEIGHT = Key("weight", values.Count(1, 1_000_000))
TASKS = Key("tasks", values.Count(1, 4096))
ACCELERATORS = Key("accelerators", values.Count(1, 64))
ADJACENCY = Key("adjacency", values.Choice(work.Adjacency))
COUNT = Key("count", values.Count(1, 100_000))
DATA_CENTRE = Key("data-centre", values.Name(), required=False)
SLOTS = Key("slots", values.Count(1, 10_000_000))
ACCELERATORS_MAX = Key("accelerators", values.Count(0, 10_000_000), required=False)
SLOTS_MAX = Key("slots", values.Count(0, 10_000_000), required=False)
URGENCY = Key("urgency", values.Choice(work.Urgency))
DEPTH = Key("depth", values.Count(0, 1_000_000))
SHARE = Key("share", values.Percentage())
FLOOR = Key("floor", values.Rate(1_000_000))


class TeamKind(Kind[rulesets.Team]):
    """``team NAME weight=8``."""

    keyword = "team"
    rule_class = rulesets.Team
    keys = (WEIGHT,)

    def build(self, name: str, values_by_key: Mapping[str, object], asked_by: str) -> rulesets.Team:
        """Return the team."""
        return rulesets.Team(name, WEIGHT.get_required(values_by_key), asked_by)

    def format(self, rule: rulesets.Team) -> str:
        """Return the pairs."""
        return WEIGHT.format(rule.weight)


class GuaranteeKind(Kind[rulesets.Guarantee]):
    """``guarantee NAME team=T tasks=2 accelerators=4 adjacency=rack count=2``."""

    keyword = "guarantee"
    rule_class = rulesets.Guarantee
    keys = (TEAM, TASKS, ACCELERATORS, ADJACENCY, COUNT, DATA_CENTRE)

    def build(
        self, name: str, values_by_key: Mapping[str, object], asked_by: str
    ) -> rulesets.Guarantee:
        """Return the guarantee."""
        shape = work.Shape(
            TASKS.get_required(values_by_key),
            ACCELERATORS.get_required(values_by_key),
            ADJACENCY.get_required(values_by_key),
        )
        return rulesets.Guarantee(
            name,
            TEAM.get_required(values_by_key),
            shape,
            COUNT.get_required(values_by_key),
            DATA_CENTRE.get_optional(values_by_key),
            asked_by,
        )

    def format(self, rule: rulesets.Guarantee) -> str:
        """Return the pairs."""
        shape = TASKS.format(rule.shape.tasks)
        shape += ACCELERATORS.format(rule.shape.accelerators_per_task)
        shape += ADJACENCY.format(rule.shape.adjacency)
        placement = COUNT.format(rule.count) + DATA_CENTRE.format(rule.data_centre)
        return TEAM.format(rule.team) + shape + placement


class SlotGuaranteeKind(Kind[rulesets.SlotGuarantee]):
    """``slots NAME team=T slots=6``."""

    keyword = "slots"
    rule_class = rulesets.SlotGuarantee
    keys = (TEAM, SLOTS)

    def build(
        self, name: str, values_by_key: Mapping[str, object], asked_by: str
    ) -> rulesets.SlotGuarantee:
        """Return the guarantee."""
        return rulesets.SlotGuarantee(
            name, TEAM.get_required(values_by_key), SLOTS.get_required(values_by_key), asked_by
        )

    def format(self, rule: rulesets.SlotGuarantee) -> str:
        """Return the pairs."""
        return TEAM.format(rule.team) + SLOTS.format(rule.slots)


class QuotaKind(Kind[rulesets.Quota]):
    """``quota NAME team=T accelerators=16 slots=24``."""

    keyword = "quota"
    rule_class = rulesets.Quota
    keys = (TEAM, ACCELERATORS_MAX, SLOTS_MAX)
    any_of = (ACCELERATORS_MAX.name, SLOTS_MAX.name)

    def build(
        self, name: str, values_by_key: Mapping[str, object], asked_by: str
    ) -> rulesets.Quota:
        """Return the quota."""
        accelerators = ACCELERATORS_MAX.get_optional(values_by_key)
        return rulesets.Quota(
            name,
            TEAM.get_required(values_by_key),
            accelerators,
            SLOTS_MAX.get_optional(values_by_key),
            asked_by,
        )

    def format(self, rule: rulesets.Quota) -> str:
        """Return the pairs."""
        limits = ACCELERATORS_MAX.format(rule.accelerators) + SLOTS_MAX.format(rule.slots)
        return TEAM.format(rule.team) + limits


class QueueLimitKind(Kind[rulesets.QueueLimit]):
    """``queue NAME urgency=batch depth=1000 team=T``."""

    keyword = "queue"
    rule_class = rulesets.QueueLimit
    keys = (URGENCY, DEPTH, OPTIONAL_TEAM)

    def build(
        self, name: str, values_by_key: Mapping[str, object], asked_by: str
    ) -> rulesets.QueueLimit:
        """Return the limit."""
        urgency = URGENCY.get_required(values_by_key)
        return rulesets.QueueLimit(
            name,
            urgency,
            DEPTH.get_required(values_by_key),
            OPTIONAL_TEAM.get_optional(values_by_key),
            asked_by,
        )

    def format(self, rule: rulesets.QueueLimit) -> str:
        """Return the pairs."""
        return (
            URGENCY.format(rule.urgency)
            + DEPTH.format(rule.depth)
            + OPTIONAL_TEAM.format(rule.team)
        )


class RetryKind(Kind[rulesets.RetryBudget]):
    """``retry default share=10% floor=1/s``."""

    keyword = "retry"
    rule_class = rulesets.RetryBudget
    keys = (SHARE, FLOOR)
    only_name = "default"

    def build(
        self, name: str, values_by_key: Mapping[str, object], asked_by: str
    ) -> rulesets.RetryBudget:
        """Return the budget."""
        return rulesets.RetryBudget(
            name, SHARE.get_required(values_by_key), FLOOR.get_required(values_by_key), asked_by
        )

    def format(self, rule: rulesets.RetryBudget) -> str:
        """Return the pairs."""
        return SHARE.format(rule.share_ratio) + FLOOR.format(rule.floor_per_s)


TEAMS = TeamKind()
GUARANTEES = GuaranteeKind()
SLOT_GUARANTEES = SlotGuaranteeKind()
QUOTAS = QuotaKind()
QUEUE_LIMITS = QueueLimitKind()
RETRY = RetryKind()
ALL = (TEAMS, GUARANTEES, SLOT_GUARANTEES, QUOTAS, QUEUE_LIMITS, RETRY)
BY_KEYWORD = {kind.keyword: kind for kind in ALL}
BY_RULE_CLASS = {kind.rule_class: kind for kind in ALL}
