"""What the lead forgets: agents that are gone, so that it does not dial them for ever."""

import pytest

from papayaspar_lead import reconciling
from papayaspar_store import records

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def _soon(monkeypatch):
    monkeypatch.setattr(reconciling, "FORGET_AFTER_S", 0.5)


async def _lose_agent(site):
    """Let a lead know an agent that ends then; return both."""
    entry = await site.add_entry("entry-1")
    agent = await site.add_agent("node-1")
    await site.until(lambda: entry.election.is_lead)
    await site.until(lambda: "node-1" in entry.election.held.attached_nodes())
    agent.scope.cancel()
    return entry, agent


async def test_agent_that_is_gone_is_forgotten(running):
    """Load: 3,300 workers replaced a day, each under a new name."""
    async with running() as site:
        entry, _ = await _lose_agent(site)
        key = records.AGENT + "node-1"
        await site.until(lambda: key not in site.log.partition(records.SHARED).newest)
        assert entry.election.held.link("node-1") is None


async def test_agent_that_comes_back_is_known_again(running):
    async with running() as site:
        entry, agent = await _lose_agent(site)
        await site.until(lambda: entry.election.held.link("node-1") is None)
        await site.add_agent("node-1", agent.worker)
        await site.until(lambda: "node-1" in entry.election.held.attached_nodes())
