"""What any entry can find out about a gang, also when the lead or the first entry is gone."""

import anyio

from papayaspar_model import errors
from papayaspar_slots import claims, messages, peers, terms


class Inquirer:
    """Asks the agents of a gang.

    :param agents: the agents.
    :param times: times of the protocol.
    """

    def __init__(self, agents: peers.GangAgents, times: terms.Terms) -> None:
        self._agents = agents
        self._times = times

    async def follow(
        self,
        fence: claims.Fence,
        lead_worker: str,
        known: messages.GangState | None = None,
        wait_s: float = 0.0,
    ) -> messages.GangStatus:
        """Return where a gang stands, waiting for another state than the one known.

        :param fence: job and attempt.
        :param lead_worker: worker whose agent leads the gang.
        :param known: state that is known.
        :param wait_s: longest wait in seconds.
        :raises NotFoundError: the lead knows nothing of the gang; :meth:`retire` settles it.
        :raises OutcomeUnknownError: the lead does not answer; the gang may run.
        """
        try:
            with anyio.fail_after(wait_s + self._times.answer_s):
                inquiry = messages.Inquiry(fence, known, wait_s)
                return await self._agents.inquire(lead_worker, inquiry)
        except (TimeoutError, errors.PeerError):
            raise errors.OutcomeUnknownError(f"{fence.job_id} may run") from None

    async def retire(self, fence: claims.Fence, members: tuple[str, ...]) -> messages.GangStatus:
        """End a gang, or see to it that it is never launched.

        The answer's ``safe_after_s`` says when no part can run any more, which every further
        attempt has to wait for. A gang that was over before keeps its state. If the lead does
        not answer, a member whose part ended early is enough: the gang then ends within
        a term, also if the lead is alive.

        :param fence: job and attempt.
        :param members: workers of the gang, the lead first.
        :raises OutcomeUnknownError: too few agents answer to tell; the gang may run.
        """
        try:
            with anyio.fail_after(self._times.answer_s):
                return await self._agents.cancel(members[0], fence)
        except (TimeoutError, errors.PeerError):
            return await self._ask_members(fence, members)

    async def acknowledge(self, fence: claims.Fence, lead_worker: str) -> None:
        """Let the lead forget a gang whose end was recorded; a lost message does no harm.

        :param fence: job and attempt.
        :param lead_worker: worker whose agent led the gang.
        """
        with anyio.move_on_after(self._times.answer_s):
            try:
                await self._agents.acknowledge(lead_worker, fence)
            except errors.PapayasparError:
                return

    async def _ask_members(
        self, fence: claims.Fence, members: tuple[str, ...]
    ) -> messages.GangStatus:
        answers: list[messages.PartStatus] = []
        async with anyio.create_task_group() as group:
            for worker in members[1:]:
                group.start_soon(self._ask_member, worker, fence, answers)
        ended_ago_s = [answer.ended_ago_s for answer in answers if is_cut_short(answer)]
        if not ended_ago_s:
            raise errors.OutcomeUnknownError(f"{fence.job_id} may run")
        safe_after_s = max(0.0, self._times.term_s - max(ended_ago_s))
        state = messages.GangState.LOST
        return messages.GangStatus(fence, state, len(members), 0, 0.0, safe_after_s)

    async def _ask_member(
        self, worker: str, fence: claims.Fence, answers: list[messages.PartStatus]
    ) -> None:
        with anyio.move_on_after(self._times.answer_s):
            try:
                answers.append(await self._agents.inquire_part(worker, fence))
            except errors.PapayasparError:
                return


def is_cut_short(part: messages.PartStatus) -> bool:
    """Return whether a part is over without having done its tasks."""
    return part.over and not part.done
