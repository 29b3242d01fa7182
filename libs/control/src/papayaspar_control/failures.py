"""Errors that an operator's command can end with."""

from papayaspar_model import errors


class UnreachableError(errors.UnavailableError):
    """Nobody listens at the entry's address; nothing was asked."""

    code = "unreachable"
    title = "The entry is not reachable"


class AnswerLostError(errors.UnavailableError):
    """The entry was asked, but its answer did not arrive whole."""

    code = "answer_lost"
    title = "The answer was lost"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, ran=errors.Ran.UNKNOWN)


class BrokenAnswerError(errors.PapayasparError):
    """The entry answered something that this version does not understand."""

    code = "broken_answer"
    title = "The answer is not understood"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, ran=errors.Ran.UNKNOWN)


class RefusedError(errors.PapayasparError):
    """The entry refused.

    :param code: the entry's code for it.
    :param detail: one sentence.
    :param ran: whether it may have taken effect.
    :param field: field at fault, or ``None``.
    """

    def __init__(self, code: str, detail: str, ran: errors.Ran, field: str | None) -> None:
        super().__init__(detail, field=field, ran=ran)
        self.code = code


class EntryUnavailableError(errors.UnavailableError):
    """The entry can't do it now.

    :param code: the entry's code for it.
    :param detail: one sentence.
    :param ran: whether it may have taken effect.
    """

    def __init__(self, code: str, detail: str, ran: errors.Ran) -> None:
        super().__init__(detail, ran=ran)
        self.code = code


class UnreadableFileError(errors.PapayasparError):
    """A file named on the command line can't be read."""

    code = "file_unreadable"
    title = "The file can't be read"
