"""A failed run of a gang counts as one attempt, however many of its members end ``failed``."""

import signal

import anyio
import attrs
import job_callers
import proxies
import pytest

pytestmark = pytest.mark.anyio

ATTEMPTS = 2
MEMBERS = 4
JOB_ID = "00000000000000a1"
# Two members fill a worker.
STEP = {"count": MEMBERS, "cpu": 4000, "mem_mb": 1000, "gpu": 4, "est_ms": 800, "gang": True}
# Time in which a lead stores a failure that an agent has reported, and in which a start that must
# not happen would happen, in seconds.
STORE_TIME_S = 0.3
QUIET_S = 1.0
# Events of members of a failing run that end.
END_EVENTS = ("failed", "ended")
ENDED_STATES = ("succeeded", "failed", "canceled")


@attrs.define
class Gang:
    """The gang of a test, as its caller and its workers see it.

    :param caller: its caller.
    """

    caller: job_callers.JobCaller

    @property
    def system(self):
        """The system that runs it."""
        return self.caller.system

    async def submit(self, script):
        """Submit the job until it is accepted."""
        await self.caller.submit(JOB_ID, script, STEP)

    async def shown_states(self):
        """Return the last state that each entry shows, once all of them show that it ended."""
        states = {}

        async def have_all_ended():
            for entry in self.system.entries:
                response = await self.caller.call("GET", entry, JOB_ID)
                if response is not None:
                    states[entry.name] = response.json()["state"]
            shown = [states.get(entry.name) for entry in self.system.entries]
            return all(state in ENDED_STATES for state in shown)

        await job_callers.wait_until(have_all_ended)
        return set(states.values())

    def events(self, what):
        """Return the events of a kind that the workers printed, as pairs of task and run."""
        return sorted((row["task"], row["run"]) for _, row in self.caller.events(JOB_ID, what))

    def starts_of(self, *runs):
        """Return the starts of all members in the given runs."""
        return sorted((f"{JOB_ID}.0.0.{index}", run) for index in range(MEMBERS) for run in runs)

    async def wait_until_printed(self, count, *kinds):
        """Wait until the workers have printed a number of events of the given kinds."""

        async def are_printed():
            return sum(len(self.events(kind)) for kind in kinds) >= count

        await job_callers.wait_until(are_printed)


@pytest.fixture
async def gang(tmp_path):
    """Return a gang to submit, on two entries and three workers."""
    async with job_callers.running_system(tmp_path, agents=3, attempts=ATTEMPTS) as caller:
        yield Gang(caller)


async def assert_succeeds_in_second_run(gang):
    assert await gang.shown_states() == {"succeeded"}
    assert gang.events("began") == gang.starts_of(1, 2)
    workers_of_first_run = [
        agent.name
        for agent in gang.system.agents
        if any(row["what"] == "began" and row["run"] == 1 for row in agent.events())
    ]
    assert len(workers_of_first_run) > 1
    await anyio.sleep(QUIET_S)
    assert gang.events("began") == gang.starts_of(1, 2)
    assert await gang.shown_states() == {"succeeded"}


@pytest.mark.parametrize("gap_s", [0.0, 0.2])
async def test_run_whose_members_all_fail_is_one_attempt(gang, gap_s):
    await gang.submit(f"fail-runs:1 gap-s:{gap_s}")
    await assert_succeeds_in_second_run(gang)
    assert gang.events("failed") == gang.starts_of(1)


async def test_run_of_which_one_member_fails_is_one_attempt(gang):
    await gang.submit("fail-runs:1 failing-members:1")
    await assert_succeeds_in_second_run(gang)
    assert len(gang.events("failed")) == 1


@pytest.mark.parametrize("failing_members", [1, MEMBERS])
async def test_gang_that_fails_in_each_run_is_shown_failed_after_its_attempts(
    gang, failing_members
):
    await gang.submit(f"fail-runs:all failing-members:{failing_members}")
    assert await gang.shown_states() == {"failed"}
    assert gang.events("began") == gang.starts_of(1, 2)
    await anyio.sleep(QUIET_S)
    assert gang.events("began") == gang.starts_of(1, 2)
    failed = gang.events("failed")
    assert sorted(failed + gang.events("ended")) == gang.starts_of(1, 2)
    assert len([run for _, run in failed if run == 1]) == failing_members
    # The lead stops the members that still run once the last attempt has failed.
    assert 1 <= len([run for _, run in failed if run == ATTEMPTS]) <= failing_members


# The next lead knows the failures that the former one stored, and gets the other ends.
@pytest.mark.parametrize("members_before", [1, 3])
async def test_run_is_one_attempt_when_the_lead_dies_between_the_ends_of_members(
    gang, members_before
):
    await gang.submit("fail-runs:1 gap-s:0.7")
    await gang.wait_until_printed(members_before, *END_EVENTS)
    await anyio.sleep(STORE_TIME_S)
    gang.caller.lead().send_signal(signal.SIGKILL)
    await assert_succeeds_in_second_run(gang)


async def test_run_is_one_attempt_when_workers_list_its_ends_again(gang):
    await gang.submit("fail-runs:1 gap-s:0.1")
    await gang.wait_until_printed(MEMBERS, "began")
    links = [agent.links["worker"] for agent in gang.system.agents]
    for link in links:
        await link.switch(proxies.LinkState.ONE_WAY)
    await gang.wait_until_printed(MEMBERS, *END_EVENTS)
    await anyio.sleep(STORE_TIME_S)
    for link in links:
        await link.switch(proxies.LinkState.OPEN)
    await assert_succeeds_in_second_run(gang)


# The store has the failures, but neither the lead nor the agents know that it has.
@pytest.mark.parametrize("dies", [False, True])
async def test_run_is_one_attempt_when_the_store_does_not_answer_the_lead(gang, dies):
    await gang.submit("fail-runs:1 gap-s:0.1")
    await gang.wait_until_printed(MEMBERS, "began")
    lead = gang.caller.lead()
    await lead.links["store"].switch(proxies.LinkState.ONE_WAY)
    await gang.wait_until_printed(MEMBERS, *END_EVENTS)
    await anyio.sleep(STORE_TIME_S)
    if dies:
        lead.send_signal(signal.SIGKILL)
    await lead.links["store"].switch(proxies.LinkState.OPEN)
    await assert_succeeds_in_second_run(gang)
