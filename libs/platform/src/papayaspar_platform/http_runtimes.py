"""HTTP client of the worker runtime."""

import urllib.parse

from papayaspar_model import errors
from papayaspar_platform import exchanges, runtimes

CLIENT_TIMEOUT_S = 1.0


class HttpRuntime(runtimes.Runtime):
    """HTTP client of the runtime of one worker.

    :param address: ``ip:port`` of the runtime.
    :param client_timeout_s: timeout of a request, in seconds.
    """

    def __init__(self, address: str, client_timeout_s: float = CLIENT_TIMEOUT_S) -> None:
        self._client = exchanges.JsonClient(address, client_timeout_s)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def prepare(self, spec: runtimes.TaskSpec) -> None:
        """Load a task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        body: dict[str, object] = {
            "task_id": spec.task_id,
            "job_id": spec.job_id,
            "attempt": spec.attempt,
            "task": spec.task,
            "team": spec.team,
            "accelerators": list(spec.accelerators),
            "run_time_s": spec.run_time_s,
        }
        await self._post("/tasks", body)

    async def start(self, task_id: str, lease_until_s: float) -> None:
        """Run a prepared task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await self._post(_path(task_id, "/start"), {"lease_until_s": lease_until_s})

    async def renew(self, task_id: str, lease_until_s: float) -> runtimes.TaskStatus:
        """Renew a lease; see :class:`papayaspar_platform.runtimes.Runtime`."""
        return _status(await self._post(_path(task_id, "/renew"), {"lease_until_s": lease_until_s}))

    async def throttle(self, task_id: str, share_ratio: float) -> None:
        """Limit a task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await self._post(_path(task_id, "/throttle"), {"share_ratio": share_ratio})

    async def checkpoint(self, task_id: str) -> float:
        """Save a task's work; see :class:`papayaspar_platform.runtimes.Runtime`."""
        fields = await self._post(_path(task_id, "/checkpoint"), {})
        return _number(fields, "checkpoint_s")

    async def stop(self, task_id: str) -> None:
        """Stop a task; see :class:`papayaspar_platform.runtimes.Runtime`."""
        await self._post(_path(task_id, "/stop"), {})

    async def status(self, task_id: str) -> runtimes.TaskStatus:
        """Return a task's status; see :class:`papayaspar_platform.runtimes.Runtime`."""
        try:
            return _status(await self._client.get(_path(task_id, "")))
        except exchanges.ExchangeError as error:
            raise errors.TargetError(error.detail, ran=error.ran) from error

    async def _post(self, path: str, body: dict[str, object]) -> exchanges.Fields:
        """Send the request of one action."""
        try:
            return await self._client.post(path, body)
        except exchanges.ExchangeError as error:
            raise errors.TargetError(error.detail, ran=error.ran) from error


def _path(task_id: str, action: str) -> str:
    """Return the path of an action on a task."""
    return f"/tasks/{urllib.parse.quote(task_id, safe='')}{action}"


def _number(fields: exchanges.Fields, name: str) -> float:
    """Return a number from a response."""
    try:
        return fields.number(name)
    except exchanges.ExchangeError as error:
        raise errors.TargetError(error.detail, ran=error.ran) from error


def _status(fields: exchanges.Fields) -> runtimes.TaskStatus:
    """Decode the status of a task from a response."""
    try:
        return runtimes.TaskStatus(
            task_id=fields.text("task_id"),
            state=runtimes.TaskState(fields.text("state")),
            ran_s=fields.number("ran_s"),
            checkpoint_s=fields.number("checkpoint_s"),
        )
    except exchanges.ExchangeError as error:
        raise errors.TargetError(error.detail, ran=error.ran) from error
    except ValueError as error:
        raise errors.TargetError(f"unknown task state: {error}", ran=errors.Ran.UNKNOWN) from error
