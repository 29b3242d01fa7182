"""What counts for a run of a gang: one end, however many members report it, and how often."""

import anyio
import pytest

from papayaspar_model import errors
from papayaspar_slots import claims, messages

FENCE = claims.Fence("job-1", 1)
LAUNCH_MESSAGE_COUNT = 24
SETTLE_S = 40.0


@pytest.mark.parametrize("message_index", range(9))
@pytest.mark.parametrize("victim", ["w0", "w1"])
@pytest.mark.parametrize("action", ["drain", "restart"])
def test_a_member_that_refuses_to_be_armed_is_no_failure_of_the_run(
    run_fleet, make_gang, message_index, victim, action
):
    async def scenario(fleet):
        node = fleet.nodes[victim]

        def restart():
            node.kill_agent()
            fleet.group.start_soon(node.run_agent, fleet.times.lease_s)

        def drain():
            node.agent.ledger.drain()

        fleet.on_message[message_index] = restart if action == "restart" else drain
        try:
            await fleet.launch(*make_gang(run_time_s=600.0))
        except errors.PapayasparError:
            return
        await anyio.sleep(SETTLE_S)
        agent = fleet.nodes["w0"].agent
        assert agent.lead.counts.ended[messages.GangState.FAILED] == 0
        if agent.lead.counts.ended[messages.GangState.LOST]:
            status = await fleet.entry()[1].wait_for_status(FENCE, "w0")
            assert status.code in ("draining", "stale_attempt")
            assert not fleet.held()

    run_fleet(scenario)


@pytest.mark.parametrize("fault", ["LOSE_ANSWER", "REPEAT", "DELAY"])
@pytest.mark.parametrize("message_index", range(LAUNCH_MESSAGE_COUNT))
def test_members_that_fail_together_end_one_run_once(
    run_fleet, make_gang, fault_type, fault, message_index
):
    async def scenario(fleet):
        fleet.faults[message_index] = fault_type[fault]
        for node in fleet.nodes.values():
            node.runtime.failing_methods.add("start")
        try:
            await fleet.launch(*make_gang(run_time_s=600.0))
        except errors.PapayasparError:
            return
        await anyio.sleep(SETTLE_S)
        counts = fleet.nodes["w0"].agent.lead.counts
        assert counts.launched == 1
        assert counts.ended == {messages.GangState.FAILED: 1}
        assert not fleet.held()

    run_fleet(scenario)


@pytest.mark.parametrize("worker", ["w0", "w1"])
@pytest.mark.parametrize("message_index", range(0, 2 * LAUNCH_MESSAGE_COUNT, 4))
def test_a_pause_of_an_agent_is_no_failure_of_the_run(run_fleet, make_gang, worker, message_index):
    async def scenario(fleet):
        node = fleet.nodes[worker]

        async def pause():
            node.freeze()
            await anyio.sleep(fleet.times.lease_s + 1.0)
            node.unfreeze()

        fleet.on_answer[message_index] = lambda: fleet.group.start_soon(pause)
        try:
            await fleet.launch(*make_gang(run_time_s=600.0))
        except errors.PapayasparError:
            return
        await anyio.sleep(SETTLE_S)
        counts = fleet.nodes["w0"].agent.lead.counts
        assert counts.ended.total() <= 1
        assert counts.ended[messages.GangState.FAILED] == 0

    run_fleet(scenario)


def test_run_time_of_a_gang_ends_with_the_gang(run_fleet, make_gang):
    """Entries learn run times from this, also when they ask again after a lost answer."""

    async def scenario(fleet):
        await fleet.launch(*make_gang(run_time_s=30.0))
        gang_client = fleet.entry()[1]
        await anyio.sleep(SETTLE_S)
        first = await gang_client.wait_for_status(FENCE, "w0")
        assert first.state is messages.GangState.DONE
        assert 30.0 <= first.ran_s < 35.0
        await anyio.sleep(60.0)
        repeated = await gang_client.wait_for_status(FENCE, "w0")
        assert repeated.ran_s == first.ran_s

    run_fleet(scenario)
