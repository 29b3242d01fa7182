"""One caller asks a hundred times as much as each of the others."""

import attrs

from papayaspar_bench import deployments, experiments, fleets, loads, measures, policies
from papayaspar_model import work

WARM_UP_S = 20.0
MEASURED_S = 60.0
LARGE_FACTOR = 100.0
LARGE_PREFIX = "large"


class Callers(experiments.Experiment):
    """Compares what small callers get with and without the large one."""

    name = "callers"
    summary = "one caller asks 100 times the others, beside one FIFO queue"

    def run(self, seed: int) -> experiments.Outcome:
        """Run both deployments and both policies."""
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
        load_slots = LARGE_FACTOR * stream.load_slots / stream.callers
        streams.append(
            attrs.evolve(stream, load_slots=load_slots, callers=1, caller_prefix=LARGE_PREFIX)
        )
    return loads.arrivals(streams, seed, WARM_UP_S, WARM_UP_S + MEASURED_S)


def _small(answers: list[fleets.Answer]) -> list[fleets.Answer]:
    found = []
    for answer in answers:
        if answer.at_s < WARM_UP_S:
            continue
        if answer.request.caller.startswith(LARGE_PREFIX):
            continue
        found.append(answer)
    return found


def _figures(label: str, team: str, quiet: fleets.Fleet, loaded: fleets.Fleet) -> dict[str, float]:
    small_quiet = _small(quiet.answers)
    small_loaded = _small(loaded.answers)
    beside_quiet = measures.of_team(small_quiet, team)
    beside_loaded = measures.of_team(small_loaded, team)
    figures = {
        f"{label}_same_team_kept_ratio": measures.kept_ratio(beside_loaded, beside_quiet),
        f"{label}_all_small_kept_ratio": measures.kept_ratio(small_loaded, small_quiet),
        f"{label}_same_team_p99_ratio": measures.p99_ratio(beside_loaded, beside_quiet),
        f"{label}_all_small_p99_ratio": measures.p99_ratio(small_loaded, small_quiet),
    }
    for urgency in work.Urgency:
        name = f"{label}_same_team_{urgency.value}"
        times_quiet = measures.of_urgency(beside_quiet, urgency)
        times_loaded = measures.of_urgency(beside_loaded, urgency)
        figures[f"{name}_p99_ratio"] = measures.p99_ratio(times_loaded, times_quiet)
        times = measures.times(times_loaded)
        figures[f"{name}_mean_s"] = times.mean_s
        figures[f"{name}_p50_s"] = times.p50_s
        figures[f"{name}_p99_s"] = times.p99_s
    return measures.finite(figures)
