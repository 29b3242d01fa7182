"""Launch of gangs by an entry: reserve every member, then send the launch to the lead.

Members are reserved in the order of their names. If several entries compete for the same workers,
the entry that reserves the first shared worker proceeds; the others release their reservations and
retry after a random backoff.
"""

import random

import anyio

from papayaspar_model import errors, work, workers
from papayaspar_slots import claims, messages, peers, refusals, timings

LAUNCH_SENDS_MAX = 4
INITIAL_BACKOFF_S = 0.1
BACKOFF_MAX_S = 3.0


class LaunchUnknownError(errors.OutcomeUnknownError):
    """The lead did not answer a launch; the gang may be running."""

    code = "launch_unknown"
    title = "The lead did not answer"


def make_claims(
    owner: str, job: work.Job, placement: workers.Placement, attempt: int
) -> dict[str, claims.Claim]:
    """Return the claim for each worker of a gang, ordered by worker name.

    :param owner: the entry that places the gang.
    :param job: the job.
    :param placement: worker and accelerators of each task; the worker of the first one leads.
    :param attempt: number of the job's attempt, higher than all earlier ones.
    """
    shares: dict[str, list[claims.TaskShare]] = {}
    for task, place in enumerate(placement.tasks):
        share = claims.TaskShare(task, place.accelerators)
        shares.setdefault(place.worker, []).append(share)
    claims_by_worker = {}
    for worker in sorted(shares):
        claims_by_worker[worker] = claims.Claim(
            fence=claims.Fence(job.job_id, attempt),
            owner=owner,
            team=job.team,
            tasks=tuple(shares[worker]),
            lead_worker=placement.tasks[0].worker,
            stoppable=job.stoppable,
            checkpoint=job.checkpoint,
            run_time_s=job.run_time_s,
            guarantee=placement.guarantee,
            instance=placement.instance,
        )
    return claims_by_worker


class Launcher:
    """Launches gangs for one entry.

    :param owner: name of the entry.
    :param agents: client of the agents.
    :param rng: random source of the backoff.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(
        self, owner: str, agents: peers.GangAgents, rng: random.Random, times: timings.Timings
    ) -> None:
        self.owner = owner
        self._agents = agents
        self._rng = rng
        self._times = times

    async def launch(
        self, job: work.Job, placement: workers.Placement, attempt: int
    ) -> messages.GangStatus:
        """Reserve accelerators at every member and send the launch to the lead.

        :param job: the job.
        :param placement: worker and accelerators of each task.
        :param attempt: number of the job's attempt, higher than all earlier ones.
        :raises LaunchUnknownError: the gang may be running; query the lead before any further
            attempt.
        :raises PapayasparError: a member refused or did not answer; nothing runs.
        """
        claims_by_worker = make_claims(self.owner, job, placement, attempt)
        fence = claims.Fence(job.job_id, attempt)
        contacted: list[str] = []
        try:
            await self._reserve(claims_by_worker, contacted)
            return await self._send_launch(
                fence, placement.tasks[0].worker, claims_by_worker, job.checkpoint
            )
        except LaunchUnknownError:
            raise
        except errors.PapayasparError:
            await self._release_reservations(fence, contacted)
            raise

    async def launch_with_backoff(
        self, job: work.Job, placement: workers.Placement, attempts: range
    ) -> messages.GangStatus:
        """Launch a gang and retry with backoff while members are busy; raises as :meth:`launch`.

        :param job: the job.
        :param placement: worker and accelerators of each task.
        :param attempts: attempt numbers to use, at least one.
        """
        for attempt in attempts[:-1]:
            try:
                return await self.launch(job, placement, attempt)
            except errors.BusyError as error:
                await anyio.sleep(self._backoff_s(attempt - attempts.start, error))
        return await self.launch(job, placement, attempts[-1])

    async def _reserve(
        self, claims_by_worker: dict[str, claims.Claim], contacted: list[str]
    ) -> None:
        for worker, claim in claims_by_worker.items():
            contacted.append(worker)
            try:
                with anyio.fail_after(self._times.answer_timeout_s):
                    await self._agents.reserve(worker, claim)
            except TimeoutError:
                raise errors.PeerError(f"no answer from {worker}") from None
            except refusals.ClaimConflictError:
                # Another entry's reservation has the same fence and must not be cancelled.
                contacted.remove(worker)
                raise

    async def _send_launch(
        self,
        fence: claims.Fence,
        lead: str,
        claims_by_worker: dict[str, claims.Claim],
        checkpoint: bool,
    ) -> messages.GangStatus:
        members = (lead, *(worker for worker in claims_by_worker if worker != lead))
        launch = messages.Launch(fence, members, checkpoint)
        for send_index in range(LAUNCH_SENDS_MAX):
            try:
                with anyio.fail_after(self._times.answer_timeout_s):
                    return await self._agents.launch(lead, launch)
            except (TimeoutError, errors.PeerError):
                await anyio.sleep(self._times.poll_interval_s)
            except errors.PapayasparError:
                if send_index == 0:
                    raise
                # An earlier send may have reached the previous incarnation of the lead.
                break
        raise LaunchUnknownError(f"the lead did not confirm the launch of {fence.job_id}")

    async def _release_reservations(self, fence: claims.Fence, contacted: list[str]) -> None:
        async with anyio.create_task_group() as group:
            for worker in contacted:
                group.start_soon(self._unreserve, worker, fence)

    async def _unreserve(self, worker: str, fence: claims.Fence) -> None:
        with anyio.move_on_after(self._times.answer_timeout_s):
            try:
                await self._agents.unreserve(worker, fence)
            except errors.PapayasparError:
                return

    def _backoff_s(self, retries: int, error: errors.BusyError) -> float:
        ceiling_s = min(BACKOFF_MAX_S, INITIAL_BACKOFF_S * 2**retries)
        return (error.retry_after_s or 0.0) + self._rng.uniform(0.0, ceiling_s)
