"""One HTTP exchange with a service of the platform, and what its failure says."""

import json

import httpx

from papayaspar_model import errors

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
CONNECT_TIMEOUT_S = 1.0


class ExchangeError(errors.PapayasparError):
    """An exchange failed; ``ran`` says whether it may have taken effect."""

    code = "platform_unavailable"
    status = 503
    title = "The platform did not answer"


class Fields:
    """The fields of a JSON answer, read by type.

    :param values: the decoded object.
    """

    def __init__(self, values: dict[str, object]) -> None:
        self._values = values

    def number(self, name: str) -> float:
        """Return a number; a missing one is a broken answer."""
        value = self._values.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ExchangeError(f"the answer lacks {name}", field=name, ran=errors.Ran.UNKNOWN)
        return float(value)

    def text(self, name: str) -> str:
        """Return a text; a missing one is a broken answer."""
        value = self._values.get(name)
        if not isinstance(value, str):
            raise ExchangeError(f"the answer lacks {name}", field=name, ran=errors.Ran.UNKNOWN)
        return value

    def texts(self, name: str) -> list[str]:
        """Return a list of texts; a missing one is a broken answer."""
        value = self._values.get(name)
        if not isinstance(value, list):
            raise ExchangeError(f"the answer lacks {name}", field=name, ran=errors.Ran.UNKNOWN)
        return [str(item) for item in value]


class Exchanger:
    """Sends JSON to one service and reads its JSON answers.

    :param address: ``ip:port`` of the service.
    :param client_timeout_s: longest wait for an answer, above any wait asked of the service.
    """

    def __init__(self, address: str, client_timeout_s: float) -> None:
        self._client_timeout_s = client_timeout_s
        self._client = httpx.AsyncClient(base_url=f"http://{address}", trust_env=False)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def post(self, path: str, body: dict[str, object]) -> Fields:
        """Send a JSON object.

        :param path: path of the service.
        :param body: the object.
        :return: the fields of the answer.
        """
        content = json.dumps(body).encode()
        return await self._exchange("POST", path, content, 0.0)

    async def get(self, path: str, wait_s: float = 0.0) -> Fields:
        """Ask for a JSON object.

        :param path: path and query of the service.
        :param wait_s: how long the service may hold the answer back.
        :return: the fields of the answer.
        """
        return await self._exchange("GET", path, None, wait_s)

    async def _exchange(
        self, method: str, path: str, content: bytes | None, wait_s: float
    ) -> Fields:
        """Make one exchange, whose failures carry the right ``ran``."""
        timeout = httpx.Timeout(
            self._client_timeout_s + wait_s,
            connect=min(CONNECT_TIMEOUT_S, self._client_timeout_s),
        )
        try:
            answer = await self._client.request(method, path, content=content, timeout=timeout)
        except NOT_SENT_ERRORS as error:
            raise ExchangeError(f"not sent: {error!r}") from error
        except httpx.HTTPError as error:
            raise ExchangeError(f"no answer: {error!r}", ran=errors.Ran.UNKNOWN) from error
        fields = _decode(answer.content)
        if answer.is_success:
            return fields
        raise _refusal(answer.status_code, fields)


def _decode(content: bytes) -> Fields:
    """Return the object of an answer; anything else has no fields."""
    try:
        values = json.loads(content)
    except ValueError:
        return Fields({})
    if not isinstance(values, dict):
        return Fields({})
    return Fields(values)


def _refusal(status: int, fields: Fields) -> ExchangeError:
    """Return the error of an answer that is not a success.

    Only the service's own word makes it ``ran: no``.
    """
    try:
        ran = errors.Ran(fields.text("ran"))
        detail = fields.text("detail")
    except (ExchangeError, ValueError):
        return ExchangeError(f"answered {status}", ran=errors.Ran.UNKNOWN)
    return ExchangeError(f"answered {status}: {detail}", ran=ran)
