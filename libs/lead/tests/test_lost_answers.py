"""Load: the store does what it is asked and does not say so, while a full fleet turns over."""

import pytest

from papayaspar_store import records

pytestmark = pytest.mark.anyio


async def test_start_waits_for_two_lost_answers_for_less_than_a_second(running, make_job):
    """Seen on kowhai-spar inc-7d0e: two lost answers held up all starts for 1.9 s."""
    async with running() as site:
        lead = await site.add_entry("entry-1")
        await site.add_agent("node-1")
        site.submit(make_job(1))
        await site.until(lambda: len(site.witness.starts) == 1)
        lead.store.answers_to_lose[records.TASKS] = 2
        site.submit(make_job(2))
        await site.until(lambda: len(site.witness.starts) == 2, timeout_s=1.5)
        assert lead.store.answers_to_lose[records.TASKS] == 0


async def test_lead_keeps_the_duty_while_every_third_renewal_goes_unanswered(running):
    async with running() as site:
        first = await site.add_entry("entry-1")
        await site.until(lambda: site.lead() == "entry-1")
        await site.add_entry("entry-2")
        epoch = first.view.lead.epoch
        for _ in range(4):
            first.store.answers_to_lose[records.SHARED] = 1
            await site.wait_s(1.2)
        assert first.view.lead.epoch == epoch
