"""Shared fixtures: a ledger, and a simulated fleet of agents over a faulty network."""

import collections
import enum
import itertools
import random

import anyio
import attrs
import pytest
import trio
import trio.testing

from papayaspar_model import clock, errors, rulesets, work, workers
from papayaspar_slots import agents, claims, gang_clients, launches, ledger, peers, runners, timings

ANCHOR_HOME = rulesets.Home(
    "anchor-4", "anchor", 0, (workers.AcceleratorRange("w0", (0, 1, 2, 3)),)
)
ROUNDING_S = 1e-6


class Fault(enum.Enum):
    """Fault injected into one message."""

    LOSE = "lose"
    LOSE_ANSWER = "lose_answer"
    DELAY = "delay"
    LONG_DELAY = "long_delay"
    REPEAT = "repeat"


@attrs.define
class Run:
    """One run of one task, as recorded by the runtime."""

    worker: str
    order: runners.TaskOrder
    started_s: float | None = None
    lease_until_s: float = 0.0
    stopped_s: float = float("inf")

    @property
    def done_s(self):
        return self.started_s + self.order.run_time_s

    @property
    def ended_s(self):
        return min(self.lease_until_s, self.stopped_s, self.done_s)

    @property
    def done(self):
        return self.ended_s == self.done_s


class FreezableClock(clock.LoopClock):
    """Clock of one process; its reading does not change while the process is frozen."""

    def __init__(self):
        self.frozen_s = None

    def now_s(self):
        return super().now_s() if self.frozen_s is None else self.frozen_s


class FakeRuntime(runners.TaskRunner):
    """Runtime that stops tasks when their lease expires, independent of the agent."""

    def __init__(self, node):
        self.node = node
        self.runs = {}
        self.failing_methods = set()

    async def prepare(self, order):
        await self._enter("prepare")
        self.runs.setdefault((order.fence, order.share.task), Run(self.node.worker, order))

    async def start(self, fence, task, lease_until_s):
        await self._enter("start")
        run = self.runs[fence, task]
        if run.started_s is None and anyio.current_time() < min(lease_until_s, run.stopped_s):
            run.started_s, run.lease_until_s = anyio.current_time(), lease_until_s

    async def renew(self, fence, task, lease_until_s):
        await self._enter("renew")
        run = self.runs[fence, task]
        if run.started_s is None:
            return runners.TaskState.STOPPED
        if anyio.current_time() < run.ended_s:
            run.lease_until_s = max(run.lease_until_s, lease_until_s)
            return runners.TaskState.RUNNING
        return runners.TaskState.DONE if run.done else runners.TaskState.STOPPED

    async def throttle(self, fence, task, share_ratio):
        await self._enter("throttle")

    async def checkpoint(self, fence, task):
        await self._enter("checkpoint")

    async def stop(self, fence, task):
        await self._enter("stop")
        if (fence, task) in self.runs:
            self.stop_run(self.runs[fence, task])

    def stop_run(self, run):
        run.stopped_s = min(run.stopped_s, anyio.current_time())

    async def _enter(self, name):
        await self.node.wait_unfrozen()
        if name in self.failing_methods:
            raise errors.TargetError(name)


def forward(name, component):
    """Return a method that sends its message to the members or the lead object of an agent."""

    async def call(self, worker, message):
        return await self.fleet.send(self, worker, name, component, message)

    return call


class Node(peers.GangPeers, peers.GangAgents):
    """One process: an agent with its runtime, or an entry."""

    def __init__(self, fleet, worker):
        self.fleet, self.worker = fleet, worker
        self.clock = FreezableClock()
        self.unfrozen = anyio.Event()
        self.runtime = FakeRuntime(self)
        self.agent = self.scope = None

    async def run_agent(self, quarantine_s):
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as group:
                capacity = workers.Capacity()
                worker_ledger = ledger.Ledger(self.worker, capacity, self.clock, quarantine_s)
                worker_ledger.set_homes((ANCHOR_HOME,), 1)
                self.agent = agents.GangAgent(
                    worker_ledger, self.runtime, self, self.clock, group, self.fleet.times
                )
                await anyio.sleep_forever()

    def freeze(self):
        self.clock.frozen_s = anyio.current_time()

    def unfreeze(self):
        self.clock.frozen_s = None
        self.unfrozen.set()
        self.unfrozen = anyio.Event()

    async def wait_unfrozen(self):
        while self.clock.frozen_s is not None:
            await self.unfrozen.wait()

    def kill_agent(self):
        self.agent = None
        if self.scope is not None:
            self.scope.cancel()

    def kill_host(self):
        self.kill_agent()
        for run in self.runtime.runs.values():
            self.runtime.stop_run(run)

    arm = forward("arm", "members")
    reserve = forward("reserve", "members")
    unreserve = forward("unreserve", "members")
    inquire_part = forward("inquire_part", "members")
    renew = forward("renew", "lead")
    preempt = forward("preempt", "lead")
    launch = forward("launch", "lead")
    inquire = forward("inquire", "lead")
    cancel = forward("cancel", "lead")
    acknowledge = forward("acknowledge", "lead")


