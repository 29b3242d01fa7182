"""Matches answers to requests, each of which answers once."""

from typing import Generic, TypeVar

import anyio
import attrs

T = TypeVar("T")


@attrs.define
class AnswerCounts:
    """Answers that reached nobody.

    :param late: answers of requests that are closed, or of attempts that were given up.
    :param duplicate: answers of an open request that had its answer.
    """

    late: int = 0
    duplicate: int = 0


@attrs.define
class Expected(Generic[T]):
    """A request that waits for its answer.

    :param request_id: the request.
    :param attempts: numbers of the attempts whose answers count.
    """

    request_id: str
    attempts: set[int] = attrs.field(factory=set)
    _answers: list[T] = attrs.field(factory=list)
    _arrived: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def is_answered(self) -> bool:
        """Whether the answer is here."""
        return self._arrived.is_set()

    def take(self, answer: T) -> None:
        """Keep the one answer."""
        self._answers.append(answer)
        self._arrived.set()

    async def wait(self) -> T:
        """Return the answer once it is here."""
        await self._arrived.wait()
        return self._answers[0]


class AnswerBook(Generic[T]):
    """The requests of one process that wait for answers."""

    def __init__(self) -> None:
        self.counts = AnswerCounts()
        self._expected: dict[str, Expected[T]] = {}

    def __len__(self) -> int:
        """Return how many requests are open."""
        return len(self._expected)

    def expect(self, request_id: str, attempt: int) -> Expected[T]:
        """Open a request, or another attempt of an open one.

        :param request_id: the request.
        :param attempt: number of the attempt.
        :return: where its answer arrives.
        """
        expected = self._expected.setdefault(request_id, Expected(request_id))
        expected.attempts.add(attempt)
        return expected

    def give_up(self, request_id: str, attempt: int) -> None:
        """Drop the answer of an attempt from now on.

        :param request_id: the request.
        :param attempt: number of the attempt.
        """
        expected = self._expected.get(request_id)
        if expected is not None:
            expected.attempts.discard(attempt)

    def close(self, request_id: str) -> None:
        """Forget a request that was answered or refused.

        :param request_id: the request.
        """
        self._expected.pop(request_id, None)

    def deliver(self, request_id: str, attempt: int, answer: T) -> bool:
        """Bring an answer.

        :param request_id: the request it names.
        :param attempt: the attempt it names.
        :param answer: the whole answer.
        :return: whether somebody waited for it; else it is counted and dropped.
        """
        expected = self._expected.get(request_id)
        if expected is None:
            self.counts.late += 1
            return False
        if expected.is_answered:
            self.counts.duplicate += 1
            return False
        if attempt not in expected.attempts:
            self.counts.late += 1
            return False
        expected.take(answer)
        return True
