"""One shard of the idempotency keys, at the agent that owns it."""

import collections

from papayaspar_dispatch import claims
from papayaspar_model import clock, errors

OVERLOADED_RETRY_AFTER_S = 5.0


class ClaimShard:
    """The keys of one shard, at its owner.

    :param epoch: epoch of the ownership.
    :param previous_epoch: epoch of the owner before.
    :param source: the machine's clock.
    :param use: memory shared with the other shards of the agent.
    :param limits: bounds on that memory.
    :param starts_clean: whether no earlier owner can have granted a key.
    """

    def __init__(
        self,
        epoch: int,
        previous_epoch: int,
        source: clock.Clock,
        use: claims.ClaimUse,
        limits: claims.ClaimLimits,
        starts_clean: bool,
    ) -> None:
        self.epoch = epoch
        self.previous_epoch = previous_epoch
        self.is_frozen = False
        self._clock = source
        self._use = use
        self._limits = limits
        self._records: collections.OrderedDict[str, claims.ClaimRecord] = collections.OrderedDict()
        self._unseen_until_s = source.now_s()
        self._unseen_before_wall_s = 0.0
        if not starts_clean:
            self._unseen_until_s += claims.RETRY_HORIZON_S
            self._unseen_before_wall_s = source.wall_s() + claims.CLOCK_SKEW_MARGIN_S

    def claim(self, wanted: claims.Claim) -> claims.ClaimAnswer:
        """Decide on a claim.

        :param wanted: the claim.
        :raises papayaspar_model.errors.OverloadedError: when no more keys fit; nothing ran.
        """
        self.forget_old()
        if self.is_frozen:
            return claims.ClaimAnswer(claims.Verdict.FROZEN)
        name = _name(wanted.team, wanted.key)
        record = self._records.get(name)
        if record is not None:
            return self._again(name, record, wanted)
        if self._may_have_been_granted(wanted):
            return claims.ClaimAnswer(claims.Verdict.UNKNOWN)
        self._remember(name, wanted)
        return claims.ClaimAnswer(claims.Verdict.GRANTED, wanted.request_id)

    def settle(self, wanted: claims.Claim, answer: bytes | None) -> bool:
        """Keep how a granted request ended.

        :param wanted: the claim that was granted, maybe by the owner before.
        :param answer: its answer, or ``None`` when it may have run without one.
        :return: whether this owner took note; a frozen one leaves it to the next.
        :raises papayaspar_model.errors.OverloadedError: when a key it never saw does not fit.
        """
        if self.is_frozen:
            return False
        name = _name(wanted.team, wanted.key)
        record = self._records.get(name)
        if record is None:
            record = self._remember(name, wanted)
        if record.request_id != wanted.request_id or record.state is claims.ClaimState.ANSWERED:
            return True
        self._touch(name, record)
        if answer is None or not self._has_room_for(answer):
            record.state = claims.ClaimState.UNKNOWN
            return True
        record.state = claims.ClaimState.ANSWERED
        record.answer = answer
        self._use.answer_bytes += len(answer)
        return True

    def release(self, wanted: claims.Claim) -> bool:
        """Give back a claim whose request definitively did not run, and never will.

        :param wanted: the claim that was granted.
        :return: whether the key may run again.
        """
        name = _name(wanted.team, wanted.key)
        record = self._records.get(name)
        if record is None or record.request_id != wanted.request_id:
            return False
        if record.state is claims.ClaimState.ANSWERED or self.is_frozen:
            return False
        self._drop(name)
        return True

    def forget_old(self) -> None:
        """Forget keys whose retry horizon is over."""
        now_s = self._clock.now_s()
        while self._records:
            name, record = next(iter(self._records.items()))
            if record.forget_at_s > now_s:
                return
            self._drop(name)

    def close(self) -> None:
        """Forget everything, when the shard has another owner."""
        for name in list(self._records):
            self._drop(name)

    def export(self, shard: int) -> claims.ShardExport:
        """Return the memory of the shard, which grants nothing from now on.

        :param shard: its number.
        """
        self.is_frozen = True
        now_s = self._clock.now_s()
        exported: list[claims.ExportedClaim] = []
        for name, record in self._records.items():
            exported.append(
                claims.ExportedClaim(
                    name=name,
                    digest=record.digest,
                    request_id=record.request_id,
                    deadline_left_s=record.deadline_s - now_s,
                    forget_left_s=record.forget_at_s - now_s,
                    state=record.state,
                    answer=record.answer,
                )
            )
        unseen_left_s = max(0.0, self._unseen_until_s - now_s)
        return claims.ShardExport(
            shard, self.epoch, unseen_left_s, self._unseen_before_wall_s, tuple(exported)
        )

    def take_over(self, export: claims.ShardExport) -> bool:
        """Take the memory of the owner before, instead of refusing what it may have granted.

        :param export: what that owner remembered when it stopped granting.
        :return: whether it was taken: it must come from the owner just before, and fit.
        """
        if export.epoch != self.previous_epoch or not self._has_room_for_claims(export):
            return False
        now_s = self._clock.now_s()
        for claim in export.claims:
            if claim.name in self._records:
                continue
            record = claims.ClaimRecord(
                digest=claim.digest,
                request_id=claim.request_id,
                deadline_s=now_s + claim.deadline_left_s,
                forget_at_s=now_s + claim.forget_left_s,
                state=claim.state,
                answer=claim.answer,
            )
            if not self._has_room_for(record.answer):
                record.state = claims.ClaimState.UNKNOWN
                record.answer = b""
            self._insert(claim.name, record)
        self._unseen_until_s = now_s + export.unseen_left_s
        self._unseen_before_wall_s = export.unseen_before_wall_s
        return True

    def _has_room_for_claims(self, export: claims.ShardExport) -> bool:
        """Return whether all keys of an export fit."""
        more_bytes = sum(_size_bytes(claim.name) for claim in export.claims)
        if self._use.claims + len(export.claims) > self._limits.claims_max:
            return False
        return self._use.claim_bytes + more_bytes <= self._limits.claim_bytes_max

    def _again(
        self, name: str, record: claims.ClaimRecord, wanted: claims.Claim
    ) -> claims.ClaimAnswer:
        """Answer a key that is remembered."""
        if record.digest != wanted.digest:
            return claims.ClaimAnswer(claims.Verdict.CONFLICT, record.request_id)
        self._touch(name, record)
        if record.state is claims.ClaimState.ANSWERED:
            return claims.ClaimAnswer(claims.Verdict.SETTLED, record.request_id, record.answer)
        if record.state is claims.ClaimState.PENDING and self._clock.now_s() >= record.deadline_s:
            record.state = claims.ClaimState.UNKNOWN
        if record.state is claims.ClaimState.UNKNOWN:
            return claims.ClaimAnswer(claims.Verdict.UNKNOWN, record.request_id)
        if record.request_id == wanted.request_id:
            return claims.ClaimAnswer(claims.Verdict.GRANTED, record.request_id)
        return claims.ClaimAnswer(claims.Verdict.PENDING, record.request_id)

    def _may_have_been_granted(self, wanted: claims.Claim) -> bool:
        """Return whether an unseen key may have been granted and since forgotten."""
        if wanted.first_sent_s is None:
            return self._clock.now_s() < self._unseen_until_s
        age_s = self._clock.wall_s() - wanted.first_sent_s
        if age_s > claims.RETRY_HORIZON_S - claims.CLOCK_SKEW_MARGIN_S:
            return True
        if self._clock.now_s() >= self._unseen_until_s:
            return False
        return wanted.first_sent_s <= self._unseen_before_wall_s

    def _remember(self, name: str, wanted: claims.Claim) -> claims.ClaimRecord:
        """Insert the record of a claim, or refuse it when it does not fit."""
        if self._use.claims >= self._limits.claims_max:
            raise _overloaded()
        if self._use.claim_bytes + _size_bytes(name) > self._limits.claim_bytes_max:
            raise _overloaded()
        now_s = self._clock.now_s()
        remaining_s = min(max(wanted.remaining_s, 0.0), claims.DEADLINE_MAX_S)
        record = claims.ClaimRecord(
            digest=wanted.digest,
            request_id=wanted.request_id,
            deadline_s=now_s + remaining_s,
            forget_at_s=now_s + remaining_s + claims.RETRY_HORIZON_S,
        )
        self._insert(name, record)
        return record

    def _insert(self, name: str, record: claims.ClaimRecord) -> None:
        """Insert a record and count its memory."""
        self._records[name] = record
        self._use.claims += 1
        self._use.claim_bytes += _size_bytes(name)
        self._use.answer_bytes += len(record.answer)

    def _touch(self, name: str, record: claims.ClaimRecord) -> None:
        """Start the retry horizon of a key anew."""
        now_s = self._clock.now_s()
        record.forget_at_s = max(record.forget_at_s, now_s + claims.RETRY_HORIZON_S)
        self._records.move_to_end(name)

    def _drop(self, name: str) -> None:
        """Forget a key."""
        record = self._records.pop(name)
        self._use.claims -= 1
        self._use.claim_bytes -= _size_bytes(name)
        self._use.answer_bytes -= len(record.answer)

    def _has_room_for(self, answer: bytes) -> bool:
        """Return whether one more answer fits."""
        return self._use.answer_bytes + len(answer) <= self._limits.answer_bytes_max


def _name(team: str, key: str) -> str:
    """Return the name of a key over all teams."""
    return f"{team}/{key}"


def _size_bytes(name: str) -> int:
    """Return the memory one record takes, without its answer."""
    return claims.CLAIM_OVERHEAD_BYTES + len(name.encode())


def _overloaded() -> errors.OverloadedError:
    """Return the refusal of a key that does not fit."""
    return errors.OverloadedError("the claim table is full", retry_after_s=OVERLOADED_RETRY_AFTER_S)
