"""Removal of agents that stay disconnected, so that the lead stops dialling them."""

import pytest

from papayaspar_lead import reconciling
from papayaspar_store import records

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def _short_timeout(monkeypatch):
    monkeypatch.setattr(reconciling, "FORGET_TIMEOUT_S", 0.5)


async def _lose_agent(cluster):
    """Start a lead and an agent, terminate the agent once it is attached, and return both."""
    entry = await cluster.add_entry("entry-1")
    agent = await cluster.add_agent("node-1")
    await cluster.wait_until(lambda: entry.election.is_lead)
    await cluster.wait_until(lambda: "node-1" in entry.election.scheduler.attached_nodes())
    agent.scope.cancel()
    return entry, agent


async def test_agent_that_stays_disconnected_is_forgotten(start_cluster):
    """Guards against endless growth: 3,300 workers are replaced per day, each with a new name."""
    async with start_cluster() as cluster:
        entry, _ = await _lose_agent(cluster)
        key = records.AGENT_PREFIX + "node-1"
        await cluster.wait_until(
            lambda: key not in cluster.log.partition(records.SHARED_PARTITION).newest
        )
        assert entry.election.scheduler.link("node-1") is None


async def test_forgotten_agent_that_returns_is_attached_again(start_cluster):
    async with start_cluster() as cluster:
        entry, agent = await _lose_agent(cluster)
        await cluster.wait_until(lambda: entry.election.scheduler.link("node-1") is None)
        await cluster.add_agent("node-1", agent.worker)
        await cluster.wait_until(lambda: "node-1" in entry.election.scheduler.attached_nodes())
