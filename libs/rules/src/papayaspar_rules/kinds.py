"""Kinds of rules: their keys, and how a line becomes a rule and a rule a line."""

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

    :param word: the text before the equals sign.
    :param value: how its value is read and written.
    :param required: whether the rule needs it.
    """

    word: str
    value: values.Value[T]
    required: bool = True

    def of(self, given: Mapping[str, object]) -> T:
        """Return the value of a required key."""
        return cast("T", given[self.word])

    def find(self, given: Mapping[str, object]) -> T | None:
        """Return the value of a key that may be left out, or ``None``."""
        return cast("T | None", given.get(self.word))

    def write(self, value: T | None) -> str:
        """Return ``key=value`` after a blank, or nothing for ``None``."""
        if value is None:
            return ""
        return f" {self.word}={self.value.write(value)}"


AnyKey = Key[str] | Key[int] | Key[float] | Key[work.Adjacency] | Key[work.Urgency]


class Kind(abc.ABC, Generic[R]):
    """One kind of rule.

    :cvar word: first word of its lines.
    :cvar rule: class of its rules.
    :cvar keys: its keys, in canonical order.
    :cvar any_of: keys of which at least one must be given.
    :cvar only_name: the only allowed name, or empty for any.
    """

    word: str
    rule: type[R]
    keys: tuple[AnyKey, ...]
    any_of: tuple[str, ...] = ()
    only_name = ""

    @abc.abstractmethod
    def build(self, name: str, given: Mapping[str, object], asked_by: str) -> R:
        """Return the rule of a line.

        :param name: its name.
        :param given: value by key; all required keys are there.
        :param asked_by: who asked for it.
        """

    @abc.abstractmethod
    def write(self, rule: R) -> str:
        """Return the pairs of a rule in canonical order, each after a blank."""


TEAM = Key("team", values.Name())
ANY_TEAM = Key("team", values.Name(), required=False)
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
SHARE = Key("share", values.Share())
FLOOR = Key("floor", values.Rate(1_000_000))


class TeamKind(Kind[rulesets.Team]):
    """``team NAME weight=8``."""

    word = "team"
    rule = rulesets.Team
    keys = (WEIGHT,)

    def build(self, name: str, given: Mapping[str, object], asked_by: str) -> rulesets.Team:
        """Return the team."""
        return rulesets.Team(name, WEIGHT.of(given), asked_by)

    def write(self, rule: rulesets.Team) -> str:
        """Return the pairs."""
        return WEIGHT.write(rule.weight)


class GuaranteeKind(Kind[rulesets.Guarantee]):
    """``guarantee NAME team=T tasks=2 accelerators=4 adjacency=rack count=2``."""

    word = "guarantee"
    rule = rulesets.Guarantee
    keys = (TEAM, TASKS, ACCELERATORS, ADJACENCY, COUNT, DATA_CENTRE)

    def build(self, name: str, given: Mapping[str, object], asked_by: str) -> rulesets.Guarantee:
        """Return the guarantee."""
        shape = work.Shape(TASKS.of(given), ACCELERATORS.of(given), ADJACENCY.of(given))
        return rulesets.Guarantee(
            name, TEAM.of(given), shape, COUNT.of(given), DATA_CENTRE.find(given), asked_by
        )

    def write(self, rule: rulesets.Guarantee) -> str:
        """Return the pairs."""
        shape = TASKS.write(rule.shape.tasks)
        shape += ACCELERATORS.write(rule.shape.accelerators_per_task)
        shape += ADJACENCY.write(rule.shape.adjacency)
        place = COUNT.write(rule.count) + DATA_CENTRE.write(rule.data_centre)
        return TEAM.write(rule.team) + shape + place


class SlotGuaranteeKind(Kind[rulesets.SlotGuarantee]):
    """``slots NAME team=T slots=6``."""

    word = "slots"
    rule = rulesets.SlotGuarantee
    keys = (TEAM, SLOTS)

    def build(
        self, name: str, given: Mapping[str, object], asked_by: str
    ) -> rulesets.SlotGuarantee:
        """Return the guarantee."""
        return rulesets.SlotGuarantee(name, TEAM.of(given), SLOTS.of(given), asked_by)

    def write(self, rule: rulesets.SlotGuarantee) -> str:
        """Return the pairs."""
        return TEAM.write(rule.team) + SLOTS.write(rule.slots)


class QuotaKind(Kind[rulesets.Quota]):
    """``quota NAME team=T accelerators=16 slots=24``."""

    word = "quota"
    rule = rulesets.Quota
    keys = (TEAM, ACCELERATORS_MAX, SLOTS_MAX)
    any_of = (ACCELERATORS_MAX.word, SLOTS_MAX.word)

    def build(self, name: str, given: Mapping[str, object], asked_by: str) -> rulesets.Quota:
        """Return the quota."""
        accelerators = ACCELERATORS_MAX.find(given)
        return rulesets.Quota(name, TEAM.of(given), accelerators, SLOTS_MAX.find(given), asked_by)

    def write(self, rule: rulesets.Quota) -> str:
        """Return the pairs."""
        ceilings = ACCELERATORS_MAX.write(rule.accelerators) + SLOTS_MAX.write(rule.slots)
        return TEAM.write(rule.team) + ceilings


class QueueLimitKind(Kind[rulesets.QueueLimit]):
    """``queue NAME urgency=batch depth=1000 team=T``."""

    word = "queue"
    rule = rulesets.QueueLimit
    keys = (URGENCY, DEPTH, ANY_TEAM)

    def build(self, name: str, given: Mapping[str, object], asked_by: str) -> rulesets.QueueLimit:
        """Return the limit."""
        urgency = URGENCY.of(given)
        return rulesets.QueueLimit(name, urgency, DEPTH.of(given), ANY_TEAM.find(given), asked_by)

    def write(self, rule: rulesets.QueueLimit) -> str:
        """Return the pairs."""
        return URGENCY.write(rule.urgency) + DEPTH.write(rule.depth) + ANY_TEAM.write(rule.team)


class RetryKind(Kind[rulesets.RetryBudget]):
    """``retry default share=10% floor=1/s``."""

    word = "retry"
    rule = rulesets.RetryBudget
    keys = (SHARE, FLOOR)
    only_name = "default"

    def build(self, name: str, given: Mapping[str, object], asked_by: str) -> rulesets.RetryBudget:
        """Return the budget."""
        return rulesets.RetryBudget(name, SHARE.of(given), FLOOR.of(given), asked_by)

    def write(self, rule: rulesets.RetryBudget) -> str:
        """Return the pairs."""
        return SHARE.write(rule.share_ratio) + FLOOR.write(rule.floor_per_s)


TEAMS = TeamKind()
GUARANTEES = GuaranteeKind()
SLOT_GUARANTEES = SlotGuaranteeKind()
QUOTAS = QuotaKind()
QUEUE_LIMITS = QueueLimitKind()
RETRY = RetryKind()
ALL = (TEAMS, GUARANTEES, SLOT_GUARANTEES, QUOTAS, QUEUE_LIMITS, RETRY)
BY_WORD = {kind.word: kind for kind in ALL}
BY_RULE = {kind.rule: kind for kind in ALL}
