"""What the lead publishes of the pools' room: only what it knows, and nothing in calm."""

import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_jobs import configurations, durations, rooms, specs, tasks
from papayaspar_lead import room_summaries, state, workload
from papayaspar_model import causality, clock
from papayaspar_scheduling import fleet, ordering
from papayaspar_store import records, views

CAPACITY = specs.Resources(64_000, 262_144, 8)
QUEUES = tuple(
    configurations.Queue(name, "host", f"/{name}/", "pool", 3000, priority, 2, 3.0, 1000)
    for priority, name in enumerate(("urgent", "normal", "bulk"))
)
SETTLED_S = room_summaries.SETTLED_S
KIND_KEPT_S = room_summaries.KIND_KEPT_S


@attrs.define
class Link:
    """What the summary reads of a link to an agent."""

    worker: fleet.Worker
    is_attached: bool = True


@attrs.define
class Lead:
    """A lead with links to agents, and its summary."""

    clock_source: clock.ManualClock
    state: state.SchedulerState
    summary: room_summaries.RoomSummary | None = None
    published: records.RoomRecord | None = None
    published_count: int = 0

    def begin(self, epoch):
        """Let a new lead begin, with the record of the former one in its view."""
        self.summary = room_summaries.RoomSummary(self.state, epoch, durations.DeclaredDurations())

    def add(self, number, capacity=CAPACITY, labels=("a",), born=1, racks=4):
        node, rack = f"node-{number}", f"r1-{number % racks}"
        worker = fleet.Worker(
            node,
            "pool",
            tasks.Incarnation(node, born),
            capacity,
            frozenset((*labels, rack)),
            rack,
            is_open=True,
        )
        self.state.links[node] = Link(worker)
        self.state.view.agents[node] = records.AgentRecord(node, "127.0.0.1:1", node)
        return self.state.links[node]

    def remove(self, number):
        del self.state.links[f"node-{number}"]
        del self.state.view.agents[f"node-{number}"]

    def play(self, duration_s, demands=()):
        """Let time pass, and publish as the scheduler does; return the room of the pool."""
        end_s = self.clock_source.now_s() + duration_s
        while self.clock_source.now_s() < end_s:
            self.clock_source.advance(0.25)
            record = self.summary.updated(demands, self.clock_source.now_s())
            if record is not None:
                self.published = record
                self.published_count += 1
                self.state.view.apply(records.encode(records.ROOM_KEY, record))
        return self.published.pools[0]

    def demands(self, queue, count, late_s=0.0, estimate_ms=10_000, accelerators=8):
        """Return the demands of new jobs of a queue."""
        step = specs.Step(count, specs.Resources(8000, 1000, accelerators), estimate_ms)
        job_id = f"{len(self.state.view.jobs) + 1:016x}"
        spec = specs.JobSpec(job_id, queue.name, "team", "", (step,))
        self.state.view.jobs.accept(spec, queue, 0)
        now_s = self.clock_source.now_s()
        self.state.work.sync(self.state.view.jobs, now_s)
        progress = self.state.work.job(job_id).progress
        progress.create_due_tasks(0.0)
        rank = ordering.Rank.of(queue.priority, is_within_guarantee=False)
        return [
            ordering.Demand(unit, rank, now_s + 100.0 - late_s, now_s + 200.0 - late_s, 10.0, 0.0)
            for unit in progress.waiting_units(0.0)
        ]


