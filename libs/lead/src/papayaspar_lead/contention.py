"""Shares of the teams that compete for the pools, as the lead keeps them."""

from collections.abc import Iterable, Mapping, Sequence

from papayaspar_jobs import specs
from papayaspar_lead import state
from papayaspar_scheduling import fleet, ordering, shares

# Number of teams of which the metrics show how far they are ahead of their share.
SHOWN_TEAMS_MAX = 20


class Contention:
    """Assess the waiting units of each pool by their teams' shares.

    :param scheduler_state: state of the scheduler.
    """

    def __init__(self, scheduler_state: state.SchedulerState) -> None:
        self._state = scheduler_state
        self._accounts: dict[str, shares.ShareAccounts] = {}
        self._shown_teams: dict[tuple[str, str], None] = {}

    def assess(
        self,
        pool: str,
        demands: Sequence[ordering.Demand],
        free: fleet.FreeCapacity,
        now_s: float,
    ) -> list[ordering.Demand]:
        """Return the demands, with those marked that are beyond their share; called in each round.

        :param pool: name of the pool.
        :param demands: demands of its waiting units.
        :param free: its free capacity.
        :param now_s: the lead's clock.
        """
        open_workers = [worker for worker in free.workers() if worker.is_open]
        shared = shares.Pool(
            _sum(worker.capacity for worker in open_workers),
            _sum(free.free(worker.node) for worker in open_workers),
            self._state.work.guaranteed_accelerators,
        )
        running: dict[str, specs.Resources] = {}
        if shares.is_contended(demands, shared):
            running = self._running(pool)
        account = self._accounts.setdefault(pool, shares.ShareAccounts())
        assessed = account.assess(demands, running, shared, now_s)
        self._show(pool, account.ahead_s)
        return assessed

    def _running(self, pool: str) -> dict[str, specs.Resources]:
        """Return the resources of a pool that each team uses, those about to be released aside."""
        running: dict[str, specs.Resources] = {}
        for task in self._state.work.assigned_tasks():
            job = task.unit.job
            if task.is_stopping or self._state.work.queue_of(job).pool != pool:
                continue
            used = running.get(job.spec.team, specs.Resources())
            running[job.spec.team] = used.plus(task.step.counted_resources)
        return running

    def _show(self, pool: str, ahead_s: Mapping[str, float]) -> None:
        """Show how far the teams are ahead, those that were ahead first; others are left out."""
        for team, team_ahead_s in ahead_s.items():
            if team_ahead_s > shares.AHEAD_MAX_S and len(self._shown_teams) < SHOWN_TEAMS_MAX:
                self._shown_teams[pool, team] = None
        for shown_pool, team in self._shown_teams:
            if shown_pool == pool:
                self._state.events.metrics.set_state(
                    f"share_ahead_s/{pool}/{team}", ahead_s.get(team, 0.0)
                )


def _sum(amounts: Iterable[specs.Resources]) -> specs.Resources:
    cpu_millicores = memory_mb = accelerators = 0
    for amount in amounts:
        cpu_millicores += max(0, amount.cpu_millicores)
        memory_mb += max(0, amount.memory_mb)
        accelerators += max(0, amount.accelerators)
    return specs.Resources(cpu_millicores, memory_mb, accelerators)
