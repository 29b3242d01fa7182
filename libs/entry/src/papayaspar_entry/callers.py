"""HTTP towards callers: requests, readiness."""

import json

from starlette import applications, requests, responses, routing

from papayaspar_entry import dispatcher, parsing
from papayaspar_events import journal, lines
from papayaspar_model import clock, errors, work
from papayaspar_web import bodies, problems

MILLISECONDS_PER_SECOND = 1000
CALLER_HEADER = "papayaspar-caller"
KEY_HEADER = "idempotency-key"
CALLER_MAX_CHARS = 100


def caller_name(request: requests.Request) -> str:
    """Return who asks within the team: the caller's header, else its IP number."""
    named = request.headers.get(CALLER_HEADER)
    if named:
        return named[:CALLER_MAX_CHARS]
    return request.client.host if request.client is not None else ""


class CallerApi:
    """The callers' endpoints.

    :param run: takes requests to workers.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self, run: dispatcher.Dispatcher, record: journal.Journal, clock_source: clock.Clock
    ) -> None:
        self._dispatcher = run
        self._journal = record
        self._clock = clock_source
        self.is_ready = False

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        routes = [
            routing.Route("/v1/requests", self.post_request, methods=["POST"]),
            routing.Route("/healthz", self.healthz),
            routing.Route("/readyz", self.readyz),
        ]
        handlers = {errors.PapayasparError: problems.handle}
        return applications.Starlette(routes=routes, exception_handlers=handlers)

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
            answer = await self._answer(request)
            result = _parse_result(answer.body)
        except errors.PapayasparError as error:
            self._finish(request, arrived_s, error.code)
            return problems.response(error, request.request_id)
        self._finish(request, arrived_s, "")
        document = {
            "request_id": answer.request_id,
            "result": result,
            "worker": answer.worker,
            "attempts": answer.attempts,
        }
        return responses.JSONResponse(document, headers={"papayaspar-ran": "yes"})

    async def _answer(self, request: work.Request) -> dispatcher.Answer:
        return await self._dispatcher.run(request)

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


def _parse_result(body: bytes) -> object:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.TargetError("the answer is not JSON", ran=errors.Ran.YES) from error
