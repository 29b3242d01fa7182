"""What the lead forgets: agents that are gone, so that it does not dial them for ever."""

import pytest

from papayaspar_lead import reconciling
from papayaspar_store import records

pytestmark = pytest.mark.anyio


async def test_agent_that_is_gone_is_forgotten(running, monkeypatch):
    """Load: 3,300 workers replaced a day, each under a new name."""
    monkeypatch.setattr(reconciling, "FORGET_AFTER_S", 0.5)
    async with running() as site:
        entry = await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        await site.until(lambda: entry.election.is_lead)
        await site.until(lambda: "node-1" in entry.election.held.attached_nodes())
        agent.scope.cancel()
        key = records.AGENT + "node-1"
        await site.until(lambda: key not in site.log.partition(records.SHARED).newest)
        assert entry.election.held.link("node-1") is None


async def test_agent_that_comes_back_is_known_again(running, monkeypatch):
    monkeypatch.setattr(reconciling, "FORGET_AFTER_S", 0.5)
    async with running() as site:
        entry = await site.add_entry("entry-1")
        agent = await site.add_agent("node-1")
        await site.until(lambda: entry.election.is_lead)
        await site.until(lambda: "node-1" in entry.election.held.attached_nodes())
        agent.scope.cancel()
        await site.until(lambda: entry.election.held.link("node-1") is None)
        await site.add_agent("node-1", agent.worker)
        await site.until(lambda: "node-1" in entry.election.held.attached_nodes())
