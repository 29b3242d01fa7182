"""The workers that a planning round may use, with their health as it is known now."""

from papayaspar_lead import links, planning_inputs, state
from papayaspar_scheduling import fleet, health

MILLISECONDS_PER_SECOND = 1000.0
# When more than this share of the workers are on trial, their runs fail for reasons of the jobs
# rather than of the workers.
TRIAL_SHARE_MAX = 0.5
# While workers of a pool are leaving, one that started within this time is a replacement, in
# seconds: replacements start before the workers that they replace begin to drain.
REPLACEMENT_AGE_MAX_S = 20.0


def in_pool(
    scheduler_state: state.SchedulerState,
    inputs: planning_inputs.PlanningInputs,
    pool: str,
    excluded_nodes: frozenset[str],
    is_warm_up_counted: bool,
    now_s: float,
) -> list[fleet.Worker]:
    """Return the workers of a pool to which a planning round may assign work.

    :param scheduler_state: state of the scheduler.
    :param inputs: input of the planning round.
    :param pool: name of the pool.
    :param excluded_nodes: VMs on which nothing may start.
    :param is_warm_up_counted: whether cold workers take less work than warm ones.
    :param now_s: the lead's clock.
    """
    pool_links = [link for link in scheduler_state.links.values() if link.worker.pool == pool]
    usable: list[fleet.Worker] = []
    for link in pool_links:
        if not link.is_attached or link.node in excluded_nodes:
            continue
        if link.has_refused_recently(now_s):
            continue
        _update_health(scheduler_state, inputs, link, now_s)
        link.worker.cold_ratio = link.warm_up.remaining_ratio(now_s) if is_warm_up_counted else 0.0
        usable.append(link.worker)
    _end_uninformative_trials(usable)
    _mark_replacements(pool_links, scheduler_state.clock.wall_s())
    return usable


def _update_health(
    scheduler_state: state.SchedulerState,
    inputs: planning_inputs.PlanningInputs,
    link: links.AgentLink,
    now_s: float,
) -> None:
    worker = link.worker
    outcomes = scheduler_state.work.outcomes(worker.node)
    worker.is_trusted = not outcomes.is_ejected(now_s)
    scheduler_state.work.update_slowness(worker)
    worker.trial = outcomes.trial(now_s, inputs.newest_start_s(worker.node))
    worker.proven_s = outcomes.proven_s


def _end_uninformative_trials(workers: list[fleet.Worker]) -> None:
    """Ignore the trials of a pool in which more than ``TRIAL_SHARE_MAX`` are on trial."""
    on_trial = [worker for worker in workers if worker.trial is not health.Trial.NONE]
    if len(on_trial) <= TRIAL_SHARE_MAX * len(workers):
        return
    for worker in on_trial:
        worker.trial = health.Trial.NONE


def _mark_replacements(pool_links: list[links.AgentLink], wall_s: float) -> None:
    """Mark the new workers of a pool while others of it are leaving."""
    is_replacing = any(link.is_worker_draining for link in pool_links)
    born_after_s = wall_s - REPLACEMENT_AGE_MAX_S
    for link in pool_links:
        incarnation = link.worker.incarnation
        link.worker.is_replacement = (
            is_replacing
            and incarnation is not None
            and incarnation.born_ms / MILLISECONDS_PER_SECOND >= born_after_s
        )
