"""Reports that arrive while a lead attaches to an agent."""

import pytest

from papayaspar_jobs import registries
from papayaspar_store import records

pytestmark = pytest.mark.anyio

# The relay delivers the answer to the attachment and the next report together after this time, in
# seconds; a lead that takes over many agents reads them as late.
DELAY_S = 0.5


# Guards against a lead that drops the report of a run that ended while it was attaching: the job
# stayed "running" for good, and nothing of it ran (issue 17).
async def test_run_that_ends_during_an_attachment_is_applied(start_cluster, make_job):
    async with start_cluster() as cluster:
        former, agent = await cluster.start_single_task(make_job(1), 60.0)
        stored = cluster.log.partition(records.SHARED_PARTITION).newest
        record = records.decode(stored[records.AGENT_PREFIX + "node-1"], records.AgentRecord)
        address = await cluster.add_relay(record.address, DELAY_S)
        cluster.register("node-1", address)
        await cluster.add_entry("entry-2")
        former.scope.cancel()
        await cluster.wait_until(lambda: cluster.lead() == "")
        former_confirmed_s = agent.service.lead_confirmed_s
        await cluster.wait_until(lambda: cluster.entries["entry-2"].election.is_lead)
        # An agent answers the attachment right after the lead has confirmed its leadership.
        await cluster.wait_until(lambda: agent.service.lead_confirmed_s > former_confirmed_s)
        await cluster.sleep(DELAY_S / 5)
        agent.worker.finish_runs()
        await cluster.wait_until(
            lambda: cluster.phase(make_job(1).job_id) is registries.JobPhase.SUCCEEDED,
            timeout_s=6.0,
        )
        assert len(cluster.run_recorder.starts) == 1
