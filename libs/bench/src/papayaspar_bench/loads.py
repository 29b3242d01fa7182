"""Seeded arrivals of requests, the same for every policy that is compared."""

import itertools
import math
import random
from collections.abc import Iterable

import attrs

from papayaspar_bench import deployments
from papayaspar_model import work

SERVICE_SIGMA = 0.5


@attrs.frozen
class Arrival:
    """One request, when it comes and how long it takes.

    :param at_s: when it comes.
    :param service_s: its time on a slot.
    :param request: the request; its deadline is on the same clock.
    """

    at_s: float
    service_s: float
    request: work.Request


def arrivals(
    streams: Iterable[deployments.Stream], seed: int, start_s: float, end_s: float
) -> list[Arrival]:
    """Draw Poisson arrivals with log-normal service times.

    Each stream draws from a generator of its own, so that adding one leaves the others alone.

    :param streams: what is sent.
    :param seed: seed of the run.
    :param start_s: first moment.
    :param end_s: last moment.
    :return: arrivals in order of time.
    """
    return merge(*(_stream_arrivals(stream, seed, start_s, end_s) for stream in streams))


def merge(*parts: list[Arrival]) -> list[Arrival]:
    """Return arrivals of several loads in order of time."""
    return sorted(itertools.chain(*parts), key=lambda arrival: arrival.at_s)


def _stream_arrivals(
    stream: deployments.Stream, seed: int, start_s: float, end_s: float
) -> list[Arrival]:
    name = f"{stream.team}-{stream.kind}-{stream.caller_prefix}"
    rng = random.Random(f"{seed}-{name}")
    log_mean = math.log(stream.service_s) - SERVICE_SIGMA**2 / 2
    found: list[Arrival] = []
    at_s = start_s + rng.expovariate(stream.rate_per_s)
    while at_s < end_s:
        request = work.Request(
            request_id=f"{name}-{len(found)}",
            team=stream.team,
            caller=f"{stream.caller_prefix}-{rng.randrange(stream.callers)}",
            kind=stream.kind,
            urgency=stream.urgency,
            idempotent=True,
            deadline_s=at_s + stream.deadline_s,
            payload=b"",
        )
        found.append(Arrival(at_s, rng.lognormvariate(log_mean, SERVICE_SIGMA), request))
        at_s += rng.expovariate(stream.rate_per_s)
    return found
