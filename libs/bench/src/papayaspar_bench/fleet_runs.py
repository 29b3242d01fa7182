"""One entry's placement decisions over a fake fleet, in virtual time."""

import abc
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from papayaspar_bench import fleet_fakes
from papayaspar_model import rulesets, work, workers
from papayaspar_placement import completions, fleet, homes, policies, preemptions, queues

REPORT_DELAY_S = 0.2
START_DELAY_S = 0.3
RESERVE_TIMEOUT_S = 0.5
DETECTION_DELAY_S = 2.0
CHECKPOINT_LOSS_S = 2.0
SHORTEST_STEP_RATIO = 0.3


class Timeline:
    """Virtual time: events in order, each a plain call."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call something later.

        :param delay_s: seconds from now.
        :param call: what to call.
        """
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), call))

    def run(self, until_s: float, on_advance: Callable[[float, float], None]) -> None:
        """Run events up to a time.

        :param until_s: virtual time at which to stop.
        :param on_advance: called with the old and the new time before time moves.
        """
        while self._events and self._events[0][0] <= until_s:
            at_s, _, call = heapq.heappop(self._events)
            if at_s > self.now_s:
                on_advance(self.now_s, at_s)
                self.now_s = at_s
            call()
        on_advance(self.now_s, until_s)
        self.now_s = until_s


@attrs.define
class JobRecord:
    """What became of one job.

    :param job: the job, as declared.
    :param true_s: its true run time.
    :param left_s: seconds of that which are left.
    :param submitted_s: virtual time of its arrival.
    :param started_s: virtual time of its first start, or ``None``.
    :param finished_s: virtual time at which it was done, or ``None``.
    :param attempt: runs so far.
    :param pending: the decision by which it is about to start, or ``None``.
    :param is_between_places: whether it was stopped to go on elsewhere.
    """

    job: work.Job
    true_s: float
    left_s: float
    submitted_s: float
    started_s: float | None = None
    finished_s: float | None = None
    attempt: int = 0
    pending: queues.Decision | None = None
    is_between_places: bool = False


class Watcher(abc.ABC):
    """What an experiment measures while a run goes on."""

    @abc.abstractmethod
    def advanced(self, run: "FleetRun", from_s: float, to_s: float) -> None:
        """Note that nothing changes for a while.

        :param run: the run.
        :param from_s: virtual time now.
        :param to_s: virtual time of the next change.
        """

    @abc.abstractmethod
    def started(self, run: "FleetRun", record: JobRecord, decision: queues.Decision) -> None:
        """Note that a gang started.

        :param run: the run.
        :param record: the job.
        :param decision: what was decided.
        """

    def homes_packed(self, run: "FleetRun") -> None:
        """Note that homes were packed anew; most experiments don't look.

        :param run: the run.
        """
        del run


