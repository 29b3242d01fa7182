"""Agents that answer a call of the lead with an error."""

import functools

import pytest

from papayaspar_jobs import registries
from papayaspar_model import errors
from papayaspar_runs import messages

pytestmark = pytest.mark.anyio


async def _refuse_first_start(refused, handle_call, peer, message):
    """Answer the first start order with an error, and pass on all other calls."""
    if isinstance(message, messages.StartRun) and not refused:
        refused.append(message)
        raise errors.BusyError("too many calls on one stream")
    return await handle_call(peer, message)


# Guards against a lead that ends because one agent answers a start with an error: all jobs then
# wait for the next lead (issue 32).
async def test_lead_stays_when_an_agent_answers_a_start_with_an_error(start_cluster, make_job):
    refused = []
    async with start_cluster() as cluster:
        entry = await cluster.add_entry("entry-1")
        agent = await cluster.add_agent("node-1")
        agent.service.handle_call = functools.partial(
            _refuse_first_start, refused, agent.service.handle_call
        )
        await cluster.wait_until(lambda: entry.election.is_lead)
        epoch = entry.view.lead.epoch
        cluster.submit(make_job(1))
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED
        )
        assert len(refused) == 1
        assert entry.view.lead.epoch == epoch
        assert cluster.run_recorder.overlaps == []
