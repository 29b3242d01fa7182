"""Tests of the dispatcher: what counts as a failure of a worker, and what earns retries."""

import itertools

import pytest
import trio
import trio.testing

from papayaspar_admission import budgets, queues
from papayaspar_entry import dispatcher
from papayaspar_events import journal, metrics
from papayaspar_membership import ejection, members
from papayaspar_model import causality, clock, errors, rulesets, work, workers
from papayaspar_wire import messages

SLOTS = 8
FLEET = 9
ANSWER_S = 0.01


class FakePeer:
    """Stream to one worker, which is lost with all its pending calls when told to."""

    def __init__(self, worker):
        self.worker = worker
        self.is_open = True
        self.lost = trio.Event()
        self.calls = 0
        self.busy_answers = 0

    async def call(self, message, timeout_s):
        """Answer after a while, unless the stream is lost first."""
        if not self.is_open:
            raise errors.PeerError("the stream is closed")
        self.calls += 1
        if self.calls <= self.busy_answers:
            raise errors.BusyError
        with trio.move_on_after(ANSWER_S):
            await self.lost.wait()
            raise errors.PeerError("the stream was lost", ran=errors.Ran.UNKNOWN)
        return messages.RequestAnswer(message.request_id, message.attempt, self.worker, 200, b"{}")

    def lose(self):
        """Lose the stream."""
        self.is_open = False
        self.lost.set()


class FakeSessions:
    """The newest stream to each worker."""

    def __init__(self):
        self.peers = {}

    def peer(self, worker):
        """Return the stream to a worker."""
        return self.peers[worker]


@pytest.fixture
def run():
    """Return a function that runs an async function in virtual time."""

    def run_in_virtual_time(function):
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))

    return run_in_virtual_time


@pytest.fixture
def clock_source():
    return clock.LoopClock()


@pytest.fixture
def sessions():
    return FakeSessions()


@pytest.fixture
def make_request():
    numbers = itertools.count()

    def make(deadline_s=60.0):
        request_id = f"req-{next(numbers)}"
        return work.Request(
            request_id, "a", "c", "check", work.Urgency.NORMAL, True, deadline_s, b"{}"
        )

    return make


@pytest.fixture
def make_dispatcher(clock_source, sessions):
    """Return a function that makes a dispatcher on a fleet of which only ``w0`` is connected.

    It must be called in virtual time.
    """

    def make(depth=256):
        table = members.MemberTable()
        detector = ejection.OutlierDetector(clock_source)
        for number in range(FLEET):
            identity = workers.WorkerIdentity(f"w{number}", 1, "r", "dc", "region")
            report = workers.WorkerReport(identity, workers.Capacity(SLOTS), 1, 0, False)
            table.observe(report)
            detector.add(identity.worker, identity.incarnation)
            if number > 0:
                table.mark_disconnected(identity, 0.0)
        sessions.peers["w0"] = FakePeer("w0")
        admission = queues.AdmissionQueue(clock_source, SLOTS)
        limits = tuple(
            rulesets.QueueLimit(urgency.value, urgency, depth) for urgency in work.Urgency
        )
        admission.apply(
            rulesets.RuleSet(revision=1, teams=(rulesets.Team("a", 1),), queue_limits=limits)
        )
        retries = budgets.RetryBudget(clock_source, rulesets.RetryBudget("r", 0.5, 0.0))
        hybrid_clock = causality.HybridClock(clock_source)
        events = journal.Journal("entry-1", "dc", hybrid_clock, metrics.Metrics())
        created = dispatcher.Dispatcher(
            table, sessions, admission, retries, detector, events, clock_source
        )
        return created, detector, retries

    return make


async def _run_ignoring_errors(request_dispatcher, request):
    try:
        await request_dispatcher.run(request)
    except errors.PapayasparError:
        return


def test_a_lost_stream_is_one_failure_of_its_worker(run, make_dispatcher, make_request, sessions):
    async def scenario():
        request_dispatcher, detector, _ = make_dispatcher()
        peer = sessions.peers["w0"]
        async with trio.open_nursery() as nursery:
            for _ in range(SLOTS):
                nursery.start_soon(_run_ignoring_errors, request_dispatcher, make_request())
            await trio.sleep(ANSWER_S / 2)
            peer.lose()
        assert peer.calls == SLOTS
        assert detector.status("w0") is ejection.EjectionStatus.ADMITTED

    run(scenario)


def test_each_lost_stream_is_a_failure_of_its_worker(run, make_dispatcher, make_request, sessions):
    async def scenario():
        request_dispatcher, detector, _ = make_dispatcher()
        for _ in range(ejection.EjectionLimits().consecutive_failures):
            assert detector.status("w0") is ejection.EjectionStatus.ADMITTED
            peer = sessions.peers["w0"] = FakePeer("w0")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_ignoring_errors, request_dispatcher, make_request())
                await trio.sleep(ANSWER_S / 2)
                peer.lose()
        assert detector.status("w0") is ejection.EjectionStatus.EJECTED

    run(scenario)


def test_requests_that_are_refused_earn_no_retries(run, make_dispatcher, make_request, sessions):
    async def scenario():
        request_dispatcher, _, retries = make_dispatcher(depth=1)
        async with trio.open_nursery() as nursery:
            for _ in range(SLOTS + 1):
                nursery.start_soon(_run_ignoring_errors, request_dispatcher, make_request())
            await trio.sleep(ANSWER_S / 2)
            for _ in range(100):
                await _run_ignoring_errors(request_dispatcher, make_request())
        assert [retries.try_spend() for _ in range(5)] == [True] * 4 + [False]

    run(scenario)


def test_a_request_that_is_sent_again_earns_retries_once(
    run, make_dispatcher, make_request, sessions
):
    async def scenario():
        request_dispatcher, _, retries = make_dispatcher()
        sessions.peers["w0"].busy_answers = 4
        await request_dispatcher.run(make_request())
        await request_dispatcher.run(make_request())
        assert sessions.peers["w0"].calls == 6
        assert [retries.try_spend() for _ in range(2)] == [True, False]

    run(scenario)
