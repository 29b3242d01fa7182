"""Calls about gangs between processes, independent of their encoding.

The messages of :mod:`papayaspar_slots.messages` name workers; the calls add the addresses of their
agents, so that no agent needs a directory of the fleet.
"""

import attrs

from papayaspar_slots import claims, messages


@attrs.frozen
class Reserve:
    """Call from an entry to a member to reserve accelerators; answered with ``Reservation``.

    :param claim: the requested reservation.
    :param lead_address: ``ip:port`` of the lead's agent.
    """

    claim: claims.Claim
    lead_address: str


@attrs.frozen
class Unreserve:
    """Call from an entry to a member to cancel a reservation; answered with ``Accepted``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class LaunchGang:
    """Call from an entry to the lead to launch a gang; answered with ``GangStatus``.

    :param launch: the launch message.
    :param addresses: ``ip:port`` of the members' agents, in the order of the members.
    """

    launch: messages.Launch
    addresses: tuple[str, ...]


@attrs.frozen
class CancelGang:
    """Call from an entry to the lead to end a gang; answered with ``GangStatus``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class AcknowledgeGang:
    """Call from an entry to the lead: the gang's result is recorded.

    Answered with :class:`Accepted`.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class InquirePart:
    """Call from an entry to a member for the state of its part; answered with ``PartStatus``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class Accepted:
    """Answer to a call that returns no data."""


ALL: tuple[type, ...] = (
    Reserve,
    Unreserve,
    LaunchGang,
    CancelGang,
    AcknowledgeGang,
    InquirePart,
    Accepted,
    claims.Reservation,
    messages.Arm,
    messages.Renew,
    messages.Grant,
    messages.GiveWay,
    messages.Inquiry,
    messages.GangStatus,
    messages.PartStatus,
)
