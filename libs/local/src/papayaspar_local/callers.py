"""HTTP client of a local system, for callers that send requests and jobs."""

import time

import anyio
import attrs
import httpx

CALL_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen
class Reply:
    """The response to one request.

    :param status: HTTP status.
    :param worker: worker that ran the request, or empty.
    :param code: error code, or empty.
    :param detail: error detail, or empty.
    :param ran: whether the request ran: ``yes``, ``no`` or ``unknown``.
    :param duration_ms: time until the response was complete, in milliseconds.
    """

    status: int
    worker: str
    code: str
    detail: str
    ran: str
    duration_ms: float

    @property
    def ok(self) -> bool:
        """Whether the request succeeded."""
        return self.status == httpx.codes.OK


@attrs.frozen
class JobOrder:
    """A job to submit.

    :param team: team that the job belongs to.
    :param tasks: number of tasks of the gang.
    :param accelerators_per_task: number of accelerators per task.
    :param adjacency: ``rack`` or ``any``.
    :param run_time_s: declared run time, in seconds.
    :param urgency: ``urgent``, ``normal`` or ``batch``.
    """

    team: str
    tasks: int
    accelerators_per_task: int
    adjacency: str
    run_time_s: int
    urgency: str


class Caller:
    """A client of one entry, used as an asynchronous context manager.

    :param address: ``ip:port`` of the callers' listener.
    """

    def __init__(self, address: str) -> None:
        self._http = httpx.AsyncClient(
            base_url=f"http://{address}", timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def __aenter__(self) -> "Caller":
        return self

    async def __aexit__(self, *unused: object) -> None:
        await self._http.aclose()

    async def request(
        self, team: str, kind: str, urgency: str, key: str = "", idempotent: bool = True
    ) -> Reply:
        """Send one request.

        :param team: team that sends the request.
        :param kind: kind of work.
        :param urgency: ``urgent``, ``normal`` or ``batch``.
        :param key: idempotency key, or empty.
        :param idempotent: whether the request may run more than once.
        """
        headers = {"idempotency-key": key} if key else {}
        body = {
            "team": team,
            "kind": kind,
            "urgency": urgency,
            "idempotent": idempotent,
            "payload": {"sheet": kind, "service_ms": 30},
        }
        started_s = time.monotonic()
        response = await self._http.post("/v1/requests", json=body, headers=headers)
        elapsed_ms = (time.monotonic() - started_s) * MILLISECONDS_PER_SECOND
        fields = response.json()
        return Reply(
            status=response.status_code,
            worker=fields.get("worker", ""),
            code=fields.get("code", ""),
            detail=fields.get("detail", ""),
            ran=response.headers.get("papayaspar-ran", "unknown"),
            duration_ms=elapsed_ms,
        )

    async def submit(self, job: JobOrder) -> str:
        """Submit a job and return its id, or the error code if it is rejected."""
        body = attrs.asdict(job) | {"kind": "model", "checkpoint": True}
        response = await self._http.post("/v1/jobs", json=body)
        fields = response.json()
        return str(fields.get("job_id") or fields.get("code"))

    async def wait_for_state(self, job_id: str, state: str, timeout_s: float) -> float | None:
        """Wait until a job is in a state.

        :param job_id: id of the job.
        :param state: state to wait for.
        :param timeout_s: maximum wait time, in seconds.
        :return: wait time in seconds, or ``None`` after a timeout.
        """
        started_s = time.monotonic()
        while time.monotonic() - started_s < timeout_s:
            if await self.state(job_id) == state:
                return time.monotonic() - started_s
            await anyio.sleep(POLL_INTERVAL_S)
        return None

    async def state(self, job_id: str) -> str:
        """Return the state of a job."""
        response = await self._http.get(f"/v1/jobs/{job_id}")
        return str(response.json().get("state", ""))

    async def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        await self._http.delete(f"/v1/jobs/{job_id}")
