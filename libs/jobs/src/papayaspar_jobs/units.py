"""Execution state of tasks and units of scheduling: progress, pace and stalls."""

import typing

import attrs

from papayaspar_jobs import durations, run_counts, specs, tasks

if typing.TYPE_CHECKING:
    from papayaspar_jobs import progress

MILLISECONDS_PER_SECOND = 1000.0
# Minimum time without progress, in seconds, after which a run counts as stalled: progress is
# reported in whole percents, and one percent takes up to three seconds on a slow worker.
STALL_TIMEOUT_S = 3.0
# Progress in percent whose estimated time must also pass before a run counts as stalled: a long run
# takes more than the minimum time from one reported percent to the next.
STALL_PROGRESS_PERCENT = 5.0
# Progress in percent from which the pace of a run is computed; the startup time then has little
# influence on it.
PACE_PERCENT_MIN = 5.0
# Minimum time from the start of a run to a report of its progress, in seconds, that shows that its
# worker can run work: one that fails all it starts may report a high percentage just before.
PROVEN_RUN_S = 0.5


def _report_phase(
    task: "Task", attribute: "attrs.Attribute[tasks.TaskRecord]", record: tasks.TaskRecord
) -> tasks.TaskRecord:
    """Report a new record of a task to its unit before the record is set."""
    if task.has_unit:
        task.unit.update_counts(task, record)
    return record


