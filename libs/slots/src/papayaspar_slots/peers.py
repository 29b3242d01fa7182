"""Interfaces to other agents; the agent daemon implements them over its streams."""

import abc

from papayaspar_slots import claims, messages


class GangPeers(abc.ABC):
    """Messages between agents, addressed by worker name; the agent's own worker is included.

    Methods raise :class:`papayaspar_model.errors.PeerError` if no answer is possible, and the
    errors that the other agent raised. Callers set the timeout.
    """

    @abc.abstractmethod
    async def arm(self, worker: str, arm: messages.Arm) -> None:
        """Bind a member's reservation to its lead."""

    @abc.abstractmethod
    async def renew(self, worker: str, renew: messages.Renew) -> messages.Grant:
        """Request a run lease from the lead."""

    @abc.abstractmethod
    async def preempt(self, worker: str, give_way: messages.GiveWay) -> None:
        """Request the lead of a gang to preempt it."""


class GangAgents(abc.ABC):
    """Messages from an entry to agents, by worker name; raises as :class:`GangPeers`."""

    @abc.abstractmethod
    async def reserve(self, worker: str, claim: claims.Claim) -> claims.Reservation:
        """Reserve a member's accelerators."""

    @abc.abstractmethod
    async def unreserve(self, worker: str, fence: claims.Fence) -> None:
        """Cancel a reservation that is not armed."""

    @abc.abstractmethod
    async def launch(self, worker: str, launch: messages.Launch) -> messages.GangStatus:
        """Order the lead to launch a gang whose members are reserved."""

    @abc.abstractmethod
    async def inquire(self, worker: str, inquiry: messages.Inquiry) -> messages.GangStatus:
        """Query the lead for the status of a gang.

        :raises NotFoundError: the agent leads no such gang.
        """

    @abc.abstractmethod
    async def cancel(self, worker: str, fence: claims.Fence) -> messages.GangStatus:
        """Order the lead to end a gang, or never to launch it."""

    @abc.abstractmethod
    async def acknowledge(self, worker: str, fence: claims.Fence) -> None:
        """Inform the lead that the result of a gang is recorded."""

    @abc.abstractmethod
    async def inquire_part(self, worker: str, fence: claims.Fence) -> messages.PartStatus:
        """Query a member's agent for the status of its part of a gang."""
