"""What gangs need of other agents; the agent daemon adapts it to its streams."""

import abc

from papayaspar_slots import claims, messages


class GangPeers(abc.ABC):
    """Messages between agents, by name of the worker; the own worker is reachable too.

    Methods raise :class:`papayaspar_model.errors.PeerError` when no answer can come, and the
    errors that the other agent raised. Callers bound the time.
    """

    @abc.abstractmethod
    async def arm(self, worker: str, arm: messages.Arm) -> None:
        """Bind a member's reservation to its lead."""

    @abc.abstractmethod
    async def renew(self, worker: str, renew: messages.Renew) -> messages.Grant:
        """Ask the lead for a go-lease."""

    @abc.abstractmethod
    async def give_way(self, worker: str, give_way: messages.GiveWay) -> None:
        """Ask the lead of a gang to leave its accelerators."""


class GangAgents(abc.ABC):
    """Messages from an entry to agents, by name of the worker; errors as :class:`GangPeers`."""

    @abc.abstractmethod
    async def reserve(self, worker: str, claim: claims.Claim) -> claims.Reservation:
        """Reserve a member's accelerators."""

    @abc.abstractmethod
    async def unreserve(self, worker: str, fence: claims.Fence) -> None:
        """Give a reservation back that was not armed."""

    @abc.abstractmethod
    async def launch(self, worker: str, launch: messages.Launch) -> messages.GangStatus:
        """Tell the lead to launch a gang whose members are reserved."""

    @abc.abstractmethod
    async def inquire(self, worker: str, inquiry: messages.Inquiry) -> messages.GangStatus:
        """Ask the lead about a gang.

        :raises NotFoundError: the agent leads no such gang.
        """

    @abc.abstractmethod
    async def cancel(self, worker: str, fence: claims.Fence) -> messages.GangStatus:
        """Tell the lead to end a gang, or never to launch it."""

    @abc.abstractmethod
    async def acknowledge(self, worker: str, fence: claims.Fence) -> None:
        """Tell the lead that the end of a gang was recorded."""

    @abc.abstractmethod
    async def inquire_part(self, worker: str, fence: claims.Fence) -> messages.PartStatus:
        """Ask a member's agent about its part of a gang."""
