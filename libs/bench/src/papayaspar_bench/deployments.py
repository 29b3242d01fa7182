"""The two deployments of the admission experiments."""

import attrs

from papayaspar_model import rulesets, work

WORKERS = 11
CALLERS_PER_TEAM = 20


@attrs.frozen
class Stream:
    """A stream of requests of one kind from one team.

    :param team: name of the team.
    :param kind: kind of the work.
    :param urgency: urgency of the requests.
    :param load_slots: slots that the stream keeps busy on average.
    :param service_s: mean time of a request on a slot, in seconds.
    :param deadline_s: time from arrival to the deadline of a request, in seconds.
    :param callers: number of callers that share the load evenly.
    :param caller_prefix: prefix of the callers' names.
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
        """Mean number of requests per second."""
        return self.load_slots / self.service_s


@attrs.frozen
class Deployment:
    """Teams, their guarantees and their ordinary load.

    :param name: name of the deployment.
    :param rules: the rules in force.
    :param streams: streams of requests of the teams.
    """

    name: str
    rules: rulesets.RuleSet
    streams: tuple[Stream, ...]

    @property
    def guaranteed_teams(self) -> tuple[str, ...]:
        """Names of the teams that have a guarantee."""
        return tuple(rule.team for rule in self.rules.slot_guarantees)

    @property
    def largest_team(self) -> str:
        """Name of the team with the largest guarantee."""
        return max(self.rules.slot_guarantees, key=lambda rule: rule.slots).team

    def stream_of(self, team: str, urgency: work.Urgency) -> Stream:
        """Return the stream of a team with an urgency."""
        for stream in self.streams:
            if stream.team == team and stream.urgency is urgency:
                return stream
        raise LookupError(f"team {team} has no stream of urgency {urgency.value}")


@attrs.frozen
class Kind:
    """One kind of work of a deployment.

    :param name: name of the kind.
    :param urgency: urgency of its requests.
    :param share_ratio: share of each team's load.
    :param service_s: mean time of a request on a slot, in seconds.
    :param deadline_s: time from arrival to the deadline of a request, in seconds.
    """

    name: str
    urgency: work.Urgency
    share_ratio: float
    service_s: float
    deadline_s: float


@attrs.frozen
class TeamLoad:
    """The load and the guarantee of one team of a deployment.

    :param name: name of the team.
    :param load_slots: slots that the team keeps busy on average.
    :param guaranteed_slots: number of guaranteed slots; 0 for no guarantee.
    """

    name: str
    load_slots: float
    guaranteed_slots: int


def _build_deployment(
    name: str, teams: tuple[TeamLoad, ...], kinds: tuple[Kind, ...]
) -> Deployment:
    streams = []
    for team in teams:
        for kind in kinds:
            streams.append(
                Stream(
                    team=team.name,
                    kind=kind.name,
                    urgency=kind.urgency,
                    load_slots=team.load_slots * kind.share_ratio,
                    service_s=kind.service_s,
                    deadline_s=kind.deadline_s,
                )
            )
    rules = rulesets.RuleSet(
        revision=1,
        teams=tuple(rulesets.Team(team.name) for team in teams),
        slot_guarantees=tuple(
            rulesets.SlotGuarantee(team.name, team.name, team.guaranteed_slots)
            for team in teams
            if team.guaranteed_slots > 0
        ),
    )
    return Deployment(name, rules, tuple(streams))


JALCHHOBI = _build_deployment(
    "jalchhobi",
    (
        TeamLoad("dhaka", load_slots=20.0, guaranteed_slots=34),
        TeamLoad("kolkata", load_slots=16.0, guaranteed_slots=28),
        TeamLoad("sylhet", load_slots=6.0, guaranteed_slots=13),
        TeamLoad("agartala", load_slots=5.0, guaranteed_slots=0),
    ),
    (
        Kind("check", work.Urgency.URGENT, share_ratio=0.4, service_s=1.2, deadline_s=10.0),
        Kind("print", work.Urgency.NORMAL, share_ratio=0.3, service_s=3.0, deadline_s=30.0),
        Kind("retouch", work.Urgency.BATCH, share_ratio=0.3, service_s=10.0, deadline_s=300.0),
    ),
)
KOWHAI = _build_deployment(
    "kowhai",
    (
        TeamLoad("waikato", load_slots=18.0, guaranteed_slots=31),
        TeamLoad("taranaki", load_slots=16.0, guaranteed_slots=28),
        TeamLoad("otago", load_slots=7.0, guaranteed_slots=15),
        TeamLoad("nelson", load_slots=5.0, guaranteed_slots=0),
    ),
    (
        Kind("moisture", work.Urgency.URGENT, share_ratio=0.3, service_s=1.5, deadline_s=12.0),
        Kind("score", work.Urgency.NORMAL, share_ratio=0.3, service_s=4.0, deadline_s=60.0),
        Kind("overnight", work.Urgency.BATCH, share_ratio=0.4, service_s=20.0, deadline_s=600.0),
    ),
)
DEPLOYMENTS = (JALCHHOBI, KOWHAI)
