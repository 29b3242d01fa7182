"""The entry's side of gangs: reserve every member, then tell the lead to launch.

Members are reserved in the order of their names, so of entries that compete for the same workers
the one that is first at the first shared worker gets on; the others give back and wait a random
time.
"""

import random

import anyio

from papayaspar_model import errors, work, workers
from papayaspar_slots import claims, messages, peers, refusals, terms

LAUNCH_TRIES = 4
BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 3.0


class LaunchUnknownError(errors.OutcomeUnknownError):
    """The lead did not answer a launch; the gang may run."""

    code = "launch_unknown"
    title = "The lead did not answer"


def make_claims(
    owner: str, job: work.Job, placement: workers.Placement, attempt: int
) -> dict[str, claims.Claim]:
    """Return the claim for each worker of a gang, in the order of their names.

    :param owner: the entry that places the gang.
    :param job: the job.
    :param placement: where each task stands; the first one's worker leads.
    :param attempt: run of the job, higher than every one before.
    """
    shares: dict[str, list[claims.TaskShare]] = {}
    for task, place in enumerate(placement.tasks):
        share = claims.TaskShare(task, place.accelerators)
        shares.setdefault(place.worker, []).append(share)
    made = {}
    for worker in sorted(shares):
        made[worker] = claims.Claim(
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
    return made


class Launcher:
    """Places gangs for one entry.

    :param owner: name of the entry.
    :param agents: the agents.
    :param rng: randomness of the backoff.
    :param times: times of the protocol.
    """

    def __init__(
        self, owner: str, agents: peers.GangAgents, rng: random.Random, times: terms.Terms
    ) -> None:
        self.owner = owner
        self._agents = agents
        self._rng = rng
        self._times = times

    async def launch(
        self, job: work.Job, placement: workers.Placement, attempt: int
    ) -> messages.GangStatus:
        """Reserve every member and have the lead launch the gang.

        :param job: the job.
        :param placement: where each task stands.
        :param attempt: run of the job, higher than every one before.
        :raises LaunchUnknownError: the gang may run; the lead has to be asked before any further
            attempt.
        :raises PapayasparError: a member refused or is lost; nothing runs.
        """
        wanted = make_claims(self.owner, job, placement, attempt)
        fence = claims.Fence(job.job_id, attempt)
        asked: list[str] = []
        try:
            await self._reserve(wanted, asked)
            return await self._tell_lead(fence, placement.tasks[0].worker, wanted, job.checkpoint)
        except LaunchUnknownError:
            raise
        except errors.PapayasparError:
            await self._give_back(fence, asked)
            raise

    async def launch_with_backoff(
        self, job: work.Job, placement: workers.Placement, attempts: range
    ) -> messages.GangStatus:
        """Launch a gang, trying again while its members are busy; raises as :meth:`launch`.

        :param job: the job.
        :param placement: where each task stands.
        :param attempts: numbers of the attempts to use, at least one.
        """
        for attempt in attempts[:-1]:
            try:
                return await self.launch(job, placement, attempt)
            except errors.BusyError as error:
                await anyio.sleep(self._backoff_s(attempt - attempts.start, error))
        return await self.launch(job, placement, attempts[-1])

    async def _reserve(self, wanted: dict[str, claims.Claim], asked: list[str]) -> None:
        for worker, claim in wanted.items():
            asked.append(worker)
            try:
                with anyio.fail_after(self._times.answer_s):
                    await self._agents.reserve(worker, claim)
            except TimeoutError:
                raise errors.PeerError(f"no answer from {worker}") from None
            except refusals.ClaimConflictError:
                # What is held there under this fence is another entry's reservation.
                asked.remove(worker)
                raise

    async def _tell_lead(
        self, fence: claims.Fence, lead: str, wanted: dict[str, claims.Claim], checkpoint: bool
    ) -> messages.GangStatus:
        members = (lead, *(worker for worker in wanted if worker != lead))
        launch = messages.Launch(fence, members, checkpoint)
        for sending in range(LAUNCH_TRIES):
            try:
                with anyio.fail_after(self._times.answer_s):
                    return await self._agents.launch(lead, launch)
            except (TimeoutError, errors.PeerError):
                await anyio.sleep(self._times.poll_s)
            except errors.PapayasparError:
                if sending == 0:
                    raise
                # An earlier sending may have reached the lead in its previous life.
                break
        raise LaunchUnknownError(fence.job_id)

    async def _give_back(self, fence: claims.Fence, asked: list[str]) -> None:
        async with anyio.create_task_group() as group:
            for worker in asked:
                group.start_soon(self._unreserve, worker, fence)

    async def _unreserve(self, worker: str, fence: claims.Fence) -> None:
        with anyio.move_on_after(self._times.answer_s):
            try:
                await self._agents.unreserve(worker, fence)
            except errors.PapayasparError:
                return

    def _backoff_s(self, tries: int, error: errors.BusyError) -> float:
        ceiling_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**tries)
        return (error.retry_after_s or 0.0) + self._rng.uniform(0.0, ceiling_s)
