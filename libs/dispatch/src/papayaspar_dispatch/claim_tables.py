"""All shards of idempotency keys that one agent owns."""

import collections
import operator

from papayaspar_dispatch import claim_shards, claims, shard_chains, shards
from papayaspar_model import clock


class ClaimTable:
    """The claims of one incarnation of an agent.

    :param worker: name of the agent's worker.
    :param incarnation: life of the agent.
    :param source: the machine's clock.
    :param limits: bounds on memory over all shards.
    """

    def __init__(
        self,
        worker: str,
        incarnation: int,
        source: clock.Clock | None = None,
        limits: claims.ClaimLimits | None = None,
    ) -> None:
        self.use = claims.ClaimUse()
        self.verdicts: collections.Counter[claims.Verdict] = collections.Counter()
        self._worker = worker
        self._incarnation = incarnation
        self._clock = source or clock.BootClock()
        self._limits = limits or claims.ClaimLimits()
        self._link: shard_chains.ChainLink | None = None
        self._owned: dict[int, claim_shards.ClaimShard] = {}

    @property
    def revision(self) -> int:
        """Revision of the map in force here, 0 before the first."""
        return 0 if self._link is None else self._link.shard_map.revision

    @property
    def link(self) -> shard_chains.ChainLink | None:
        """The map in force here, for entries that start after the log has forgotten it."""
        return self._link

    @property
    def owned(self) -> tuple[int, ...]:
        """Numbers of the shards that are owned here and not surrendered."""
        return tuple(shard for shard, held in self._owned.items() if not held.is_frozen)

    def adopt(self, link: shard_chains.ChainLink) -> None:
        """Take a newer map; older ones change nothing.

        :param link: the head of an entry whose chain is settled.
        """
        known = self._link
        if known is not None and link.shard_map.revision <= known.shard_map.revision:
            if link.shard_map == known.shard_map:
                self._link = max(known, link, key=operator.attrgetter("through_offset"))
            return
        self._link = link
        for shard, owner in enumerate(link.shard_map.owners):
            held = self._owned.get(shard)
            if not self._is_mine(owner):
                self._close(shard)
                continue
            if held is not None and held.epoch == owner.epoch:
                continue
            self._open(shard, owner, held)

    def claim(self, wanted: claims.Claim, map_revision: int) -> claims.ClaimAnswer:
        """Decide on a claim.

        :param wanted: the claim.
        :param map_revision: revision of the map by which the entry chose this agent.
        :return: the decision.
        :raises papayaspar_model.errors.OverloadedError: when no more keys fit; nothing ran.
        """
        answer = self._decide(wanted, map_revision)
        self.verdicts[answer.verdict] += 1
        return answer

    def settle(self, wanted: claims.Claim, answer: bytes | None) -> bool:
        """Keep how a granted request ended.

        :param wanted: the claim that was granted.
        :param answer: its answer, or ``None`` when it may have run without one.
        :return: whether this owner took note; else the next owner should be told.
        """
        held = self._shard_of(wanted)
        return held is not None and held.settle(wanted, answer)

    def release(self, wanted: claims.Claim) -> bool:
        """Give back a claim whose request definitively did not run, and never will.

        :param wanted: the claim that was granted.
        :return: whether the key may run again.
        """
        held = self._shard_of(wanted)
        return held is not None and held.release(wanted)

    def surrender(self, which: tuple[int, ...] | None = None) -> tuple[claims.ShardExport, ...]:
        """Stop granting for good, before another owner is proposed.

        :param which: the shards, or ``None`` for all.
        :return: their memory, for the next owners.
        """
        exports: list[claims.ShardExport] = []
        for shard in sorted(self._owned):
            if which is not None and shard not in which:
                continue
            exports.append(self._owned[shard].export(shard))
        return tuple(exports)

    def take_over(self, export: claims.ShardExport) -> bool:
        """Take the memory of a shard's owner before.

        :param export: what that owner remembered when it stopped granting.
        :return: whether it was taken.
        """
        held = self._owned.get(export.shard)
        return held is not None and held.take_over(export)

    def _decide(self, wanted: claims.Claim, map_revision: int) -> claims.ClaimAnswer:
        """Decide on a claim."""
        if map_revision > self.revision:
            return claims.ClaimAnswer(claims.Verdict.FROZEN)
        held = self._shard_of(wanted)
        if held is None:
            return claims.ClaimAnswer(claims.Verdict.NOT_OWNER)
        if self.use.claims >= self._limits.claims_max:
            self._forget_old()
        return held.claim(wanted)

    def _shard_of(self, wanted: claims.Claim) -> claim_shards.ClaimShard | None:
        """Return the shard of a claim, if it is owned here."""
        if self._link is None:
            return None
        count = len(self._link.shard_map.owners)
        shard = shards.shard_of(wanted.team, wanted.key, count)
        return self._owned.get(shard)

    def _forget_old(self) -> None:
        """Forget, in all shards, the keys whose horizon is over."""
        for held in self._owned.values():
            held.forget_old()

    def _is_mine(self, owner: shards.ShardOwner) -> bool:
        """Return whether an owner is this life of this agent."""
        return (owner.worker, owner.incarnation) == (self._worker, self._incarnation)

    def _open(
        self, shard: int, owner: shards.ShardOwner, held: claim_shards.ClaimShard | None
    ) -> None:
        """Own a shard at a new epoch, with the memory of the epoch before if it was here."""
        opened = claim_shards.ClaimShard(
            owner.epoch,
            owner.previous_epoch,
            self._clock,
            self.use,
            self._limits,
            starts_clean=owner.epoch == shards.FIRST_EPOCH,
        )
        self._owned[shard] = opened
        if held is None:
            return
        export = held.export(shard)
        held.close()
        opened.take_over(export)

    def _close(self, shard: int) -> None:
        """Give up a shard that has another owner."""
        held = self._owned.pop(shard, None)
        if held is not None:
            held.close()
