"""Gang messages from this entry to agents, over the streams that the agents opened."""

from papayaspar_entry import sessions
from papayaspar_membership import members
from papayaspar_model import errors
from papayaspar_slots import calls, claims, messages, peers, timings
from papayaspar_wire import messages as wire_messages


class StreamGangAgents(peers.GangAgents):
    """Sends gang messages to agents over their streams.

    :param agent_sessions: streams to the agents.
    :param table: this entry's table of workers, with the addresses of their agents.
    :param times: timeouts of the gang protocol.
    """

    def __init__(
        self, agent_sessions: sessions.Sessions, table: members.MemberTable, times: timings.Timings
    ) -> None:
        self._sessions = agent_sessions
        self._table = table
        self._times = times

    async def reserve(self, worker: str, claim: claims.Claim) -> claims.Reservation:
        """Reserve a member's accelerators."""
        message = calls.Reserve(claim, self._address(claim.lead_worker))
        return wire_messages.expect(await self._call(worker, message), claims.Reservation)

    async def unreserve(self, worker: str, fence: claims.Fence) -> None:
        """Release a reservation that was not armed."""
        await self._call(worker, calls.Unreserve(fence))

    async def launch(self, worker: str, launch: messages.Launch) -> messages.GangStatus:
        """Instruct the lead to launch a gang whose members are reserved."""
        addresses = tuple(self._address(member) for member in launch.members)
        message = calls.LaunchGang(launch, addresses)
        return wire_messages.expect(await self._call(worker, message), messages.GangStatus)

    async def inquire(self, worker: str, inquiry: messages.Inquiry) -> messages.GangStatus:
        """Return the status of a gang from its lead."""
        timeout_s = inquiry.wait_s + self._times.answer_timeout_s
        reply = await self._sessions.peer(worker).call(inquiry, timeout_s)
        return wire_messages.expect(reply, messages.GangStatus)

    async def cancel(self, worker: str, fence: claims.Fence) -> messages.GangStatus:
        """Instruct the lead to stop a gang, or never to launch it."""
        reply = await self._call(worker, calls.CancelGang(fence))
        return wire_messages.expect(reply, messages.GangStatus)

    async def acknowledge(self, worker: str, fence: claims.Fence) -> None:
        """Confirm to the lead that the result of a gang was recorded."""
        await self._call(worker, calls.AcknowledgeGang(fence))

    async def inquire_part(self, worker: str, fence: claims.Fence) -> messages.PartStatus:
        """Return the status of one member's part of a gang from its agent."""
        reply = await self._call(worker, calls.InquirePart(fence))
        return wire_messages.expect(reply, messages.PartStatus)

    async def preempt(self, worker: str, fence: claims.Fence) -> None:
        """Instruct the lead of a gang to save its work and release its accelerators."""
        await self._call(worker, messages.GiveWay(fence))

    async def _call(self, worker: str, message: object) -> object:
        return await self._sessions.peer(worker).call(message, self._times.answer_timeout_s)

    def _address(self, worker: str) -> str:
        member = self._table.get(worker)
        if member is None:
            raise errors.PeerError(f"the address of {worker} is unknown")
        return member.report.agent_address
