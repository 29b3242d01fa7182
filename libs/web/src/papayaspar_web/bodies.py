"""Bodies of HTTP requests, read within limits of size and time."""

import anyio
from starlette import requests

from papayaspar_model import errors

BODY_MAX_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 10.0


class BodyTimeoutError(errors.InvalidRequestError):
    """The client sent its body too slowly."""

    code = "body_timeout"
    status = 408
    title = "The body came too slowly"


async def read(request: requests.Request, max_bytes: int = BODY_MAX_BYTES) -> bytes:
    """Return the whole body of a request.

    :param request: the request, whose body was not read yet.
    :param max_bytes: longest body accepted.
    :raises BodyTooLargeError: when it is longer.
    :raises BodyCutError: when the client left before its end.
    :raises BodyTimeoutError: when it takes too long.
    """
    chunks = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                chunks += chunk
                if len(chunks) > max_bytes:
                    raise errors.BodyTooLargeError(
                        f"a body may have {max_bytes} bytes", field="body"
                    )
    except requests.ClientDisconnect as error:
        raise errors.BodyCutError("the body ended early", field="body") from error
    except TimeoutError as error:
        raise BodyTimeoutError(f"no whole body within {BODY_TIMEOUT_S:g} s") from error
    return bytes(chunks)
