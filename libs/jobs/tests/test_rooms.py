"""What no worker of a pool can ever run, and how long a job may wait."""

import attrs
import pytest

from papayaspar_jobs import configurations, rooms, specs

SMALL = rooms.WorkerKind(specs.Resources(16_000, 65_536, 0), ("a",), 4)
LARGE = rooms.WorkerKind(specs.Resources(64_000, 262_144, 8), ("b", "fast"), 2)
ROOM = rooms.PoolRoom("pool", True, (SMALL, LARGE), ("r1-0", "r1-1"), True)
QUEUE = configurations.Queue(
    "queue", "host", "/queue/", "pool", 3000, stretch=2.0, objective_ms=1000
)


def _job(*steps):
    return specs.JobSpec("0" * 16, "queue", "team", "", steps)


def _step(count=1, cpu=1000, memory=100, accelerators=0, **changes):
    step = specs.Step(count, specs.Resources(cpu, memory, accelerators), 4000)
    return attrs.evolve(step, **changes)


POSSIBLE = [
    _step(cpu=64_000, memory=262_144, accelerators=8),
    _step(required_label="fast", accelerators=8),
    _step(required_label="r1-1", accelerators=8),
    _step(2, accelerators=8, is_gang=True),
    _step(100, accelerators=8),
    _step(6, per_worker_max=1, is_gang=True),
    _step(is_filler=True, cpu=900_000),
]
IMPOSSIBLE = [
    (_step(cpu=64_001), "room"),
    (_step(memory=262_145), "room"),
    (_step(accelerators=9), "room"),
    (_step(required_label="a", accelerators=1), "room"),
    (_step(required_label="none"), "required_label"),
    (_step(3, accelerators=8, is_gang=True), "count"),
    (_step(7, per_worker_max=1, is_gang=True), "count"),
    (_step(3, required_label="fast", is_gang=True, cpu=64_000), "count"),
]


@pytest.mark.parametrize("step", POSSIBLE)
def test_what_some_workers_can_run_is_possible(step):
    assert rooms.find_impossible(_job(_step(), step), ROOM) is None


@pytest.mark.parametrize(("step", "field"), IMPOSSIBLE)
def test_what_no_worker_can_run_names_the_field(step, field):
    found = rooms.find_impossible(_job(_step(), step), ROOM)
    assert found is not None
    assert found.field == f"steps.1.{field}"


@pytest.mark.parametrize("step", [step for step, _ in IMPOSSIBLE])
@pytest.mark.parametrize(
    "room",
    [attrs.evolve(ROOM, is_known=False), attrs.evolve(ROOM, kinds=()), rooms.PoolRoom("pool")],
)
def test_nothing_is_impossible_in_a_pool_that_is_not_known(step, room):
    assert rooms.find_impossible(_job(step), room) is None


def test_label_may_be_that_of_a_rack_that_is_not_listed():
    room = attrs.evolve(ROOM, has_all_racks=False)
    assert rooms.find_impossible(_job(_step(required_label="r1-77")), room) is None
    assert rooms.find_impossible(_job(_step(required_label="r1-77", cpu=64_001)), room) is not None


def test_wait_is_that_of_the_resource_that_comes_last():
    room = attrs.evolve(ROOM, waits=(rooms.ExpectedWait(), rooms.ExpectedWait(10, 7, 40)))
    assert rooms.expected_wait_s(_job(_step()), room, 1) == 10
    assert rooms.expected_wait_s(_job(_step(accelerators=1)), room, 1) == 40
    assert rooms.expected_wait_s(_job(_step(accelerators=1)), room, 0) == 0
    assert rooms.expected_wait_s(_job(_step(accelerators=1)), room, 3) == 0


def test_wait_is_that_of_the_first_step_that_can_begin():
    room = attrs.evolve(ROOM, waits=(rooms.ExpectedWait(10, 10, 40),))
    steps = (_step(accelerators=1), _step(), _step(memory=0, cpu=0, after=(1,)))
    assert rooms.expected_wait_s(_job(*steps), room, 0) == 10


def test_job_is_useful_until_three_objectives_of_twice_its_estimate():
    assert rooms.useful_wait_s(_job(_step()), QUEUE) == 3 * (2.0 * 4.0 * 2 + 1.0) - 4.0
    assert rooms.punctual_wait_s(_job(_step()), QUEUE) == 2.0 * 4.0 + 1.0 - 4.0


def test_wide_jobs_take_a_large_part_of_a_pool():
    assert not rooms.is_wide(_job(_step(2, accelerators=1)), ROOM)
    assert rooms.is_wide(_job(_step(3, accelerators=1)), ROOM)
    assert rooms.pool_time_s(_job(_step(2, accelerators=1)), ROOM) == pytest.approx(4.0 * 2 / 16)