def overlaps(groups):
    """Yield each pair of runs in the same group that overlap in time."""
    for runs in groups.values():
        for first, second in itertools.combinations(runs, 2):
            overlap_s = min(first.ended_s, second.ended_s) - max(first.started_s, second.started_s)
            if overlap_s > ROUNDING_S:
                yield first, second


def longest_isolated_s(runs, fence, tasks):
    """Return the longest time a task ran while another of its gang neither ran nor was done."""
    by_task = {run.order.share.task: run for run in runs if run.order.fence == fence}
    longest_s = 0.0
    for run, task in itertools.product(by_task.values(), range(tasks)):
        other_run = by_task.get(task)
        if other_run is None:
            longest_s = max(longest_s, run.ended_s - run.started_s)
            continue
        longest_s = max(longest_s, min(other_run.started_s, run.ended_s) - run.started_s)
        if not other_run.done:
            longest_s = max(longest_s, run.ended_s - max(other_run.ended_s, run.started_s))
    return longest_s


class Fleet:
    """Agents and entries over a network that loses, delays and repeats configured messages."""

    def __init__(self, group, size, seed, times=None):
        self.group, self.times = group, times or timings.Timings()
        self.rng = random.Random(seed)
        self.nodes = {f"w{index}": Node(self, f"w{index}") for index in range(size)}
        self.faults = {}
        self.partitions = collections.Counter()
        self.lost_methods = set()
        self.sent = collections.Counter()
        self.on_message = {}
        self.on_answer = {}
        self.gangs = {}
        for node in self.nodes.values():
            group.start_soon(node.run_agent, 0.0)

    def entry(self, name="entry-1"):
        node = Node(self, name)
        launcher = launches.Launcher(name, node, random.Random(name), self.times)
        return launcher, gang_clients.GangClient(node, self.times)

    async def launch(self, job, placement, attempt=1, entry="entry-1"):
        self.gangs[claims.Fence(job.job_id, attempt)] = job.shape.tasks
        return await self.entry(entry)[0].launch(job, placement, attempt)

    async def send(self, sender, worker, name, component, message):
        number = self.sent.total()
        self.sent[name] += 1
        if number in self.on_message:
            self.on_message[number]()
        await sender.wait_unfrozen()
        answered, answers = anyio.Event(), []
        fault = self.faults.get(number)
        call = (number, component, name, message)
        for _ in range(2 if fault is Fault.REPEAT else 1):
            self.group.start_soon(self._deliver, sender, worker, call, fault, answers, answered)
        await answered.wait()
        await sender.wait_unfrozen()
        answer, error = answers[0]
        if error is not None:
            raise error
        return answer

    async def _deliver(self, sender, worker, call, fault, answers, answered):
        number, component, name, message = call
        delays_s = {Fault.DELAY: 3.0, Fault.LONG_DELAY: 12.0}
        await anyio.sleep(delays_s.get(fault, 0.0) + self.rng.uniform(0.0005, 0.002))
        if (
            fault is Fault.LOSE
            or name in self.lost_methods
            or self._is_partitioned(sender.worker, worker)
        ):
            return
        node = self.nodes[worker]
        await node.wait_unfrozen()
        if node.agent is None:
            return
        try:
            answer = getattr(getattr(node.agent, component), name)(message)
            answers.append((await answer if name == "inquire" else answer, None))
        except errors.PapayasparError as error:
            answers.append((None, error))
        await node.wait_unfrozen()
        if number in self.on_answer:
            self.on_answer[number]()
        await anyio.sleep(self.rng.uniform(0.0005, 0.002))
        if fault is not Fault.LOSE_ANSWER and not self._is_partitioned(sender.worker, worker):
            answered.set()

    def _is_partitioned(self, first, second):
        return self.partitions[first] != self.partitions[second]

    def runs(self, fence=None):
        started_runs = []
        for node in self.nodes.values():
            for run in node.runtime.runs.values():
                if run.started_s is not None and fence in (None, run.order.fence):
                    started_runs.append(run)
        return started_runs

    def running(self, fence):
        return sum(run.ended_s > anyio.current_time() for run in self.runs(fence))

    def held(self):
        nodes = [node for node in self.nodes.values() if node.agent is not None]
        return [use for node in nodes for use in node.agent.ledger.uses()]

    def check(self):
        """Check the safety properties of the protocol against the records of the runtimes."""
        by_job, by_worker = collections.defaultdict(list), collections.defaultdict(list)
        for run in self.runs():
            by_job[run.order.fence.job_id].append(run)
            by_worker[run.worker].append(run)
        for first, second in overlaps(by_job):
            assert first.order.fence == second.order.fence, "two attempts of a job overlap"
        for first, second in overlaps(by_worker):
            shared = set(first.order.share.accelerators) & set(second.order.share.accelerators)
            assert not shared, "two tasks overlap on one accelerator"
        for fence, tasks in self.gangs.items():
            isolated_s = longest_isolated_s(by_job[fence.job_id], fence, tasks)
            assert isolated_s <= self.times.isolated_run_max_s + ROUNDING_S


