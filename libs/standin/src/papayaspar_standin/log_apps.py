"""HTTP routes of the log service."""

import base64
import binascii

from starlette import applications, requests, responses, routing

from papayaspar_model import errors
from papayaspar_platform import logs
from papayaspar_standin import bodies, faults, memory_logs
from papayaspar_web import connections

READ_WAIT_MAX_S = 30.0


class LogApp:
    """HTTP routes of the log service on one in-memory log.

    :param log: log that stores the records.
    """

    def __init__(self, log: memory_logs.MemoryLog) -> None:
        self.log = log

    def asgi(self) -> applications.Starlette:
        """Return the ASGI application."""
        records_path = "/streams/{stream}/records"
        return applications.Starlette(
            routes=[
                routing.Route(
                    records_path, bodies.with_error_responses(self.append), methods=["POST"]
                ),
                routing.Route(
                    records_path, bodies.with_error_responses(self.read), methods=["GET"]
                ),
                routing.Route(
                    "/streams/{stream}/trim",
                    bodies.with_error_responses(self.trim),
                    methods=["POST"],
                ),
                routing.Route(
                    "/faults", bodies.with_error_responses(self.set_faults), methods=["POST"]
                ),
            ]
        )

    async def append(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /streams/{stream}/records``."""
        body = await bodies.read_body(request)
        records = tuple(_decode(encoded_record) for encoded_record in body.array("records"))
        if not records:
            raise errors.InvalidRequestError("records must not be empty", field="records")
        offset = await self.log.append(request.path_params["stream"], records)
        return responses.JSONResponse({"offset": offset})

    async def read(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /streams/{stream}/records?offset=&wait_s=``."""
        page = await connections.run_while_connected(request, self._read, request)
        records = [base64.b64encode(record.data).decode("ascii") for record in page.records]
        return responses.JSONResponse(
            {
                "first_offset": page.first_offset,
                "next_offset": page.next_offset,
                "records": records,
            }
        )

    async def _read(self, request: requests.Request) -> logs.Page:
        offset = int(_query_parameter(request, "offset"))
        wait_s = min(_query_parameter(request, "wait_s"), READ_WAIT_MAX_S)
        return await self.log.read(request.path_params["stream"], offset, wait_s)

    async def trim(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /streams/{stream}/trim``: drop the records before ``before_offset``."""
        body = await bodies.read_body(request)
        self.log.trim(request.path_params["stream"], int(body.number("before_offset")))
        return responses.JSONResponse({})

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /faults``; missing fields switch their fault off."""
        body = await bodies.read_body(request)
        self.log.faults = faults.LogFaults(
            down=body.flag("down", False),
            slow_s=body.number("slow_s", 0.0),
            answer_lost=body.flag("answer_lost", False),
        )
        return responses.JSONResponse({})


def _decode(encoded_record: object) -> bytes:
    """Decode one record from base64."""
    if not isinstance(encoded_record, str):
        raise errors.InvalidRequestError("a record must be base64 text", field="records")
    try:
        return base64.b64decode(encoded_record, validate=True)
    except binascii.Error:
        raise errors.InvalidRequestError("a record is not base64", field="records") from None


def _query_parameter(request: requests.Request, name: str) -> float:
    """Return a numeric query parameter, or 0 if it is missing."""
    try:
        return float(request.query_params.get(name, "0"))
    except ValueError:
        raise errors.InvalidRequestError(f"{name} must be a number", field=name) from None
