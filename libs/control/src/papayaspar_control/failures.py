"""Errors of the operator's client."""

from papayaspar_model import errors


class UnreachableError(errors.UnavailableError):
    """The connection to the entry failed, so no request was sent."""

    code = "unreachable"
    title = "The entry is not reachable"


class AnswerLostError(errors.UnavailableError):
    """A request was sent, but its response did not arrive completely."""

    code = "answer_lost"
    title = "The answer was lost"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, ran=errors.Ran.UNKNOWN)


class BrokenAnswerError(errors.PapayasparError):
    """The entry sent a response that this version can't decode."""

    code = "broken_answer"
    title = "The answer is not understood"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, ran=errors.Ran.UNKNOWN)


class RefusedError(errors.PapayasparError):
    """The entry rejected the request.

    :param code: error code of the entry.
    :param detail: description, one sentence.
    :param ran: whether the request may have taken effect.
    :param field: name of the faulty field, or ``None``.
    """

    def __init__(self, code: str, detail: str, ran: errors.Ran, field: str | None) -> None:
        super().__init__(detail, field=field, ran=ran)
        self.code = code


class EntryUnavailableError(errors.UnavailableError):
    """The entry can't process the request now.

    :param code: error code of the entry.
    :param detail: description, one sentence.
    :param ran: whether the request may have taken effect.
    """

    def __init__(self, code: str, detail: str, ran: errors.Ran) -> None:
        super().__init__(detail, ran=ran)
        self.code = code


class UnreadableFileError(errors.PapayasparError):
    """A file named on the command line can't be read."""

    code = "file_unreadable"
    title = "The file can't be read"
