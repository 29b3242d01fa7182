"""Status queries and cancellation of a gang, by any entry, even after its lead has failed."""

import anyio

from papayaspar_model import errors
from papayaspar_slots import claims, messages, peers, timings


class GangClient:
    """Client of the agents of a gang.

    :param agents: client of the agents.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(self, agents: peers.GangAgents, times: timings.Timings) -> None:
        self._agents = agents
        self._times = times

    async def wait_for_status(
        self,
        fence: claims.Fence,
        lead_worker: str,
        known: messages.GangState | None = None,
        wait_s: float = 0.0,
    ) -> messages.GangStatus:
        """Return the status of a gang, by long polling for a change of its state.

        :param fence: job and attempt.
        :param lead_worker: worker whose agent leads the gang.
        :param known: last known state; the call waits for another one.
        :param wait_s: maximum wait in seconds.
        :raises NotFoundError: the lead has no such gang; :meth:`end_gang` determines its outcome.
        :raises OutcomeUnknownError: the lead does not answer; the gang may be running.
        """
        try:
            with anyio.fail_after(wait_s + self._times.answer_timeout_s):
                inquiry = messages.Inquiry(fence, known, wait_s)
                return await self._agents.inquire(lead_worker, inquiry)
        except (TimeoutError, errors.PeerError):
            raise errors.OutcomeUnknownError(f"{fence.job_id} may be running") from None

    async def end_gang(self, fence: claims.Fence, members: tuple[str, ...]) -> messages.GangStatus:
        """End a gang, or prevent its launch.

        The answer's ``safe_after_s`` is the time until no part can be running any more; each
        further attempt has to wait that long. A gang that has already ended keeps its state. If
        the lead does not answer, one member whose part ended early is sufficient evidence: the
        gang then ends within ``isolated_run_max_s``, even if the lead is running.

        :param fence: job and attempt.
        :param members: workers of the gang, the lead first.
        :raises OutcomeUnknownError: the answers are not sufficient; the gang may be running.
        """
        try:
            with anyio.fail_after(self._times.answer_timeout_s):
                return await self._agents.cancel(members[0], fence)
        except (TimeoutError, errors.PeerError):
            return await self._query_members(fence, members)

    async def acknowledge(self, fence: claims.Fence, lead_worker: str) -> None:
        """Let the lead delete a gang whose result is recorded; losing the message is harmless.

        :param fence: job and attempt.
        :param lead_worker: worker whose agent led the gang.
        """
        with anyio.move_on_after(self._times.answer_timeout_s):
            try:
                await self._agents.acknowledge(lead_worker, fence)
            except errors.PapayasparError:
                return

    async def _query_members(
        self, fence: claims.Fence, members: tuple[str, ...]
    ) -> messages.GangStatus:
        answers: list[messages.PartStatus] = []
        async with anyio.create_task_group() as group:
            for worker in members[1:]:
                group.start_soon(self._query_member, worker, fence, answers)
        ended_ago_s = [answer.ended_ago_s for answer in answers if has_ended_early(answer)]
        if not ended_ago_s:
            raise errors.OutcomeUnknownError(f"{fence.job_id} may be running")
        safe_after_s = max(0.0, self._times.isolated_run_max_s - max(ended_ago_s))
        state = messages.GangState.LOST
        return messages.GangStatus(fence, state, len(members), 0, 0.0, safe_after_s)

    async def _query_member(
        self, worker: str, fence: claims.Fence, answers: list[messages.PartStatus]
    ) -> None:
        with anyio.move_on_after(self._times.answer_timeout_s):
            try:
                answers.append(await self._agents.inquire_part(worker, fence))
            except errors.PapayasparError:
                return


def has_ended_early(part: messages.PartStatus) -> bool:
    """Return whether a part has ended before its tasks were completed."""
    return part.over and not part.done
