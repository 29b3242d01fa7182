"""The invariants of a soak test, checked from what callers and workers observed."""

import attrs
import callers

# Longest time after an acknowledged cancellation at which a task of the job may still start
# (`cancel_ms` of the site files).
CANCEL_START_MAX_S = 3.0
# Longest time after a job was reported as succeeded at which a task of it may still start (rules
# page).
SUCCESS_START_MAX_S = 1.0
# Events of a worker that end a run.
END_EVENTS = ("done", "failed", "ended")


@attrs.define
class _Run:
    task: str
    run: int
    agent: str
    started_s: float
    ended_s: float | None = None
    end_event: str = ""


def violations(system, job_callers):
    """Return the violated invariants, one line each.

    :param system: system under test, with the events that its workers printed.
    :param job_callers: callers, with the answers that they received.
    """
    runs = _runs(system)
    violation_lines = list(job_callers.violations)
    violation_lines += _overlapping_runs(runs)
    violation_lines += _repeated_runs(runs, system)
    violation_lines += _forbidden_starts(runs, job_callers)
    violation_lines += _unfinished_jobs(job_callers)
    violation_lines += _unhandled_exceptions(system)
    return violation_lines


def _runs(system):
    runs = []
    for machine in system.agents:
        running = {}
        crashes_s = list(machine.worker_crashes_s)
        for event in machine.events():
            while crashes_s and crashes_s[0] < event["at_s"]:
                _end_runs(running, crashes_s.pop(0))
            if event["what"] == "began":
                run = _Run(event["task"], event["run"], machine.name, event["at_s"])
                runs.append(run)
                running[event["task"]] = run
            if event["what"] in END_EVENTS and event["task"] in running:
                run = running.pop(event["task"])
                run.ended_s, run.end_event = event["at_s"], event["what"]
        if crashes_s:
            _end_runs(running, crashes_s[0])
    return sorted(runs, key=lambda run: run.started_s)


def _end_runs(running, at_s):
    for run in running.values():
        run.ended_s = at_s
    running.clear()


def _overlapping_runs(runs):
    last_runs = {}
    for run in runs:
        previous = last_runs.get(run.task)
        if previous is not None and (previous.ended_s is None or previous.ended_s > run.started_s):
            yield f"task {run.task} ran on {previous.agent} and {run.agent} at the same time"
        last_runs[run.task] = run


def _repeated_runs(runs, system):
    """Yield tasks that started again after a completed run whose result was not lost."""
    losses_s = {
        machine.name: sorted(
            machine.worker_crashes_s
            + [event["at_s"] for event in machine.events() if event["what"] == "lapsed"]
        )
        for machine in system.agents
    }
    completed = {}
    for run in runs:
        previous = completed.get(run.task)
        if previous is not None:
            is_lost = any(
                previous.ended_s < at_s < run.started_s for at_s in losses_s[previous.agent]
            )
            if not is_lost:
                yield f"task {run.task} started on {run.agent} after completing on {previous.agent}"
        if run.end_event == "done":
            completed[run.task] = run


def _forbidden_starts(runs, job_callers):
    jobs_by_id = {job.job_id: job for job in job_callers.jobs}
    for run in runs:
        job = jobs_by_id.get(run.task.partition(".")[0])
        if job is None or job.outcome is callers.Outcome.REFUSED:
            yield f"task {run.task} ran though its job was refused"
            continue
        if job.cancelled_s is not None and run.started_s > job.cancelled_s + CANCEL_START_MAX_S:
            yield (
                f"task {run.task} started {run.started_s - job.cancelled_s:.1f} s"
                f" after its cancellation"
            )
        if job.succeeded_s is not None and run.started_s > job.succeeded_s + SUCCESS_START_MAX_S:
            yield f"task {run.task} started after its job was reported as succeeded"


def _unhandled_exceptions(system):
    for machine in system.machines:
        if "Traceback" in machine.log_path.read_text():
            yield f"{machine.name} logged an unhandled exception"


def _unfinished_jobs(job_callers):
    for job in job_callers.jobs:
        if job.outcome is not callers.Outcome.ACCEPTED or job.is_cancel_requested:
            continue
        if job.state != "succeeded":
            yield f"job {job.job_id} was accepted but is {job.state or 'in an unknown state'}"
