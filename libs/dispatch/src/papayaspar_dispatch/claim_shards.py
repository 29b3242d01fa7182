"""Deduplication state of one shard of the idempotency keys, at the agent that owns it."""

import collections

from papayaspar_dispatch import claims
from papayaspar_model import clock, errors

OVERLOADED_RETRY_AFTER_S = 5.0


class ClaimShard:
    """Claimed keys of one shard, at its owner.

    A new owner does not have the records of the previous one. Until the retry horizon has passed,
    or until the previous owner's claims are taken over, it refuses each key that the previous
    owner may have granted.

    :param epoch: epoch of this ownership.
    :param previous_epoch: epoch of the previous ownership.
    :param clock_source: the machine's clock.
    :param usage: memory usage, shared by all shards of the agent.
    :param limits: limits of the memory usage.
    :param is_first_owner: whether no previous owner can have granted a key.
    """

    def __init__(
        self,
        epoch: int,
        previous_epoch: int,
        clock_source: clock.Clock,
        usage: claims.ClaimUsage,
        limits: claims.ClaimLimits,
        is_first_owner: bool,
    ) -> None:
        self.epoch = epoch
        self.previous_epoch = previous_epoch
        self.is_frozen = False
        # Keys of the previous owner that were imported, or `None` before the first import.
        self._imported_names: set[str] | None = None
        self._clock = clock_source
        self._usage = usage
        self._limits = limits
        self._records: collections.OrderedDict[str, claims.ClaimRecord] = collections.OrderedDict()
        self._refuse_unseen_until_s = clock_source.now_s()
        self._refuse_sent_before_wall_s = 0.0
        if not is_first_owner:
            self._refuse_unseen_until_s += claims.RETRY_HORIZON_S
            self._refuse_sent_before_wall_s = clock_source.wall_s() + claims.CLOCK_SKEW_MARGIN_S

    def claim(self, claim: claims.Claim) -> claims.ClaimAnswer:
        """Decide on a claim.

        :param claim: the claim.
        :raises papayaspar_model.errors.OverloadedError: if the claim does not fit into the
            memory limits; the request did not run.
        """
        self.remove_expired()
        if self.is_frozen:
            return claims.ClaimAnswer(claims.Verdict.FROZEN)
        qualified_key = _qualified_key(claim.team, claim.key)
        record = self._records.get(qualified_key)
        if record is not None:
            return self._answer_repeated(qualified_key, record, claim)
        if self._may_have_been_granted(claim):
            return claims.ClaimAnswer(claims.Verdict.UNKNOWN)
        self._add_record(qualified_key, claim)
        return claims.ClaimAnswer(claims.Verdict.GRANTED, claim.request_id)

    def settle(self, claim: claims.Claim, answer: bytes | None) -> bool:
        """Record the result of a granted request.

        :param claim: the granted claim; the previous owner may have granted it.
        :param answer: answer of the request, or ``None`` if it may have run without an answer.
        :return: whether the result was recorded; a frozen shard records nothing, and the result
            has to be sent to the next owner.
        :raises papayaspar_model.errors.OverloadedError: if a key without a record does not fit
            into the memory limits.
        """
        if self.is_frozen:
            return False
        qualified_key = _qualified_key(claim.team, claim.key)
        record = self._records.get(qualified_key)
        if record is None:
            record = self._add_record(qualified_key, claim)
        if record.request_id != claim.request_id or record.state is claims.ClaimState.ANSWERED:
            return True
        self._restart_retry_horizon(qualified_key, record)
        if answer is None or not self._has_capacity_for_answer(answer):
            record.state = claims.ClaimState.UNKNOWN
            return True
        record.state = claims.ClaimState.ANSWERED
        record.answer = answer
        self._usage.answer_bytes += len(answer)
        return True

    def release(self, claim: claims.Claim) -> bool:
        """Remove a claim whose request did not run and never will.

        :param claim: the granted claim.
        :return: whether the key may be claimed again.
        """
        qualified_key = _qualified_key(claim.team, claim.key)
        record = self._records.get(qualified_key)
        if record is None or record.request_id != claim.request_id:
            return False
        if record.state is claims.ClaimState.ANSWERED or self.is_frozen:
            return False
        self._remove(qualified_key)
        return True

    def remove_expired(self) -> None:
        """Remove keys whose retry horizon has passed."""
        now_s = self._clock.now_s()
        while self._records:
            qualified_key, record = next(iter(self._records.items()))
            if record.expires_at_s > now_s:
                return
            self._remove(qualified_key)

    def close(self) -> None:
        """Remove all keys, after the shard was assigned to another owner."""
        for qualified_key in list(self._records):
            self._remove(qualified_key)

    def export(self, shard: int) -> claims.ShardExport:
        """Freeze the shard, which grants no further claims, and return its claims.

        :param shard: number of the shard.
        """
        self.is_frozen = True
        now_s = self._clock.now_s()
        exported_claims: list[claims.ExportedClaim] = []
        for qualified_key, record in self._records.items():
            exported_claims.append(
                claims.ExportedClaim(
                    name=qualified_key,
                    digest=record.digest,
                    request_id=record.request_id,
                    deadline_left_s=record.deadline_s - now_s,
                    forget_left_s=record.expires_at_s - now_s,
                    state=record.state,
                    answer=record.answer,
                )
            )
        unseen_left_s = max(0.0, self._refuse_unseen_until_s - now_s)
        return claims.ShardExport(
            shard,
            self.epoch,
            unseen_left_s,
            self._refuse_sent_before_wall_s,
            tuple(exported_claims),
        )

    def take_over(self, export: claims.ShardExport) -> bool:
        """Import the claims of the previous owner, then refuse unseen keys only as long as it did.

        Each key is imported once, since keys that were released here must not come back. A later
        export has new keys only if the previous owner took them over after it had stopped granting.

        :param export: claims of the previous owner when it stopped granting.
        :return: whether they were imported: they must come from the directly preceding owner and
            fit into the memory limits.
        """
        if export.epoch != self.previous_epoch:
            return False
        is_first = self._imported_names is None
        imported = self._imported_names or set()
        added = [claim for claim in export.claims if claim.name not in imported]
        if not self._has_capacity_for_claims(added):
            return False
        self._imported_names = imported.union(claim.name for claim in added)
        now_s = self._clock.now_s()
        for claim in added:
            if claim.name in self._records:
                continue
            record = claims.ClaimRecord(
                digest=claim.digest,
                request_id=claim.request_id,
                deadline_s=now_s + claim.deadline_left_s,
                expires_at_s=now_s + claim.forget_left_s,
                state=claim.state,
                answer=claim.answer,
            )
            if not self._has_capacity_for_answer(record.answer):
                record.state = claims.ClaimState.UNKNOWN
                record.answer = b""
            self._insert(claim.name, record)
        refuse_unseen_until_s = now_s + export.unseen_left_s
        if is_first or refuse_unseen_until_s < self._refuse_unseen_until_s:
            self._refuse_unseen_until_s = refuse_unseen_until_s
            self._refuse_sent_before_wall_s = export.unseen_before_wall_s
        return True

    def _has_capacity_for_claims(self, exported: list[claims.ExportedClaim]) -> bool:
        """Return whether all exported keys that have no record yet fit into the limits."""
        added = [claim.name for claim in exported if claim.name not in self._records]
        added_bytes = sum(map(_size_bytes, added))
        if self._usage.claims + len(added) > self._limits.claims_max:
            return False
        return self._usage.claim_bytes + added_bytes <= self._limits.claim_bytes_max

    def _answer_repeated(
        self, qualified_key: str, record: claims.ClaimRecord, claim: claims.Claim
    ) -> claims.ClaimAnswer:
        """Return the decision on a key that has a record."""
        if record.digest != claim.digest:
            return claims.ClaimAnswer(claims.Verdict.CONFLICT, record.request_id)
        self._restart_retry_horizon(qualified_key, record)
        if record.state is claims.ClaimState.ANSWERED:
            return claims.ClaimAnswer(claims.Verdict.SETTLED, record.request_id, record.answer)
        if record.state is claims.ClaimState.PENDING and self._clock.now_s() >= record.deadline_s:
            record.state = claims.ClaimState.UNKNOWN
        if record.state is claims.ClaimState.UNKNOWN:
            return claims.ClaimAnswer(claims.Verdict.UNKNOWN, record.request_id)
        if record.request_id == claim.request_id:
            return claims.ClaimAnswer(claims.Verdict.GRANTED, record.request_id)
        return claims.ClaimAnswer(claims.Verdict.PENDING, record.request_id)

    def _may_have_been_granted(self, claim: claims.Claim) -> bool:
        """Return whether an unseen key may have been granted without leaving a record here."""
        if claim.first_sent_s is None:
            return self._clock.now_s() < self._refuse_unseen_until_s
        age_s = self._clock.wall_s() - claim.first_sent_s
        if age_s > claims.RETRY_HORIZON_S - claims.CLOCK_SKEW_MARGIN_S:
            return True
        if self._clock.now_s() >= self._refuse_unseen_until_s:
            return False
        return claim.first_sent_s <= self._refuse_sent_before_wall_s

    def _add_record(self, qualified_key: str, claim: claims.Claim) -> claims.ClaimRecord:
        """Insert the record of a claim, or raise if it does not fit into the memory limits."""
        if self._usage.claims >= self._limits.claims_max:
            raise _overloaded()
        if self._usage.claim_bytes + _size_bytes(qualified_key) > self._limits.claim_bytes_max:
            raise _overloaded()
        now_s = self._clock.now_s()
        remaining_s = min(max(claim.remaining_s, 0.0), claims.DEADLINE_MAX_S)
        record = claims.ClaimRecord(
            digest=claim.digest,
            request_id=claim.request_id,
            deadline_s=now_s + remaining_s,
            expires_at_s=now_s + remaining_s + claims.RETRY_HORIZON_S,
        )
        self._insert(qualified_key, record)
        return record

    def _insert(self, qualified_key: str, record: claims.ClaimRecord) -> None:
        """Insert a record and add it to the memory usage."""
        self._records[qualified_key] = record
        self._usage.claims += 1
        self._usage.claim_bytes += _size_bytes(qualified_key)
        self._usage.answer_bytes += len(record.answer)

    def _restart_retry_horizon(self, qualified_key: str, record: claims.ClaimRecord) -> None:
        """Restart the retry horizon of a key."""
        now_s = self._clock.now_s()
        record.expires_at_s = max(record.expires_at_s, now_s + claims.RETRY_HORIZON_S)
        self._records.move_to_end(qualified_key)

    def _remove(self, qualified_key: str) -> None:
        """Remove a key and subtract it from the memory usage."""
        record = self._records.pop(qualified_key)
        self._usage.claims -= 1
        self._usage.claim_bytes -= _size_bytes(qualified_key)
        self._usage.answer_bytes -= len(record.answer)

    def _has_capacity_for_answer(self, answer: bytes) -> bool:
        """Return whether another answer fits into the memory limits."""
        return self._usage.answer_bytes + len(answer) <= self._limits.answer_bytes_max


def _qualified_key(team: str, key: str) -> str:
    """Return the key qualified with its team, which is unique over all teams."""
    return f"{team}/{key}"


def _size_bytes(qualified_key: str) -> int:
    """Return the memory in bytes of one record, without its answer."""
    return claims.CLAIM_OVERHEAD_BYTES + len(qualified_key.encode())


def _overloaded() -> errors.OverloadedError:
    """Return the error for a key that does not fit into the memory limits."""
    return errors.OverloadedError("the claim table is full", retry_after_s=OVERLOADED_RETRY_AFTER_S)
