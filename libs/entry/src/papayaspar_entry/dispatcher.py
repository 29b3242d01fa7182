"""Dispatching of requests to workers: admission, choice of worker, retries."""

import contextlib
import random
from collections.abc import AsyncIterator

import anyio

from papayaspar_admission import budgets, limits, queues
from papayaspar_dispatch import attempts
from papayaspar_entry import answers, sessions
from papayaspar_events import journal, lines
from papayaspar_membership import ejection, members
from papayaspar_model import clock, errors, work, workers
from papayaspar_wire import messages, peers

MILLISECONDS_PER_SECOND = 1000
ATTEMPTS_MAX = 4
# Time for an agent's reply to arrive after the deadline of its request.
ANSWER_MARGIN_S = 1.0
BUSY_BACKOFF_MAX_S = 0.005
NO_WORKER_RETRY_S = 1.0
SAMPLE_MAX_WORKERS = 8
CANCEL_SEND_TIMEOUT_S = 0.5


class Dispatcher:
    """Runs requests on workers and returns their answers.

    :param table: this entry's table of workers.
    :param agent_sessions: streams to the agents.
    :param admission: queue that admits requests in a fair order.
    :param retries: retry budget of this entry.
    :param outlier_detector: ejects failing workers.
    :param event_journal: journal of this process's events.
    :param clock_source: source of monotonic and wall-clock time.
    """

    def __init__(
        self,
        table: members.MemberTable,
        agent_sessions: sessions.Sessions,
        admission: queues.AdmissionQueue,
        retries: budgets.RetryBudget,
        outlier_detector: ejection.OutlierDetector,
        event_journal: journal.Journal,
        clock_source: clock.Clock,
    ) -> None:
        self._table = table
        self._sessions = agent_sessions
        self._admission = admission
        self._retries = retries
        self._outlier_detector = outlier_detector
        self._journal = event_journal
        self._clock = clock_source
        self._limits: dict[workers.WorkerIdentity, limits.ConcurrencyLimit] = {}

    async def run(
        self, request: work.Request, progress: answers.Progress | None = None
    ) -> answers.Answer:
        """Run a request and return its answer.

        :param request: request to run.
        :param progress: object to update when the request may have reached a worker.
        :raises PapayasparError: if no answer is available; ``ran`` is whether the request may have
            run.
        """
        if not self._table.has_usable():
            raise errors.UnavailableError("no worker is available", retry_after_s=NO_WORKER_RETRY_S)
        ticket = await self._admission.acquire(request)
        has_run = False
        try:
            answer = await self._run_shielded(request, progress or answers.Progress())
            has_run = True
            return answer
        finally:
            # Refusals and failures would bias the estimated durations towards short ones.
            self._admission.release(ticket, ran=has_run)

    async def _run_shielded(
        self, request: work.Request, progress: answers.Progress
    ) -> answers.Answer:
        """Run a request; a non-idempotent one is not cancelled when its caller disconnects.

        Its outcome is awaited, because the request may have been sent already.
        """
        if request.idempotent:
            return await self._run_admitted(request, progress)
        results: list[answers.Answer] = []
        with anyio.CancelScope(shield=True):
            results.append(await self._run_admitted(request, progress))
        return results[0]

    async def _run_admitted(
        self, request: work.Request, progress: answers.Progress
    ) -> answers.Answer:
        request_attempts = attempts.Attempts(request.idempotent, request.deadline_s, ATTEMPTS_MAX)
        while True:
            member = await self._choose(request, request_attempts)
            attempt = request_attempts.begin(member.name, self._clock.now_s())
            if attempt.number == 1:
                self._retries.record_request()
            progress.is_sent = True
            try:
                answer = await self._attempt(request, attempt, member)
            except (errors.BusyError, errors.DrainingError):
                # The slots were taken by other requests, or the worker is draining. Neither is a
                # failure, so no retry is spent.
                request_attempts.withdraw(attempt)
                await anyio.sleep(BUSY_BACKOFF_MAX_S * random.random())
                continue
            except errors.PapayasparError as error:
                if _was_not_sent(error):
                    request_attempts.withdraw(attempt)
                    await anyio.sleep(BUSY_BACKOFF_MAX_S * random.random())
                    continue
                request_attempts.fail(attempt, error.ran)
                self._check_retry(request, request_attempts, error)
                continue
            request_attempts.succeed(attempt)
            return answer

    def _check_retry(
        self,
        request: work.Request,
        request_attempts: attempts.Attempts,
        error: errors.PapayasparError,
    ) -> None:
        """Raise the error to return to the caller unless a retry may be sent."""
        if not request_attempts.may_send(self._clock.now_s()) or not self._retries.try_spend():
            if self._clock.now_s() >= request.deadline_s:
                raise errors.DeadlineError(
                    "no answer before the deadline", ran=request_attempts.ran
                )
            error.ran = request_attempts.ran
            raise error
        kind = lines.EventKind.REQUEST_RETRIED
        self._record(kind, request, request_attempts.count, code=error.code)

    async def _attempt(
        self, request: work.Request, attempt: attempts.Attempt, member: members.Member
    ) -> answers.Answer:
        peer = self._sessions.peer(member.name)
        remaining_s = request.deadline_s - self._clock.now_s()
        message = messages.RunRequest(
            request_id=request.request_id,
            attempt=attempt.number,
            team=request.team,
            kind=request.kind,
            urgency=request.urgency,
            idempotent=request.idempotent,
            remaining_ms=int(remaining_s * MILLISECONDS_PER_SECOND),
            payload=request.payload,
            key=request.key,
        )
        self._record(
            lines.EventKind.REQUEST_DISPATCHED, request, attempt.number, worker=member.name
        )
        async with self._hold_slot(member, request.kind, peer):
            reply = await self._call(peer, message, max(0.0, remaining_s))
        answer = messages.expect(reply, messages.RequestAnswer)
        if (answer.request_id, answer.attempt) != (request.request_id, attempt.number):
            self._record(
                lines.EventKind.ANSWER_DROPPED, request, attempt.number, worker=member.name
            )
            raise errors.ProtocolError(
                "the answer belongs to another request", ran=errors.Ran.UNKNOWN
            )
        return answers.Answer(
            request.request_id, member.name, attempt.number, answer.status, answer.body
        )

    async def _call(
        self, peer: peers.Peer, message: messages.RunRequest, remaining_s: float
    ) -> object:
        """Send an attempt; if the caller disconnects, notify the agent of the cancellation."""
        try:
            return await peer.call(message, remaining_s + ANSWER_MARGIN_S)
        except anyio.get_cancelled_exc_class():
            with anyio.move_on_after(CANCEL_SEND_TIMEOUT_S, shield=True):
                await self._send_cancel(peer, message)
            raise

    async def _send_cancel(self, peer: peers.Peer, message: messages.RunRequest) -> None:
        try:
            await peer.notify(messages.CancelRequest(message.request_id, message.attempt))
        except errors.PeerError:
            return

    @contextlib.asynccontextmanager
    async def _hold_slot(
        self, member: members.Member, kind: str, peer: peers.Peer
    ) -> AsyncIterator[None]:
        """Hold one slot of a worker for the duration of a block, and record the block's outcome."""
        limit = self._limit(member)
        limit.try_acquire()
        member.assigned_slots += 1
        started_s = self._clock.now_s()
        in_flight = self._outlier_detector.begin(member.name)
        signal = limits.Signal.IGNORED
        outcome = ejection.Outcome.NEUTRAL
        cause: peers.Peer | None = None
        try:
            yield
            signal = limits.Signal.DONE
            outcome = ejection.Outcome.SUCCESS
        except errors.BusyError:
            signal = limits.Signal.BUSY
            raise
        except errors.DrainingError:
            raise
        except errors.PapayasparError:
            outcome = ejection.Outcome.FAILURE
            # The loss of a stream ends all requests in flight on it, but is one failure.
            cause = None if peer.is_open else peer
            raise
        finally:
            member.assigned_slots -= 1
            limit.release(signal, kind, self._clock.now_s() - started_s)
            self._finish(in_flight, outcome, cause)
            self._table.notify_slots_changed()

    def _finish(
        self,
        in_flight: ejection.InFlightRequest,
        outcome: ejection.Outcome,
        cause: peers.Peer | None,
    ) -> None:
        before = self._outlier_detector.status(in_flight.worker)
        after = self._outlier_detector.finish(in_flight, outcome, cause)
        if after is before:
            return
        if after is ejection.EjectionStatus.EJECTED:
            self._journal.record(lines.EventKind.WORKER_EJECTED, worker=in_flight.worker)
        if after is ejection.EjectionStatus.ADMITTED:
            self._journal.record(lines.EventKind.WORKER_READMITTED, worker=in_flight.worker)

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

    async def _choose(
        self, request: work.Request, request_attempts: attempts.Attempts
    ) -> members.Member:
        with anyio.move_on_after(max(0.0, request.deadline_s - self._clock.now_s())):
            while True:
                member = self._find_free(
                    self._table.sample(SAMPLE_MAX_WORKERS), request, request_attempts
                )
                if member is None:
                    member = self._find_free(self._table.all(), request, request_attempts)
                if member is not None:
                    return member
                if not self._usable(self._table.all(), request, request_attempts):
                    raise errors.UnavailableError(
                        "no worker can accept the request", ran=request_attempts.ran
                    )
                await self._table.wait_for_change()
        raise errors.DeadlineError(
            "no worker was free before the deadline", ran=request_attempts.ran
        )

    def _find_free(
        self,
        pool: tuple[members.Member, ...],
        request: work.Request,
        request_attempts: attempts.Attempts,
    ) -> members.Member | None:
        """Return the less loaded of two randomly chosen free workers, or ``None``."""
        usable = self._usable(pool, request, request_attempts)
        free = [member for member in usable if self._is_free(member)]
        if not free:
            return None
        candidates = random.sample(free, min(2, len(free)))
        return min(candidates, key=self._load)

    def _usable(
        self,
        pool: tuple[members.Member, ...],
        request: work.Request,
        request_attempts: attempts.Attempts,
    ) -> list[members.Member]:
        """Return the workers of a pool that a request may be sent to.

        Ejected workers are included only if the pool is the whole table and no other worker is
        usable.
        """
        excluded = request_attempts.excluded
        reachable = [member for member in pool if member.is_usable and member.name not in excluded]
        admitted = [
            member
            for member in reachable
            if self._outlier_detector.admits(member.name, request.idempotent)
        ]
        if admitted or len(pool) < len(self._table):
            return admitted
        return reachable

    def _load(self, member: members.Member) -> float:
        slots = member.report.capacity.slots
        return self._outlier_detector.load(member.name, slots - member.free_slots, slots)

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


def _was_not_sent(error: errors.PapayasparError) -> bool:
    """Return whether an attempt failed before it was sent because the stream was closed."""
    return isinstance(error, errors.PeerError) and error.ran is errors.Ran.NO