class FleetRun:
    """A queue and a view over a fake fleet.

    :param fakes: the fleet.
    :param rules: the rules in force.
    :param policy: chooses free accelerators.
    :param expected: expected ends of running gangs.
    :param reclaim: chooses victims.
    :param watcher: what is measured.
    :param rng: source of randomness for delays.
    """

    def __init__(
        self,
        fakes: fleet_fakes.FakeFleet,
        rules: rulesets.RuleSet,
        policy: policies.PlacementPolicy,
        expected: completions.CompletionEstimator,
        reclaim: preemptions.PreemptionPolicy,
        watcher: Watcher,
        rng: random.Random,
    ) -> None:
        self.fakes = fakes
        self.rules = rules
        self.timeline = Timeline()
        self.view = fleet.FleetView()
        self.queue = queues.JobQueue(policy, expected, reclaim)
        self.records: dict[str, JobRecord] = {}
        self.lost_work_s = 0.0
        self.reclaimed_work_s = 0.0
        self.reclaimed_gangs = 0
        self.conflicts = 0
        self._expected = expected
        self._watcher = watcher
        self._rng = rng
        self._pass_is_due = False
        for name in fakes.workers:
            self.view.observe(fakes.report(name, 0.0), 0.0)
        self._pack_homes()

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.timeline.now_s

    def run(self, until_s: float) -> None:
        """Run up to a time.

        :param until_s: virtual time at which to stop.
        """
        self.timeline.run(until_s, lambda old, new: self._watcher.advanced(self, old, new))

    def submit(self, job: work.Job, true_s: float) -> None:
        """Hand in a job now.

        :param job: the job, as declared.
        :param true_s: its true run time.
        """
        self.records[job.job_id] = JobRecord(job, true_s, true_s, self.now_s)
        self.queue.submit(job, self.now_s)
        self._pass_soon()

    def fail_worker(self, name: str) -> None:
        """Fail a worker; the entry notices a little later.

        :param name: the worker.
        """
        for running in self.fakes.fail(name):
            self._put_back(running, is_saved=False)
            self._report_soon(running)
        self.timeline.after(DETECTION_DELAY_S, lambda: self._lose(name))

    def repair_worker(self, name: str) -> None:
        """Bring a failed worker back.

        :param name: the worker.
        """
        self.fakes.repair(name)
        self._report(name)
        self._pack_homes()

    def _lose(self, name: str) -> None:
        if self.fakes.workers[name].is_up or self.view.worker(name) is None:
            return
        self.view.remove_worker(name)
        self._pack_homes()
        self._pass_soon()

    def _pack_homes(self) -> None:
        known = self.view.packable_racks()
        previous = self.view.all_homes()
        packing = homes.pack(self.rules.guarantees, known, previous)
        self.view.set_homes(packing.homes)
        self.queue.set_rules(self.rules, (), packing.homes)
        self._watcher.homes_packed(self)

    def _pass_soon(self) -> None:
        if self._pass_is_due:
            return
        self._pass_is_due = True
        self.timeline.after(0.0, self._pass)

    def _pass(self) -> None:
        self._pass_is_due = False
        for decision in self.queue.schedule(self.view, self.now_s):
            self._carry_out(decision)

    def _carry_out(self, decision: queues.Decision) -> None:
        record = self.records[decision.job.job_id]
        record.pending = decision
        down = self._down(decision)
        if down:
            self.timeline.after(RESERVE_TIMEOUT_S, lambda: self._unreachable(record, down))
            return
        wait_s = START_DELAY_S
        for victim in decision.plan.victims:
            took_s = victim.timeout_s * self._rng.uniform(SHORTEST_STEP_RATIO, 1.0)
            wait_s = max(wait_s, took_s + START_DELAY_S)
            self._stop_later(victim, decision, took_s)
        self.timeline.after(wait_s, lambda: self._start(decision))

    def _down(self, decision: queues.Decision) -> tuple[str, ...]:
        names = sorted({item.worker for item in decision.plan.placement.tasks})
        return tuple(name for name in names if not self.fakes.workers[name].is_up)

    def _unreachable(self, record: JobRecord, names: tuple[str, ...]) -> None:
        for name in names:
            self._lose(name)
        self._withdraw(record)

    def _stop_later(
        self, victim: preemptions.Victim, decision: queues.Decision, delay_s: float
    ) -> None:
        def stop() -> None:
            record = self.records[victim.gang.job_id]
            running = self.fakes.running.get(victim.gang.job_id)
            if decision.is_move:
                if running is None or record.pending is not decision:
                    return
                record.is_between_places = True
                self._stop(running)
                return
            if record.pending is not None and _meet(record.pending, decision):
                self._withdraw(record)
            if running is not None and _overlap(running.placement, decision.plan.placement):
                before_s = self.lost_work_s
                self._stop(running)
                self.reclaimed_work_s += self.lost_work_s - before_s
                self.reclaimed_gangs += 1

        self.timeline.after(delay_s, stop)

    def _stop(self, running: fleet_fakes.RunningJob) -> None:
        self.fakes.stop(running.job.job_id)
        self._put_back(running, is_saved=running.job.checkpoint)
        self._report_soon(running)

    def _withdraw(self, record: JobRecord) -> None:
        """Give up a start that is on its way."""
        decision = record.pending
        record.pending = None
        if decision is None:
            return
        self.view.release(record.job.job_id)
        if decision.is_move and not record.is_between_places:
            return
        record.is_between_places = False
        self._expected.record_end(record.job.job_id)
        self.queue.submit(record.job, record.submitted_s)
        self.timeline.after(REPORT_DELAY_S, self._pass_soon)

    def _start(self, decision: queues.Decision) -> None:
        record = self.records[decision.job.job_id]
        if record.pending is not decision:
            return
        if decision.is_move and not record.is_between_places:
            self._withdraw(record)
            return
        try:
            self.fakes.start(decision.job, record.attempt + 1, decision.plan.placement, self.now_s)
        except fleet_fakes.FleetConflictError:
            if not self._down(decision):
                self.conflicts += 1
            self._withdraw(record)
            return
        record.pending = None
        record.is_between_places = False
        record.attempt += 1
        if record.started_s is None:
            record.started_s = self.now_s
        self._watcher.started(self, record, decision)
        self._report_soon(self.fakes.running[decision.job.job_id])
        attempt = record.attempt
        self.timeline.after(record.left_s, lambda: self._finish(decision.job.job_id, attempt))

    def _finish(self, job_id: str, attempt: int) -> None:
        running = self.fakes.running.get(job_id)
        if running is None or running.attempt != attempt:
            return
        self.fakes.stop(job_id)
        record = self.records[job_id]
        record.left_s = 0.0
        record.finished_s = self.now_s
        record.pending = None
        is_whole_run = attempt == 1
        observed_s = self.now_s - running.started_s
        self._expected.record_end(job_id, observed_s if is_whole_run else None)
        self.view.release(job_id)
        self._report_soon(running)

    def _put_back(self, running: fleet_fakes.RunningJob, is_saved: bool) -> None:
        """Queue a gang that was stopped again, unless it may not run twice."""
        record = self.records[running.job.job_id]
        ran_s = self.now_s - running.started_s
        lost_s = min(ran_s, CHECKPOINT_LOSS_S) if is_saved else ran_s
        self.lost_work_s += lost_s * running.job.shape.accelerators
        record.left_s = max(0.0, record.left_s - (ran_s - lost_s))
        if record.is_between_places:
            return
        record.pending = None
        self._expected.record_end(running.job.job_id)
        self.view.release(running.job.job_id)
        if running.job.stoppable:
            self.queue.submit(running.job, record.submitted_s)

    def _report_soon(self, running: fleet_fakes.RunningJob) -> None:
        names = {item.worker for item in running.placement.tasks}

        def report() -> None:
            for name in sorted(names):
                self._report(name)

        self.timeline.after(REPORT_DELAY_S, report)

    def _report(self, name: str) -> None:
        if not self.fakes.workers[name].is_up:
            return
        self.view.observe(self.fakes.report(name, self.now_s), self.now_s)
        self._pass_soon()


def _overlap(one: workers.Placement, other: workers.Placement) -> bool:
    held = {(item.worker, number) for item in one.tasks for number in item.accelerators}
    wanted = {(item.worker, number) for item in other.tasks for number in item.accelerators}
    return not held.isdisjoint(wanted)


def _meet(one: queues.Decision, other: queues.Decision) -> bool:
    return one is not other and _overlap(one.plan.placement, other.plan.placement)
