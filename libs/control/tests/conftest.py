"""A fake entry for tests of the operator's client."""

import json

import httpx
import pytest
from starlette import applications, requests, responses, routing

from papayaspar_control import client
from papayaspar_control import settings as control_settings
from papayaspar_model import errors
from papayaspar_rules import faults, records, revisions
from papayaspar_web import problems


class FakeEntry(httpx.AsyncBaseTransport):
    """An in-memory entry, which can lose requests or responses, chosen by request number."""

    def __init__(self) -> None:
        self.chain = revisions.Chain()
        self.lost_requests: set[int] = set()
        self.lost_responses: set[int] = set()
        self.requests: list[str] = []
        self._asgi_transport = httpx.ASGITransport(self._application())

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Handle a request, or lose it or its response."""
        number = len(self.requests)
        self.requests.append(f"{request.method} {request.url.path}")
        if number in self.lost_requests:
            raise httpx.ReadTimeout("request lost")
        response = await self._asgi_transport.handle_async_request(request)
        if number in self.lost_responses:
            raise httpx.RemoteProtocolError("response lost")
        return response

    def append(self, record: records.RevisionRecord) -> revisions.Verdict:
        """Append a record and read it back."""
        return self.chain.observe(self.chain.next_offset, records.encode(record))

    async def publish(self, request: requests.Request) -> responses.Response:
        """Publish rules."""
        text = (await request.body()).decode()
        publish_id = request.headers["papayaspar-publish-id"]
        author = request.headers["papayaspar-author"]
        parent = int(request.headers["papayaspar-parent"])
        self.append(self.chain.propose(parent, publish_id, author, text, 0.0))
        return responses.JSONResponse({"revision": parent + 1, "publish_id": publish_id})

    async def rules(self, request: requests.Request) -> responses.Response:
        """Return the rules."""
        rules = self.chain.rules
        return responses.JSONResponse(
            {"revision": rules.revision, "text": rules.text, "publish_id": rules.publish_id}
        )

    async def history(self, request: requests.Request) -> responses.Response:
        """Return the revisions."""
        rows = []
        for entry in self.chain.history():
            rows.append(
                {
                    "revision": entry.revision,
                    "parent": entry.parent,
                    "author": entry.author,
                    "publish_id": entry.publish_id,
                    "published_wall_s": entry.published_wall_s,
                }
            )
        return responses.JSONResponse({"revisions": rows})

    async def status(self, request: requests.Request) -> responses.Response:
        """Return one worker."""
        worker = {"worker": "w1", "rack": "r1", "data_centre": "d1", "state": "up"}
        counts = {"busy_slots": 1, "slots": 8, "free_accelerators": 2, "accelerators": 8}
        return responses.JSONResponse(
            {
                "process": "e1",
                "revision": 0,
                "workers": [worker | counts],
                "short_guarantees": [{"guarantee": "g", "instance": 1}],
                "of_a_later_version": 1,
            }
        )

    async def worker(self, request: requests.Request) -> responses.Response:
        """Drain or retire the only worker."""
        if request.path_params["worker"] != "w1":
            raise errors.NotFoundError("no such worker", field="worker")
        return responses.JSONResponse({})

    async def job(self, request: requests.Request) -> responses.Response:
        """Return a job."""
        return responses.JSONResponse({"job_id": request.path_params["job"], "tasks": 2})

    def _application(self) -> applications.Starlette:
        routes = [
            routing.Route("/v1/rules", self.publish, methods=["POST"]),
            routing.Route("/v1/rules", self.rules),
            routing.Route("/v1/rules/history", self.history),
            routing.Route("/v1/status", self.status),
            routing.Route("/v1/workers/{worker}/drain", self.worker, methods=["POST"]),
            routing.Route("/v1/workers/{worker}/retire", self.worker, methods=["POST"]),
            routing.Route("/v1/jobs/{job}", self.job, methods=["GET", "DELETE"]),
        ]
        handlers = {
            faults.InvalidRulesError: _reject_rules,
            errors.PapayasparError: problems.handle_error,
        }
        return applications.Starlette(routes=routes, exception_handlers=handlers)


async def _reject_rules(request: requests.Request, error: Exception) -> responses.Response:
    assert isinstance(error, faults.InvalidRulesError)
    rows = [
        {"line": fault.line, "column": fault.column, "code": fault.code, "detail": fault.detail}
        for fault in error.faults
    ]
    document = {"code": error.code, "detail": error.detail, "ran": "no", "faults": rows}
    return responses.Response(json.dumps(document), status_code=error.status)


@pytest.fixture
def fake_entry() -> FakeEntry:
    return FakeEntry()


@pytest.fixture
def connect(fake_entry, monkeypatch):
    """Return a function that creates a client of the fake entry; make the settings use it too."""

    def create(*_: object) -> client.Client:
        return client.Client("http://127.0.0.1:1", 1.0, transport=fake_entry)

    monkeypatch.setattr(control_settings.ControlSettings, "client", create)
    return create
