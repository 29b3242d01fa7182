"""Shared fixtures of the admission tests."""

import itertools

import pytest
import trio
import trio.testing

from papayaspar_admission import queues
from papayaspar_model import clock, errors, rulesets, work


@pytest.fixture
def run():
    """Return a function that runs an async function in virtual time."""

    def run_in_virtual_time(function):
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))

    return run_in_virtual_time


@pytest.fixture
def make_request():
    """Return a function that makes requests with unique identifiers."""
    numbers = itertools.count()

    def make(team="a", caller="c", urgency=work.Urgency.NORMAL, deadline_s=1e6, kind="check"):
        return work.Request(
            request_id=f"req-{next(numbers)}",
            team=team,
            caller=caller,
            kind=kind,
            urgency=urgency,
            idempotent=True,
            deadline_s=deadline_s,
            payload=b"{}",
        )

    return make


@pytest.fixture
def make_rules():
    """Return a function that makes rules.

    Keyword arguments map a team name to (weight, guaranteed slots, quota slots).
    """

    def make(revision=1, limits=(), **teams):
        return rulesets.RuleSet(
            revision=revision,
            teams=tuple(rulesets.Team(name, values[0]) for name, values in teams.items()),
            slot_guarantees=tuple(
                rulesets.SlotGuarantee(f"g-{name}", name, values[1])
                for name, values in teams.items()
            ),
            quotas=tuple(
                rulesets.Quota(f"q-{name}", name, slots=values[2])
                for name, values in teams.items()
                if values[2] is not None
            ),
            queue_limits=tuple(limits),
        )

    return make


@pytest.fixture
def make_queue():
    """Return a function that makes a queue with rules on the event loop's clock."""

    def make(rules, capacity):
        queue = queues.AdmissionQueue(clock.LoopClock(), capacity)
        queue.apply(rules)
        return queue

    return make


class RecordingClient:
    """Sends requests as tasks that hold a slot for a service time, and records their results."""

    def __init__(self, nursery, queue):
        self.nursery = nursery
        self.queue = queue
        self.started = []
        self.refused = []

    async def send(self, request, service_s=1.0):
        """Start one request and wait until it is in the queue."""
        self.nursery.start_soon(self._serve, request, service_s)
        await trio.testing.wait_all_tasks_blocked()

    async def _serve(self, request, service_s):
        try:
            ticket = await self.queue.acquire(request)
        except errors.PapayasparError as error:
            self.refused.append((request, error))
            return
        self.started.append(request)
        try:
            await trio.sleep(service_s)
        finally:
            self.queue.release(ticket)

    def count(self, **fields):
        """Return the number of started requests with the given field values."""
        return sum(
            all(getattr(request, name) == value for name, value in fields.items())
            for request in self.started
        )


@pytest.fixture
def client_class():
    """Return the class that sends requests."""
    return RecordingClient
