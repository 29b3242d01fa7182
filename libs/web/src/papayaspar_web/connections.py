"""Noticing callers that leave before their answer."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from starlette import requests

from papayaspar_model import errors

Argument = TypeVar("Argument")
Result = TypeVar("Result")

DISCONNECT_TYPE = "http.disconnect"


class CallerGoneError(errors.PapayasparError):
    """The caller closed its connection; nobody reads the answer."""

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
    """Run something for a caller; it is cancelled when the caller closes its connection.

    :param request: the request, whose body was read.
    :param run: what to run.
    :param argument: its argument.
    :raises CallerGoneError: when the caller left first.
    :raises PapayasparError: what it raised, not wrapped in a group.
    """
    results: list[Result] = []
    failure: errors.PapayasparError | None = None
    async with anyio.create_task_group() as group:
        group.start_soon(_watch, request, group.cancel_scope)
        try:
            results.append(await run(argument))
        except errors.PapayasparError as error:
            failure = error
        group.cancel_scope.cancel()
    if results:
        return results[0]
    raise failure or CallerGoneError()


async def _watch(request: requests.Request, scope: anyio.CancelScope) -> None:
    while True:
        message = await request.receive()
        if message["type"] == DISCONNECT_TYPE:
            scope.cancel()
            return
