"""Executes the placement decisions of one job queue on a simulated fleet, in virtual time."""

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
CHECKPOINT_LOSS_MAX_S = 2.0  # run time that a gang loses if it saves a checkpoint before it stops
STOP_TIME_MIN_RATIO = 0.3  # shortest time to stop a gang, relative to its timeout


class Timeline:
    """A virtual clock with a queue of scheduled callbacks."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback.

        :param delay_s: delay from now, in seconds.
        :param callback: the callback.
        """
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._sequence_numbers), callback))

    def run(self, until_s: float, on_advance: Callable[[float, float], None]) -> None:
        """Run the scheduled callbacks up to a time.

        :param until_s: virtual time at which to stop, in seconds.
        :param on_advance: called with the old and the new time before the clock advances.
        """
        while self._events and self._events[0][0] <= until_s:
            at_s, _, callback = heapq.heappop(self._events)
            if at_s > self.now_s:
                on_advance(self.now_s, at_s)
                self.now_s = at_s
            callback()
        on_advance(self.now_s, until_s)
        self.now_s = until_s


@attrs.define
class JobRecord:
    """The state of one job.

    :param job: the job, with its declared run time.
    :param true_s: true run time, in seconds.
    :param remaining_s: remaining part of the true run time, in seconds.
    :param submitted_s: virtual time of the submission, in seconds.
    :param started_s: virtual time of the first start, in seconds, or ``None``.
    :param finished_s: virtual time of the completion, in seconds, or ``None``.
    :param attempt: number of runs so far.
    :param pending: placement decision that is being executed, or ``None``.
    :param is_moving: whether the gang was stopped by a move and has not started again.
    """

    job: work.Job
    true_s: float
    remaining_s: float
    submitted_s: float
    started_s: float | None = None
    finished_s: float | None = None
    attempt: int = 0
    pending: queues.Decision | None = None
    is_moving: bool = False


class RunObserver(abc.ABC):
    """Receives the events of a fleet run, from which an experiment measures its figures."""

    @abc.abstractmethod
    def handle_advance(self, run: "FleetRun", from_s: float, to_s: float) -> None:
        """Handle an advance of the clock; the state does not change between the two times.

        :param run: the run.
        :param from_s: virtual time before the advance, in seconds.
        :param to_s: virtual time after the advance, in seconds.
        """

    @abc.abstractmethod
    def handle_start(self, run: "FleetRun", record: JobRecord, decision: queues.Decision) -> None:
        """Handle the start of a gang.

        :param run: the run.
        :param record: state of the job.
        :param decision: decision that placed the gang.
        """

    def handle_homes_packed(self, run: "FleetRun") -> None:
        """Handle a new assignment of homes, the reserved accelerators; by default a no-op.

        :param run: the run.
        """
        del run


