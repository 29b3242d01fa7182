"""JSON requests to a platform service; errors state whether a request may have taken effect."""

import json

import httpx

from papayaspar_model import errors

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
CONNECT_TIMEOUT_S = 1.0


class ExchangeError(errors.PapayasparError):
    """A request failed; ``ran`` is ``unknown`` if it may have taken effect."""

    code = "platform_unavailable"
    status = 503
    title = "The platform did not answer"


class Fields:
    """Typed access to the fields of a JSON response.

    :param values: the decoded object.
    """

    def __init__(self, values: dict[str, object]) -> None:
        self._values = values

    def number(self, name: str) -> float:
        """Return a number; raise :class:`ExchangeError` if the field is not a number."""
        value = self._values.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ExchangeError(
                f"the response has no valid {name}", field=name, ran=errors.Ran.UNKNOWN
            )
        return float(value)

    def text(self, name: str) -> str:
        """Return a string; raise :class:`ExchangeError` if the field is not a string."""
        value = self._values.get(name)
        if not isinstance(value, str):
            raise ExchangeError(
                f"the response has no valid {name}", field=name, ran=errors.Ran.UNKNOWN
            )
        return value

    def texts(self, name: str) -> list[str]:
        """Return a list of strings; raise :class:`ExchangeError` if the field is not a list."""
        value = self._values.get(name)
        if not isinstance(value, list):
            raise ExchangeError(
                f"the response has no valid {name}", field=name, ran=errors.Ran.UNKNOWN
            )
        return [str(element) for element in value]


class JsonClient:
    """HTTP client of one service that sends and receives JSON.

    :param address: ``ip:port`` of the service.
    :param client_timeout_s: timeout of a request in seconds, on top of the time that the service
        is allowed to hold the response.
    """

    def __init__(self, address: str, client_timeout_s: float) -> None:
        self._client_timeout_s = client_timeout_s
        self._client = httpx.AsyncClient(base_url=f"http://{address}", trust_env=False)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def post(self, path: str, body: dict[str, object]) -> Fields:
        """Send a JSON object in a POST request.

        :param path: path of the request.
        :param body: the object.
        :return: the fields of the response.
        """
        content = json.dumps(body).encode()
        return await self._request("POST", path, content, 0.0)

    async def get(self, path: str, wait_s: float = 0.0) -> Fields:
        """Fetch a JSON object with a GET request.

        :param path: path and query of the request.
        :param wait_s: time in seconds that the service is allowed to hold the response.
        :return: the fields of the response.
        """
        return await self._request("GET", path, None, wait_s)

    async def _request(
        self, method: str, path: str, content: bytes | None, wait_s: float
    ) -> Fields:
        """Send one request; ``ran`` of its error states whether it may have taken effect."""
        timeout = httpx.Timeout(
            self._client_timeout_s + wait_s,
            connect=min(CONNECT_TIMEOUT_S, self._client_timeout_s),
        )
        try:
            response = await self._client.request(method, path, content=content, timeout=timeout)
        except NOT_SENT_ERRORS as error:
            raise ExchangeError(f"not sent: {error!r}") from error
        except httpx.HTTPError as error:
            raise ExchangeError(f"no response: {error!r}", ran=errors.Ran.UNKNOWN) from error
        fields = _decode(response.content)
        if response.is_success:
            return fields
        raise _error_of(response.status_code, fields)


def _decode(content: bytes) -> Fields:
    """Return the fields of a response; one that is not a JSON object has none."""
    try:
        values = json.loads(content)
    except ValueError:
        return Fields({})
    if not isinstance(values, dict):
        return Fields({})
    return Fields(values)


def _error_of(status: int, fields: Fields) -> ExchangeError:
    """Return the error of an unsuccessful response.

    ``ran`` is ``no`` only if the service reports it.
    """
    try:
        ran = errors.Ran(fields.text("ran"))
        detail = fields.text("detail")
    except (ExchangeError, ValueError):
        return ExchangeError(f"status {status}", ran=errors.Ran.UNKNOWN)
    return ExchangeError(f"status {status}: {detail}", ran=ran)
