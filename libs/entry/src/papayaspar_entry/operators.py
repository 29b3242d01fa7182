"""HTTP API for operators: status, rules, workers, jobs, metrics and events."""

from urllib import parse

from starlette import applications, requests, responses, routing

from papayaspar_entry import (
    callers,
    documents,
    home_manager,
    job_manager,
    rules_manager,
    sessions,
    shard_manager,
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
    """HTTP endpoints for operators.

    :param table: this entry's table of workers.
    :param agent_sessions: streams to the agents.
    :param rules: manager of the rules in force.
    :param homes: manager of the homes of guarantees.
    :param shards: manager of the shard map.
    :param jobs: manager of the jobs.
    :param event_journal: journal of this process's events.
    """

    def __init__(
        self,
        table: members.MemberTable,
        agent_sessions: sessions.Sessions,
        rules: rules_manager.RulesManager,
        homes: home_manager.HomeManager,
        shards: shard_manager.ShardManager,
        jobs: job_manager.JobManager,
        event_journal: journal.Journal,
    ) -> None:
        self._table = table
        self._sessions = agent_sessions
        self._rules = rules
        self._homes = homes
        self._shards = shards
        self._jobs = jobs
        self._journal = event_journal

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
        """Return the status of the system as seen by this entry."""
        document = documents.StatusDocument(
            process=self._journal.process,
            revision=self._rules.current.revision,
            shards_revision=self._shards.revision,
            workers=tuple(documents.worker(member) for member in self._table.all()),
            short_guarantees=tuple(map(documents.short_guarantee, self._homes.packed.short)),
        )
        return web_documents.respond(document)

    async def get_events(self, http_request: requests.Request) -> responses.Response:
        """Return the newest events of this entry and of the connected agents, one per line."""
        event_lines = [lines.to_line(event) for event in self._journal.newest(EVENTS_MAX)]
        for member in self._table.all():
            event_lines.extend(await self._agent_lines(member.name))
        return responses.PlainTextResponse("\n".join(event_lines) + "\n")

    async def get_rules(self, http_request: requests.Request) -> responses.Response:
        """Return the rules in force."""
        rules = self._rules.current
        document = documents.RulesDocument(rules.revision, rules.publish_id, rules.text)
        return web_documents.respond(document)

    async def post_rules(self, http_request: requests.Request) -> responses.Response:
        """Publish a revision of the rules."""
        body = await bodies.read(http_request)
        headers = http_request.headers
        publish_id = headers.get(PUBLISH_ID_HEADER) or identifiers.new_id("pub")
        try:
            revision = await self._rules.publish(
                parent=_parent(headers.get(PARENT_HEADER, "")),
                publish_id=publish_id,
                author=_author(http_request),
                text=_text(body),
            )
        except rule_faults.InvalidRulesError as error:
            return rules_problem(error)
        return web_documents.respond(documents.PublishedDocument(revision, publish_id))

    async def get_history(self, http_request: requests.Request) -> responses.Response:
        """Return the revisions that were in force on this entry, newest first."""
        return web_documents.respond(documents.HistoryDocument(self._rules.history()))

    async def get_job(self, http_request: requests.Request) -> responses.Response:
        """Return the state of a job."""
        tracked = await self._jobs.wait_for_completion(http_request.path_params["job_id"], 0.0)
        return web_documents.respond(documents.job(tracked, self._jobs.state(tracked)))

    async def delete_job(self, http_request: requests.Request) -> responses.Response:
        """Cancel a job on behalf of its team."""
        await bodies.check_complete(http_request)
        job_id = http_request.path_params["job_id"]
        await self._jobs.cancel(job_id)
        return web_documents.respond(documents.JobReference(job_id), callers.ACCEPTED_STATUS)

    async def drain(self, http_request: requests.Request) -> responses.Response:
        """Drain a worker: its agent rejects new work from now on."""
        await bodies.check_complete(http_request)
        worker = http_request.path_params["worker"]
        if self._table.get(worker) is None:
            raise errors.NotFoundError(f"worker {worker} does not exist", field="worker")
        await self._sessions.peer(worker).call(messages.DrainWorker(), CALL_TIMEOUT_S)
        return web_documents.respond(documents.WorkerState(worker, "draining"))

    async def retire(self, http_request: requests.Request) -> responses.Response:
        """Record an operator's statement that a worker's agent has terminated permanently."""
        await bodies.check_complete(http_request)
        worker = http_request.path_params["worker"]
        member = self._table.get(worker)
        if member is not None and member.is_connected:
            raise errors.ConflictError(
                f"worker {worker} is connected; drain it instead", field="worker"
            )
        self._shards.retire(worker, _author(http_request))
        return web_documents.respond(documents.WorkerState(worker, "retired"))

    async def get_metrics(self, http_request: requests.Request) -> responses.Response:
        """Return the metrics of this process."""
        self._journal.metrics.set_state("workers", len(self._table))
        self._journal.metrics.set_state("slots", self._table.total_slots())
        process_metrics = self._journal.metrics
        return responses.Response(
            process_metrics.exposition(), media_type=process_metrics.content_type
        )

    async def _agent_lines(self, worker: str) -> tuple[str, ...]:
        try:
            peer = self._sessions.peer(worker)
            reply = await peer.call(messages.EventsWanted(EVENTS_MAX), CALL_TIMEOUT_S)
            return messages.expect(reply, messages.EventLines).lines
        except errors.PapayasparError:
            return ()


def rules_problem(error: rule_faults.InvalidRulesError) -> responses.Response:
    """Return the problem document that lists all faults of rejected rules."""
    problem = problems.from_error(error)
    document = documents.RulesProblem(
        problem.title, problem.status, problem.code, problem.detail, problem.ran, error.faults
    )
    return web_documents.respond(document, error.status, error.ran, problems.PROBLEM_TYPE)


def _author(http_request: requests.Request) -> str:
    """Return the name of the operator, which the header carries percent-encoded."""
    return parse.unquote(http_request.headers.get(AUTHOR_HEADER, "")) or UNNAMED_AUTHOR


def _parent(text: str) -> int:
    if not text.isdecimal():
        raise errors.InvalidRequestError("the parent is not a revision number", field=PARENT_HEADER)
    return int(text)


def _text(body: bytes | bytearray) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise errors.InvalidRequestError("the rules are not UTF-8", field="body") from error
