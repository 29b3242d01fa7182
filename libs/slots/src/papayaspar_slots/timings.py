"""Timeouts and intervals of the gang protocol."""

import attrs


@attrs.frozen
class Timings:
    """Timeouts and intervals in seconds, the same for all agents.

    A part of a gang runs for at most ``isolated_run_max_s`` without the others:
    ``silence_timeout_s`` until the lead stops granting leases, then ``lease_s`` until the last
    lease has expired.

    :param lease_s: length of a run lease, from when the member sends the renewal.
    :param silence_timeout_s: time without proof of liveness after which a member counts as failed.
    :param first_lease_s: length of run leases until every member has started.
    :param renew_interval_s: interval between renewals of a running part.
    :param poll_interval_s: interval between renewals of a part that waits to start or to stop.
    :param answer_timeout_s: timeout for the answer of a peer.
    :param runtime_timeout_s: timeout for one call to the runtime.
    :param arm_timeout_s: timeout for arming a gang, including preemption of other gangs.
    :param yield_timeout_s: time for a preempted gang to save checkpoints before it is stopped.
    :param force_stop_timeout_s: time after which an agent stops a preempted part without an order
        of its lead.
    """

    lease_s: float = 5.0
    silence_timeout_s: float = 5.0
    first_lease_s: float = 2.0
    renew_interval_s: float = 1.25
    poll_interval_s: float = 0.25
    answer_timeout_s: float = 1.25
    runtime_timeout_s: float = 1.0
    arm_timeout_s: float = 10.0
    yield_timeout_s: float = 3.0
    force_stop_timeout_s: float = 4.5

    @property
    def isolated_run_max_s(self) -> float:
        """Maximum time in seconds that a part can run without the others."""
        return self.lease_s + self.silence_timeout_s
