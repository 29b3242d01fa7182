"""The chain of shard maps, as one process reads it from the log."""

import collections

import attrs

from papayaspar_dispatch import shard_records, shards

DEFERRED_RECORDS_MAX = 256
FIRST_OFFSET = 0


@attrs.frozen
class ChainLink:
    """A shard map that is known to be in the chain.

    :param shard_map: the map.
    :param through_offset: log offset; the map is the head after all records before it.
    """

    shard_map: shards.ShardMap
    through_offset: int


@attrs.frozen
class _DeferredRecord:
    """A record that waits for the map that precedes it in the chain."""

    offset: int
    shard_map: shards.ShardMap


class ShardChain:
    """Accepts shard maps from the log; all readers accept the same maps.

    A reader that starts on a trimmed log, or that missed records, is not synchronized: without the
    record of the accepted map it would accept a proposal that was rejected. It defers records
    until a restated map or a synchronized peer supplies a link that covers the missed records.
    """

    def __init__(self) -> None:
        self._head: shards.ShardMap | None = None
        self._is_synchronized = False
        self._complete_from_offset = FIRST_OFFSET
        self._through_offset = FIRST_OFFSET
        self._deferred: collections.deque[_DeferredRecord] = collections.deque()

    @property
    def link(self) -> ChainLink | None:
        """The head to apply and to send to peers, or ``None`` while not synchronized."""
        if self._head is None or not self._is_synchronized:
            return None
        return ChainLink(self._head, self._through_offset)

    @property
    def head(self) -> shards.ShardMap | None:
        """The newest known map, which may be outdated while not synchronized."""
        return self._head

    def observe(self, offset: int, data: bytes) -> shards.ShardMap | None:
        """Apply a record of the log; records are applied in order.

        :param offset: offset of the record.
        :param data: bytes of the record; every reader ignores a malformed one.
        :return: the new head, or ``None`` if the record did not change it.
        """
        previous_head = self._head
        try:
            self._apply_record(offset, shard_records.decode(data))
        except shards.ShardMapError:
            # Every reader ignores the same bytes, so all chains stay identical.
            pass
        self._through_offset = max(self._through_offset, offset + 1)
        return self._head if self._head != previous_head else None

    def observe_gap(self, first_offset: int) -> None:
        """Record that log records were trimmed before they were read.

        :param first_offset: offset of the oldest record that is still on the log.
        """
        self._is_synchronized = False
        self._complete_from_offset = first_offset
        self._deferred.clear()

    def adopt(self, link: ChainLink) -> shards.ShardMap | None:
        """Apply the head of a synchronized peer.

        :param link: the peer's head.
        :return: the new head, or ``None`` if it did not change.
        """
        previous_head = self._head
        self._apply_link(link)
        return self._head if self._head != previous_head else None

    def restated_head(self) -> shards.ShardMap | None:
        """Return the head as a restated map, or ``None`` while not synchronized.

        It is appended to the log before retention trims the original record.
        """
        link = self.link
        if link is None:
            return None
        return attrs.evolve(link.shard_map, restated_through=link.through_offset)

    def _apply_record(self, offset: int, shard_map: shards.ShardMap) -> None:
        """Apply one record, or defer it while not synchronized."""
        if shard_map.restated_through is not None:
            accepted = attrs.evolve(shard_map, restated_through=None)
            self._apply_link(ChainLink(accepted, shard_map.restated_through))
            return
        if not shard_map.parent_id:
            self._apply_initial_map(offset, shard_map)
            return
        if self._is_synchronized:
            self._apply_child(shard_map)
            return
        self._deferred.append(_DeferredRecord(offset, shard_map))
        if len(self._deferred) > DEFERRED_RECORDS_MAX:
            self._complete_from_offset = self._deferred.popleft().offset + 1

    def _apply_initial_map(self, offset: int, shard_map: shards.ShardMap) -> None:
        """Apply the first map of the log, or an initial map that an operator proposed later."""
        if not shard_map.founded_by:
            is_first = offset == FIRST_OFFSET and shard_map.revision == shards.FIRST_EPOCH
            if is_first and self._head is None:
                self._synchronize(shard_map, offset)
            return
        if shard_map.revision <= shards.FIRST_EPOCH:
            return
        if self._head is None or shard_map.revision > self._head.revision:
            self._synchronize(shard_map, offset)

    def _apply_link(self, link: ChainLink) -> None:
        """Apply a map that is known to be in the chain."""
        if self._head is not None and link.shard_map.revision < self._head.revision:
            return
        if self._is_synchronized:
            self._head = link.shard_map
            self._through_offset = max(self._through_offset, link.through_offset)
            return
        if link.through_offset >= self._complete_from_offset:
            self._synchronize(link.shard_map, link.through_offset)

    def _synchronize(self, head: shards.ShardMap, through_offset: int) -> None:
        """Set the head from a known link, then apply the deferred records that follow it."""
        self._head = head
        self._is_synchronized = True
        self._through_offset = max(self._through_offset, through_offset)
        deferred = list(self._deferred)
        self._deferred.clear()
        for record in deferred:
            if record.offset >= through_offset:
                self._apply_child(record.shard_map)

    def _apply_child(self, shard_map: shards.ShardMap) -> None:
        """Apply a valid child of the head; ignore any other map."""
        if self._head is None:
            return
        try:
            shards.check_child(self._head, shard_map)
        except shards.ShardMapError:
            return
        self._head = shard_map
