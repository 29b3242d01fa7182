"""The agent's side of gangs as one object: ledger, members and lead of one worker."""

import anyio.abc

from papayaspar_model import clock
from papayaspar_slots import leads, ledger, members, peers, runners, terms


class GangAgent:
    """Serves the gang messages of one worker.

    :param book: the worker's ledger.
    :param runner: the worker's runtime.
    :param gang_peers: the other agents.
    :param source: the machine's clock, shared with the runtime.
    :param group: task group of the agent.
    :param times: times of the protocol.
    """

    def __init__(
        self,
        book: ledger.Ledger,
        runner: runners.TaskRunner,
        gang_peers: peers.GangPeers,
        source: clock.Clock,
        group: anyio.abc.TaskGroup,
        times: terms.Terms,
    ) -> None:
        self.book = book
        self.members = members.Members(book, runner, gang_peers, source, group, times)
        self.lead = leads.Lead(book, gang_peers, source, group, times)
