"""Reading of HTTP request bodies within limits of size and time."""

import anyio
from starlette import requests

from papayaspar_model import errors

BODY_MAX_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 10.0


async def read(request: requests.Request, max_bytes: int = BODY_MAX_BYTES) -> bytearray:
    """Return the complete body of a request.

    :param request: request whose body has not been read yet.
    :param max_bytes: maximum size of the body.
    :raises BodyTooLargeError: if the body is larger.
    :raises BodyCutError: if the client disconnects before the end of the body.
    :raises BodyTimeoutError: if the body does not arrive in time.
    """
    body = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                body += chunk
                if len(body) > max_bytes:
                    raise errors.BodyTooLargeError(
                        f"the body is larger than {max_bytes} bytes", field="body"
                    )
    except requests.ClientDisconnect as error:
        raise errors.BodyCutError(
            "the client disconnected before the end of the body", field="body"
        ) from error
    except TimeoutError as error:
        raise errors.BodyTimeoutError(
            f"the body was not complete within {BODY_TIMEOUT_S:g} s"
        ) from error
    return body


async def check_complete(request: requests.Request) -> None:
    """Wait for the end of a request whose body is not used.

    The listener refuses an incomplete request as one that has not run, so a call that changes
    something begins when its request is complete.

    :param request: request whose body has not been read yet.
    :raises PapayasparError: as :func:`read`.
    """
    await read(request)
