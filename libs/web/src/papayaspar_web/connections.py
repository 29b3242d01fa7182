"""Detection of callers that disconnect before the answer is sent."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from starlette import requests

from papayaspar_model import errors

Argument = TypeVar("Argument")
Result = TypeVar("Result")

DISCONNECT_TYPE = "http.disconnect"


class CallerDisconnectedError(errors.PapayasparError):
    """The caller closed its connection before the answer was sent."""

    code = "caller_gone"
    status = 499
    title = "The caller has gone"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, ran=errors.Ran.UNKNOWN)


async def run_while_connected(
    request: requests.Request,
    run: Callable[[Argument], Awaitable[Result]],
    argument: Argument,
) -> Result:
    """Run a function for a caller; cancel it when the caller closes its connection.

    :param request: request whose body has been read.
    :param run: function to run.
    :param argument: argument of the function.
    :raises CallerDisconnectedError: if the caller disconnects first.
    :raises PapayasparError: the error that the function raised, not wrapped in a group.
    """
    results: list[Result] = []
    failure: errors.PapayasparError | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_on_disconnect, request, group.cancel_scope)
        try:
            results.append(await run(argument))
        except errors.PapayasparError as error:
            failure = error
        group.cancel_scope.cancel()
    if results:
        return results[0]
    raise failure or CallerDisconnectedError()


async def _cancel_on_disconnect(request: requests.Request, scope: anyio.CancelScope) -> None:
    while True:
        message = await request.receive()
        if message["type"] == DISCONNECT_TYPE:
            scope.cancel()
            return
