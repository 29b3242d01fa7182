"""Execution of requests: acquire a slot, call the target, return the answer."""

import anyio

from papayaspar_agent import targets
from papayaspar_events import journal, lines
from papayaspar_model import clock, errors
from papayaspar_slots import ledger
from papayaspar_wire import messages

MILLISECONDS_PER_SECOND = 1000


class RequestRunner:
    """Runs attempts of requests on the target, each in a slot of the ledger.

    :param worker_ledger: the worker's ledger.
    :param target: client of the target.
    :param clock_source: clock of the machine.
    :param event_journal: event journal of the process.
    """

    def __init__(
        self,
        worker_ledger: ledger.Ledger,
        target: targets.Target,
        clock_source: clock.Clock,
        event_journal: journal.Journal,
    ) -> None:
        self._ledger = worker_ledger
        self._target = target
        self._clock = clock_source
        self._journal = event_journal
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def run(self, request: messages.RunRequest) -> messages.RequestAnswer:
        """Run one attempt.

        :param request: the attempt.
        :return: complete answer of the target.
        :raises PapayasparError: ``ran`` is ``no`` if the target was not called.
        """
        if request.remaining_ms <= 0:
            raise errors.DeadlineError("the deadline passed before the request reached the worker")
        attempt_id = f"{request.request_id}/{request.attempt}"
        with self._ledger.slots.hold(attempt_id):
            started_s = self._clock.now_s()
            self._record(lines.EventKind.REQUEST_STARTED, request)
            answer = await self._call_target(attempt_id, request)
            duration_ms = (self._clock.now_s() - started_s) * MILLISECONDS_PER_SECOND
            self._record(lines.EventKind.REQUEST_FINISHED, request, duration_ms)
            return answer

    async def wait_idle(self) -> None:
        """Wait until no request holds a slot."""
        changes = self._ledger.changes
        while self._ledger.slots.busy > 0:
            await changes.wait_for_change(changes.sequence)

    def cancel(self, message: messages.CancelRequest) -> None:
        """Cancel an idempotent attempt whose caller has disconnected; its outcome is discarded."""
        scope = self._scopes.get(f"{message.request_id}/{message.attempt}")
        if scope is not None:
            scope.cancel()

    async def _call_target(
        self, attempt_id: str, request: messages.RunRequest
    ) -> messages.RequestAnswer:
        with anyio.move_on_after(request.remaining_ms / MILLISECONDS_PER_SECOND) as scope:
            if request.idempotent:
                # Callers can't cancel a non-idempotent request: its outcome has to be recorded.
                self._scopes[attempt_id] = scope
            try:
                answer = await self._target.run(request)
            finally:
                self._scopes.pop(attempt_id, None)
            return messages.RequestAnswer(
                request.request_id,
                request.attempt,
                self._journal.process,
                answer.status,
                answer.body,
            )
        raise errors.DeadlineError("the target did not answer in time", ran=errors.Ran.UNKNOWN)

    def _record(
        self,
        kind: lines.EventKind,
        request: messages.RunRequest,
        duration_ms: float | None = None,
    ) -> None:
        self._journal.record(
            kind,
            worker=self._journal.process,
            team=request.team,
            request=request.request_id,
            attempt=request.attempt,
            duration_ms=duration_ms,
        )
