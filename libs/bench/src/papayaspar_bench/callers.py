"""Experiment: one caller sends a hundred times as many requests as any other caller."""

import attrs

from papayaspar_bench import deployments, experiments, fleets, loads, measures, policies
from papayaspar_model import work

WARM_UP_S = 20.0
MEASURED_S = 60.0
LARGE_LOAD_FACTOR = 100.0
LARGE_CALLER_PREFIX = "large"


class Callers(experiments.Experiment):
    """Compares goodput and latency of the small callers with and without the large caller."""

    name = "callers"
    summary = "one caller sends 100 times the load of any other; compared with one FIFO queue"

    def run(self, seed: int) -> experiments.Outcome:
        """Run both deployments under both policies."""
        figures: dict[str, float] = {}
        violations: list[str] = []
        for deployment in deployments.DEPLOYMENTS:
            team = deployment.largest_team
            small = loads.arrivals(deployment.streams, seed, 0.0, WARM_UP_S + MEASURED_S)
            large = _large_arrivals(deployment, team, seed)
            mixed = loads.merge(small, large)
            for policy in policies.ALL:
                quiet = fleets.simulate(policy, deployment.rules, small)
                loaded = fleets.simulate(policy, deployment.rules, mixed)
                violations.extend(quiet.violations)
                violations.extend(loaded.violations)
                label = f"{deployment.name}_{policy.name}"
                figures.update(_figures(label, team, quiet, loaded))
        return experiments.Outcome(self.name, seed, figures, tuple(violations))


def _large_arrivals(
    deployment: deployments.Deployment, team: str, seed: int
) -> list[loads.Arrival]:
    streams = []
    for stream in deployment.streams:
        if stream.team != team:
            continue
        load_slots = LARGE_LOAD_FACTOR * stream.load_slots / stream.callers
        streams.append(
            attrs.evolve(
                stream, load_slots=load_slots, callers=1, caller_prefix=LARGE_CALLER_PREFIX
            )
        )
    return loads.arrivals(streams, seed, WARM_UP_S, WARM_UP_S + MEASURED_S)


def _answers_to_small_callers(answers: list[fleets.Answer]) -> list[fleets.Answer]:
    small = []
    for answer in answers:
        if answer.at_s < WARM_UP_S:
            continue
        if answer.request.caller.startswith(LARGE_CALLER_PREFIX):
            continue
        small.append(answer)
    return small


def _figures(label: str, team: str, quiet: fleets.Fleet, loaded: fleets.Fleet) -> dict[str, float]:
    small_quiet = _answers_to_small_callers(quiet.answers)
    small_loaded = _answers_to_small_callers(loaded.answers)
    team_quiet = measures.of_team(small_quiet, team)
    team_loaded = measures.of_team(small_loaded, team)
    figures = {
        f"{label}_same_team_kept_ratio": measures.kept_ratio(team_loaded, team_quiet),
        f"{label}_all_small_kept_ratio": measures.kept_ratio(small_loaded, small_quiet),
        f"{label}_same_team_p99_ratio": measures.p99_ratio(team_loaded, team_quiet),
        f"{label}_all_small_p99_ratio": measures.p99_ratio(small_loaded, small_quiet),
    }
    for urgency in work.Urgency:
        name = f"{label}_same_team_{urgency.value}"
        urgency_quiet = measures.of_urgency(team_quiet, urgency)
        urgency_loaded = measures.of_urgency(team_loaded, urgency)
        figures[f"{name}_p99_ratio"] = measures.p99_ratio(urgency_loaded, urgency_quiet)
        completion = measures.completion_times(urgency_loaded)
        figures[f"{name}_mean_s"] = completion.mean_s
        figures[f"{name}_p50_s"] = completion.p50_s
        figures[f"{name}_p99_s"] = completion.p99_s
    return measures.finite(figures)
