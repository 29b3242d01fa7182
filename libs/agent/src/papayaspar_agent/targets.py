"""Clients of the target, the local service that processes requests."""

import abc

import attrs
import httpx

from papayaspar_model import errors
from papayaspar_wire import messages, transports

CONNECT_TIMEOUT_S = 2.0
ANSWER_MAX_BYTES = 2 * 1024 * 1024
SERVER_ERROR_STATUS = 500


@attrs.frozen
class TargetAnswer:
    """A complete answer of the target.

    :param status: HTTP status.
    :param body: the body, whose length matches the length that the target declared.
    """

    status: int
    body: bytes


class Target(abc.ABC):
    """A client of the target."""

    @abc.abstractmethod
    async def run(self, request: messages.RunRequest) -> TargetAnswer:
        """Run one attempt.

        :param request: the attempt.
        :return: complete answer of the target.
        :raises TargetError: its ``ran`` is ``no`` only if nothing was sent.
        """

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close the connections to the target."""


class HttpTarget(Target):
    """Client of a target over HTTP.

    :param address: address of the target.
    :param connections: maximum number of connections.
    """

    def __init__(self, address: transports.Address, connections: int) -> None:
        limits = httpx.Limits(max_connections=connections, max_keepalive_connections=connections)
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}", limits=limits, trust_env=False
        )

    async def run(self, request: messages.RunRequest) -> TargetAnswer:
        """Post the payload to ``/run`` and read the complete answer."""
        headers = {
            "content-type": "application/json",
            "papayaspar-request-id": request.request_id,
            "papayaspar-attempt": str(request.attempt),
            "papayaspar-kind": request.kind,
        }
        if request.key is not None:
            headers["idempotency-key"] = request.key
        timeout = httpx.Timeout(request.remaining_ms / 1000, connect=CONNECT_TIMEOUT_S)
        try:
            response = await self._client.post(
                "/run", content=request.payload, headers=headers, timeout=timeout
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise errors.TargetError(
                f"no connection to the target: {type(error).__name__}"
            ) from error
        except httpx.HTTPError as error:
            raise errors.TargetError(
                f"no complete answer of the target: {type(error).__name__}", ran=errors.Ran.UNKNOWN
            ) from error
        if response.status_code >= SERVER_ERROR_STATUS:
            raise errors.TargetError(
                f"the target answered with status {response.status_code}", ran=errors.Ran.UNKNOWN
            )
        if len(response.content) > ANSWER_MAX_BYTES:
            raise errors.TargetError("the answer of the target is too large", ran=errors.Ran.YES)
        return TargetAnswer(response.status_code, response.content)

    async def aclose(self) -> None:
        """Close the connections to the target."""
        await self._client.aclose()
