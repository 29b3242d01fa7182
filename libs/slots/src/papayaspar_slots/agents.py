"""Ledger, members and lead of one worker's agent as one object."""

import anyio.abc

from papayaspar_model import clock
from papayaspar_slots import leads, ledger, members, peers, runners, timings


class GangAgent:
    """Handlers of the gang messages of one worker.

    :param worker_ledger: the worker's ledger.
    :param runner: client of the worker's runtime.
    :param gang_peers: client of the other agents.
    :param clock_source: the machine's clock, shared with the runtime.
    :param group: task group of the agent.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(
        self,
        worker_ledger: ledger.Ledger,
        runner: runners.TaskRunner,
        gang_peers: peers.GangPeers,
        clock_source: clock.Clock,
        group: anyio.abc.TaskGroup,
        times: timings.Timings,
    ) -> None:
        self.ledger = worker_ledger
        self.members = members.Members(
            worker_ledger, runner, gang_peers, clock_source, group, times
        )
        self.lead = leads.Lead(worker_ledger, gang_peers, clock_source, group, times)
