"""Calls about gangs that travel between processes, apart from their encoding.

The messages of :mod:`papayaspar_slots.messages` name workers; the calls add the addresses at
which agents find one another, so that no agent needs a directory of the fleet.
"""

import attrs

from papayaspar_slots import claims, messages


@attrs.frozen
class Reserve:
    """An entry's call to a member; answered with ``Reservation``.

    :param claim: what is wanted.
    :param lead_address: ``ip:port`` of the lead's agent.
    """

    claim: claims.Claim
    lead_address: str


@attrs.frozen
class Unreserve:
    """An entry's call to a member; answered with ``Accepted``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class LaunchGang:
    """An entry's call to the lead; answered with ``GangStatus``.

    :param launch: the order.
    :param addresses: ``ip:port`` of the members' agents, in the order of the members.
    """

    launch: messages.Launch
    addresses: tuple[str, ...]


@attrs.frozen
class CancelGang:
    """An entry's call to the lead; answered with ``GangStatus``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class AcknowledgeGang:
    """An entry's call to the lead; answered with ``Accepted``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class InquirePart:
    """An entry's call to a member; answered with ``PartStatus``.

    :param fence: job and attempt.
    """

    fence: claims.Fence


@attrs.frozen
class Accepted:
    """Answer to a call that wants none."""


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