@pytest.fixture
def lead() -> Lead:
    """Return a lead of a pool of four workers."""
    clock_source = clock.ManualClock(1000.0)
    events = journal.Journal("entry", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    work = workload.Workload(events)
    work.configure(configurations.Configuration(1, QUEUES, ()))
    view = views.SharedView(clock_source)
    lead = Lead(clock_source, state.SchedulerState(work, {}, view, clock_source, events))
    for number in range(4):
        lead.add(number)
    lead.begin(1024)
    return lead


def test_pool_is_known_once_all_its_workers_are_and_stay(lead):
    assert not lead.play(SETTLED_S - 1.0).is_known
    room = lead.play(2.0)
    assert room.is_known
    assert room.kinds == (rooms.WorkerKind(CAPACITY, ("a",), 4),)
    assert room.racks == ("r1-0", "r1-1", "r1-2", "r1-3")


def test_nothing_is_published_in_calm(lead):
    lead.play(SETTLED_S + 2.0)
    count = lead.published_count
    lead.play(60.0)
    assert lead.published_count == count


def _close(lead, is_attached, is_open):
    link = lead.state.links["node-1"]
    link.is_attached, link.worker.is_open = is_attached, is_open


# An agent without a worker that takes work: disconnected, draining, or only registered.
CLOSED = [
    lambda lead: _close(lead, False, True),
    lambda lead: _close(lead, True, False),
    lambda lead: lead.state.view.agents.update(
        {"node-9": records.AgentRecord("node-9", "127.0.0.1:1", "boot")}
    ),
]
# A worker that joins, one of another incarnation, and one that leaves.
CHANGES = [lambda lead: lead.add(9), lambda lead: lead.add(1, born=2), lambda lead: lead.remove(1)]


@pytest.mark.parametrize("change", [*CLOSED, *CHANGES])
def test_pool_is_not_known_after_a_change(lead, change):
    assert lead.play(SETTLED_S + 2.0).is_known
    change(lead)
    assert not lead.play(2.0).is_known


@pytest.mark.parametrize("change", CLOSED)
def test_pool_is_not_known_while_an_agent_has_no_worker_that_takes_work(lead, change):
    change(lead)
    assert not lead.play(KIND_KEPT_S - 1.0).is_known
    assert lead.play(SETTLED_S + 2.0).is_known


def test_what_a_worker_had_stays_possible_after_it_left(lead):
    large = specs.Resources(128_000, 524_288, 16)
    lead.add(4, large, ("large",))
    lead.play(5.0)
    lead.remove(4)
    assert rooms.WorkerKind(large, ("large",), 1) in lead.play(KIND_KEPT_S - 10.0).kinds
    room = lead.play(30.0)
    assert room.is_known
    assert [kind.labels for kind in room.kinds] == [("a",)]


def test_pool_was_as_wide_as_it_was_at_its_widest(lead):
    lead.play(5.0)
    lead.remove(3)
    assert lead.play(SETTLED_S + 5.0).kinds[0].worker_count == 4
    assert lead.play(KIND_KEPT_S).kinds[0].worker_count == 3


def test_new_lead_knows_what_the_former_one_saw(lead):
    large = specs.Resources(128_000, 524_288, 16)
    lead.add(4, large, ("large",))
    lead.play(5.0)
    lead.remove(4)
    lead.begin(2048)
    room = lead.play(SETTLED_S + 5.0)
    assert room.is_known
    assert rooms.WorkerKind(large, ("large",), 1) in room.kinds
    assert lead.published.epoch == 2048


def test_new_lead_that_can_not_read_what_was_seen_knows_nothing_for_long(lead):
    lead.play(5.0)
    lead.state.view.room, lead.state.view.is_room_unreadable = None, True
    lead.begin(2048)
    assert not lead.play(KIND_KEPT_S - 1.0).is_known
    assert lead.play(5.0).is_known


def test_record_is_small_whatever_the_fleet(lead):
    for number in range(4, 2000):
        lead.add(number, attrs.evolve(CAPACITY, cpu_millicores=60_000 + number), racks=200)
    room = lead.play(SETTLED_S + 2.0)
    assert room.is_known
    assert not room.has_all_racks
    assert len(records.encode(records.ROOM_KEY, lead.published).value) < 1024


def test_pool_with_many_sets_of_labels_is_not_known(lead):
    for number in range(4, 24):
        lead.add(number, labels=(f"label-{number}",))
    room = lead.play(SETTLED_S + 2.0)
    assert not room.is_known
    assert len(room.kinds) == room_summaries.KINDS_MAX


def test_wait_counts_higher_ranks_and_what_is_in_time_of_its_own(lead):
    """20 whole workers' work of 10 s on four workers takes 50 s, rounded down."""
    room = lead.play(1.0, lead.demands(QUEUES[1], 20))
    waits = [wait.accelerators_s for wait in room.waits]
    assert waits == [0, 0, 37, 37]
    assert [wait.cpu_s for wait in room.waits] == [0, 0, 5, 5]


def test_late_work_comes_before_lower_ranks_only(lead):
    room = lead.play(1.0, lead.demands(QUEUES[1], 20, late_s=150.0))
    assert [wait.accelerators_s for wait in room.waits] == [0, 0, 0, 37]


def test_worthless_work_comes_before_nothing(lead):
    assert lead.play(1.0, lead.demands(QUEUES[1], 20, late_s=300.0)).waits == ()


def test_running_work_comes_before_its_rank(lead):
    demands = lead.demands(QUEUES[2], 4, estimate_ms=30_000)
    for number, demand in enumerate(demands):
        node = f"node-{number}"
        incarnations = {node: tasks.Incarnation(node, 1)}
        lead.state.work.assign(demand.unit, (node,), incarnations, lead.clock_source.now_s())
    assert [wait.accelerators_s for wait in lead.play(1.0).waits] == [0, 0, 0, 25]


@pytest.mark.parametrize("change", CLOSED[:2])
def test_workers_that_may_return_count_as_capacity(lead, change):
    demands = lead.demands(QUEUES[1], 20)
    waits = lead.play(1.0, demands).waits
    change(lead)
    assert lead.play(2.0, demands).waits == waits


def test_new_lead_counts_the_workers_that_the_former_one_saw(lead):
    """It has heard of one of four workers; the work of all of them is stored."""
    demands = lead.demands(QUEUES[1], 20)
    waits = lead.play(1.0, demands).waits
    for number in range(1, 4):
        lead.state.links[f"node-{number}"] = Link(fleet.Worker(f"node-{number}"), False)
    lead.begin(2048)
    assert lead.play(2.0, demands).waits == waits


def test_changing_waits_are_published_at_most_each_second_and_rarely(lead):
    """The backlog falls from 100 s to none in as long; each entry reads every record.

    A record in five seconds is a few hundred bytes for each entry, less than one job.
    """
    demands = lead.demands(QUEUES[1], 40)
    lead.play(1.0)
    count = lead.published_count
    while demands:
        del demands[-1:]
        lead.play(2.5, demands)
    assert lead.published_count - count <= 20


@pytest.mark.parametrize(
    ("work", "capacity", "wait_s"), [(0, 8, 0), (39, 8, 0), (40, 8, 5), (8e6, 0, 0), (1600, 8, 193)]
)
def test_waits_are_rounded_down(work, capacity, wait_s):
    rounded_s = room_summaries.rounded_wait_s(work, capacity)
    assert rounded_s <= work / max(1, capacity)
    assert rounded_s == pytest.approx(wait_s, abs=65 if wait_s > 100 else 0)


# Guards against a wait that no record holds, and one that is not finite.
@pytest.mark.parametrize("work", [1e300, float("inf")])
def test_waits_have_a_longest_one(work):
    assert room_summaries.rounded_wait_s(work, 1) <= room_summaries.WAIT_MAX_S