@attrs.define(eq=False)
class Task:
    """The lead's state of a task.

    :param key: key of the task.
    :param step: step that the task belongs to.
    :param record: persistent state.
    :param is_starting: whether a start order is in progress.
    :param is_stopping: whether a stop order was sent.
    :param started_s: start time of the current run, in seconds on the lead's clock.
    :param percent: progress of the current run, 0 to 100.
    :param progressed_s: time at which the progress last increased, in seconds on the lead's clock.
    :param checkpoint: newest checkpoint reported by the current run.
    :param checkpoint_s: time at which the run reported it, or started from it, in seconds on the
        lead's clock.
    :param checkpoint_stored_s: time at which a checkpoint of the current run was last stored, in
        seconds on the lead's clock.
    :param failed_nodes: VMs on which a run of the task failed or was refused a short time ago.
    :param listed_run_max: highest number of a run that a worker listed without an assignment; the
        next run has a higher one.
    """

    key: tasks.TaskKey
    step: specs.Step
    record: tasks.TaskRecord = attrs.field(factory=tasks.TaskRecord, on_setattr=_report_phase)
    is_starting: bool = False
    is_stopping: bool = False
    started_s: float = 0.0
    percent: float = 0.0
    progressed_s: float = 0.0
    checkpoint: str = ""
    checkpoint_s: float = 0.0
    checkpoint_stored_s: float = 0.0
    failed_nodes: set[str] = attrs.field(factory=set)
    listed_run_max: int = 0
    _unit: "Unit | None" = attrs.field(default=None, init=False, repr=False)
    # Whether the current run was seen to have started; a taken over one counts as started.
    _has_started: bool = attrs.field(default=True, init=False)
    # Number of runs that never started, which say nothing about the pace of the task.
    _unstarted_runs: int = attrs.field(default=0, init=False)
    _is_start_time_known: bool = attrs.field(default=True, init=False)
    _is_fresh_start: bool = attrs.field(default=False, init=False)
    # Time of the first report of the run's progress to this lead, on the lead's clock.
    _reported_s: float | None = attrs.field(default=None, init=False)
    _first_percent: float = attrs.field(default=0.0, init=False)

    @property
    def has_unit(self) -> bool:
        """Whether the task belongs to a unit already."""
        return self._unit is not None

    @property
    def unit(self) -> "Unit":
        """The unit that the task belongs to."""
        assert self._unit is not None
        return self._unit

    def join(self, unit: "Unit") -> None:
        """Make the task a member of a unit."""
        self._unit = unit

    def mark_starting(self, now_s: float) -> None:
        """Record that a run is being started.

        :param now_s: current time in seconds on the lead's clock.
        """
        self.is_starting = True
        self.is_stopping = False
        self._has_started = False
        self._is_fresh_start = not self.record.checkpoint
        self.started_s = self.progressed_s = now_s
        self.checkpoint_s = self.checkpoint_stored_s = now_s
        self.percent = 0.0
        self._reported_s = None

    def mark_started(self, now_s: float) -> None:
        """Record that the worker has started the run.

        The start time is set again because the assignment may have waited seconds for a slow store.
        A report of progress before the answer to the start order shows nothing more than the
        checkpoint from which the run resumed, unless it proves the start by itself.

        :param now_s: current time in seconds on the lead's clock.
        """
        is_proven = self.has_proven_start
        self.is_starting = False
        self._has_started = True
        self.started_s = self.progressed_s = self.checkpoint_stored_s = now_s
        if self._reported_s is not None and not is_proven:
            self._reported_s = now_s

    def mark_unanswered(self, now_s: float) -> None:
        """Record that the start order got no answer, so that the run may or may not have started.

        The order may have waited for seconds before it was sent, which is no time of the run.

        :param now_s: current time in seconds on the lead's clock.
        """
        self.is_starting = False
        if self._reported_s is None:
            self.started_s = self.progressed_s = now_s

    def mark_released(self) -> None:
        """Record that the run has ended, was lost or never started."""
        self.is_stopping = False
        if not self._has_started:
            self._unstarted_runs += 1

    def mark_taken_over(self, now_s: float) -> None:
        """Record that this lead takes over a run started by a former lead.

        The start time is unknown until :meth:`update_progress` derives it from the progress.
        """
        self.started_s = self.progressed_s = self.checkpoint_stored_s = now_s
        self.percent = 0.0
        self._has_started = True
        self._is_fresh_start = False
        self._is_start_time_known = False
        self._reported_s = None

    def update_progress(self, percent: float, now_s: float) -> None:
        """Update the progress of the run.

        :param percent: reported progress, 0 to 100.
        :param now_s: current time in seconds on the lead's clock.
        """
        if not self._is_start_time_known:
            self._is_start_time_known = True
            self.started_s -= self.step.estimate_ms / MILLISECONDS_PER_SECOND * percent / 100.0
        if percent > self.percent:
            self._has_started = True
            if self._reported_s is None:
                self._reported_s, self._first_percent = now_s, percent
            self.percent = percent
            self.progressed_s = now_s

    def update_checkpoint(self, checkpoint: str, now_s: float) -> None:
        """Update the newest checkpoint of the run.

        :param checkpoint: checkpoint that the worker reports.
        :param now_s: current time in seconds on the lead's clock.
        """
        if checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.checkpoint_s = now_s

    @property
    def is_start_seen(self) -> bool:
        """Whether this lead started the run, from the beginning of its work."""
        return self._is_fresh_start

    @property
    def has_proven_start(self) -> bool:
        """Whether the run shows lasting progress of its own, not only that of a checkpoint."""
        if self._reported_s is None or self.percent < PACE_PERCENT_MIN:
            return False
        # The first report of a run that resumed, or that a former lead started, shows earlier work.
        since_s = self.started_s if self._is_fresh_start else self._reported_s
        return self.progressed_s - since_s >= PROVEN_RUN_S

    def pace_ratio(self, now_s: float) -> float | None:
        """Return the projected duration of the run as a multiple of its estimate.

        The ratio is ``None`` without an estimate or enough progress, and for runs that resumed
        from a checkpoint or were started by a former lead: their start time or initial progress
        is unknown.

        :param now_s: time at which :attr:`percent` was reported, in seconds on the lead's clock.
        """
        if not self._is_fresh_start or self.step.estimate_ms <= 0:
            return None
        if self.percent < PACE_PERCENT_MIN:
            return None
        duration_s = (now_s - self.started_s) * 100.0 / self.percent
        return duration_s * MILLISECONDS_PER_SECOND / self.step.estimate_ms

    def remaining_s(self, now_s: float, expected_s: float | None = None) -> float:
        """Return the estimated remaining time of the run, in seconds.

        It is computed from the run's progress where possible, because the caller's estimate may be
        far off.

        :param now_s: current time in seconds on the lead's clock.
        :param expected_s: expected run time until progress is reported, in seconds; ``None`` for
            the caller's estimate.
        """
        rest_s = self._estimated_duration_s(expected_s) * (100.0 - self.percent) / 100.0
        return max(0.0, self.progressed_s + rest_s - now_s)

    def _estimated_duration_s(self, expected_s: float | None) -> float:
        since_s, since_percent = self.started_s, 0.0
        if not self._is_fresh_start and self._reported_s is not None:
            # What a run that resumed shows at first is earlier work.
            since_s, since_percent = self._reported_s, self._first_percent
        elapsed_s = self.progressed_s - since_s
        if self.percent > since_percent and elapsed_s > 0:
            return elapsed_s * 100.0 / (self.percent - since_percent)
        if expected_s is not None:
            return expected_s
        return self.step.estimate_ms / MILLISECONDS_PER_SECOND

    def is_stalled(self, now_s: float, expected_s: float | None = None) -> bool:
        """Return whether the run has stood still so long that a restart costs less than waiting.

        This alone does not show that the run has hung: it may wait for others, or be at its end.

        :param now_s: current time in seconds on the lead's clock.
        :param expected_s: expected run time until progress is reported, in seconds; ``None`` for
            the caller's estimate.
        """
        idle_s = now_s - self.progressed_s
        progress_time_s = self._estimated_duration_s(expected_s) * STALL_PROGRESS_PERCENT / 100.0
        # The timeout grows with the number of runs, so that a task isn't restarted endlessly.
        runs = max(1, self.record.run - self._unstarted_runs)
        if idle_s < max(STALL_TIMEOUT_S, progress_time_s) * runs:
            return False
        return self.step.is_checkpointed or idle_s >= self.progressed_s - self.started_s

    @property
    def is_waiting(self) -> bool:
        """Whether the task waits to be started."""
        return self.record.phase is tasks.TaskPhase.WAITING

    @property
    def is_assigned(self) -> bool:
        """Whether the task is assigned to a worker, which may or may not run it already."""
        return self.record.phase is tasks.TaskPhase.ASSIGNED

    @property
    def is_done(self) -> bool:
        """Whether the task has completed successfully."""
        return self.record.phase is tasks.TaskPhase.DONE


