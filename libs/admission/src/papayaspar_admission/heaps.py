"""A heap with entries addressed by key, so that any entry can be moved or removed."""

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

import attrs

KeyT = TypeVar("KeyT", bound=Hashable)
SLACK_ENTRIES = 16  # stale entries that don't cause a rebuild, for small heaps


@attrs.define
class KeyedHeap(Generic[KeyT]):
    """Keys ordered by rank, smallest first; keys of equal rank are in order of insertion.

    Each operation takes O(log n), amortised: the old entry of a moved or removed key stays in the
    heap until it is skipped, and the heap is rebuilt when more than half of its entries are stale.
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
        """Add a key, or change its rank.

        :param key: the key.
        :param rank: numbers, compared in order.
        """
        current = self._current.get(key)
        if current is not None and current[0] == rank:
            return
        self._serial += 1
        entry = (rank, self._serial, key)
        self._current[key] = entry
        heapq.heappush(self._heap, entry)
        self._compact()

    def discard(self, key: KeyT) -> None:
        """Remove a key if it is present."""
        self._current.pop(key, None)
        self._compact()

    def peek(self) -> KeyT | None:
        """Return the key with the smallest rank, or ``None`` if empty."""
        while self._heap:
            _, _, key = self._heap[0]
            if self._current.get(key) is self._heap[0]:
                return key
            heapq.heappop(self._heap)
        return None

    def rank_of(self, key: KeyT) -> float:
        """Return the first number of a key's rank.

        :param key: a key that is present.
        """
        return self._current[key][0][0]

    def _compact(self) -> None:
        if len(self._heap) <= 2 * len(self._current) + SLACK_ENTRIES:
            return
        self._heap = list(self._current.values())
        heapq.heapify(self._heap)