@pytest.fixture
def fault_type():
    return Fault


@pytest.fixture
def run_fleet(monkeypatch):
    """Return a function that runs a scenario on a fleet in virtual time, then checks the runs."""

    def run(scenario, size=4, seed=1, times=None):
        async def main():
            async with anyio.create_task_group() as group:
                fleet = Fleet(group, size, seed, times)
                await anyio.sleep(0.01)
                await scenario(fleet)
                fleet.check()
                group.cancel_scope.cancel()
            return fleet

        # Trio shuffles the runnable tasks; a seeded shuffle makes each run repeatable.
        monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)
        trio._core._run._r.seed(seed)
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


@pytest.fixture
def make_gang():
    """Return a factory of jobs and their placements over some workers."""

    def make(job_id="job-1", on=("w0", "w1", "w2"), tasks_each=1, numbers=(0, 1), **changes):
        fields = {
            "job_id": job_id,
            "team": "guest",
            "kind": "train",
            "urgency": work.Urgency.NORMAL,
            "run_time_s": 30.0,
            "checkpoint": True,
            "idempotent": False,
        }
        guarantee = changes.pop("guarantee", "")
        places = []
        for worker, index in itertools.product(on, range(tasks_each)):
            shifted = tuple(number + index * len(numbers) for number in numbers)
            places.append(workers.AcceleratorRange(worker, shifted))
        shape = work.Shape(len(places), len(numbers))
        job = work.Job(shape=shape, **(fields | changes))
        return job, workers.Placement(tuple(places), guarantee)

    return make


@pytest.fixture
def manual_clock():
    return clock.ManualClock(1000.0)


@pytest.fixture
def make_ledger(manual_clock):
    def make(quarantine_s=0.0):
        capacity = workers.Capacity(slots=2, accelerators=8)
        worker_ledger = ledger.Ledger("w0", capacity, manual_clock, quarantine_s)
        worker_ledger.set_homes((ANCHOR_HOME,), 1)
        return worker_ledger

    return make


@pytest.fixture
def make_claim():
    def make(job="job-1", attempt=1, accelerators=(0,), **changes):
        fields = {
            "fence": claims.Fence(job, attempt),
            "owner": "entry-1",
            "team": "guest",
            "tasks": (claims.TaskShare(0, tuple(accelerators)),),
            "lead_worker": "w0",
            "stoppable": True,
            "checkpoint": True,
            "run_time_s": 60.0,
        }
        return claims.Claim(**(fields | changes))

    return make


@pytest.fixture
def anchor_claim(make_claim):
    """Return a claim of team ``anchor`` on all accelerators of its home."""
    return make_claim("job-anchor", accelerators=(0, 1, 2, 3), team="anchor", guarantee="anchor-4")
