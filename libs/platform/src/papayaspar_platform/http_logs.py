"""HTTP client of the log service."""

import base64
import binascii
import urllib.parse

from papayaspar_model import errors
from papayaspar_platform import exchanges, logs

CLIENT_TIMEOUT_S = 2.0


class HttpLog(logs.Log):
    """HTTP client of the log service.

    :param address: ``ip:port`` of the service.
    :param client_timeout_s: timeout of a request in seconds, on top of the wait time of a read.
    """

    def __init__(self, address: str, client_timeout_s: float = CLIENT_TIMEOUT_S) -> None:
        self._client = exchanges.JsonClient(address, client_timeout_s)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def append(self, stream: str, records: tuple[bytes, ...]) -> int:
        """Append records in one batch; see :class:`papayaspar_platform.logs.Log`."""
        encoded = [base64.b64encode(record).decode("ascii") for record in records]
        try:
            fields = await self._client.post(_path(stream), {"records": encoded})
            return int(fields.number("offset"))
        except exchanges.ExchangeError as error:
            raise errors.LogUnavailableError(error.detail, ran=error.ran) from error

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> logs.Page:
        """Read records from an offset on; see :class:`papayaspar_platform.logs.Log`."""
        path = f"{_path(stream)}?offset={offset}&wait_s={wait_s}"
        try:
            fields = await self._client.get(path, wait_s)
            return _page(fields)
        except exchanges.ExchangeError as error:
            raise errors.LogUnavailableError(error.detail) from error


def _path(stream: str) -> str:
    """Return the path of a stream's records."""
    return f"/streams/{urllib.parse.quote(stream, safe='')}/records"


def _page(fields: exchanges.Fields) -> logs.Page:
    """Decode the page of a response."""
    encoded = fields.texts("records")
    next_offset = int(fields.number("next_offset"))
    offset = next_offset - len(encoded)
    records: list[logs.Record] = []
    for text in encoded:
        try:
            records.append(logs.Record(offset, base64.b64decode(text, validate=True)))
        except binascii.Error:
            raise exchanges.ExchangeError("a record is not base64", field="records") from None
        offset += 1
    return logs.Page(int(fields.number("first_offset")), next_offset, tuple(records))
