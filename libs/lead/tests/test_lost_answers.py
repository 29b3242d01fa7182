"""Appends that the store executes but whose answers the lead does not receive."""

import pytest

from papayaspar_store import records

pytestmark = pytest.mark.anyio


async def test_start_after_two_lost_answers_takes_at_most_1500_ms(start_cluster, make_job):
    """Two lost answers delayed all starts by 1.9 s.

    Seen on the simulated day kowhai-spar inc-7d0e.
    """
    async with start_cluster() as cluster:
        lead = await cluster.add_entry("entry-1")
        await cluster.add_agent("node-1")
        cluster.submit(make_job(1))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 1)
        lead.store.responses_to_lose[records.TASKS_PARTITION] = 2
        cluster.submit(make_job(2))
        await cluster.wait_until(lambda: len(cluster.run_recorder.starts) == 2, timeout_s=1.5)
        assert lead.store.responses_to_lose[records.TASKS_PARTITION] == 0


async def test_lead_stays_lead_while_every_third_renewal_is_unanswered(start_cluster):
    async with start_cluster() as cluster:
        first = await cluster.add_entry("entry-1")
        await cluster.wait_until(lambda: cluster.lead() == "entry-1")
        await cluster.add_entry("entry-2")
        epoch = first.view.lead.epoch
        for _ in range(4):
            first.store.responses_to_lose[records.SHARED_PARTITION] = 1
            await cluster.sleep(1.2)
        assert first.view.lead.epoch == epoch
