"""The answer to a request, and the progress of its dispatch."""

import attrs


@attrs.frozen
class Answer:
    """The complete answer of the target that ran a request.

    :param request_id: identifier of the request.
    :param worker: name of the worker that ran the request.
    :param attempts: number of attempts sent.
    :param status: HTTP status that the target returned.
    :param body: complete body that the target returned.
    """

    request_id: str
    worker: str
    attempts: int
    status: int
    body: bytes


@attrs.define
class Progress:
    """Progress of a request; it determines the outcome recorded when the request is cancelled.

    :param is_sent: whether the request may have reached a worker.
    """

    is_sent: bool = False
