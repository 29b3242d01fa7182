"""A stand-in target that runs each request for its service time and counts executions."""

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_standin import faults

DEFAULT_SERVICE_MS = 5.0
MILLISECONDS_PER_SECOND = 1000.0
HANG_S = 600.0


@attrs.define
class Counts:
    """Counts of executed requests, for assertions in tests.

    :param by_request: number of executions by request id.
    :param by_key: number of executions by idempotency key.
    :param running: number of requests in progress.
    :param most_running: maximum number of requests in progress at once.
    :param finished: number of completed requests.
    """

    by_request: dict[str, int] = attrs.field(factory=dict)
    by_key: dict[str, int] = attrs.field(factory=dict)
    running: int = 0
    most_running: int = 0
    finished: int = 0

    def record_start(self, request_id: str, key: str) -> None:
        """Count the start of an execution."""
        self.by_request[request_id] = self.by_request.get(request_id, 0) + 1
        if key:
            self.by_key[key] = self.by_key.get(key, 0) + 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)


class Target:
    """Runs requests for one worker.

    :param worker_faults: faults, shared with the worker's runtime.
    :param service_ms: default service time of a request, in milliseconds.
    """

    def __init__(
        self,
        worker_faults: faults.WorkerFaults | None = None,
        service_ms: float = DEFAULT_SERVICE_MS,
    ) -> None:
        self.faults = worker_faults or faults.WorkerFaults()
        self.service_ms = service_ms
        self.counts = Counts()

    async def run(self, request_id: str, key: str, service_ms: float | None) -> None:
        """Run one request.

        :param request_id: id of the request.
        :param key: idempotency key, or empty.
        :param service_ms: service time in milliseconds, or ``None`` for the default.
        """
        self.counts.record_start(request_id, key)
        try:
            await self._serve(self.service_ms if service_ms is None else service_ms)
            self.counts.finished += 1
        finally:
            self.counts.running -= 1

    async def _serve(self, service_ms: float) -> None:
        """Wait for the service time, subject to the active faults."""
        if self.faults.fail:
            raise errors.TargetError("a fault makes every request fail", ran=errors.Ran.UNKNOWN)
        await anyio.sleep(service_ms / MILLISECONDS_PER_SECOND + self.faults.slow_s)
        if self.faults.hang:
            await anyio.sleep(HANG_S)
