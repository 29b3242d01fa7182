"""The invariants of a soak test, checked from what callers and workers observed."""

import attrs
import callers
import systems

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


def violations(system, all_callers):
    """Return the violated invariants, one line each.

    :param system: system under test, with the events that its workers printed.
    :param all_callers: callers, with the answers that they received.
    """
    runs = _runs(system)
    losses_s = _losses_s(system)
    jobs = [job for each in all_callers for job in each.jobs]
    violation_lines = [line for each in all_callers for line in each.violations]
    violation_lines += _overlapping_runs(runs)
    violation_lines += _repeated_runs(runs, losses_s)
    violation_lines += _forbidden_starts(runs, jobs)
    violation_lines += _early_failures(runs, jobs, system.attempts)
    violation_lines += _starts_after_attempts(runs, losses_s, system.attempts)
    violation_lines += _starts_in_evacuated_data_centres(system, runs)
    violation_lines += _unfinished_jobs(jobs)
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


def _losses_s(system):
    """Return when each agent's worker lost its results or its lease, in order."""
    return {
        machine.name: sorted(
            machine.worker_crashes_s
            + [event["at_s"] for event in machine.events() if event["what"] == "lapsed"]
        )
        for machine in system.agents
    }


def _is_result_lost(run, started_s, losses_s):
    """Return whether the result of a run may have been lost before a later start."""
    return any(run.ended_s < at_s < started_s for at_s in losses_s[run.agent])


def _repeated_runs(runs, losses_s):
    """Yield tasks that started again after a completed run whose result was not lost."""
    completed = {}
    for run in runs:
        previous = completed.get(run.task)
        if previous is not None and not _is_result_lost(previous, run.started_s, losses_s):
            yield f"task {run.task} started on {run.agent} after completing on {previous.agent}"
        if run.end_event == "done":
            completed[run.task] = run


def _failed_runs_by_unit(runs):
    """Return the runs that ended as failed by unit: a gang, or the only task of a step."""
    failed_runs = {}
    for run in runs:
        if run.end_event == "failed":
            failed_runs.setdefault(_unit(run), []).append(run)
    return failed_runs


def _unit(run):
    return run.task.rpartition(".")[0]


def _early_failures(runs, jobs, attempts):
    """Yield jobs that were reported as failed before a unit had used up its attempts."""
    failed_runs = _failed_runs_by_unit(runs)
    for job in jobs:
        if job.failed_s is None:
            continue
        count = 0
        for unit, ended in failed_runs.items():
            if unit.partition(".")[0] != job.job_id:
                continue
            count = max(count, len({run.run for run in ended if run.ended_s <= job.failed_s}))
        if count < attempts:
            yield f"job {job.job_id} was reported as failed after {count} failed runs"


def _starts_after_attempts(runs, losses_s, attempts):
    """Yield tasks that started after as many failed runs, with known results, as attempts."""
    failed_runs = _failed_runs_by_unit(runs)
    for run in runs:
        known = {
            failed.run
            for failed in failed_runs.get(_unit(run), ())
            if failed.run < run.run and not _is_result_lost(failed, run.started_s, losses_s)
        }
        if len(known) >= attempts:
            yield f"task {run.task} started run {run.run} after {len(known)} failed runs"


def _forbidden_starts(runs, jobs):
    jobs_by_id = {job.job_id: job for job in jobs}
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


def _starts_in_evacuated_data_centres(system, runs):
    data_centres = {machine.name: machine.data_centre for machine in system.agents}
    for run in runs:
        for data_centre, acknowledged_s, ended_s in system.evacuations:
            if data_centres[run.agent] != data_centre:
                continue
            if acknowledged_s + systems.EVACUATION_S < run.started_s < ended_s:
                yield (
                    f"task {run.task} started on {run.agent} {run.started_s - acknowledged_s:.1f} s"
                    f" after the evacuation of {data_centre}"
                )


def _unhandled_exceptions(system):
    for machine in system.machines:
        if "Traceback" in machine.log_path.read_text():
            yield f"{machine.name} logged an unhandled exception"


def _unfinished_jobs(jobs):
    for job in jobs:
        if job.outcome is not callers.Outcome.ACCEPTED or job.is_cancel_requested:
            continue
        if job.state != job.final_state:
            yield f"job {job.job_id} was accepted but is {job.state or 'in an unknown state'}"
