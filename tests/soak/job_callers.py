"""Jobs that a caller submits to a system of real processes, and what its processes say of them."""

import contextlib
import re

import anyio
import attrs
import httpx
import systems

ENTRIES = 2
RUN_TIME_S = 0.8
CALL_TIMEOUT_S = 3.0
END_TIMEOUT_S = 25.0
POLL_INTERVAL_S = 0.05
UNAVAILABLE_STATUSES = (429, 503)
LEAD_TAKEN_LINE = re.compile(r"^stamp=(\d+) event=lead_taken ", re.MULTILINE)


@attrs.define
class JobCaller:
    """A caller that submits jobs.

    :param system: system that runs them.
    :param client: the caller's client.
    """

    system: systems.System
    client: httpx.AsyncClient

    async def call(self, method, entry, job_id, body=None):
        """Return the response of an entry, or ``None`` if it is unavailable."""
        address = systems.format_address(*entry.links["front"].listen)
        headers = {"Host": systems.ROUTE_HOST, "Authorization": f"Bearer {systems.TEAM_KEY}"}
        url = f"http://{address}{systems.ROUTE_PREFIX}{job_id}"
        with contextlib.suppress(httpx.TransportError):
            response = await self.client.request(method, url, json=body, headers=headers)
            if response.status_code not in UNAVAILABLE_STATUSES:
                assert response.status_code == 200
                return response
        return None

    async def call_any(self, method, job_id, body=None):
        """Return the response of the first entry that is available, or ``None``."""
        for entry in self.system.entries:
            response = await self.call(method, entry, job_id, body)
            if response is not None:
                return response
        return None

    async def submit(self, job_id, script, step):
        """Submit a job of one step until it is accepted."""
        body = {"spec": script, "steps": [step]}

        async def is_accepted():
            return await self.call_any("POST", job_id, body) is not None

        await wait_until(is_accepted)

    def events(self, job_id, what):
        """Return the events of a kind that the workers printed, as pairs of agent and row."""
        return [
            (agent, row)
            for agent in self.system.agents
            for row in agent.events()
            if row["what"] == what and row["task"].startswith(f"{job_id}.")
        ]

    def lead(self):
        """Return the entry that became lead last."""
        stamps = {}
        for entry in self.system.entries:
            found = LEAD_TAKEN_LINE.findall(entry.log_path.read_text())
            stamps[entry.name] = max(map(int, found), default=0)
        return max(self.system.entries, key=lambda entry: stamps[entry.name])


@contextlib.asynccontextmanager
async def running_system(folder, agents, attempts):
    """Run a system of two entries, and yield a caller of it.

    :param folder: folder of its logs.
    :param agents: number of agents, each with its worker.
    :param attempts: number of failed runs after which a job has failed.
    """
    system = systems.System(folder, ENTRIES, agents, run_time_s=RUN_TIME_S, attempts=attempts)
    try:
        async with anyio.create_task_group() as group:
            await system.start(group)
            async with httpx.AsyncClient(
                trust_env=False, verify=False, timeout=CALL_TIMEOUT_S
            ) as client:
                yield JobCaller(system, client)
            group.cancel_scope.cancel()
    finally:
        system.close()


async def wait_until(check):
    """Poll a coroutine function until it returns something true."""
    with anyio.fail_after(END_TIMEOUT_S):
        while not await check():
            await anyio.sleep(POLL_INTERVAL_S)