class FleetRun:
    """A run of a job queue and a fleet view, whose decisions a simulated fleet executes.

    :param simulated_fleet: the simulated fleet.
    :param rules: the rules in force.
    :param policy: placement policy, which chooses free accelerators.
    :param estimator: estimator of the completion times of running gangs.
    :param preemption: preemption policy, which chooses the gangs to stop.
    :param observer: receives the events of the run.
    :param rng: random generator of the delays.
    """

    def __init__(
        self,
        simulated_fleet: fleet_fakes.FakeFleet,
        rules: rulesets.RuleSet,
        policy: policies.PlacementPolicy,
        estimator: completions.CompletionEstimator,
        preemption: preemptions.PreemptionPolicy,
        observer: RunObserver,
        rng: random.Random,
    ) -> None:
        self.simulated_fleet = simulated_fleet
        self.rules = rules
        self.timeline = Timeline()
        self.view = fleet.FleetView()
        self.queue = queues.JobQueue(policy, estimator, preemption)
        self.records: dict[str, JobRecord] = {}
        self.lost_work_s = 0.0
        self.preempted_work_s = 0.0
        self.preempted_gangs = 0
        self.conflicts = 0
        self._estimator = estimator
        self._observer = observer
        self._rng = rng
        self._is_pass_requested = False
        for name in simulated_fleet.workers:
            self.view.observe(simulated_fleet.report(name, 0.0), 0.0)
        self._pack_homes()

    @property
    def now_s(self) -> float:
        """Virtual time, in seconds."""
        return self.timeline.now_s

    def run(self, until_s: float) -> None:
        """Run the simulation up to a time.

        :param until_s: virtual time at which to stop, in seconds.
        """
        self.timeline.run(until_s, lambda old, new: self._observer.handle_advance(self, old, new))

    def submit(self, job: work.Job, true_s: float) -> None:
        """Submit a job at the current virtual time.

        :param job: the job, with its declared run time.
        :param true_s: true run time, in seconds.
        """
        self.records[job.job_id] = JobRecord(job, true_s, true_s, self.now_s)
        self.queue.submit(job, self.now_s)
        self._request_pass()

    def fail_worker(self, name: str) -> None:
        """Fail a worker; the failure is detected after ``DETECTION_DELAY_S``.

        :param name: name of the worker.
        """
        for running in self.simulated_fleet.fail(name):
            self._requeue(running, has_checkpoint=False)
            self._schedule_report(running)
        self.timeline.call_after(DETECTION_DELAY_S, lambda: self._remove_worker(name))

    def repair_worker(self, name: str) -> None:
        """Start a failed worker again.

        :param name: name of the worker.
        """
        self.simulated_fleet.repair(name)
        self._apply_report(name)
        self._pack_homes()

    def _remove_worker(self, name: str) -> None:
        if self.simulated_fleet.workers[name].is_up or self.view.worker(name) is None:
            return
        self.view.remove_worker(name)
        self._pack_homes()
        self._request_pass()

    def _pack_homes(self) -> None:
        racks = self.view.packable_racks()
        previous = self.view.all_homes()
        packing = homes.pack(self.rules.guarantees, racks, previous)
        self.view.set_homes(packing.homes)
        self.queue.set_rules(self.rules, (), packing.homes)
        self._observer.handle_homes_packed(self)

    def _request_pass(self) -> None:
        if self._is_pass_requested:
            return
        self._is_pass_requested = True
        self.timeline.call_after(0.0, self._run_pass)

    def _run_pass(self) -> None:
        self._is_pass_requested = False
        for decision in self.queue.schedule(self.view, self.now_s):
            self._execute(decision)

    def _execute(self, decision: queues.Decision) -> None:
        record = self.records[decision.job.job_id]
        record.pending = decision
        down_workers = self._down_workers(decision)
        if down_workers:
            self.timeline.call_after(
                RESERVE_TIMEOUT_S, lambda: self._handle_unreachable(record, down_workers)
            )
            return
        wait_s = START_DELAY_S
        for victim in decision.plan.victims:
            stop_s = victim.timeout_s * self._rng.uniform(STOP_TIME_MIN_RATIO, 1.0)
            wait_s = max(wait_s, stop_s + START_DELAY_S)
            self._schedule_stop(victim, decision, stop_s)
        self.timeline.call_after(wait_s, lambda: self._start(decision))

    def _down_workers(self, decision: queues.Decision) -> tuple[str, ...]:
        names = sorted({task_range.worker for task_range in decision.plan.placement.tasks})
        return tuple(name for name in names if not self.simulated_fleet.workers[name].is_up)

    def _handle_unreachable(self, record: JobRecord, names: tuple[str, ...]) -> None:
        for name in names:
            self._remove_worker(name)
        self._cancel_start(record)

    def _schedule_stop(
        self, victim: preemptions.Victim, decision: queues.Decision, delay_s: float
    ) -> None:
        def stop() -> None:
            record = self.records[victim.gang.job_id]
            running = self.simulated_fleet.running.get(victim.gang.job_id)
            if decision.is_move:
                if running is None or record.pending is not decision:
                    return
                record.is_moving = True
                self._stop(running)
                return
            if record.pending is not None and _conflicts(record.pending, decision):
                self._cancel_start(record)
            if running is not None and _overlap(running.placement, decision.plan.placement):
                previous_lost_work_s = self.lost_work_s
                self._stop(running)
                self.preempted_work_s += self.lost_work_s - previous_lost_work_s
                self.preempted_gangs += 1

        self.timeline.call_after(delay_s, stop)

    def _stop(self, running: fleet_fakes.RunningJob) -> None:
        self.simulated_fleet.stop(running.job.job_id)
        self._requeue(running, has_checkpoint=running.job.checkpoint)
        self._schedule_report(running)

    def _cancel_start(self, record: JobRecord) -> None:
        """Cancel the pending start of a job; queue the job again unless its gang still runs."""
        decision = record.pending
        record.pending = None
        if decision is None:
            return
        self.view.release(record.job.job_id)
        if decision.is_move and not record.is_moving:
            return
        record.is_moving = False
        self._estimator.record_end(record.job.job_id)
        self.queue.submit(record.job, record.submitted_s)
        self.timeline.call_after(REPORT_DELAY_S, self._request_pass)

    def _start(self, decision: queues.Decision) -> None:
        record = self.records[decision.job.job_id]
        if record.pending is not decision:
            return
        if decision.is_move and not record.is_moving:
            self._cancel_start(record)
            return
        try:
            self.simulated_fleet.start(
                decision.job, record.attempt + 1, decision.plan.placement, self.now_s
            )
        except fleet_fakes.FleetConflictError:
            if not self._down_workers(decision):
                self.conflicts += 1
            self._cancel_start(record)
            return
        record.pending = None
        record.is_moving = False
        record.attempt += 1
        if record.started_s is None:
            record.started_s = self.now_s
        self._observer.handle_start(self, record, decision)
        self._schedule_report(self.simulated_fleet.running[decision.job.job_id])
        attempt = record.attempt
        self.timeline.call_after(
            record.remaining_s, lambda: self._finish(decision.job.job_id, attempt)
        )

    def _finish(self, job_id: str, attempt: int) -> None:
        running = self.simulated_fleet.running.get(job_id)
        if running is None or running.attempt != attempt:
            return
        self.simulated_fleet.stop(job_id)
        record = self.records[job_id]
        record.remaining_s = 0.0
        record.finished_s = self.now_s
        record.pending = None
        is_whole_run = attempt == 1  # a later run may have resumed from a checkpoint
        observed_s = self.now_s - running.started_s
        self._estimator.record_end(job_id, observed_s if is_whole_run else None)
        self.view.release(job_id)
        self._schedule_report(running)

    def _requeue(self, running: fleet_fakes.RunningJob, has_checkpoint: bool) -> None:
        """Record the lost work of a stopped gang; queue its job again if it may run twice.

        The job of a gang that is being moved is not queued, because the move starts it again.
        """
        record = self.records[running.job.job_id]
        ran_s = self.now_s - running.started_s
        lost_s = min(ran_s, CHECKPOINT_LOSS_MAX_S) if has_checkpoint else ran_s
        self.lost_work_s += lost_s * running.job.shape.accelerators
        record.remaining_s = max(0.0, record.remaining_s - (ran_s - lost_s))
        if record.is_moving:
            return
        record.pending = None
        self._estimator.record_end(running.job.job_id)
        self.view.release(running.job.job_id)
        if running.job.stoppable:
            self.queue.submit(running.job, record.submitted_s)

    def _schedule_report(self, running: fleet_fakes.RunningJob) -> None:
        names = {task_range.worker for task_range in running.placement.tasks}

        def report() -> None:
            for name in sorted(names):
                self._apply_report(name)

        self.timeline.call_after(REPORT_DELAY_S, report)

    def _apply_report(self, name: str) -> None:
        if not self.simulated_fleet.workers[name].is_up:
            return
        self.view.observe(self.simulated_fleet.report(name, self.now_s), self.now_s)
        self._request_pass()


def _overlap(first: workers.Placement, second: workers.Placement) -> bool:
    first_accelerators = {
        (task_range.worker, number)
        for task_range in first.tasks
        for number in task_range.accelerators
    }
    second_accelerators = {
        (task_range.worker, number)
        for task_range in second.tasks
        for number in task_range.accelerators
    }
    return not first_accelerators.isdisjoint(second_accelerators)


def _conflicts(first: queues.Decision, second: queues.Decision) -> bool:
    return first is not second and _overlap(first.plan.placement, second.plan.placement)
