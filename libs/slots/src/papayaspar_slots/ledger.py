"""The ledger of one worker: the only authority on its slots and accelerators."""

import attrs

from papayaspar_model import clock, errors, rulesets, signals, workers
from papayaspar_slots import claims, fencing, homes, refusals, requests, terms

RESERVATION_TTL_S = 15.0
PREVIOUS_LIFE_S = terms.Terms().lease_s


@attrs.define
class LedgerCounts:
    """Counts for metrics.

    :param reservations: claims granted.
    :param lapses: reservations that nobody armed in time.
    :param late_messages: messages of attempts that are over.
    :param repeated_messages: messages answered from what is held already.
    :param home_refusals: claims refused because of a home.
    :param reclaims: claims granted over work that has to leave.
    """

    reservations: int = 0
    lapses: int = 0
    late_messages: int = 0
    repeated_messages: int = 0
    home_refusals: int = 0
    reclaims: int = 0


class Ledger:
    """Slots and accelerators of one worker; ``changes`` wakes whoever reports them.

    :param worker: name of the worker.
    :param capacity: what it can hold.
    :param source: the machine's clock.
    :param previous_life_s: seconds after the start in which accelerators are refused, because
        tasks of the agent's previous life may hold a lease that long.
    """

    def __init__(
        self,
        worker: str,
        capacity: workers.Capacity,
        source: clock.Clock,
        previous_life_s: float = PREVIOUS_LIFE_S,
    ) -> None:
        self.worker = worker
        self.changes = signals.ChangeSignal()
        self.slots = requests.RequestSlots(capacity.slots, self.changes)
        self.counts = LedgerCounts()
        self._capacity = capacity
        self._clock = source
        self._quarantine_until_s = source.now_s() + previous_life_s
        self._homes = homes.HomeMap()
        self._fences = fencing.FenceTable()
        self._holdings: dict[claims.Fence, claims.Holding] = {}
        self._holders: dict[int, claims.Fence] = {}
        self._successors: dict[int, claims.Fence] = {}

    @property
    def draining(self) -> bool:
        """Whether new work is refused."""
        return self.slots.draining

    def drain(self) -> None:
        """Refuse new requests and reservations from now on; what runs goes on."""
        self.slots.drain()

    def set_homes(self, all_homes: tuple[rulesets.Home, ...], revision: int) -> bool:
        """Put a revision of the homes in force.

        :param all_homes: homes of the revision, on any worker.
        :param revision: its number.
        :return: whether it was newer than the one in force.
        """
        if revision <= self._homes.revision:
            return False
        self._homes = homes.HomeMap.of_worker(self.worker, all_homes, revision)
        return True

    def reserve(self, claim: claims.Claim, ttl_s: float = RESERVATION_TTL_S) -> claims.Reservation:
        """Hold accelerators for an attempt until they are armed or the reservation lapses.

        A claim on the home of its team's guarantee is granted over stoppable work of other
        teams; the answer names the attempts that have to leave. The same claim again is answered
        from what is held.

        :param claim: what is wanted.
        :param ttl_s: seconds until the reservation lapses, on this clock.
        :raises DrainingError: the worker is leaving.
        :raises StaleAttemptError: the attempt is over or superseded.
        :raises ClaimConflictError: the attempt was claimed with other content.
        :raises HomeError: the work may not stand on these accelerators.
        :raises BusyError: they are held.
        """
        self._lapse()
        held = self._holdings.get(claim.fence)
        if held is not None:
            return self._repeat(held, claim)
        if self.draining:
            raise errors.DrainingError
        self._check_fence(claim.fence)
        self._check_numbers(claim)
        self._check_quarantine()
        self._check_homes(claim)
        victims = self._victims(claim)
        self._supersede(claim.fence)
        self._drop_unarmed(victims)
        return self._grant(claim, ttl_s, victims)

    def arm(self, fence: claims.Fence) -> claims.Holding:
        """Bind a reservation to its lead, after which it no longer lapses by itself.

        :param fence: job and attempt.
        :return: the holding, whose victims may still be leaving.
        :raises DrainingError: the worker is leaving and the attempt was not armed before.
        :raises StaleAttemptError: nothing is held for the attempt.
        """
        holding = self.find(fence)
        if holding.state is not claims.HoldState.RESERVED:
            self.counts.repeated_messages += 1
            return holding
        if self.draining:
            raise errors.DrainingError
        holding.state = claims.HoldState.ARMED
        return holding

    def run(self, fence: claims.Fence) -> None:
        """Note that the tasks of an armed holding were started.

        :param fence: job and attempt.
        :raises StaleAttemptError: nothing is armed for the attempt, or victims still hold it.
        """
        holding = self.find(fence)
        if holding.state is claims.HoldState.RESERVED or not holding.ready:
            raise refusals.StaleAttemptError(f"{fence.job_id} is not armed")
        if holding.state is claims.HoldState.RUNNING:
            return
        holding.state = claims.HoldState.RUNNING
        holding.started_s = self._clock.now_s()
        self.changes.changed()

    def release(self, fence: claims.Fence, *, done: bool = False) -> bool:
        """Free what an attempt holds; its later messages are refused.

        Only whoever knows that no task of the attempt runs here may call it for an armed holding.

        :param fence: job and attempt.
        :param done: whether its tasks were done.
        :return: whether anything was held.
        """
        self._fences.note(fence, self._clock.now_s(), done=done)
        holding = self._holdings.pop(fence, None)
        if holding is None:
            return False
        holding.state = claims.HoldState.RELEASED
        for number in holding.claim.accelerators:
            self._pass_on(number, fence)
        for other in self._holdings.values():
            other.victims.discard(fence)
        self.changes.changed()
        return True

    def cancel_reservation(self, fence: claims.Fence) -> bool:
        """Free a reservation that was not armed; the lead frees armed ones.

        :param fence: job and attempt.
        :return: whether nothing is held for the attempt any more.
        """
        self._lapse()
        holding = self._holdings.get(fence)
        if holding is not None and holding.state is not claims.HoldState.RESERVED:
            self.counts.late_messages += 1
            return False
        self.release(fence)
        return True

    def find(self, fence: claims.Fence) -> claims.Holding:
        """Return what an attempt holds.

        :raises StaleAttemptError: nothing is held for the attempt.
        """
        self._lapse()
        holding = self._holdings.get(fence)
        if holding is None:
            self.counts.late_messages += 1
            raise refusals.StaleAttemptError(f"nothing is held for {fence.job_id}")
        return holding

    def holds(self, fence: claims.Fence) -> bool:
        """Return whether anything is held for an attempt."""
        self._lapse()
        return fence in self._holdings

    def ending(self, fence: claims.Fence) -> fencing.Ending | None:
        """Return how an attempt ended here, if it is remembered."""
        return self._fences.find(fence)

    def uses(self) -> tuple[workers.GangUse, ...]:
        """Return what each attempt holds here, for the worker's report."""
        self._lapse()
        rows = []
        for fence in sorted(self._holdings):
            rows.append(self._use(self._holdings[fence]))
        return tuple(rows)

    def _repeat(self, held: claims.Holding, claim: claims.Claim) -> claims.Reservation:
        if held.claim != claim:
            raise refusals.ClaimConflictError(claim.fence.job_id)
        self.counts.repeated_messages += 1
        return self._answer(held)

    def _check_fence(self, fence: claims.Fence) -> None:
        if self._fences.is_over(fence):
            self.counts.late_messages += 1
            raise refusals.StaleAttemptError(f"{fence.job_id} attempt {fence.attempt}")
        older = self._older(fence)
        if older is not None and older.state is not claims.HoldState.RESERVED:
            raise errors.BusyError(f"an older attempt of {fence.job_id} holds accelerators")

    def _check_numbers(self, claim: claims.Claim) -> None:
        numbers = claim.accelerators
        if len(set(numbers)) != len(numbers) or not numbers:
            raise errors.InvalidRequestError("accelerators repeat or are none", field="tasks")
        if numbers[0] < 0 or numbers[-1] >= self._capacity.accelerators:
            raise errors.InvalidRequestError("no such accelerator", field="tasks")

    def _check_quarantine(self) -> None:
        wait_s = self._quarantine_until_s - self._clock.now_s()
        if wait_s > 0:
            raise refusals.QuarantineError(retry_after_s=wait_s)

    def _check_homes(self, claim: claims.Claim) -> None:
        try:
            self._homes.check(claim)
        except refusals.HomeError:
            self.counts.home_refusals += 1
            raise

    def _victims(self, claim: claims.Claim) -> set[claims.Fence]:
        victims: set[claims.Fence] = set()
        for number in claim.accelerators:
            successor = self._successors.get(number)
            if successor is not None and not self._is_older(successor, claim.fence):
                raise errors.BusyError(f"accelerator {number} is being reclaimed")
            holder = self._holders.get(number)
            if holder is None or self._is_older(holder, claim.fence):
                continue
            if not self._may_reclaim(claim, self._holdings[holder].claim):
                raise errors.BusyError(f"accelerator {number} is held")
            victims.add(holder)
        return victims

    def _may_reclaim(self, claim: claims.Claim, held: claims.Claim) -> bool:
        return bool(claim.guarantee) and held.stoppable and held.team != claim.team

    def _older(self, fence: claims.Fence) -> claims.Holding | None:
        for held, holding in self._holdings.items():
            if self._is_older(held, fence):
                return holding
        return None

    def _is_older(self, held: claims.Fence | None, fence: claims.Fence) -> bool:
        return held is not None and held.job_id == fence.job_id and held < fence

    def _supersede(self, fence: claims.Fence) -> None:
        older = self._older(fence)
        if older is not None:
            self.release(older.claim.fence)

    def _drop_unarmed(self, victims: set[claims.Fence]) -> None:
        for victim in sorted(victims):
            if self._holdings[victim].state is claims.HoldState.RESERVED:
                self.release(victim)
                victims.remove(victim)

    def _grant(
        self, claim: claims.Claim, ttl_s: float, victims: set[claims.Fence]
    ) -> claims.Reservation:
        holding = claims.Holding(claim, self._clock.now_s() + ttl_s, victims)
        self._holdings[claim.fence] = holding
        for number in claim.accelerators:
            table = self._successors if number in self._holders else self._holders
            table[number] = claim.fence
        self.counts.reservations += 1
        self.counts.reclaims += bool(victims)
        self.changes.changed()
        return self._answer(holding)

    def _answer(self, holding: claims.Holding) -> claims.Reservation:
        lapses_in_s = max(0.0, holding.expires_s - self._clock.now_s())
        victims = tuple(sorted(holding.victims))
        return claims.Reservation(holding.claim.fence, holding.ready, lapses_in_s, victims)

    def _pass_on(self, number: int, fence: claims.Fence) -> None:
        if self._successors.get(number) == fence:
            del self._successors[number]
            return
        del self._holders[number]
        successor = self._successors.pop(number, None)
        if successor is not None:
            self._holders[number] = successor

    def _lapse(self) -> None:
        now_s = self._clock.now_s()
        for fence, holding in list(self._holdings.items()):
            if holding.state is not claims.HoldState.RESERVED or now_s < holding.expires_s:
                continue
            self.counts.lapses += 1
            self.release(fence)

    def _use(self, holding: claims.Holding) -> workers.GangUse:
        claim = holding.claim
        elapsed_s = 0.0
        if holding.state is claims.HoldState.RUNNING:
            elapsed_s = self._clock.now_s() - holding.started_s
        return workers.GangUse(
            job_id=claim.fence.job_id,
            attempt=claim.fence.attempt,
            team=claim.team,
            accelerators=claim.accelerators,
            stoppable=claim.stoppable,
            checkpoint=claim.checkpoint,
            elapsed_s=elapsed_s,
            remaining_s=max(0.0, claim.run_time_s - elapsed_s),
            lead_worker=claim.lead_worker,
        )
