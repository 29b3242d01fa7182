"""A failed run of a gang is one failure of each of its workers, and its success one success."""

import re
import signal

import anyio
import attrs
import job_callers
import proxies
import pytest

pytestmark = pytest.mark.anyio

ATTEMPTS = 9
# Time in which an ejection or a start that must not happen would happen, in seconds.
QUIET_S = 1.0
# Two members fill a worker.
STEP = {"cpu": 4000, "mem_mb": 1000, "gpu": 4, "est_ms": 800, "gang": True}
MEMBERS_PER_WORKER = 2
# Ends its run long after the end of a test; reports progress each second meanwhile.
LASTING_SCRIPT = "fail-runs:1 after-s:100"
TASK_FAILED_LINE = re.compile(r" event=task_ended .*job=0*2 .*code=failed ")
WORKER_EJECTED_LINE = re.compile(r' event=worker_ejected .*detail="node=(\S+) ')


@attrs.define
class Jobs:
    """The jobs of a test, as their caller and the workers see them.

    :param caller: their caller.
    """

    caller: job_callers.JobCaller

    @property
    def system(self):
        """The system that runs them."""
        return self.caller.system

    async def submit(self, number, script, workers=1):
        """Submit a gang that fills a number of workers, until it is accepted."""
        step = STEP | {"count": workers * MEMBERS_PER_WORKER}
        await self.caller.submit(f"{number:016x}", script, step)

    async def wait_until_succeeded(self, number):
        """Wait until a job is shown as succeeded."""

        async def is_shown():
            response = await self.caller.call_any("GET", f"{number:016x}")
            return response is not None and response.json()["state"] == "succeeded"

        await job_callers.wait_until(is_shown)

    def events(self, number, what, run=None):
        """Return the names of the agents whose workers printed an event, once for each event.

        :param run: number of the run, or ``None`` for any.
        """
        found = self.caller.events(f"{number:016x}", what)
        return [agent.name for agent, row in found if run in (None, row["run"])]

    async def wait_until_printed(self, number, what, run=None, count=MEMBERS_PER_WORKER):
        """Wait until events of a job are printed, and return the names of the workers' agents."""

        async def are_printed():
            return len(self.events(number, what, run)) >= count

        await job_callers.wait_until(are_printed)
        return set(self.events(number, what, run))

    def ejections(self):
        """Return the names of the ejected workers' VMs, once for each ejection by any lead."""
        return [
            node
            for entry in self.system.entries
            for node in WORKER_EJECTED_LINE.findall(entry.log_path.read_text())
        ]

    async def wait_until_ejected(self):
        """Wait until a lead has ejected a worker."""

        async def is_ejected():
            return bool(self.ejections())

        await job_callers.wait_until(is_ejected)

    async def leave_one_worker(self):
        """Fill a worker with a job that lasts, and return the agent of the other one."""
        await self.submit(1, LASTING_SCRIPT)
        (busy,) = await self.wait_until_printed(1, "began", 1)
        (free,) = [agent for agent in self.system.agents if agent.name != busy]
        return free


@pytest.fixture
async def jobs(tmp_path):
    """Return the jobs of a system of two entries and two workers."""
    async with job_callers.running_system(tmp_path, agents=2, attempts=ATTEMPTS) as caller:
        yield Jobs(caller)


async def assert_ejected_once(jobs, agent):
    """Check that a worker is ejected, once, and that it gets no further job."""
    await jobs.wait_until_ejected()
    await jobs.submit(4, "fail-runs:1")
    await anyio.sleep(QUIET_S)
    assert jobs.ejections() == [agent.name]
    assert jobs.events(4, "began", 1) == []


# Guards against a worker that is ejected by one gang alone: its members fail together, and a new
# lead is told of all of them since the former one could store nothing.
async def test_gang_that_fails_while_the_lead_dies_ejects_no_worker_by_itself(jobs):
    agent = await jobs.leave_one_worker()
    await jobs.submit(2, "fail-runs:1 gap-s:0.1")
    assert await jobs.wait_until_printed(2, "began", 1) == {agent.name}
    lead = jobs.caller.lead()
    await lead.links["store"].switch(proxies.LinkState.SILENT)
    await jobs.wait_until_printed(2, "failed", 1)
    lead.send_signal(signal.SIGKILL)
    await lead.links["store"].switch(proxies.LinkState.OPEN)
    # The worker gets another job, so that it is not ejected; that one's failure ejects it.
    await jobs.submit(3, "fail-runs:1 gap-s:0.1")
    assert await jobs.wait_until_printed(3, "began", 1) == {agent.name}
    assert jobs.ejections() == []
    await assert_ejected_once(jobs, agent)


