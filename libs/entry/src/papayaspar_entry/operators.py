"""HTTP towards operators: status, rules, workers, jobs, metrics, events."""

from urllib import parse

from starlette import applications, requests, responses, routing

from papayaspar_entry import (
    callers,
    documents,
    homekeeper,
    job_board,
    rulebook,
    sessions,
    shardkeeper,
)
from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import errors, identifiers
from papayaspar_rules import faults as rule_faults
from papayaspar_web import bodies, problems
from papayaspar_web import documents as web_documents
from papayaspar_wire import messages

CALL_TIMEOUT_S = 3.0
EVENTS_MAX = 4096
PARENT_HEADER = "papayaspar-parent"
PUBLISH_ID_HEADER = "papayaspar-publish-id"
AUTHOR_HEADER = "papayaspar-author"
UNNAMED_AUTHOR = "unnamed"


class OperatorApi:
    """The operators' endpoints.

    :param table: the entry's view of the workers.
    :param links: streams to the agents.
    :param book: the rules of this entry.
    :param keeper: the homes of guarantees.
    :param shards: owners of the shards of keys.
    :param jobs: the jobs.
    :param record: the process's journal.
    """

    def __init__(
        self,
        table: members.MemberTable,
        links: sessions.Sessions,
        book: rulebook.Rulebook,
        keeper: homekeeper.Homekeeper,
        shards: shardkeeper.Shardkeeper,
        jobs: job_board.JobBoard,
        record: journal.Journal,
    ) -> None:
        self._table = table
        self._sessions = links
        self._book = book
        self._keeper = keeper
        self._shards = shards
        self._jobs = jobs
        self._journal = record

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        routes = [
            routing.Route("/v1/status", self.get_status),
            routing.Route("/v1/events", self.get_events),
            routing.Route("/v1/workers/{worker}/drain", self.drain, methods=["POST"]),
            routing.Route("/v1/workers/{worker}/retire", self.retire, methods=["POST"]),
            routing.Route("/v1/rules", self.get_rules, methods=["GET"]),
            routing.Route("/v1/rules", self.post_rules, methods=["POST"]),
            routing.Route("/v1/rules/history", self.get_history),
            routing.Route("/v1/jobs/{job_id}", self.get_job, methods=["GET"]),
            routing.Route("/v1/jobs/{job_id}", self.delete_job, methods=["DELETE"]),
            routing.Route("/metrics", self.get_metrics),
        ]
        return problems.application(routes)

    async def get_status(self, http_request: requests.Request) -> responses.Response:
        """Return what this entry sees."""
        document = documents.StatusDocument(
            process=self._journal.process,
            revision=self._book.rules.revision,
            shards_revision=self._shards.revision,
            workers=tuple(documents.worker(member) for member in self._table.all()),
            short_guarantees=tuple(map(documents.short_guarantee, self._keeper.packed.short)),
        )
        return web_documents.respond(document)

    async def get_events(self, http_request: requests.Request) -> responses.Response:
        """Return the newest events of this entry and of its agents, as lines."""
        found = [lines.to_line(event) for event in self._journal.newest(EVENTS_MAX)]
        for member in self._table.all():
            found.extend(await self._agent_lines(member.name))
        return responses.PlainTextResponse("\n".join(found) + "\n")

    async def get_rules(self, http_request: requests.Request) -> responses.Response:
        """Return the rules in force."""
        rules = self._book.rules
        document = documents.RulesDocument(rules.revision, rules.publish_id, rules.text)
        return web_documents.respond(document)

    async def post_rules(self, http_request: requests.Request) -> responses.Response:
        """Publish a revision of the rules."""
        body = await bodies.read(http_request)
        headers = http_request.headers
        publish_id = headers.get(PUBLISH_ID_HEADER) or identifiers.new_id("pub")
        try:
            revision = await self._book.publish(
                parent=_parent(headers.get(PARENT_HEADER, "")),
                publish_id=publish_id,
                author=_author(http_request),
                text=_text(body),
            )
        except rule_faults.InvalidRulesError as error:
            return rule_problem(error)
        return web_documents.respond(documents.PublishedDocument(revision, publish_id))

    async def get_history(self, http_request: requests.Request) -> responses.Response:
        """Return the revisions that were in force here, newest first."""
        return web_documents.respond(documents.HistoryDocument(self._book.history()))

    async def get_job(self, http_request: requests.Request) -> responses.Response:
        """Return where a job stands."""
        known = await self._jobs.wait_for_end(http_request.path_params["job_id"], 0.0)
        return web_documents.respond(documents.job(known, self._jobs.state(known)))

    async def delete_job(self, http_request: requests.Request) -> responses.Response:
        """Take a job back on its team's behalf."""
        job_id = http_request.path_params["job_id"]
        await self._jobs.cancel(job_id)
        return web_documents.respond(documents.JobReference(job_id), callers.ACCEPTED_STATUS)

    async def drain(self, http_request: requests.Request) -> responses.Response:
        """Tell a worker's agent to refuse new work."""
        worker = http_request.path_params["worker"]
        if self._table.get(worker) is None:
            raise errors.NotFoundError(f"no worker {worker}", field="worker")
        await self._sessions.peer(worker).call(messages.DrainWorker(), CALL_TIMEOUT_S)
        return web_documents.respond(documents.WorkerState(worker, "draining"))

    async def retire(self, http_request: requests.Request) -> responses.Response:
        """Take an operator's word that a worker's agent is gone for good."""
        worker = http_request.path_params["worker"]
        member = self._table.get(worker)
        if member is not None and member.is_connected:
            raise errors.ConflictError(f"{worker} is up; drain it", field="worker")
        self._shards.retire(worker, _author(http_request))
        return web_documents.respond(documents.WorkerState(worker, "retired"))

    async def get_metrics(self, http_request: requests.Request) -> responses.Response:
        """Return the metrics of this process."""
        self._journal.metrics.set_state("workers", len(self._table))
        self._journal.metrics.set_state("slots", self._table.total_slots())
        counters = self._journal.metrics
        return responses.Response(counters.exposition(), media_type=counters.content_type)

    async def _agent_lines(self, worker: str) -> tuple[str, ...]:
        try:
            peer = self._sessions.peer(worker)
            reply = await peer.call(messages.EventsWanted(EVENTS_MAX), CALL_TIMEOUT_S)
            return messages.expect(reply, messages.EventLines).lines
        except errors.PapayasparError:
            return ()


def rule_problem(error: rule_faults.InvalidRulesError) -> responses.Response:
    """Return the problem document that names every fault of refused rules."""
    problem = problems.from_error(error)
    document = documents.RulesProblem(
        problem.title, problem.status, problem.code, problem.detail, problem.ran, error.faults
    )
    return web_documents.respond(document, error.status, error.ran, problems.PROBLEM_TYPE)


def _author(http_request: requests.Request) -> str:
    """Return who operates; the header carries the name percent-encoded."""
    return parse.unquote(http_request.headers.get(AUTHOR_HEADER, "")) or UNNAMED_AUTHOR


def _parent(text: str) -> int:
    if not text.isdecimal():
        raise errors.InvalidRequestError("the parent is not a revision", field=PARENT_HEADER)
    return int(text)


def _text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise errors.InvalidRequestError("the rules are not UTF-8", field="body") from error
