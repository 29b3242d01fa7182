"""What one process knows of the chain of shard maps."""

import collections

import attrs

from papayaspar_dispatch import shard_records, shards

UNPLACED_RECORDS_MAX = 256
FIRST_OFFSET = 0


@attrs.frozen
class ChainLink:
    """A map that is known to be in the chain.

    :param shard_map: the map.
    :param through_offset: it is the head of all records before this offset.
    """

    shard_map: shards.ShardMap
    through_offset: int


@attrs.frozen
class _Unplaced:
    """A record that can't be judged yet."""

    offset: int
    shard_map: shards.ShardMap


class ShardChain:
    """Follows the maps on the log; every reader accepts the same ones.

    A reader that starts on a trimmed log, or that lost records, is unsettled: a proposal that
    lost its race looks like the winner to someone who did not see the winner. It holds records
    back until a restated map or a settled peer gives it a link that covers what it lost.
    """

    def __init__(self) -> None:
        self._head: shards.ShardMap | None = None
        self._is_settled = False
        self._unbroken_from = FIRST_OFFSET
        self._through_offset = FIRST_OFFSET
        self._unplaced: collections.deque[_Unplaced] = collections.deque()

    @property
    def link(self) -> ChainLink | None:
        """The head to act on and to pass to peers, or ``None`` while unsettled."""
        if self._head is None or not self._is_settled:
            return None
        return ChainLink(self._head, self._through_offset)

    @property
    def head(self) -> shards.ShardMap | None:
        """The newest map known, which may be out of date while unsettled."""
        return self._head

    def observe(self, offset: int, data: bytes) -> shards.ShardMap | None:
        """Take a record of the log, in order.

        :param offset: its offset.
        :param data: its bytes; a malformed record is ignored by every reader alike.
        :return: the new head, if this record changed it.
        """
        before = self._head
        try:
            self._place(offset, shard_records.decode(data))
        except shards.ShardMapError:
            # Every reader passes the same bytes over, so all chains stay alike.
            pass
        self._through_offset = max(self._through_offset, offset + 1)
        return self._head if self._head != before else None

    def observe_gap(self, first_offset: int) -> None:
        """Note that records were trimmed before they were read.

        :param first_offset: offset of the oldest record that is left.
        """
        self._is_settled = False
        self._unbroken_from = first_offset
        self._unplaced.clear()

    def adopt(self, link: ChainLink) -> shards.ShardMap | None:
        """Take the head of a settled peer.

        :param link: the peer's head.
        :return: the new head, if it is newer than the one known.
        """
        before = self._head
        self._take_link(link)
        return self._head if self._head != before else None

    def restatement(self) -> shards.ShardMap | None:
        """Return the record that repeats the head, or ``None`` while unsettled."""
        link = self.link
        if link is None:
            return None
        return attrs.evolve(link.shard_map, restated_through=link.through_offset)

    def _place(self, offset: int, read: shards.ShardMap) -> None:
        """Judge one record."""
        if read.restated_through is not None:
            accepted = attrs.evolve(read, restated_through=None)
            self._take_link(ChainLink(accepted, read.restated_through))
            return
        if not read.parent_id:
            self._take_founding(offset, read)
            return
        if self._is_settled:
            self._follow(read)
            return
        self._unplaced.append(_Unplaced(offset, read))
        if len(self._unplaced) > UNPLACED_RECORDS_MAX:
            self._unbroken_from = self._unplaced.popleft().offset + 1

    def _take_founding(self, offset: int, read: shards.ShardMap) -> None:
        """Take the first map of all, or one that an operator founded anew."""
        if not read.founded_by:
            is_first = offset == FIRST_OFFSET and read.revision == shards.FIRST_EPOCH
            if is_first and self._head is None:
                self._settle(read, offset)
            return
        if read.revision <= shards.FIRST_EPOCH:
            return
        if self._head is None or read.revision > self._head.revision:
            self._settle(read, offset)

    def _take_link(self, link: ChainLink) -> None:
        """Take a map that is known to be in the chain."""
        if self._head is not None and link.shard_map.revision < self._head.revision:
            return
        if self._is_settled:
            self._head = link.shard_map
            self._through_offset = max(self._through_offset, link.through_offset)
            return
        if link.through_offset >= self._unbroken_from:
            self._settle(link.shard_map, link.through_offset)

    def _settle(self, head: shards.ShardMap, through_offset: int) -> None:
        """Go on from a link, through what was held back after it."""
        self._head = head
        self._is_settled = True
        self._through_offset = max(self._through_offset, through_offset)
        held_back = list(self._unplaced)
        self._unplaced.clear()
        for unplaced in held_back:
            if unplaced.offset >= through_offset:
                self._follow(unplaced.shard_map)

    def _follow(self, read: shards.ShardMap) -> None:
        """Take a child of the head; anything else changes nothing."""
        if self._head is None:
            return
        try:
            shards.check_child(self._head, read)
        except shards.ShardMapError:
            return
        self._head = read
