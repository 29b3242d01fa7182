"""The one answer to a request."""

import attrs


@attrs.frozen
class Answer:
    """The whole answer of the target that ran a request.

    :param request_id: the request.
    :param worker: worker that ran it.
    :param attempts: attempts sent.
    :param status: HTTP status of the target.
    :param body: the target's body, whole.
    """

    request_id: str
    worker: str
    attempts: int
    status: int
    body: bytes


@attrs.define
class Progress:
    """How far a request came, for whoever has to judge a cancelled one.

    :param is_sent: whether it may have reached a worker.
    """

    is_sent: bool = False