# Guards against a worker that is ejected by one gang alone: its restarted agent lists the ends
# again, which could neither be stored nor acknowledged.
async def test_ends_that_a_restarted_agent_lists_again_eject_no_worker(jobs):
    agent = await jobs.leave_one_worker()
    await jobs.submit(2, "fail-runs:1 gap-s:0.1")
    assert await jobs.wait_until_printed(2, "began", 1) == {agent.name}
    lead = jobs.caller.lead()
    await lead.links["store"].switch(proxies.LinkState.SILENT)

    async def has_lead_read_ends():
        return len(TASK_FAILED_LINE.findall(lead.log_path.read_text())) == MEMBERS_PER_WORKER

    await job_callers.wait_until(has_lead_read_ends)
    agent.send_signal(signal.SIGKILL)
    await lead.links["store"].switch(proxies.LinkState.OPEN)
    await jobs.submit(3, "fail-runs:1 gap-s:0.1")
    assert await jobs.wait_until_printed(3, "began", 1) == {agent.name}
    assert jobs.ejections() == []
    await assert_ejected_once(jobs, agent)


# Guards against a worker that two leads eject for the same run, or a second lead for one job.
async def test_worker_is_ejected_once_if_the_lead_dies_between_the_ends_of_members(jobs):
    agent = await jobs.leave_one_worker()
    await jobs.submit(2, "fail-runs:1 gap-s:0.1")
    assert await jobs.wait_until_printed(2, "failed", 1) == {agent.name}
    await jobs.submit(3, "fail-runs:1 gap-s:3")
    assert await jobs.wait_until_printed(3, "began", 1) == {agent.name}
    await jobs.wait_until_ejected()
    assert len(jobs.events(3, "failed", 1)) == 1
    jobs.caller.lead().send_signal(signal.SIGKILL)
    await jobs.wait_until_printed(3, "failed", 1)
    # The new lead has read the ends once it starts another job.
    await jobs.submit(4, "succeeds")
    await jobs.wait_until_printed(4, "began")
    assert jobs.ejections() == [agent.name]


# Guards against a worker whose answers get lost, so that each of its failures is reported late and
# with others, and that is ejected by one gang, or twice by two.
async def test_worker_is_ejected_once_by_the_second_gang_while_its_answers_are_lost(jobs):
    agent = await jobs.leave_one_worker()
    link = agent.links["worker"]
    for number in (2, 3):
        await jobs.submit(number, "fail-runs:1 gap-s:0.1")
        assert await jobs.wait_until_printed(number, "began", 1) == {agent.name}
        assert jobs.ejections() == []
        await link.switch(proxies.LinkState.ONE_WAY)
        await jobs.wait_until_printed(number, "failed", 1)
        await link.switch(proxies.LinkState.OPEN)
    await assert_ejected_once(jobs, agent)


# Guards against workers that are ejected although a gang succeeded on them between two failures:
# the answers of one were lost, so that the lead was told of the success on the other alone.
async def test_success_of_a_gang_counts_for_a_worker_whose_answers_are_lost(jobs):
    members = 2 * MEMBERS_PER_WORKER
    await jobs.submit(2, "fail-runs:1 gap-s:0.1", workers=2)
    await jobs.wait_until_printed(2, "began", 1, members)
    jobs.caller.lead().send_signal(signal.SIGKILL)
    await jobs.wait_until_printed(2, "began", 2, members)
    assert len(jobs.events(2, "failed", 1)) == members
    link = jobs.system.agents[1].links["worker"]
    await link.switch(proxies.LinkState.ONE_WAY)
    await jobs.wait_until_succeeded(2)
    await link.switch(proxies.LinkState.OPEN)
    await jobs.submit(3, "fail-runs:all gap-s:0.1", workers=2)
    # The lead has read the failures of a run once the next one fails.
    await jobs.wait_until_printed(3, "failed", count=2 * members)
    assert jobs.ejections() == []
