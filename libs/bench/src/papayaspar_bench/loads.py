"""Generates seeded arrivals of requests, the same for all compared policies."""

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
    """The arrival of one request.

    :param at_s: arrival time, in seconds.
    :param service_s: time that the request occupies a slot, in seconds.
    :param request: the request; its deadline is on the same clock as the arrival time.
    """

    at_s: float
    service_s: float
    request: work.Request


def arrivals(
    streams: Iterable[deployments.Stream], seed: int, start_s: float, end_s: float
) -> list[Arrival]:
    """Return Poisson arrivals with log-normal service times.

    Each stream has its own random generator, so that adding a stream does not change the others.

    :param streams: streams of requests.
    :param seed: seed of the run.
    :param start_s: start of the arrivals, in seconds.
    :param end_s: end of the arrivals, in seconds.
    :return: arrivals in order of time.
    """
    return merge(*(_stream_arrivals(stream, seed, start_s, end_s) for stream in streams))


def merge(*loads: list[Arrival]) -> list[Arrival]:
    """Return the arrivals of several loads in order of time."""
    return sorted(itertools.chain(*loads), key=lambda arrival: arrival.at_s)


def _stream_arrivals(
    stream: deployments.Stream, seed: int, start_s: float, end_s: float
) -> list[Arrival]:
    stream_name = f"{stream.team}-{stream.kind}-{stream.caller_prefix}"
    rng = random.Random(f"{seed}-{stream_name}")
    log_mean = math.log(stream.service_s) - SERVICE_SIGMA**2 / 2
    generated: list[Arrival] = []
    at_s = start_s + rng.expovariate(stream.rate_per_s)
    while at_s < end_s:
        request = work.Request(
            request_id=f"{stream_name}-{len(generated)}",
            team=stream.team,
            caller=f"{stream.caller_prefix}-{rng.randrange(stream.callers)}",
            kind=stream.kind,
            urgency=stream.urgency,
            idempotent=True,
            deadline_s=at_s + stream.deadline_s,
            payload=b"",
        )
        generated.append(Arrival(at_s, rng.lognormvariate(log_mean, SERVICE_SIGMA), request))
        at_s += rng.expovariate(stream.rate_per_s)
    return generated
