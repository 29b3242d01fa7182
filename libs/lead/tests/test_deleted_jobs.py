"""Jobs that were deleted while an entry could not read the store."""

import pytest

from papayaspar_lead import scheduling
from papayaspar_standin import keyed_stores
from papayaspar_store import records

pytestmark = pytest.mark.anyio


# Guards against a second run of a task whose job ended and was deleted before its new lead could
# read the store again.
async def test_job_deleted_unseen_is_not_started_again(start_cluster, make_job):
    async with start_cluster() as cluster:
        cluster.limits = scheduling.SchedulerLimits(cluster.limits.lease_max_s, retention_s=0.2)
        first, _ = await cluster.start_single_task(make_job(1), 1.0)
        second = await cluster.add_entry("entry-2")
        await cluster.wait_until(lambda: len(second.view.jobs) == 1)
        second.store.fault = keyed_stores.StoreFault.BUSY
        key = records.JOB_PREFIX + make_job(1).job_id
        shared = cluster.log.partition(records.SHARED_PARTITION)
        await cluster.wait_until(lambda: key not in shared.newest)
        cluster.log.drop_history(records.SHARED_PARTITION)
        first.scope.cancel()
        second.store.heal()
        await cluster.wait_until(lambda: second.election.is_lead)
        await cluster.sleep(2.0)
        assert cluster.run_recorder.restarts == []
        assert len(cluster.run_recorder.starts) == 1
