"""One failure at a time around the request to evacuate a data centre.

In each test small tasks keep coming, and the bound on starts in the evacuated data centre holds.
"""

import anyio
import pytest

from papayaspar_events import journal, lines
from papayaspar_jobs import specs
from papayaspar_lead import scheduling
from papayaspar_model import errors
from papayaspar_runs import workers
from papayaspar_standin import keyed_stores, memory_workers

pytestmark = pytest.mark.anyio

EVACUATED, OTHER = "dc-a", "dc-b"
BOUND_S = 4.0
JOB_INTERVAL_S = 0.1
ONE = specs.Resources(1000, 100, 1)


class TimedRunRecorder(memory_workers.RunRecorder):
    """Records when each run started.

    :param now_s: clock of the cluster.
    """

    def __init__(self, now_s):
        super().__init__()
        self._now_s = now_s
        self.started = []

    def record_start(self, task, run, worker):
        super().record_start(task, run, worker)
        self.started.append((self._now_s(), worker))


@pytest.fixture
def start_fleet(start_cluster, make_job):
    """Return a function that starts a cluster of two data centres with load."""

    async def start(cluster, entry_count=1):
        cluster.limits = scheduling.SchedulerLimits(6.0, evacuation_s=BOUND_S)
        cluster.run_recorder = TimedRunRecorder(cluster.clock.now_s)
        for number in range(1, entry_count + 1):
            await cluster.add_entry(f"entry-{number}")
            await cluster.wait_until(lambda: cluster.lead() != "")
        for node, data_centre in (("node-a", EVACUATED), ("node-b", OTHER)):
            worker = memory_workers.MemoryWorker(node, cluster.run_recorder, cluster.clock)
            worker.data_centre = data_centre
            await cluster.add_agent(node, worker)
        cluster._group.start_soon(_submit_forever, cluster, make_job)
        await cluster.wait_until(
            lambda: {worker for _, worker in cluster.run_recorder.started} == {"node-a", "node-b"}
        )

    return start


async def _submit_forever(cluster, make_job):
    """Submit tasks of which each worker alone can run eight, more than one worker can take."""
    number = 0
    while True:
        number += 1
        cluster.submit(make_job(number, specs.Step(6, ONE, 200)))
        await anyio.sleep(JOB_INTERVAL_S)


def _starts(cluster, worker, since_s):
    return [
        at_s for at_s, node in cluster.run_recorder.started if node == worker and at_s > since_s
    ]


async def _check_bound(cluster, requested_s):
    """Let the bound pass and some time more, and check that nothing starts there later."""
    await cluster.sleep(requested_s + BOUND_S + 2.0 - cluster.clock.now_s())
    assert _starts(cluster, "node-a", requested_s + BOUND_S) == []


def _in_force_lines(entry):
    events = entry.election._events.newest(journal.EVENTS_MAX)
    kind = lines.EventKind.EVACUATION_IN_FORCE
    return [event.detail for event in events if event.kind is kind]


async def test_nothing_starts_after_the_request_until_it_is_taken_back(start_cluster, start_fleet):
    async with start_cluster() as cluster:
        await start_fleet(cluster)
        requested_s = cluster.evacuate(EVACUATED)
        await _check_bound(cluster, requested_s)
        assert _starts(cluster, "node-a", requested_s + 0.5) == []
        assert _starts(cluster, "node-b", requested_s + BOUND_S)
        (line,) = _in_force_lines(cluster.entries["entry-1"])
        assert f"of={EVACUATED} " in line
        assert "workers=1 " in line
        taken_back_s = cluster.evacuate(EVACUATED, False)
        await cluster.wait_until(lambda: bool(_starts(cluster, "node-a", taken_back_s)), 5.0)


@pytest.mark.parametrize("pause_s", [0.0, 1.0], ids=["at-once", "later"])
async def test_lead_is_replaced_between_the_request_and_the_bound(
    start_cluster, start_fleet, pause_s
):
    async with start_cluster() as cluster:
        await start_fleet(cluster, entry_count=2)
        former = cluster.entries[cluster.lead()]
        requested_s = cluster.evacuate(EVACUATED)
        await cluster.sleep(pause_s)
        former.scope.cancel()
        await _check_bound(cluster, requested_s)
        (line,) = _in_force_lines(cluster.entries[cluster.lead()])
        assert "workers=1 " in line
        assert _starts(cluster, "node-b", requested_s + BOUND_S)


# The former lead keeps its streams to the agents, and the store hides the request from it.
@pytest.mark.parametrize("fault", ["SILENT", "BUSY", "LOST"])
async def test_lead_is_cut_from_the_store_just_before_the_request(
    start_cluster, start_fleet, fault
):
    async with start_cluster() as cluster:
        await start_fleet(cluster, entry_count=2)
        former = cluster.entries[cluster.lead()]
        former.store.fault = former.operators_store.fault = keyed_stores.StoreFault[fault]
        await cluster.sleep(0.05)
        requested_s = cluster.evacuate(EVACUATED)
        await _check_bound(cluster, requested_s)
        await cluster.wait_until(lambda: bool(_starts(cluster, "node-b", requested_s + BOUND_S)))
        assert _starts(cluster, "node-a", requested_s + BOUND_S) == []


@pytest.mark.parametrize("fault", ["HANGING_READS", "SILENT", "BUSY"])
async def test_lead_reads_the_request_late(start_cluster, start_fleet, fault):
    """Only the lead's reads of the operators' records get no answer; it stays lead."""
    async with start_cluster() as cluster:
        await start_fleet(cluster)
        (entry,) = cluster.entries.values()
        entry.operators_store.fault = keyed_stores.StoreFault[fault]
        await cluster.sleep(0.05)
        requested_s = cluster.evacuate(EVACUATED)
        await _check_bound(cluster, requested_s)
        entry.operators_store.fault = keyed_stores.StoreFault.NONE
        read_s = cluster.clock.now_s()
        await cluster.wait_until(lambda: bool(_starts(cluster, "node-b", read_s)), 5.0)
        assert _starts(cluster, "node-a", requested_s + BOUND_S) == []


async def test_start_without_an_answer_is_called_back(start_cluster, start_fleet):
    """The worker answers polls and stops, but no start; the agent would send it three times."""
    async with start_cluster() as cluster:
        await start_fleet(cluster)
        attempts_s = []

        async def start(order):
            attempts_s.append(cluster.clock.now_s())
            await anyio.sleep(0.8)
            raise workers.WorkerError("no answer", ran=errors.Ran.UNKNOWN)

        cluster.agents["node-a"].worker.start = start
        await cluster.wait_until(lambda: bool(attempts_s))
        requested_s = cluster.evacuate(EVACUATED)
        await _check_bound(cluster, requested_s)
        assert max(attempts_s) < requested_s + 0.5
        (line,) = _in_force_lines(cluster.entries["entry-1"])
        assert "withdrawn=0" not in line
