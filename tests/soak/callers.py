"""Callers of the soak test: they submit jobs, cancel some, and poll all of them until they end."""

import enum
import time

import anyio
import attrs
import httpx
import systems

# Timeout, number of attempts and pause between attempts of a caller, as in the site files.
CALL_TIMEOUT_S = 3.0
ATTEMPTS = 5
ATTEMPT_PAUSE_S = 0.7
CANCELLED_SHARE = 0.15
REFUSED_STATUSES = (429, 503)
GONE_STATUS = 410


class Outcome(enum.Enum):
    """What a caller knows about the submission of its job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.define
class Job:
    """A job and the answers that its caller received.

    Times are seconds since the Unix epoch.

    :param job_id: id of the job.
    :param outcome: outcome of the submission.
    :param accepted_s: time at which the job was accepted.
    :param cancelled_s: time at which its cancellation was acknowledged, or ``None``.
    :param is_cancel_requested: whether cancellation was requested, acknowledged or not.
    :param state: last reported state.
    :param final_state: state in which the job ends unless it is cancelled.
    :param succeeded_s: time at which the job was first reported as succeeded, or ``None``.
    :param failed_s: time at which the job was first reported as failed, or ``None``.
    """

    job_id: str
    outcome: Outcome = Outcome.UNKNOWN
    accepted_s: float = 0.0
    cancelled_s: float | None = None
    is_cancel_requested: bool = False
    state: str = ""
    final_state: str = "succeeded"
    succeeded_s: float | None = None
    failed_s: float | None = None

    @property
    def has_ended(self):
        """Whether the job was reported as ended."""
        return self.state in ("succeeded", "failed", "canceled")


class Callers:
    """Concurrent callers, one for each job.

    :param system: system under test.
    :param rng: seeded random number generator.
    :param shape: shape of the jobs.
    """

    def __init__(self, system, rng, shape):
        self._system = system
        self._rng = rng
        self._shape = shape
        self.jobs = []
        self.violations = []
        # Connections are reused between calls, as real callers do.
        limits = httpx.Limits(max_connections=None)
        self._client = httpx.AsyncClient(
            trust_env=False, verify=False, timeout=CALL_TIMEOUT_S, limits=limits
        )

    async def run(self, count, length_s):
        """Submit jobs spread over a period, and return when every caller has its response."""
        schedule = [(self._rng.uniform(0, length_s), self._new_job(n)) for n in range(count)]
        async with anyio.create_task_group() as group:
            for at_s, job in schedule:
                group.start_soon(self._call, at_s, job, self._rng.random())

    def _new_job(self, number):
        job = Job(f"{self._rng.getrandbits(44):011x}{number:05x}")
        self.jobs.append(job)
        return job

    async def _call(self, at_s, job, shape_draw):
        await anyio.sleep(at_s)
        job.final_state = self._shape.final_state(shape_draw)
        await self._submit(job, self._shape.body(job.job_id, shape_draw))
        if job.outcome is Outcome.ACCEPTED and self._rng.random() < CANCELLED_SHARE:
            await self._cancel(job)

    async def _submit(self, job, body):
        may_be_accepted = False
        for _ in range(ATTEMPTS):
            status = await self._send("POST", job, body)
            if status == 200:
                job.outcome, job.accepted_s = Outcome.ACCEPTED, time.time()
                return
            may_be_accepted = may_be_accepted or status not in REFUSED_STATUSES
            await anyio.sleep(ATTEMPT_PAUSE_S)
        job.outcome = Outcome.UNKNOWN if may_be_accepted else Outcome.REFUSED

    async def _cancel(self, job):
        job.is_cancel_requested = True
        for _ in range(ATTEMPTS):
            status = await self._send("DELETE", job)
            if status in (200, GONE_STATUS):
                job.cancelled_s = time.time()
                return
            await anyio.sleep(ATTEMPT_PAUSE_S)

    async def _send(self, method, job, body=None):
        """Return the status code of the response, or 0 without a response."""
        response = await self._request(method, job, body)
        return response.status_code if response is not None else 0

    async def _request(self, method, job, body=None):
        link = self._rng.choice(self._system.entries).links["front"]
        headers = {
            "Host": systems.ROUTE_HOST,
            "Authorization": f"Bearer {systems.TEAM_KEY}",
            "X-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        url = f"http://{systems.format_address(*link.listen)}{systems.ROUTE_PREFIX}{job.job_id}"
        try:
            return await self._client.request(method, url, json=body, headers=headers)
        except httpx.TransportError:
            return None

    async def wait_until_ended(self, timeout_s):
        """Poll the accepted jobs until all have ended or the timeout expires."""
        with anyio.move_on_after(timeout_s):
            while True:
                unfinished = [job for job in self._accepted() if not job.has_ended]
                if not unfinished:
                    return
                async with anyio.create_task_group() as group:
                    for job in unfinished:
                        group.start_soon(self._poll, job)
                await anyio.sleep(0.3)

    def _accepted(self):
        return [job for job in self.jobs if job.outcome is Outcome.ACCEPTED]

    async def _poll(self, job):
        response = await self._request("GET", job)
        if response is None or response.status_code in REFUSED_STATUSES:
            return
        if response.status_code == GONE_STATUS and not job.is_cancel_requested:
            self.violations.append(f"job {job.job_id} was accepted but is unknown to an entry")
            return
        if response.status_code == 200:
            job.state = response.json()["state"]
            if job.state == "succeeded" and job.succeeded_s is None:
                job.succeeded_s = time.time()
            if job.state == "failed" and job.failed_s is None:
                job.failed_s = time.time()
