"""A caller of a local system, over HTTP."""

import time

import anyio
import attrs
import httpx

CALL_TIMEOUT_S = 20.0
POLL_S = 0.05
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen
class Reply:
    """An answer to one call.

    :param status: HTTP status.
    :param worker: worker that ran it, or empty.
    :param code: code of the problem, or empty.
    :param detail: detail of the problem, or empty.
    :param ran: whether it ran: ``yes``, ``no`` or ``unknown``.
    :param duration_ms: time from sending to the whole answer.
    """

    status: int
    worker: str
    code: str
    detail: str
    ran: str
    duration_ms: float

    @property
    def ok(self) -> bool:
        """Whether it was answered."""
        return self.status == httpx.codes.OK


@attrs.frozen
class JobOrder:
    """A job to submit.

    :param team: whose job.
    :param tasks: tasks of the gang.
    :param accelerators_per_task: accelerators of each.
    :param adjacency: ``rack`` or ``any``.
    :param run_time_s: declared run time.
    :param urgency: how soon it is wanted.
    """

    team: str
    tasks: int
    accelerators_per_task: int
    adjacency: str
    run_time_s: int
    urgency: str


class Caller:
    """Calls one entry; used as an asynchronous context manager.

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

        :param team: who asks.
        :param kind: kind of work.
        :param urgency: how soon it is wanted.
        :param key: idempotency key, or empty.
        :param idempotent: whether running it twice does no harm.
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
        took_ms = (time.monotonic() - started_s) * MILLISECONDS_PER_SECOND
        fields = response.json()
        return Reply(
            status=response.status_code,
            worker=fields.get("worker", ""),
            code=fields.get("code", ""),
            detail=fields.get("detail", ""),
            ran=response.headers.get("papayaspar-ran", "unknown"),
            duration_ms=took_ms,
        )

    async def submit(self, order: JobOrder) -> str:
        """Submit a job and return its identifier, or the code of its refusal."""
        body = attrs.asdict(order) | {"kind": "model", "checkpoint": True}
        response = await self._http.post("/v1/jobs", json=body)
        fields = response.json()
        return str(fields.get("job_id") or fields.get("code"))

    async def wait_state(self, job_id: str, state: str, within_s: float) -> float | None:
        """Wait until a job is in a state.

        :param job_id: the job.
        :param state: the state.
        :param within_s: longest wait.
        :return: seconds it took, or ``None``.
        """
        started_s = time.monotonic()
        while time.monotonic() - started_s < within_s:
            if await self.state(job_id) == state:
                return time.monotonic() - started_s
            await anyio.sleep(POLL_S)
        return None

    async def state(self, job_id: str) -> str:
        """Return the state of a job."""
        response = await self._http.get(f"/v1/jobs/{job_id}")
        return str(response.json().get("state", ""))

    async def cancel(self, job_id: str) -> None:
        """Take a job back."""
        await self._http.delete(f"/v1/jobs/{job_id}")
