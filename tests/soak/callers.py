"""Callers of a soak: they hand jobs in, cancel some, and ask for all until they have ended."""

import enum
import time

import anyio
import attrs
import httpx
import systems

# Callers wait so long for an answer, try so often and pause so long between tries (site files).
TIME_LIMIT_S = 3.0
TRIES = 5
PAUSE_S = 0.7
CANCEL_SHARE = 0.15
REFUSED = (429, 503)
GONE = 410


class Outcome(enum.Enum):
    """What a caller knows of its job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.define
class Job:
    """A job and what its caller was told.

    :param job_id: its id.
    :param outcome: what the caller knows.
    :param accepted_s: when it was accepted, on the clock of the day.
    :param cancel_s: when its cancelling was acknowledged, or ``None``.
    :param is_cancelling: whether it was told to cancel, acknowledged or not.
    :param state: the newest state that was shown.
    :param succeeded_s: when it was first shown as succeeded, or ``None``.
    """

    job_id: str
    outcome: Outcome = Outcome.UNKNOWN
    accepted_s: float = 0.0
    cancel_s: float | None = None
    is_cancelling: bool = False
    state: str = ""
    succeeded_s: float | None = None

    @property
    def is_over(self):
        """Whether it was shown as ended."""
        return self.state in ("succeeded", "failed", "canceled")


class Callers:
    """All callers.

    :param system: what they call.
    :param chance: source of chance, seeded.
    """

    def __init__(self, system, chance):
        self._system = system
        self._chance = chance
        self.jobs = []
        self.faults = []
        # Connections stay open from call to call, as callers keep them.
        limits = httpx.Limits(max_connections=None)
        self._client = httpx.AsyncClient(
            trust_env=False, verify=False, timeout=TIME_LIMIT_S, limits=limits
        )

    async def run(self, count, length_s):
        """Hand jobs in over a time, and return when each caller has its answer."""
        plan = [(self._chance.uniform(0, length_s), self._new_job(n)) for n in range(count)]
        async with anyio.create_task_group() as group:
            for at_s, job in plan:
                group.start_soon(self._call, at_s, job, self._chance.random())

    def _new_job(self, number):
        job = Job(f"{self._chance.getrandbits(44):011x}{number:05x}")
        self.jobs.append(job)
        return job

    async def _call(self, at_s, job, fate):
        await anyio.sleep(at_s)
        gang = fate > 0.7
        step = {"count": 2 if gang else 1, "cpu": 4000, "mem_mb": 1000, "gpu": 2, "est_ms": 1500}
        steps = [step | {"gang": gang}]
        if fate < 0.3:
            steps.append(step | {"after": [0]})
        await self._hand_in(job, {"spec": job.job_id, "steps": steps})
        if job.outcome is Outcome.ACCEPTED and self._chance.random() < CANCEL_SHARE:
            await self._cancel(job)

    async def _hand_in(self, job, body):
        was_doubtful = False
        for _ in range(TRIES):
            status = await self._send("POST", job, body)
            if status == 200:
                job.outcome, job.accepted_s = Outcome.ACCEPTED, time.time()
                return
            was_doubtful = was_doubtful or status not in REFUSED
            await anyio.sleep(PAUSE_S)
        job.outcome = Outcome.UNKNOWN if was_doubtful else Outcome.REFUSED

    async def _cancel(self, job):
        job.is_cancelling = True
        for _ in range(TRIES):
            status = await self._send("DELETE", job)
            if status in (200, GONE):
                job.cancel_s = time.time()
                return
            await anyio.sleep(PAUSE_S)

    async def _send(self, method, job, body=None):
        """Return the status of an answer, or 0 without one."""
        answer = await self._exchange(method, job, body)
        return answer.status_code if answer is not None else 0

    async def _exchange(self, method, job, body=None):
        link = self._chance.choice(self._system.entries).links["front"]
        headers = {
            "Host": systems.HOST,
            "Authorization": f"Bearer {systems.KEY}",
            "X-Deadline-Ms": str(int(TIME_LIMIT_S * 1000)),
        }
        url = f"http://{systems.joined(*link.listen)}{systems.PREFIX}{job.job_id}"
        try:
            return await self._client.request(method, url, json=body, headers=headers)
        except httpx.TransportError:
            return None

    async def await_ends(self, timeout_s):
        """Ask for the accepted jobs until all have ended or time is up."""
        with anyio.move_on_after(timeout_s):
            while True:
                left = [job for job in self._accepted() if not job.is_over]
                if not left:
                    return
                async with anyio.create_task_group() as group:
                    for job in left:
                        group.start_soon(self._ask, job)
                await anyio.sleep(0.3)

    def _accepted(self):
        return [job for job in self.jobs if job.outcome is Outcome.ACCEPTED]

    async def _ask(self, job):
        answer = await self._exchange("GET", job)
        if answer is None or answer.status_code in REFUSED:
            return
        if answer.status_code == GONE and not job.is_cancelling:
            self.faults.append(f"job {job.job_id} was accepted and is not known")
            return
        if answer.status_code == 200:
            job.state = answer.json()["state"]
            if job.state == "succeeded" and job.succeeded_s is None:
                job.succeeded_s = time.time()
