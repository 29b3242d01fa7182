"""One kind of work floods in at ten times the capacity of the fleet."""

import random

import attrs

from papayaspar_bench import deployments, experiments, fleets, loads, measures, policies
from papayaspar_model import work, workers

WARM_UP_S = 20.0
FLOOD_S = 30.0
FLOOD_FACTOR = 10.0
FLOODS = (work.Urgency.BATCH, work.Urgency.URGENT)
FLOOD_PREFIX = "flood"


@attrs.frozen
class Comparison:
    """A quiet and a flooded run of one policy, without the flood's own requests.

    :param quiet: answers of the quiet run.
    :param flooded: answers to the same requests in the flooded run.
    :param flood: answers to the flood.
    :param protected: teams within their guarantee.
    """

    quiet: list[fleets.Answer]
    flooded: list[fleets.Answer]
    flood: list[fleets.Answer]
    protected: tuple[str, ...]


class Flood(experiments.Experiment):
    """Compares the admission queue with one FIFO queue under a flood."""

    name = "flood"
    summary = "one kind of work at 10 times the capacity, beside one FIFO queue"

    def run(self, seed: int) -> experiments.Outcome:
        """Run both deployments, both floods and both policies."""
        figures: dict[str, float] = {}
        violations: list[str] = []
        for deployment in deployments.DEPLOYMENTS:
            self._run_deployment(deployment, seed, figures, violations)
        return experiments.Outcome(self.name, seed, figures, tuple(violations))

    def _run_deployment(
        self,
        deployment: deployments.Deployment,
        seed: int,
        figures: dict[str, float],
        violations: list[str],
    ) -> None:
        flooder = random.Random(seed).choice(deployment.rules.teams).name
        ordinary = loads.arrivals(deployment.streams, seed, 0.0, WARM_UP_S + FLOOD_S)
        for policy in policies.ALL:
            quiet = fleets.simulate(policy, deployment.rules, ordinary)
            violations.extend(quiet.violations)
            for urgency in FLOODS:
                flood = _flood_arrivals(deployment.stream_of(flooder, urgency), seed)
                mixed = sorted(ordinary + flood, key=lambda arrival: arrival.at_s)
                flooded = fleets.simulate(policy, deployment.rules, mixed)
                violations.extend(flooded.violations)
                label = f"{deployment.name}_{urgency.value}_flood_{policy.name}"
                comparison = _compare(deployment, flooder, quiet, flooded)
                figures.update(_figures(label, comparison))


def _flood_arrivals(stream: deployments.Stream, seed: int) -> list[loads.Arrival]:
    capacity_slots = deployments.WORKERS * workers.Capacity().slots
    flood = attrs.evolve(
        stream, load_slots=FLOOD_FACTOR * capacity_slots, caller_prefix=FLOOD_PREFIX
    )
    return loads.arrivals([flood], seed, WARM_UP_S, WARM_UP_S + FLOOD_S)


def _compare(
    deployment: deployments.Deployment,
    flooder: str,
    quiet: fleets.Fleet,
    flooded: fleets.Fleet,
) -> Comparison:
    measured = [answer for answer in flooded.answers if answer.at_s >= WARM_UP_S]
    return Comparison(
        quiet=[answer for answer in quiet.answers if answer.at_s >= WARM_UP_S],
        flooded=[answer for answer in measured if not _is_flood(answer)],
        flood=[answer for answer in measured if _is_flood(answer)],
        protected=tuple(team for team in deployment.guaranteed_teams if team != flooder),
    )


def _is_flood(answer: fleets.Answer) -> bool:
    return answer.request.caller.startswith(FLOOD_PREFIX)


def _figures(label: str, runs: Comparison) -> dict[str, float]:
    kept_ratios = []
    p99_ratios = []
    for team in runs.protected:
        quiet = measures.of_team(runs.quiet, team)
        flooded = measures.of_team(runs.flooded, team)
        kept_ratios.append(measures.kept_ratio(flooded, quiet))
        urgent = measures.of_urgency(flooded, work.Urgency.URGENT)
        urgent_quiet = measures.of_urgency(quiet, work.Urgency.URGENT)
        p99_ratios.append(measures.p99_ratio(urgent, urgent_quiet))
    figures = {
        f"{label}_kept_min_ratio": min(kept_ratios),
        f"{label}_urgent_p99_max_ratio": max(p99_ratios),
        f"{label}_all_kept_ratio": measures.kept_ratio(runs.flooded, runs.quiet),
        f"{label}_goodput_per_s": len(measures.done(runs.flooded + runs.flood)) / FLOOD_S,
    }
    for urgency in work.Urgency:
        times = measures.times(measures.of_urgency(runs.flooded, urgency))
        quiet_times = measures.times(measures.of_urgency(runs.quiet, urgency))
        figures[f"{label}_{urgency.value}_mean_s"] = times.mean_s
        figures[f"{label}_{urgency.value}_p50_s"] = times.p50_s
        figures[f"{label}_{urgency.value}_p99_s"] = times.p99_s
        figures[f"{label}_{urgency.value}_quiet_p99_s"] = quiet_times.p99_s
    return figures
