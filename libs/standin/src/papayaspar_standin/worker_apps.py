"""HTTP routes of one worker: its runtime and its target."""

import json
from collections.abc import AsyncIterator

import attrs
from starlette import applications, requests, responses, routing

from papayaspar_model import errors
from papayaspar_platform import runtimes
from papayaspar_standin import bodies, faults, memory_runtimes, targets

REQUEST_ID_HEADER = "papayaspar-request-id"
KEY_HEADER = "idempotency-key"


class WorkerApp:
    """HTTP routes of one worker.

    :param runtime: runtime that runs the tasks of gangs.
    :param target: target that runs requests.
    """

    def __init__(self, runtime: memory_runtimes.MemoryRuntime, target: targets.Target) -> None:
        self.runtime = runtime
        self.target = target

    def asgi(self) -> applications.Starlette:
        """Return the ASGI application."""
        post_handlers = {
            "/run": self.run,
            "/tasks": self.prepare,
            "/tasks/{task_id}/start": self.start,
            "/tasks/{task_id}/renew": self.renew,
            "/tasks/{task_id}/throttle": self.throttle,
            "/tasks/{task_id}/checkpoint": self.checkpoint,
            "/tasks/{task_id}/stop": self.stop,
            "/faults": self.set_faults,
        }
        get_handlers = {
            "/tasks/{task_id}": self.status,
            "/runs": self.runs,
            "/counts": self.counts,
            "/healthz": self.health,
        }
        routes = [
            routing.Route(path, bodies.with_error_responses(handler), methods=["POST"])
            for path, handler in post_handlers.items()
        ]
        routes += [
            routing.Route(path, bodies.with_error_responses(handler), methods=["GET"])
            for path, handler in get_handlers.items()
        ]
        return applications.Starlette(routes=routes)

    async def run(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /run``: echo the payload and the request id."""
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        key = request.headers.get(KEY_HEADER, "")
        payload = await request.body()
        await self.target.run(request_id, key, _service_ms(payload))
        text = payload.decode("utf-8", "replace") or "null"
        data = f'{{"request_id": {json.dumps(request_id)}, "payload": {text}}}'.encode()
        if self.target.faults.cut_body:
            return _truncated_response(data)
        return responses.Response(data, media_type="application/json")

    async def prepare(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /tasks``."""
        body = await bodies.read_body(request)
        accelerators: list[int] = []
        for number in body.array("accelerators"):
            if not isinstance(number, int):
                raise errors.InvalidRequestError(
                    "accelerators must be numbers", field="accelerators"
                )
            accelerators.append(number)
        spec = runtimes.TaskSpec(
            task_id=body.text("task_id"),
            job_id=body.text("job_id"),
            attempt=int(body.number("attempt")),
            task=int(body.number("task")),
            team=body.text("team"),
            accelerators=tuple(accelerators),
            run_time_s=body.number("run_time_s"),
        )
        await self.runtime.prepare(spec)
        return responses.JSONResponse({})

    async def start(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /tasks/{task_id}/start``."""
        body = await bodies.read_body(request)
        await self.runtime.start(_task_id(request), body.number("lease_until_s"))
        return responses.JSONResponse({})

    async def renew(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /tasks/{task_id}/renew``."""
        body = await bodies.read_body(request)
        return _status_response(
            await self.runtime.renew(_task_id(request), body.number("lease_until_s"))
        )

    async def throttle(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /tasks/{task_id}/throttle``."""
        body = await bodies.read_body(request)
        await self.runtime.throttle(_task_id(request), body.number("share_ratio"))
        return responses.JSONResponse({})

    async def checkpoint(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /tasks/{task_id}/checkpoint``."""
        checkpoint_s = await self.runtime.checkpoint(_task_id(request))
        return responses.JSONResponse({"checkpoint_s": checkpoint_s})

    async def stop(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /tasks/{task_id}/stop``."""
        await self.runtime.stop(_task_id(request))
        return responses.JSONResponse({})

    async def status(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /tasks/{task_id}``."""
        return _status_response(await self.runtime.status(_task_id(request)))

    async def runs(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /runs``: list the runs of tasks; ``stopped_s`` is null while a task runs."""
        rows: list[dict[str, object]] = []
        for run in self.runtime.runs():
            fields = attrs.asdict(run)
            if run.stopped_s == float("inf"):
                fields["stopped_s"] = None
            rows.append(fields)
        return responses.JSONResponse({"runs": rows})

    async def counts(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /counts``."""
        return responses.JSONResponse(attrs.asdict(self.target.counts))

    async def health(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /healthz``."""
        return responses.JSONResponse({"status": "ok"})

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /faults``; missing fields switch their fault off."""
        body = await bodies.read_body(request)
        new_faults = faults.WorkerFaults(
            fail=body.flag("fail", False),
            slow_s=body.number("slow_s", 0.0),
            hang=body.flag("hang", False),
            cut_body=body.flag("cut_body", False),
        )
        self.runtime.faults = new_faults
        self.target.faults = new_faults
        return responses.JSONResponse({})


def _task_id(request: requests.Request) -> str:
    """Return the task id in the path."""
    return str(request.path_params["task_id"])


def _service_ms(payload: bytes) -> float | None:
    """Return the service time in a payload, in milliseconds, or ``None``."""
    try:
        return bodies.parse_body(payload).number("service_ms")
    except errors.InvalidRequestError:
        # A payload may be any text; without the field the target's default applies.
        return None


def _status_response(status: runtimes.TaskStatus) -> responses.Response:
    """Return the JSON response for a task's status."""
    return responses.JSONResponse(
        {
            "task_id": status.task_id,
            "state": status.state.value,
            "ran_s": status.ran_s,
            "checkpoint_s": status.checkpoint_s,
        }
    )


def _truncated_response(data: bytes) -> responses.Response:
    """Return a response whose body ends before its declared length."""

    async def first_half() -> AsyncIterator[bytes]:
        yield data[: len(data) // 2]
        raise errors.TargetError("a fault truncates the body")

    headers = {"content-length": str(len(data))}
    return responses.StreamingResponse(first_half(), media_type="application/json", headers=headers)
