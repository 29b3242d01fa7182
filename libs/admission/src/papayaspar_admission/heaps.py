"""A heap whose entries are found by key, so that any of them can move or leave."""

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

KeyT = TypeVar("KeyT", bound=Hashable)
SLACK_ENTRIES = 16


@attrs.define
class KeyedHeap(Generic[KeyT]):
    """Keys by rank, least first; equal ranks leave in the order in which they came.

    Each operation takes O(log n), amortised: an entry that moved is skipped later, and the
    heap is rebuilt once more than half of it is stale.
    """

    _heap: list[tuple[tuple[float, ...], int, KeyT]] = attrs.field(factory=list, init=False)
    _current: dict[KeyT, tuple[tuple[float, ...], int, KeyT]] = attrs.field(
        factory=dict, init=False
    )
    _serial: int = attrs.field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._current)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._current

    def put(self, key: KeyT, *rank: float) -> None:
        """Add a key, or move it to another rank.

        :param key: the key.
        :param rank: numbers that are compared from the first to the last.
        """
        known = self._current.get(key)
        if known is not None and known[0] == rank:
            return
        self._serial += 1
        entry = (rank, self._serial, key)
        self._current[key] = entry
        heapq.heappush(self._heap, entry)
        self._compact()

    def discard(self, key: KeyT) -> None:
        """Remove a key, if it is there."""
        self._current.pop(key, None)
        self._compact()

    def peek(self) -> KeyT | None:
        """Return the key of least rank, or ``None``."""
        while self._heap:
            _, _, key = self._heap[0]
            if self._current.get(key) is self._heap[0]:
                return key
            heapq.heappop(self._heap)
        return None

    def rank_of(self, key: KeyT) -> float:
        """Return the first number of a key's rank.

        :param key: a key that is there.
        """
        return self._current[key][0][0]

    def _compact(self) -> None:
        if len(self._heap) <= 2 * len(self._current) + SLACK_ENTRIES:
            return
        self._heap = list(self._current.values())
        heapq.heapify(self._heap)