@attrs.define(eq=False)
class Unit:
    """Unit of scheduling: a gang, or a single task.

    The members start, stop and fail together.

    :param job: job that the unit belongs to.
    :param step: step that the unit belongs to.
    :param members: tasks of the unit.
    :param ready_s: time at which the unit became ready to start, in seconds on the lead's clock,
        or ``None`` before.
    :param ending_s: time at which the first member of the current run was seen to have ended before
        the others, in seconds on the lead's clock, or ``None``.
    :param preempting_s: time at which other units were first stopped for this unit since it became
        ready, in seconds on the lead's clock, or ``None``.
    :param expected: run time that was expected when the current run was assigned, or ``None``.
    :param paused_from_s: time of the newest failed run, or refused start that bars a VM, in seconds
        on the lead's clock; ``None`` under a lead that has seen neither.
    :param suspected_s: time of the newest such event on each VM, in seconds on the lead's clock.

    :attr:`failures` is the number of failed runs; a run counts once, however many members failed in
    it. :attr:`failed_run` is the number of the newest run that was counted, or 0.
    """

    job: "progress.JobProgress"
    step: specs.Step
    members: list[Task]
    ready_s: float | None = None
    ending_s: float | None = None
    preempting_s: float | None = None
    expected: durations.ExpectedDuration | None = None
    paused_from_s: float | None = None
    suspected_s: dict[str, float] = attrs.field(factory=dict)
    stops: run_counts.StopHistory = attrs.field(factory=run_counts.StopHistory, init=False)
    _counts: run_counts.PhaseCounts = attrs.field(factory=run_counts.PhaseCounts, init=False)
    failures: int = attrs.field(default=0, init=False)
    failed_run: int = attrs.field(default=0, init=False)
    _noted: run_counts.FailedNodes = attrs.field(factory=run_counts.FailedNodes, init=False)

    def __attrs_post_init__(self) -> None:
        for task in self.members:
            self._counts.change(task.record.phase, 1)
            task.join(self)

    def update_counts(self, task: Task, record: tasks.TaskRecord) -> None:
        """Count a member under the phase of its new record, and report the unit to its job.

        The counts make the properties below independent of the number of members: a planning round
        asks for them for each unit.

        :param task: the member, which still has its former record.
        :param record: the new record.
        """
        self._counts.change(task.record.phase, -1)
        self._counts.change(record.phase, 1)
        self.failures = max(self.failures, record.failures)
        self.failed_run = max(self.failed_run, record.failed_run)
        self.job.update_unit(self, has_run=record.run > 0)

    def with_failure(self, record: tasks.TaskRecord) -> tasks.TaskRecord:
        """Return a member's record with the failure of its run, which counts once for the unit.

        A run that is counted already is not counted again, whether another member fails in it, too,
        or a new lead is told of it later.

        :param record: the member's record, whose run has failed.
        """
        failures = self.failures
        if record.run > self.failed_run:
            failures += 1
        return attrs.evolve(record, failures=failures, failed_run=max(self.failed_run, record.run))

    def has_proven_run(self, run: int) -> bool:
        """Return whether a run shows lasting progress; the members of a gang work only together.

        :param run: number of the run.
        """
        return any(task.has_proven_start for task in self.members if task.record.run == run)

    def note_failed_node(self, run: int, node: str) -> bool:
        """Note on which VM a member of a run failed; return whether it is the first one there."""
        return self._noted.note(run, node)

    def note_stored_failure(self, run: int, node: str) -> None:
        """Note on which VM a member of a run failed, as a former lead stored it."""
        self._noted.note_stored(run, node)

    def has_failed_before(self, node: str) -> bool:
        """Return whether an earlier run than the newest failed one has failed on a VM."""
        return node in self._noted.former_nodes

    @property
    def has_failed_widely(self) -> bool:
        """Whether members of its newest failed run failed on several VMs."""
        return self._noted.count > 1

    @property
    def is_waiting(self) -> bool:
        """Whether every member waits to be started."""
        return self._counts.waiting == len(self.members)

    @property
    def is_done(self) -> bool:
        """Whether every member has completed successfully."""
        return self._counts.done == len(self.members)

    @property
    def has_done_member(self) -> bool:
        """Whether any member has completed successfully."""
        return self._counts.done > 0

    @property
    def is_active(self) -> bool:
        """Whether any member is assigned to a worker."""
        return self._counts.assigned > 0

    @property
    def is_ending_by_itself(self) -> bool:
        """Whether some members have ended, and the others will end without having been stopped."""
        if not self.is_active or self.is_done:
            return False
        if any(task.is_stopping or task.is_starting for task in self.members):
            return False
        return any(task.is_waiting for task in self.members)

    @property
    def next_run(self) -> int:
        """Number of the unit's next run, which all members of a gang share."""
        return max(max(task.record.run, task.listed_run_max) for task in self.members) + 1

    @property
    def newest_checkpoint(self) -> str:
        """Checkpoint from which all members resume in the next run, or empty.

        It is the one with the most progress, of several the one that was reported last: a member
        may have run on without being heard, and its end may be heard late.
        """
        saved = [task for task in self.members if task.record.checkpoint]
        if not saved:
            return ""
        newest = max(saved, key=lambda task: (task.percent, task.checkpoint_s))
        return newest.record.checkpoint

    @property
    def failed_nodes(self) -> frozenset[str]:
        """VMs on which a run of any member failed or was refused a short time ago."""
        return frozenset(node for task in self.members for node in task.failed_nodes)

    def suspect(self, task: Task, now_s: float) -> None:
        """Avoid the VM on which a member's run failed or was refused, for some time.

        :param task: the member, with the record of the run.
        :param now_s: current time in seconds on the lead's clock.
        """
        task.failed_nodes.add(task.record.node)
        self.suspected_s[task.record.node] = now_s
        self.paused_from_s = now_s

    def forget_failed_nodes(self) -> None:
        """Treat the VMs on which runs failed or were refused like all others from now on."""
        self.suspected_s.clear()
        for task in self.members:
            task.failed_nodes.clear()
