"""From what workers say to a refusal: a lead publishes, and another entry follows and decides."""

import pytest

from papayaspar_intake import access, admission
from papayaspar_jobs import specs
from papayaspar_lead import room_summaries

pytestmark = pytest.mark.anyio

TOO_LARGE = specs.Step(1, specs.Resources(1000, 100, 1000), 200)


@pytest.fixture
def settled_soon(monkeypatch):
    """Let pools settle within a fraction of a second."""
    monkeypatch.setattr(room_summaries, "SETTLED_S", 0.5)


async def test_entry_refuses_by_what_the_lead_of_another_knows(
    start_cluster, make_job, make_queue, settled_soon
):
    spec = make_job(1, TOO_LARGE)
    authorization = access.Authorization(make_queue(), "team")
    async with start_cluster() as cluster:
        entries = [await cluster.add_entry(f"entry-{number}") for number in range(2)]
        agent = await cluster.add_agent("node-1")
        await cluster.add_agent("node-2")
        await cluster.wait_until(lambda: cluster.lead() != "")
        view = next(entry.view for entry in entries if not entry.election.is_lead)
        policy = admission.RoomAdmission(view, cluster.clock)

        def is_refused() -> bool:
            try:
                policy.check(spec, authorization)
            except admission.NoWorkerError:
                return True
            return False

        assert not is_refused()
        await cluster.wait_until(is_refused)
        # Of what the worker on a lost agent's VM will be, nothing is known.
        agent.scope.cancel()
        await cluster.wait_until(lambda: not is_refused())
        await cluster.add_agent("node-1")
        await cluster.wait_until(is_refused)
        cluster.entries[cluster.lead()].scope.cancel()
        await cluster.wait_until(lambda: not is_refused())
        await cluster.wait_until(is_refused)
