"""HTTP towards callers: requests, readiness."""

import json

from starlette import applications, requests, responses, routing

from papayaspar_entry import answers, claimant, dispatcher, documents, job_board, parsing
from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, work
from papayaspar_web import bodies, connections, problems
from papayaspar_web import documents as web_documents

MILLISECONDS_PER_SECOND = 1000
CALLER_HEADER = "papayaspar-caller"
KEY_HEADER = "idempotency-key"
CALLER_MAX_CHARS = 100
JOB_WAIT_MAX_S = 60.0
ACCEPTED_STATUS = 202


def caller_name(request: requests.Request) -> str:
    """Return who asks within the team: the caller's header, else its IP number."""
    named = request.headers.get(CALLER_HEADER)
    if named:
        return named[:CALLER_MAX_CHARS]
    return request.client.host if request.client is not None else ""


class CallerApi:
    """The callers' endpoints.

    :param run: takes requests to workers.
    :param claims: sees to it that a key runs at most once.
    :param jobs: takes jobs to their end.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        run: dispatcher.Dispatcher,
        claims: claimant.Claimant,
        jobs: job_board.JobBoard,
        record: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._dispatcher = run
        self._claimant = claims
        self._jobs = jobs
        self._journal = record
        self._clock = clock_source
        self.is_ready = False

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        routes = [
            routing.Route("/v1/requests", self.post_request, methods=["POST"]),
            routing.Route("/v1/jobs", self.post_job, methods=["POST"]),
            routing.Route("/v1/jobs/{job_id}", self.get_job, methods=["GET"]),
            routing.Route("/v1/jobs/{job_id}", self.delete_job, methods=["DELETE"]),
            routing.Route("/healthz", self.healthz),
            routing.Route("/readyz", self.readyz),
        ]
        return problems.application(routes)

    async def healthz(self, http_request: requests.Request) -> responses.Response:
        """Answer that the process lives."""
        return responses.PlainTextResponse("ok\n")

    async def readyz(self, http_request: requests.Request) -> responses.Response:
        """Answer whether new work is welcome here."""
        if not self.is_ready:
            raise errors.UnavailableError("not ready")
        return responses.PlainTextResponse("ready\n")

    async def post_request(self, http_request: requests.Request) -> responses.Response:
        """Run one request and answer it once."""
        arrived_s = self._clock.now_s()
        body = await bodies.read(http_request)
        key = http_request.headers.get(KEY_HEADER)
        request = parsing.request(body, caller_name(http_request), key, arrived_s)
        self._record(lines.EventKind.REQUEST_RECEIVED, request)
        try:
            answer = await connections.run_while_connected(http_request, self._answer, request)
            result = _parse_result(answer.body)
        except errors.PapayasparError as error:
            self._finish(request, arrived_s, error.code)
            return problems.response(error, request.request_id)
        self._finish(request, arrived_s, "")
        document = documents.RequestDocument(
            answer.request_id, result, answer.worker, answer.attempts
        )
        return web_documents.respond(document, ran=errors.Ran.YES)

    async def post_job(self, http_request: requests.Request) -> responses.Response:
        """Accept a job: it outlives this process once this is answered."""
        body = await bodies.read(http_request)
        job = parsing.job(body, caller_name(http_request))
        await self._jobs.submit(job)
        return web_documents.respond(documents.JobReference(job.job_id), ACCEPTED_STATUS)

    async def get_job(self, http_request: requests.Request) -> responses.Response:
        """Return where a job stands, waiting for its end if asked to."""
        wait_s = _wait_s(http_request.query_params.get("wait_s", "0"))
        known = await self._jobs.wait_for_end(http_request.path_params["job_id"], wait_s)
        return web_documents.respond(documents.job(known, self._jobs.state(known)))

    async def delete_job(self, http_request: requests.Request) -> responses.Response:
        """Take a job back."""
        job_id = http_request.path_params["job_id"]
        await self._jobs.cancel(job_id)
        return web_documents.respond(documents.JobReference(job_id), ACCEPTED_STATUS)

    async def _answer(self, request: work.Request) -> answers.Answer:
        if request.idempotent or request.key is None:
            return await self._dispatcher.run(request)
        return await self._claimant.run(request, request.key, self._dispatcher.run)

    def _finish(self, request: work.Request, arrived_s: float, code: str) -> None:
        took_s = self._clock.now_s() - arrived_s
        kind = lines.EventKind.REQUEST_REFUSED if code else lines.EventKind.REQUEST_ANSWERED
        self._record(kind, request, code, took_s * MILLISECONDS_PER_SECOND)
        self._journal.metrics.observe_request(request.urgency.value, took_s)

    def _record(
        self,
        kind: lines.EventKind,
        request: work.Request,
        code: str = "",
        duration_ms: float | None = None,
    ) -> None:
        self._journal.record(
            kind,
            team=request.team,
            request=request.request_id,
            code=code,
            duration_ms=duration_ms,
        )


def _wait_s(text: str) -> float:
    try:
        wait_s = float(text)
    except ValueError as error:
        raise errors.InvalidRequestError("wait_s is not a number", field="wait_s") from error
    if not 0.0 <= wait_s <= JOB_WAIT_MAX_S:
        raise errors.InvalidRequestError(f"wait_s is not up to {JOB_WAIT_MAX_S:g}", field="wait_s")
    return wait_s


def _parse_result(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.TargetError("the answer is not JSON", ran=errors.Ran.YES) from error
