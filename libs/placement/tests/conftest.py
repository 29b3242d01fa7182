"""Shared fixtures of the placement tests."""

import pytest

from papayaspar_estimates import quantiles
from papayaspar_model import rulesets, work, workers
from papayaspar_placement import completions, fleet, queues, shape_keeping


@pytest.fixture
def rack_of():
    """Return a function that makes the inventory of one rack of workers."""

    def make(rack, count=3, accelerators=8, data_centre="dc-1"):
        ranges = tuple(
            workers.AcceleratorRange(f"{rack}-w{number}", tuple(range(accelerators)))
            for number in range(count)
        )
        return rulesets.RackInventory(rack, data_centre, ranges)

    return make


@pytest.fixture
def guarantee_of():
    """Return a function that makes a guarantee of rack-adjacent shapes."""

    def make(name, tasks, accelerators, count=1, team=None, data_centre=None, adjacency="rack"):
        shape = work.Shape(tasks, accelerators, work.Adjacency(adjacency))
        return rulesets.Guarantee(name, team or name, shape, count, data_centre)

    return make


@pytest.fixture
def job_of():
    """Return a function that makes a job, which can checkpoint by default."""

    def make(
        job_id,
        team="blue",
        tasks=1,
        accelerators=1,
        adjacency="any",
        checkpoint=True,
        idempotent=False,
        urgency=work.Urgency.NORMAL,
        run_time_s=100.0,
    ):
        shape = work.Shape(tasks, accelerators, work.Adjacency(adjacency))
        return work.Job(job_id, team, "kind", urgency, shape, run_time_s, checkpoint, idempotent)

    return make


@pytest.fixture
def report_of():
    """Return a function that makes a report of a worker named ``RACK-wN``."""

    def make(worker, sequence=1, incarnation=1, gangs=(), draining=False):
        rack = worker.rsplit("-", 1)[0]
        identity = workers.WorkerIdentity(worker, incarnation, rack, "dc-1", "bengal")
        return workers.WorkerReport(
            identity, workers.Capacity(), sequence, 0, draining, tuple(gangs)
        )

    return make


@pytest.fixture
def use_of():
    """Return a function that makes a gang's use of accelerators of one worker."""

    def make(job_id, accelerators, attempt=1, team="blue"):
        return workers.GangUse(job_id, attempt, team, accelerators, True, True, 5.0, 10.0)

    return make


@pytest.fixture
def view_of(report_of):
    """Return a function that makes a view of empty racks of three workers."""

    def make(*racks, homes=()):
        view = fleet.FleetView()
        view.set_homes(homes)
        for rack in racks:
            for number in range(3):
                view.observe(report_of(f"{rack}-w{number}"), 0.0)
        return view

    return make


@pytest.fixture
def start_job():
    """Return a function that starts a job on given accelerators of a view."""

    def start(view, job, *ranges):
        tasks = tuple(
            workers.AcceleratorRange(worker, tuple(numbers)) for worker, numbers in ranges
        )
        view.assume(job, workers.Placement(tasks))

    return start


@pytest.fixture
def completion_estimator():
    """Return an estimator without observations."""
    return completions.CompletionEstimator(quantiles.DurationEstimator())


@pytest.fixture
def queue(completion_estimator):
    """Return an empty queue with the shape-keeping policy."""
    return queues.JobQueue(shape_keeping.ShapeKeeping(completion_estimator), completion_estimator)
