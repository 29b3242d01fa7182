"""Handling of gang messages that this agent receives from entries and other agents."""

from papayaspar_agent import agent_links
from papayaspar_model import errors
from papayaspar_slots import agents, calls, messages


class GangService:
    """Passes each gang message to the members or the lead of this worker.

    :param gangs: ledger, members and lead of this worker.
    :param links: streams to other agents; addresses of agents in the messages are recorded there.
    """

    def __init__(self, gangs: agents.GangAgent, links: agent_links.AgentLinks) -> None:
        self._gangs = gangs
        self._links = links

    async def answer(self, message: object) -> object:
        """Return the answer to one call.

        :param message: one of :data:`papayaspar_slots.calls.ALL`.
        :raises ProtocolError: if it is not a gang message.
        """
        if isinstance(message, messages.Renew):
            return self._gangs.lead.renew(message)
        if isinstance(message, messages.Inquiry):
            return await self._gangs.lead.inquire(message)
        if isinstance(message, calls.InquirePart):
            return self._gangs.members.inquire_part(message.fence)
        return self._handle_change(message)

    def _handle_change(self, message: object) -> object:
        if isinstance(message, calls.Reserve):
            self._links.update_address(message.claim.lead_worker, message.lead_address)
            return self._gangs.members.reserve(message.claim)
        if isinstance(message, calls.Unreserve):
            self._gangs.members.unreserve(message.fence)
            return calls.Accepted()
        if isinstance(message, calls.LaunchGang):
            self._update_addresses(message)
            return self._gangs.lead.launch(message.launch)
        if isinstance(message, calls.CancelGang):
            return self._gangs.lead.cancel(message.fence)
        if isinstance(message, calls.AcknowledgeGang):
            self._gangs.lead.acknowledge(message.fence)
            return calls.Accepted()
        if isinstance(message, messages.Arm):
            self._gangs.members.arm(message)
            return calls.Accepted()
        if isinstance(message, messages.GiveWay):
            self._gangs.lead.preempt(message)
            return calls.Accepted()
        raise errors.ProtocolError(f"{type(message).__name__} is not a gang message")

    def _update_addresses(self, message: calls.LaunchGang) -> None:
        for worker, address in zip(message.launch.members, message.addresses, strict=True):
            self._links.update_address(worker, address)
