"""Seeded streams of jobs whose declared run times are far off."""

import math
import random

import attrs

from papayaspar_model import rulesets, work

MOST_OFF_RATIO = 10.0
RUN_TIME_SIGMA = 0.5
LONGEST_RUN_S = 2 * 3600.0
DECLARED_SIGMA = 0.3
STEADY_SHARE_RATIO = 0.7


@attrs.frozen
class Kind:
    """One kind of work of one team.

    :param team: whose work.
    :param name: name of the kind.
    :param shape: its shape.
    :param mean_s: mean of its true run times.
    :param weight: share of all arrivals, relative to other kinds.
    :param checkpoint: whether it can checkpoint.
    :param idempotent: whether it may run twice.
    :param bias_ratio: declared by true run time; 0 if declared times say nothing.
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
    """One job to be handed in.

    :param at_s: virtual time.
    :param job: the job, as declared.
    :param true_s: its true run time.
    """

    at_s: float
    job: work.Job
    true_s: float


def arrivals(
    rng: random.Random, kinds: tuple[Kind, ...], load_accelerators: float, until_s: float
) -> tuple[Arrival, ...]:
    """Return jobs that arrive at random and keep a number of accelerators busy on average.

    :param rng: source of randomness.
    :param kinds: kinds of work.
    :param load_accelerators: accelerators busy on average.
    :param until_s: virtual time of the last arrival.
    """
    weights = [kind.weight for kind in kinds]
    total = sum(weights)
    work_s = sum(kind.weight * kind.mean_s * kind.shape.accelerators for kind in kinds) / total
    found: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(load_accelerators / work_s)
        if at_s > until_s:
            return tuple(found)
        kind = rng.choices(kinds, weights)[0]
        found.append(_arrival(rng, kind, at_s, len(found)))


def _arrival(rng: random.Random, kind: Kind, at_s: float, number: int) -> Arrival:
    true_s = kind.mean_s * rng.lognormvariate(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)
    true_s = min(true_s, LONGEST_RUN_S)
    if kind.bias_ratio > 0:
        off_ratio = kind.bias_ratio * rng.lognormvariate(0.0, DECLARED_SIGMA)
    else:
        off_ratio = random_factor(rng)
    declared_s = true_s * min(MOST_OFF_RATIO, max(1 / MOST_OFF_RATIO, off_ratio))
    job = work.Job(
        job_id=f"job-{number:06d}",
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
    """Return a factor of up to 10 in either direction, uniform in its logarithm."""
    return math.exp(rng.uniform(-math.log(MOST_OFF_RATIO), math.log(MOST_OFF_RATIO)))


def churn(rng: random.Random) -> tuple[Kind, ...]:
    """Return kinds of small and large work of four teams; declared times are off by up to 10x."""
    rack = work.Adjacency.RACK
    mixes = (
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
        for number, (shape, mean_s, weight) in enumerate(mixes):
            is_steady = rng.random() < STEADY_SHARE_RATIO
            checkpoint = rng.random() < 0.7
            kinds.append(
                Kind(
                    team=f"team-{team}",
                    name=f"kind-{number}",
                    shape=shape,
                    mean_s=mean_s * math.exp(rng.uniform(-math.log(6), math.log(6))),
                    weight=weight,
                    checkpoint=checkpoint,
                    idempotent=rng.random() < 0.7 or shape.accelerators >= 4,
                    bias_ratio=random_factor(rng) if is_steady else 0.0,
                )
            )
    return tuple(kinds)


def guarantees(instances: int) -> tuple[rulesets.Guarantee, ...]:
    """Return guarantees of three of the four teams, which leave room for borrowing.

    :param instances: instances of each guarantee.
    """
    wide = work.Shape(8, 1, work.Adjacency.RACK)
    return (
        rulesets.Guarantee("whole-worker", "team-0", work.Shape(1, 8), instances),
        rulesets.Guarantee("wide-gang", "team-1", wide, instances),
        rulesets.Guarantee("half-worker", "team-2", work.Shape(1, 4), instances),
    )
