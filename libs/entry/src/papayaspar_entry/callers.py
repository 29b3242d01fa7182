"""HTTP API for callers: requests, jobs, health and readiness."""

import json

from starlette import applications, requests, responses, routing

from papayaspar_entry import answers, deduplication, dispatcher, documents, job_manager, parsing
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
    """Return the caller's name: the value of the caller header, else the IP address."""
    named = request.headers.get(CALLER_HEADER)
    if named:
        return named[:CALLER_MAX_CHARS]
    return request.client.host if request.client is not None else ""


class CallerApi:
    """HTTP endpoints for callers.

    :param request_dispatcher: dispatches requests to workers.
    :param deduplicator: runs requests with an idempotency key at most once.
    :param jobs: accepts jobs and runs them to completion.
    :param event_journal: journal of this process's events.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self,
        request_dispatcher: dispatcher.Dispatcher,
        deduplicator: deduplication.Deduplicator,
        jobs: job_manager.JobManager,
        event_journal: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._dispatcher = request_dispatcher
        self._deduplicator = deduplicator
        self._jobs = jobs
        self._journal = event_journal
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
        """Answer 200 while the process is running."""
        return responses.PlainTextResponse("ok\n")

    async def readyz(self, http_request: requests.Request) -> responses.Response:
        """Answer 200 if this entry accepts new work, else 503."""
        if not self.is_ready:
            raise errors.UnavailableError("not ready")
        return responses.PlainTextResponse("ready\n")

    async def post_request(self, http_request: requests.Request) -> responses.Response:
        """Run a request and return its result."""
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
        """Accept a job; once answered, the job survives the exit of this process."""
        body = await bodies.read(http_request)
        job = parsing.job(body, caller_name(http_request))
        await self._jobs.submit(job)
        return web_documents.respond(documents.JobReference(job.job_id), ACCEPTED_STATUS)

    async def get_job(self, http_request: requests.Request) -> responses.Response:
        """Return the state of a job; wait for its completion for up to ``wait_s``."""
        # A body that is not read would fill the server's queue while the call waits.
        await bodies.check_complete(http_request)
        wait_s = _wait_s(http_request.query_params.get("wait_s", "0"))
        tracked = await self._jobs.wait_for_completion(http_request.path_params["job_id"], wait_s)
        return web_documents.respond(documents.job(tracked, self._jobs.state(tracked)))

    async def delete_job(self, http_request: requests.Request) -> responses.Response:
        """Cancel a job."""
        await bodies.check_complete(http_request)
        job_id = http_request.path_params["job_id"]
        await self._jobs.cancel(job_id)
        return web_documents.respond(documents.JobReference(job_id), ACCEPTED_STATUS)

    async def _answer(self, request: work.Request) -> answers.Answer:
        if request.idempotent or request.key is None:
            return await self._dispatcher.run(request)
        return await self._deduplicator.run(request, request.key, self._dispatcher.run)

    def _finish(self, request: work.Request, arrived_s: float, code: str) -> None:
        duration_s = self._clock.now_s() - arrived_s
        kind = lines.EventKind.REQUEST_REFUSED if code else lines.EventKind.REQUEST_ANSWERED
        self._record(kind, request, code, duration_s * MILLISECONDS_PER_SECOND)
        self._journal.metrics.observe_request(request.urgency.value, duration_s)

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
        raise errors.InvalidRequestError(
            f"wait_s is not between 0 and {JOB_WAIT_MAX_S:g}", field="wait_s"
        )
    return wait_s


def _parse_result(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.TargetError("the target's answer is not JSON", ran=errors.Ran.YES) from error
