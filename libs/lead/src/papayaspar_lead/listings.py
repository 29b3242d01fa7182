"""What the workers' lists of runs show, beside the assignments of the lead."""

import attrs

from papayaspar_jobs import tasks
from papayaspar_lead import links, state


@attrs.frozen
class UnassignedRun:
    """A run that a worker listed last although no task is assigned to it.

    :param node: VM of the worker.
    :param task: task of the run.
    :param run: number of the run.
    :param is_over: whether the run has certainly ended since.
    """

    node: str
    task: tasks.TaskKey
    run: int
    is_over: bool


def unassigned_runs(scheduler_state: state.SchedulerState, now_s: float) -> list[UnassignedRun]:
    """Return the runs on workers that no task is assigned to, such as runs of cancelled jobs.

    :param scheduler_state: state of the scheduler.
    :param now_s: the lead's clock.
    """
    unassigned: list[UnassignedRun] = []
    for link in scheduler_state.links.values():
        if link.state is None or not link.state.runs:
            continue
        are_over = are_runs_over(scheduler_state, link, now_s)
        ended = {(end.task, end.run) for end in link.state.ends}
        for status in link.state.runs:
            if scheduler_state.work.is_assigned_run(status.task, status.run, link.node):
                continue
            is_over = are_over or (status.task, status.run) in ended
            unassigned.append(UnassignedRun(link.node, status.task, status.run, is_over))
    return unassigned


def are_runs_over(
    scheduler_state: state.SchedulerState, link: links.AgentLink, now_s: float
) -> bool:
    """Return whether all runs that a worker listed last have certainly ended since.

    A lost stream, or a worker that does not answer, is no evidence of it.

    :param scheduler_state: state of the scheduler.
    :param link: link to the worker's agent.
    :param now_s: the lead's clock.
    """
    if link.state is None:
        return False
    if link.state.has_lapsed:
        return True
    if not link.is_attached and now_s >= link.worker_lease_expiry_s():
        return True
    record = scheduler_state.view.agents.get(link.node)
    for departure in (link.state.departure, record.departure if record is not None else None):
        if departure is not None and departure.incarnation == link.listed_incarnation:
            return True
    return False


def is_running(
    scheduler_state: state.SchedulerState,
    link: links.AgentLink,
    key: tasks.TaskKey,
    run: int,
    now_s: float,
) -> bool:
    """Return whether a worker lists a run, which has not certainly ended since.

    :param scheduler_state: state of the scheduler.
    :param link: link to the worker's agent.
    :param key: task of the run.
    :param run: number of the run.
    :param now_s: the lead's clock.
    """
    if link.state is None or are_runs_over(scheduler_state, link, now_s):
        return False
    return any(status.task == key and status.run == run for status in link.state.runs)
