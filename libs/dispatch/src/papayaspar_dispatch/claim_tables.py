"""The shards of the idempotency keys that one agent owns."""

import collections
import operator

from papayaspar_dispatch import claim_shards, claims, shard_chains, shards
from papayaspar_model import clock


class ClaimTable:
    """The claims of one incarnation of an agent.

    :param worker: name of the agent's worker.
    :param incarnation: incarnation of the agent.
    :param clock_source: the machine's clock.
    :param limits: memory limits over all shards.
    """

    def __init__(
        self,
        worker: str,
        incarnation: int,
        clock_source: clock.Clock | None = None,
        limits: claims.ClaimLimits | None = None,
    ) -> None:
        self.usage = claims.ClaimUsage()
        self.verdicts: collections.Counter[claims.Verdict] = collections.Counter()
        self._worker = worker
        self._incarnation = incarnation
        self._clock = clock_source or clock.BootClock()
        self._limits = limits or claims.ClaimLimits()
        self._link: shard_chains.ChainLink | None = None
        self._claim_shards: dict[int, claim_shards.ClaimShard] = {}

    @property
    def revision(self) -> int:
        """Revision of the shard map in force, 0 before the first map."""
        return 0 if self._link is None else self._link.shard_map.revision

    @property
    def link(self) -> shard_chains.ChainLink | None:
        """The shard map in force, for entries that start after the log has trimmed it."""
        return self._link

    @property
    def owned(self) -> tuple[int, ...]:
        """Numbers of the shards that this agent owns and has not handed over."""
        return tuple(
            shard for shard, claim_shard in self._claim_shards.items() if not claim_shard.is_frozen
        )

    def adopt(self, link: shard_chains.ChainLink) -> None:
        """Put a newer shard map in force; an older one is ignored.

        :param link: head of the chain of an entry that is synchronized.
        """
        current_link = self._link
        if current_link is not None and link.shard_map.revision <= current_link.shard_map.revision:
            if link.shard_map == current_link.shard_map:
                self._link = max(current_link, link, key=operator.attrgetter("through_offset"))
            return
        self._link = link
        for shard, owner in enumerate(link.shard_map.owners):
            claim_shard = self._claim_shards.get(shard)
            if not self._is_own_incarnation(owner):
                self._close(shard)
                continue
            if claim_shard is not None and claim_shard.epoch == owner.epoch:
                continue
            self._open(shard, owner, claim_shard)

    def claim(self, claim: claims.Claim, map_revision: int) -> claims.ClaimAnswer:
        """Decide on a claim.

        :param claim: the claim.
        :param map_revision: revision of the shard map from which the entry chose this agent.
        :return: the decision.
        :raises papayaspar_model.errors.OverloadedError: if the claim does not fit into the
            memory limits; the request did not run.
        """
        answer = self._decide(claim, map_revision)
        self.verdicts[answer.verdict] += 1
        return answer

    def settle(self, claim: claims.Claim, answer: bytes | None) -> bool:
        """Record the result of a granted request.

        :param claim: the granted claim.
        :param answer: answer of the request, or ``None`` if it may have run without an answer.
        :return: whether the result was recorded; if not, send it to the next owner.
        """
        claim_shard = self._find_owned_shard(claim)
        return claim_shard is not None and claim_shard.settle(claim, answer)

    def release(self, claim: claims.Claim) -> bool:
        """Remove a claim whose request did not run and never will.

        :param claim: the granted claim.
        :return: whether the key may be claimed again.
        """
        claim_shard = self._find_owned_shard(claim)
        return claim_shard is not None and claim_shard.release(claim)

    def hand_over(
        self, shard_numbers: tuple[int, ...] | None = None
    ) -> tuple[claims.ShardExport, ...]:
        """Permanently stop granting claims, before another owner is proposed.

        :param shard_numbers: numbers of the shards, or ``None`` for all.
        :return: claims of the shards, for the next owners.
        """
        exports: list[claims.ShardExport] = []
        for shard in sorted(self._claim_shards):
            if shard_numbers is not None and shard not in shard_numbers:
                continue
            exports.append(self._claim_shards[shard].export(shard))
        return tuple(exports)

    def take_over(self, export: claims.ShardExport) -> bool:
        """Import the claims of a shard's previous owner.

        :param export: claims of the previous owner when it stopped granting.
        :return: whether they were imported.
        """
        claim_shard = self._claim_shards.get(export.shard)
        return claim_shard is not None and claim_shard.take_over(export)

    def _decide(self, claim: claims.Claim, map_revision: int) -> claims.ClaimAnswer:
        """Decide on a claim."""
        if map_revision > self.revision:
            return claims.ClaimAnswer(claims.Verdict.FROZEN)
        claim_shard = self._find_owned_shard(claim)
        if claim_shard is None:
            return claims.ClaimAnswer(claims.Verdict.NOT_OWNER)
        if self.usage.claims >= self._limits.claims_max:
            self._remove_expired()
        return claim_shard.claim(claim)

    def _find_owned_shard(self, claim: claims.Claim) -> claim_shards.ClaimShard | None:
        """Return the shard of a claim, or ``None`` if this agent does not own it."""
        if self._link is None:
            return None
        count = len(self._link.shard_map.owners)
        shard = shards.shard_of(claim.team, claim.key, count)
        return self._claim_shards.get(shard)

    def _remove_expired(self) -> None:
        """Remove, from all shards, the keys whose retry horizon has passed."""
        for claim_shard in self._claim_shards.values():
            claim_shard.remove_expired()

    def _is_own_incarnation(self, owner: shards.ShardOwner) -> bool:
        """Return whether an owner is this incarnation of this agent."""
        return (owner.worker, owner.incarnation) == (self._worker, self._incarnation)

    def _open(
        self, shard: int, owner: shards.ShardOwner, previous_shard: claim_shards.ClaimShard | None
    ) -> None:
        """Open a shard at a new epoch, with its claims if this agent owned the previous epoch."""
        new_shard = claim_shards.ClaimShard(
            owner.epoch,
            owner.previous_epoch,
            self._clock,
            self.usage,
            self._limits,
            is_first_owner=owner.epoch == shards.FIRST_EPOCH,
        )
        self._claim_shards[shard] = new_shard
        if previous_shard is None:
            return
        export = previous_shard.export(shard)
        previous_shard.close()
        new_shard.take_over(export)

    def _close(self, shard: int) -> None:
        """Remove a shard that was assigned to another owner."""
        claim_shard = self._claim_shards.pop(shard, None)
        if claim_shard is not None:
            claim_shard.close()
