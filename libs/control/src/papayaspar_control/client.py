"""Client of the operators' HTTP API of an entry."""

import ssl
import types
from urllib import parse

import httpx

from papayaspar_control import answers, failures
from papayaspar_model import errors
from papayaspar_rules import faults

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
RULES_CONTENT_TYPE = "text/plain; charset=utf-8"
STATUS_UNAVAILABLE = 503


class Client:
    """Client of one entry, used as an asynchronous context manager.

    :param base_url: URL of the operators' listener.
    :param timeout_s: timeout of a request, in seconds.
    :param transport: transport of the requests; the network if not given.
    :param tls: TLS context that verifies the entry's certificate, for an ``https`` URL.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float,
        transport: httpx.AsyncBaseTransport | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout_s,
            transport=transport,
            verify=tls or False,
            trust_env=False,
        )

    async def __aenter__(self) -> "Client":
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self._http.__aexit__(error_type, error, traceback)

    async def publish_rules(
        self, text: str, parent: int, publish_id: str, author: str
    ) -> answers.Published:
        """Send one publish request, without a retry after a lost response.

        :param text: the rules.
        :param parent: number of the revision that they are based on.
        :param publish_id: identifier of this publish, chosen by the publisher.
        :param author: name of the publisher.
        :return: the new revision.
        :raises RevisionConflictError: if another revision was accepted first.
        :raises InvalidRulesError: if the rules have faults.
        """
        headers = {
            "Content-Type": RULES_CONTENT_TYPE,
            "Papayaspar-Parent": str(parent),
            "Papayaspar-Publish-Id": publish_id,
            "Papayaspar-Author": parse.quote(author),
        }
        content = await self._request("POST", "/v1/rules", text.encode("utf-8"), headers)
        return answers.decode(answers.Published, content)

    async def rules(self) -> answers.RulesInForce:
        """Return the rules in force."""
        return answers.decode(answers.RulesInForce, await self._request("GET", "/v1/rules"))

    async def history(self) -> answers.History:
        """Return the revisions that were in force."""
        return answers.decode(answers.History, await self._request("GET", "/v1/rules/history"))

    async def status(self) -> answers.Status:
        """Return the state of the system as seen by the entry."""
        return answers.decode(answers.Status, await self._request("GET", "/v1/status"))

    async def drain(self, worker: str) -> None:
        """Drain a worker: it finishes its work and accepts no more.

        :param worker: name of the worker.
        """
        await self._request("POST", f"/v1/workers/{_quoted(worker)}/drain")

    async def retire(self, worker: str) -> None:
        """Declare that a worker has terminated permanently.

        :param worker: name of the worker.
        """
        await self._request("POST", f"/v1/workers/{_quoted(worker)}/retire")

    async def event_lines(self) -> tuple[str, ...]:
        """Return the newest events of the entry and its agents, as key=value lines."""
        return tuple((await self._request("GET", "/v1/events")).decode().splitlines())

    async def job(self, job_id: str) -> tuple[answers.JobField, ...]:
        """Return the fields of a job.

        :param job_id: identifier of the job.
        """
        return answers.decode_job(await self._request("GET", f"/v1/jobs/{_quoted(job_id)}"))

    async def cancel_job(self, job_id: str) -> tuple[answers.JobField, ...]:
        """Cancel a job.

        :param job_id: identifier of the job.
        :return: its fields after the cancellation.
        """
        return answers.decode_job(await self._request("DELETE", f"/v1/jobs/{_quoted(job_id)}"))

    async def _request(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        try:
            response = await self._http.request(method, path, content=content, headers=headers)
        except NOT_SENT_ERRORS as error:
            raise failures.UnreachableError(f"no connection to {self._http.base_url}") from error
        except httpx.HTTPError as error:
            raise failures.AnswerLostError(f"{self._http.base_url}: {error!r}") from error
        if response.is_success:
            return response.content
        raise _error_of(response.status_code, response.content)


def _quoted(segment: str) -> str:
    return parse.quote(segment, safe="")


def _error_of(status: int, content: bytes) -> errors.PapayasparError:
    try:
        problem = answers.decode(answers.Problem, content)
    except failures.BrokenAnswerError:
        return failures.BrokenAnswerError(
            f"the entry responded {status} without a problem document"
        )
    if problem.code == errors.RevisionConflictError.code:
        return errors.RevisionConflictError(problem.detail, field=problem.field)
    if problem.code == errors.RulesError.code and problem.faults:
        return faults.InvalidRulesError([_fault(row) for row in problem.faults])
    ran = _ran(problem.ran)
    if status == STATUS_UNAVAILABLE:
        return failures.EntryUnavailableError(problem.code, problem.detail, ran)
    return failures.RefusedError(problem.code, problem.detail, ran, problem.field)


def _fault(row: answers.FaultRow) -> faults.Fault:
    return faults.Fault("published rules", row.line, row.column, row.code, row.detail)


def _ran(text: str) -> errors.Ran:
    try:
        return errors.Ran(text)
    except ValueError:
        return errors.Ran.UNKNOWN
