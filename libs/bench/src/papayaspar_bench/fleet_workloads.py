"""Generates seeded streams of jobs whose declared run times are inaccurate."""

import math
import random

import attrs

from papayaspar_model import rulesets, work

DECLARED_ERROR_MAX_RATIO = 10.0
RUN_TIME_SIGMA = 0.5
RUN_TIME_MAX_S = 2 * 3600.0
DECLARED_SIGMA = 0.3
BIASED_KINDS_RATIO = 0.7


@attrs.frozen
class Kind:
    """One kind of work of one team.

    :param team: name of the team.
    :param name: name of the kind.
    :param shape: shape of its gangs.
    :param mean_s: mean of its true run times, in seconds.
    :param weight: frequency of its arrivals, relative to that of other kinds.
    :param checkpoint: whether its gangs can save checkpoints.
    :param idempotent: whether its jobs may run twice.
    :param bias_ratio: median ratio of declared to true run time; 0 if this ratio is random for each
        job.
    """

    team: str
    name: str
    shape: work.Shape
    mean_s: float
    weight: float
    checkpoint: bool
    idempotent: bool
    bias_ratio: float


@attrs.frozen
class Arrival:
    """The arrival of one job.

    :param at_s: virtual time of the arrival, in seconds.
    :param job: the job, with its declared run time.
    :param true_s: true run time, in seconds.
    """

    at_s: float
    job: work.Job
    true_s: float


def arrivals(
    rng: random.Random, kinds: tuple[Kind, ...], load_accelerators: float, end_s: float
) -> tuple[Arrival, ...]:
    """Return Poisson arrivals of jobs that keep a number of accelerators busy on average.

    :param rng: random generator.
    :param kinds: kinds of work.
    :param load_accelerators: accelerators that are busy on average.
    :param end_s: virtual time at which arrivals end, in seconds.
    """
    weights = [kind.weight for kind in kinds]
    total_weight = sum(weights)
    mean_accelerator_s = (
        sum(kind.weight * kind.mean_s * kind.shape.accelerators for kind in kinds) / total_weight
    )
    generated: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(load_accelerators / mean_accelerator_s)
        if at_s > end_s:
            return tuple(generated)
        kind = rng.choices(kinds, weights)[0]
        generated.append(_arrival(rng, kind, at_s, len(generated)))


def _arrival(rng: random.Random, kind: Kind, at_s: float, index: int) -> Arrival:
    true_s = kind.mean_s * rng.lognormvariate(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)
    true_s = min(true_s, RUN_TIME_MAX_S)
    if kind.bias_ratio > 0:
        error_ratio = kind.bias_ratio * rng.lognormvariate(0.0, DECLARED_SIGMA)
    else:
        error_ratio = random_factor(rng)
    declared_s = true_s * min(
        DECLARED_ERROR_MAX_RATIO, max(1 / DECLARED_ERROR_MAX_RATIO, error_ratio)
    )
    job = work.Job(
        job_id=f"job-{index:06d}",
        team=kind.team,
        kind=kind.name,
        urgency=work.Urgency.NORMAL,
        shape=kind.shape,
        run_time_s=declared_s,
        checkpoint=kind.checkpoint,
        idempotent=kind.idempotent,
    )
    return Arrival(at_s, job, true_s)


def random_factor(rng: random.Random) -> float:
    """Return a log-uniform random factor between 1/10 and 10."""
    return math.exp(
        rng.uniform(-math.log(DECLARED_ERROR_MAX_RATIO), math.log(DECLARED_ERROR_MAX_RATIO))
    )


def churn_kinds(rng: random.Random) -> tuple[Kind, ...]:
    """Return kinds of small and large work of four teams.

    Declared run times are up to ten times too long or too short.
    """
    rack = work.Adjacency.RACK
    shapes = (
        (work.Shape(1, 1), 600.0, 30.0),
        (work.Shape(1, 2), 900.0, 20.0),
        (work.Shape(1, 3), 900.0, 8.0),
        (work.Shape(2, 2, rack), 1200.0, 8.0),
        (work.Shape(1, 4), 1200.0, 8.0),
        (work.Shape(8, 1, rack), 1800.0, 4.0),
        (work.Shape(1, 8), 1800.0, 4.0),
    )
    kinds: list[Kind] = []
    for team in range(4):
        for index, (shape, mean_s, weight) in enumerate(shapes):
            is_biased = rng.random() < BIASED_KINDS_RATIO
            checkpoint = rng.random() < 0.7
            kinds.append(
                Kind(
                    team=f"team-{team}",
                    name=f"kind-{index}",
                    shape=shape,
                    mean_s=mean_s * math.exp(rng.uniform(-math.log(6), math.log(6))),
                    weight=weight,
                    checkpoint=checkpoint,
                    idempotent=rng.random() < 0.7 or shape.accelerators >= 4,
                    bias_ratio=random_factor(rng) if is_biased else 0.0,
                )
            )
    return tuple(kinds)


def guarantees(instances: int) -> tuple[rulesets.Guarantee, ...]:
    """Return guarantees of three of the four teams, which leave accelerators for borrowed work.

    :param instances: number of instances of each guarantee.
    """
    wide_shape = work.Shape(8, 1, work.Adjacency.RACK)
    return (
        rulesets.Guarantee("whole-worker", "team-0", work.Shape(1, 8), instances),
        rulesets.Guarantee("wide-gang", "team-1", wide_shape, instances),
        rulesets.Guarantee("half-worker", "team-2", work.Shape(1, 4), instances),
    )
