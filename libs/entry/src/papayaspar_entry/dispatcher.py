"""A request from its arrival to its answer: admission, attempts, the whole answer."""

import contextlib
import random
from collections.abc import AsyncIterator

import anyio
import attrs

from papayaspar_admission import budgets, limits, queues
from papayaspar_entry import sessions
from papayaspar_events import journal, lines
from papayaspar_membership import members
from papayaspar_model import clock, errors, work, workers
from papayaspar_wire import messages

MILLISECONDS_PER_SECOND = 1000
ATTEMPTS_MAX = 4
ANSWER_SLACK_S = 1.0
BUSY_PAUSE_S = 0.005
NO_WORKER_RETRY_S = 1.0


@attrs.frozen
class Answer:
    """The one answer to a request.

    :param request_id: the request.
    :param worker: worker that ran it.
    :param attempts: attempts sent.
    :param status: HTTP status of the target.
    :param body: the target's body, whole.
    """

    request_id: str
    worker: str
    attempts: int
    status: int
    body: bytes


class Dispatcher:
    """Takes requests to workers and brings back answers.

    :param table: the entry's view of the workers.
    :param links: streams to the agents.
    :param admission: decides whose turn it is.
    :param retries: budget of retries.
    :param record: the process's journal.
    :param clock_source: clock of the machine.
    """

    def __init__(
        self,
        table: members.MemberTable,
        links: sessions.Sessions,
        admission: queues.AdmissionQueue,
        retries: budgets.RetryBudget,
        record: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._table = table
        self._sessions = links
        self._admission = admission
        self._retries = retries
        self._journal = record
        self._clock = clock_source
        self._limits: dict[workers.WorkerIdentity, limits.ConcurrencyLimit] = {}

    async def run(self, request: work.Request) -> Answer:
        """Return the answer to a request.

        :param request: what the caller wants.
        :raises PapayasparError: whose ``ran`` says whether it may have run.
        """
        if self._table.total_slots() == 0:
            raise errors.UnavailableError("no worker is up", retry_after_s=NO_WORKER_RETRY_S)
        self._retries.record_request()
        async with self._admission.slot(request):
            return await self._run_admitted(request)

    async def _run_admitted(self, request: work.Request) -> Answer:
        excluded: set[str] = set()
        attempt = 0
        while True:
            member = await self._choose(request, excluded)
            attempt += 1
            try:
                return await self._attempt(request, attempt, member)
            except (errors.BusyError, errors.DrainingError):
                # Refused in a race for the slot, not failed: no retry is spent.
                await anyio.sleep(BUSY_PAUSE_S * random.random())
                continue
            except errors.PapayasparError as error:
                excluded.add(member.name)
                if not self._may_retry(request, error, attempt):
                    raise
                self._record(lines.EventKind.REQUEST_RETRIED, request, attempt, code=error.code)

    def _may_retry(
        self, request: work.Request, error: errors.PapayasparError, attempt: int
    ) -> bool:
        if error.ran is not errors.Ran.NO and not request.idempotent:
            return False
        if attempt >= ATTEMPTS_MAX or self._clock.now_s() >= request.deadline_s:
            return False
        return self._retries.try_spend()

    async def _attempt(self, request: work.Request, attempt: int, member: members.Member) -> Answer:
        peer = self._sessions.peer(member.name)
        remaining_s = request.deadline_s - self._clock.now_s()
        message = messages.RunRequest(
            request_id=request.request_id,
            attempt=attempt,
            team=request.team,
            kind=request.kind,
            urgency=request.urgency,
            idempotent=request.idempotent,
            remaining_ms=int(remaining_s * MILLISECONDS_PER_SECOND),
            payload=request.payload,
            key=request.key,
        )
        self._record(lines.EventKind.REQUEST_DISPATCHED, request, attempt, worker=member.name)
        async with self._place(member, request.kind):
            reply = await peer.call(message, max(0.0, remaining_s) + ANSWER_SLACK_S)
        answer = messages.expect(reply, messages.RequestAnswer)
        if (answer.request_id, answer.attempt) != (request.request_id, attempt):
            self._record(lines.EventKind.ANSWER_DROPPED, request, attempt, worker=member.name)
            raise errors.ProtocolError("the answer is to another request", ran=errors.Ran.UNKNOWN)
        return Answer(request.request_id, member.name, attempt, answer.status, answer.body)

    @contextlib.asynccontextmanager
    async def _place(self, member: members.Member, kind: str) -> AsyncIterator[None]:
        """Hold one place on a worker for the length of a block."""
        limit = self._limit(member)
        limit.try_acquire()
        member.assigned_slots += 1
        started_s = self._clock.now_s()
        signal = limits.Signal.IGNORED
        try:
            yield
            signal = limits.Signal.DONE
        except errors.BusyError:
            signal = limits.Signal.BUSY
            raise
        finally:
            member.assigned_slots -= 1
            limit.release(signal, kind, self._clock.now_s() - started_s)
            self._table.notice_slots()

    def _limit(self, member: members.Member) -> limits.ConcurrencyLimit:
        identity = member.report.identity
        limit = self._limits.get(identity)
        if limit is None:
            slots = member.report.capacity.slots
            limit = limits.ConcurrencyLimit(slots, slots)
            self._limits[identity] = limit
        return limit

    def _is_free(self, member: members.Member) -> bool:
        return member.free_slots > 0 and self._limit(member).free > 0

    async def _choose(self, request: work.Request, excluded: set[str]) -> members.Member:
        with anyio.move_on_after(max(0.0, request.deadline_s - self._clock.now_s())):
            while True:
                usable = [
                    member
                    for member in self._table.all()
                    if member.is_usable and member.name not in excluded
                ]
                if not usable:
                    raise errors.UnavailableError("no worker can take the request")
                free = [member for member in usable if self._is_free(member)]
                if free:
                    pair = random.sample(free, min(2, len(free)))
                    return max(pair, key=lambda member: member.free_slots)
                await self._table.wait_changed()
        raise errors.DeadlineError("no worker was free before the deadline")

    def _record(
        self,
        kind: lines.EventKind,
        request: work.Request,
        attempt: int,
        *,
        worker: str = "",
        code: str = "",
    ) -> None:
        self._journal.record(
            kind,
            worker=worker,
            team=request.team,
            request=request.request_id,
            attempt=attempt,
            code=code,
        )
