"""Timeouts and intervals of the gang protocol."""

import attrs


@attrs.frozen
class Terms:
    """Timeouts and intervals in seconds, the same for all agents.

    A part of a gang runs for at most ``term_s`` without the others: ``silence_s`` until the lead
    stops granting leases, then ``lease_s`` until the last lease has expired.

    :param lease_s: length of a run lease, from when the member sends the renewal.
    :param silence_s: time without proof of liveness after which a member counts as failed.
    :param first_lease_s: length of run leases until every member has started.
    :param renew_s: interval between renewals of a running part.
    :param poll_s: interval between renewals of a part that waits to start or to stop.
    :param answer_s: timeout for the answer of a peer.
    :param runtime_s: timeout for one call to the runtime.
    :param arm_s: timeout for arming a gang, including preemption of other gangs.
    :param yield_s: time for a preempted gang to save checkpoints before it is stopped.
    :param evict_s: timeout after which an agent stops a preempted part without its lead.
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
        """Maximum time in seconds that a part can run without the others."""
        return self.lease_s + self.silence_s
