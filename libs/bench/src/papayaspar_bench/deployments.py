"""The two deployments that the admission experiments run on."""

import attrs

from papayaspar_model import rulesets, work

WORKERS = 11
CALLERS_PER_TEAM = 20


@attrs.frozen
class Stream:
    """Requests of one kind that one team sends.

    :param team: who asks.
    :param kind: kind of the work.
    :param urgency: how soon it is wanted.
    :param load_slots: slots it keeps busy on average.
    :param service_s: mean time on a slot.
    :param deadline_s: how long a caller waits.
    :param callers: number of callers that share the load evenly.
    :param caller_prefix: start of the callers' names.
    """

    team: str
    kind: str
    urgency: work.Urgency
    load_slots: float
    service_s: float
    deadline_s: float
    callers: int = CALLERS_PER_TEAM
    caller_prefix: str = "caller"

    @property
    def rate_per_s(self) -> float:
        """Requests a second."""
        return self.load_slots / self.service_s


@attrs.frozen
class Deployment:
    """Teams, their guarantees and what they send on an ordinary day.

    :param name: name of the deployment.
    :param rules: the rules in force.
    :param streams: what the teams send.
    """

    name: str
    rules: rulesets.RuleSet
    streams: tuple[Stream, ...]

    @property
    def guaranteed_teams(self) -> tuple[str, ...]:
        """Teams that hold a guarantee."""
        return tuple(rule.team for rule in self.rules.slot_guarantees)

    @property
    def largest_team(self) -> str:
        """The team with the largest guarantee."""
        return max(self.rules.slot_guarantees, key=lambda rule: rule.slots).team

    def stream_of(self, team: str, urgency: work.Urgency) -> Stream:
        """Return what a team sends with one urgency."""
        for stream in self.streams:
            if stream.team == team and stream.urgency is urgency:
                return stream
        raise LookupError(team, urgency)


@attrs.frozen
class Kind:
    """One kind of work of a deployment.

    :param name: name of the kind.
    :param urgency: how soon it is wanted.
    :param share_ratio: share of each team's load.
    :param service_s: mean time on a slot.
    :param deadline_s: how long a caller waits.
    """

    name: str
    urgency: work.Urgency
    share_ratio: float
    service_s: float
    deadline_s: float


@attrs.frozen
class Tenant:
    """One team of a deployment.

    :param name: name of the team.
    :param load_slots: slots it keeps busy on average.
    :param guaranteed_slots: its guarantee, or 0 for none.
    """

    name: str
    load_slots: float
    guaranteed_slots: int


def _deployment(name: str, tenants: tuple[Tenant, ...], kinds: tuple[Kind, ...]) -> Deployment:
    streams = []
    for tenant in tenants:
        for kind in kinds:
            streams.append(
                Stream(
                    team=tenant.name,
                    kind=kind.name,
                    urgency=kind.urgency,
                    load_slots=tenant.load_slots * kind.share_ratio,
                    service_s=kind.service_s,
                    deadline_s=kind.deadline_s,
                )
            )
    rules = rulesets.RuleSet(
        revision=1,
        teams=tuple(rulesets.Team(tenant.name) for tenant in tenants),
        slot_guarantees=tuple(
            rulesets.SlotGuarantee(tenant.name, tenant.name, tenant.guaranteed_slots)
            for tenant in tenants
            if tenant.guaranteed_slots > 0
        ),
    )
    return Deployment(name, rules, tuple(streams))


JALCHHOBI = _deployment(
    "jalchhobi",
    (
        Tenant("dhaka", load_slots=20.0, guaranteed_slots=34),
        Tenant("kolkata", load_slots=16.0, guaranteed_slots=28),
        Tenant("sylhet", load_slots=6.0, guaranteed_slots=13),
        Tenant("agartala", load_slots=5.0, guaranteed_slots=0),
    ),
    (
        Kind("check", work.Urgency.URGENT, share_ratio=0.4, service_s=1.2, deadline_s=10.0),
        Kind("print", work.Urgency.NORMAL, share_ratio=0.3, service_s=3.0, deadline_s=30.0),
        Kind("retouch", work.Urgency.BATCH, share_ratio=0.3, service_s=10.0, deadline_s=300.0),
    ),
)
KOWHAI = _deployment(
    "kowhai",
    (
        Tenant("waikato", load_slots=18.0, guaranteed_slots=31),
        Tenant("taranaki", load_slots=16.0, guaranteed_slots=28),
        Tenant("otago", load_slots=7.0, guaranteed_slots=15),
        Tenant("nelson", load_slots=5.0, guaranteed_slots=0),
    ),
    (
        Kind("moisture", work.Urgency.URGENT, share_ratio=0.3, service_s=1.5, deadline_s=12.0),
        Kind("score", work.Urgency.NORMAL, share_ratio=0.3, service_s=4.0, deadline_s=60.0),
        Kind("overnight", work.Urgency.BATCH, share_ratio=0.4, service_s=20.0, deadline_s=600.0),
    ),
)
DEPLOYMENTS = (JALCHHOBI, KOWHAI)
