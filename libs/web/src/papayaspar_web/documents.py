"""JSON responses from typed documents."""

import json

import attrs
from starlette import responses

from papayaspar_model import errors

OK_STATUS = 200
JSON_TYPE = "application/json"


def respond(
    document: attrs.AttrsInstance,
    status: int = OK_STATUS,
    ran: errors.Ran | None = None,
    media_type: str = JSON_TYPE,
) -> responses.Response:
    """Return a response whose body is a document; fields that are ``None`` are omitted.

    :param document: ``attrs`` instance to encode.
    :param status: HTTP status.
    :param ran: value of the ``Papayaspar-Ran`` header, or ``None`` for no header.
    :param media_type: media type of the body.
    """
    fields = attrs.asdict(document, filter=lambda _, value: value is not None)
    headers = {"papayaspar-ran": ran.value} if ran is not None else None
    return responses.Response(
        json.dumps(fields), status_code=status, headers=headers, media_type=media_type
    )
