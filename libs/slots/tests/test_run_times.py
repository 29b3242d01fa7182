"""The run time of a gang, which is read after lost answers, pauses, kills and restarts."""

import anyio
import pytest

from papayaspar_model import errors
from papayaspar_slots import claims, messages

FENCE = claims.Fence("job-1", 1)
MEMBERS = ("w0", "w1", "w2")
LEAD = "w0"
RUN_TIME_S = 30.0
# Time in which a lead learns that its members are done, in seconds: a lost renewal is repeated.
LEARN_TIME_S = 5.0
SETTLE_S = 40.0
LATER_S = 60.0
READS = 3


async def read_status(fleet, entry="entry-1"):
    """Return the status of the gang, as a restarted entry reads it that asks until it gets one."""
    gang_client = fleet.entry(entry)[1]
    while True:
        try:
            return await gang_client.wait_for_status(FENCE, LEAD)
        except errors.OutcomeUnknownError:
            await anyio.sleep(1.0)


async def launch_and_end(fleet, make_gang):
    """Launch a gang, wait until it has ended and its messages stop, and return its status."""
    await fleet.launch(*make_gang(run_time_s=RUN_TIME_S))
    await anyio.sleep(SETTLE_S)
    status = await read_status(fleet)
    assert status.state is messages.GangState.DONE
    assert RUN_TIME_S <= status.ran_s <= RUN_TIME_S + LEARN_TIME_S
    return status


# Guards against a run time that grows with each read of it: answers are lost, late or repeated, and
# a restarted entry and another one read it too.
@pytest.mark.parametrize("fault", ["LOSE", "LOSE_ANSWER", "REPEAT", "DELAY", "LONG_DELAY"])
@pytest.mark.parametrize("entry", ["entry-1", "entry-2"])
def test_run_time_is_read_alike_after_lost_answers(run_fleet, make_gang, fault_type, fault, entry):
    async def scenario(fleet):
        ended = await launch_and_end(fleet, make_gang)
        for _ in range(READS):
            # Two answers in series are lost.
            sent = fleet.sent.total()
            fleet.faults[sent] = fleet.faults[sent + 1] = fault_type[fault]
            await anyio.sleep(LATER_S)
            status = await read_status(fleet, entry)
            assert fleet.sent.total() > sent
            assert (status.state, status.ran_s) == (messages.GangState.DONE, ended.ran_s)

    run_fleet(scenario)


# Guards against a run time that grows while the agents of a gang that has ended are paused, killed
# or restarted, or their hosts are, or while an entry ends the gang a second time.
@pytest.mark.parametrize("event", ["pause lead", "restart members", "kill hosts", "end again"])
def test_run_time_is_read_alike_after_kills(run_fleet, make_gang, event):
    async def scenario(fleet):
        ended = await launch_and_end(fleet, make_gang)
        for _ in range(READS):
            if event == "pause lead":
                fleet.nodes[LEAD].freeze()
            for worker in MEMBERS[1:]:
                if event == "restart members":
                    fleet.nodes[worker].kill_agent()
                    fleet.group.start_soon(fleet.nodes[worker].run_agent, fleet.times.lease_s)
                if event == "kill hosts":
                    fleet.nodes[worker].kill_host()
            await anyio.sleep(LATER_S)
            fleet.nodes[LEAD].unfreeze()
            if event == "end again":
                status = await fleet.entry("entry-2")[1].end_gang(FENCE, MEMBERS)
                assert (status.state, status.ran_s) == (messages.GangState.DONE, ended.ran_s)
            status = await read_status(fleet)
            assert (status.state, status.ran_s) == (messages.GangState.DONE, ended.ran_s)

    run_fleet(scenario)


# Guards against a run time of a failed gang that grows: a member is killed while the gang runs, and
# the entry reads the end late, after a lost answer.
@pytest.mark.parametrize("kill", ["kill_agent", "kill_host"])
def test_run_time_of_a_gang_with_a_killed_member_ends_with_the_gang(
    run_fleet, make_gang, fault_type, kill
):
    async def scenario(fleet):
        await fleet.launch(*make_gang(run_time_s=600.0))
        await anyio.sleep(RUN_TIME_S)
        getattr(fleet.nodes["w1"], kill)()
        await anyio.sleep(fleet.times.isolated_run_max_s + LEARN_TIME_S)
        ended = await read_status(fleet)
        assert ended.state is messages.GangState.LOST
        assert ended.ran_s <= RUN_TIME_S + fleet.times.isolated_run_max_s + LEARN_TIME_S
        fleet.group.start_soon(fleet.nodes["w1"].run_agent, fleet.times.lease_s)
        await anyio.sleep(LATER_S)
        fleet.faults[fleet.sent.total()] = fault_type.LOSE_ANSWER
        assert (await read_status(fleet)).ran_s == ended.ran_s

    run_fleet(scenario)


# Guards against a run time from the memory of a killed lead: a restarted one, which has no such
# gang, names no run time at all, whoever asks and however often.
def test_a_restarted_lead_names_no_run_time(run_fleet, make_gang):
    async def scenario(fleet):
        await launch_and_end(fleet, make_gang)
        node = fleet.nodes[LEAD]
        node.kill_agent()
        fleet.group.start_soon(node.run_agent, fleet.times.lease_s)
        await anyio.sleep(LATER_S)
        for _ in range(READS):
            with pytest.raises(errors.NotFoundError):
                await read_status(fleet)
            status = await fleet.entry()[1].end_gang(FENCE, MEMBERS)
            assert (status.state, status.ran_s) == (messages.GangState.CANCELLED, 0.0)

    run_fleet(scenario)
