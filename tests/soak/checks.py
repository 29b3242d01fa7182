"""The promises that a soak checks, from what callers and workers saw."""

import attrs
import callers

# A cancelled job starts nothing later than this after its acknowledgement, in seconds
# (`cancel_ms` of the site files), or a second after success was shown (rules page).
CANCEL_S = 3.0
SUCCESS_S = 1.0


@attrs.define
class _Run:
    task: str
    agent: str
    began_s: float
    ended_s: float | None = None
    is_done: bool = False


def violations(system, called):
    """Return what was broken, a line each.

    :param system: the system, with what its workers printed.
    :param called: the callers.
    """
    runs = _runs(system)
    found = list(called.faults)
    found += _overlaps(runs)
    found += _restarts(runs, system)
    found += _unasked(runs, called)
    found += _unfinished(called)
    found += _crashes(system)
    return found


def _runs(system):
    runs = []
    for machine in system.agents:
        running = {}
        deaths = list(machine.worker_deaths)
        for event in machine.events():
            while deaths and deaths[0] < event["at_s"]:
                _crash(running, deaths.pop(0))
            if event["what"] == "began":
                run = _Run(event["task"], machine.name, event["at_s"])
                runs.append(run)
                running[event["task"]] = run
            if event["what"] in ("done", "ended") and event["task"] in running:
                run = running.pop(event["task"])
                run.ended_s, run.is_done = event["at_s"], event["what"] == "done"
        if deaths:
            _crash(running, deaths[0])
    return sorted(runs, key=lambda run: run.began_s)


def _crash(running, at_s):
    for run in running.values():
        run.ended_s = at_s
    running.clear()


def _overlaps(runs):
    newest = {}
    for run in runs:
        before = newest.get(run.task)
        if before is not None and (before.ended_s is None or before.ended_s > run.began_s):
            yield f"task {run.task} ran on {before.agent} and {run.agent} at once"
        newest[run.task] = run


def _restarts(runs, system):
    """Yield tasks that began again after a done end that was not lost with its worker."""
    lost = {
        machine.name: sorted(
            machine.worker_deaths
            + [event["at_s"] for event in machine.events() if event["what"] == "lapsed"]
        )
        for machine in system.agents
    }
    done = {}
    for run in runs:
        before = done.get(run.task)
        if before is not None:
            is_lost = any(before.ended_s < at_s < run.began_s for at_s in lost[before.agent])
            if not is_lost:
                yield f"task {run.task} began on {run.agent} after it was done on {before.agent}"
        if run.is_done:
            done[run.task] = run


def _unasked(runs, called):
    by_id = {job.job_id: job for job in called.jobs}
    for run in runs:
        job = by_id.get(run.task.partition(".")[0])
        if job is None or job.outcome is callers.Outcome.REFUSED:
            yield f"task {run.task} ran though its job was refused"
            continue
        if job.cancel_s is not None and run.began_s > job.cancel_s + CANCEL_S:
            yield f"task {run.task} began {run.began_s - job.cancel_s:.1f} s after its cancelling"
        if job.succeeded_s is not None and run.began_s > job.succeeded_s + SUCCESS_S:
            yield f"task {run.task} began after its job was shown as succeeded"


def _crashes(system):
    for machine in system.machines:
        if "Traceback" in machine.log_path.read_text():
            yield f"{machine.name} ended with an error that it did not handle"


def _unfinished(called):
    for job in called.jobs:
        if job.outcome is not callers.Outcome.ACCEPTED or job.is_cancelling:
            continue
        if job.state != "succeeded":
            yield f"job {job.job_id} was accepted and is {job.state or 'without an answer'}"
