"""Times of the gang protocol."""

import attrs


@attrs.frozen
class Terms:
    """Times in seconds that all agents share.

    A part of a gang runs at most ``term_s`` without the others: ``silence_s`` until its lead
    withdraws the gang, then ``lease_s`` until the last lease has ended.

    :param lease_s: length of a go-lease, from the holder's sending of the renewal.
    :param silence_s: time without proof of life after which a member is lost.
    :param first_lease_s: length of go-leases until every member has started.
    :param renew_s: time between renewals of a running part.
    :param poll_s: time between renewals of a part that waits to start or to stop.
    :param answer_s: time allowed to a peer's answer.
    :param runtime_s: time allowed to one call of the runtime.
    :param arm_s: time allowed to arm a gang, reclaims included.
    :param yield_s: time allowed to a gang to checkpoint before a reclaim stops it.
    :param evict_s: time after which an agent stops a reclaimed part by itself.
    """

    lease_s: float = 5.0
    silence_s: float = 5.0
    first_lease_s: float = 2.0
    renew_s: float = 1.25
    poll_s: float = 0.25
    answer_s: float = 1.25
    runtime_s: float = 1.0
    arm_s: float = 10.0
    yield_s: float = 3.0
    evict_s: float = 4.5

    @property
    def term_s(self) -> float:
        """Longest time in seconds that a part can run without the others."""
        return self.lease_s + self.silence_s
