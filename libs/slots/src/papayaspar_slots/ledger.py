"""The ledger of one worker, the only authority on its slots and accelerators."""

import attrs

from papayaspar_model import clock, errors, rulesets, signals, workers
from papayaspar_slots import claims, fencing, homes, refusals, requests, timings

RESERVATION_TTL_S = 15.0
QUARANTINE_S = timings.Timings().lease_s


@attrs.define
class LedgerCounts:
    """Counters for metrics.

    :param reservations: granted claims.
    :param expired: reservations that expired before they were armed.
    :param stale_messages: messages of ended attempts.
    :param repeated_messages: messages that repeat an earlier one and changed nothing.
    :param home_refusals: claims refused because of a home.
    :param preemptions: claims granted by preemption of other gangs.
    """

    reservations: int = 0
    expired: int = 0
    stale_messages: int = 0
    repeated_messages: int = 0
    home_refusals: int = 0
    preemptions: int = 0


class Ledger:
    """Allocations of slots and accelerators of one worker; ``changes`` signals each change.

    :param worker: name of the worker.
    :param capacity: capacity of the worker.
    :param clock_source: the machine's clock.
    :param quarantine_s: seconds after the start during which claims are refused, because tasks of
        the agent's previous incarnation may have a valid lease for that long.
    """

    def __init__(
        self,
        worker: str,
        capacity: workers.Capacity,
        clock_source: clock.Clock,
        quarantine_s: float = QUARANTINE_S,
    ) -> None:
        self.worker = worker
        self.changes = signals.ChangeSignal()
        self.slots = requests.RequestSlots(capacity.slots, self.changes)
        self.counts = LedgerCounts()
        self._capacity = capacity
        self._clock = clock_source
        self._quarantine_until_s = clock_source.now_s() + quarantine_s
        self._homes = homes.HomeMap()
        self._ended_attempts = fencing.FenceTable()
        self._allocations: dict[claims.Fence, claims.Allocation] = {}
        self._holders: dict[int, claims.Fence] = {}
        self._successors: dict[int, claims.Fence] = {}

    @property
    def draining(self) -> bool:
        """Whether new requests and reservations are refused."""
        return self.slots.draining

    def drain(self) -> None:
        """Refuse new requests and reservations from now on; running work continues."""
        self.slots.drain()

    def set_homes(self, all_homes: tuple[rulesets.Home, ...], revision: int) -> bool:
        """Put a revision of the homes in force.

        :param all_homes: homes of the revision, on all workers.
        :param revision: number of the revision.
        :return: whether it is newer than the revision that was in force.
        """
        if revision <= self._homes.revision:
            return False
        self._homes = homes.HomeMap.for_worker(self.worker, all_homes, revision)
        return True

    def reserve(self, claim: claims.Claim, ttl_s: float = RESERVATION_TTL_S) -> claims.Reservation:
        """Reserve accelerators for an attempt until they are armed or the reservation expires.

        A claim on the home of its team's guarantee preempts stoppable gangs of other teams; the
        answer names the preempted attempts. A repeated claim gets the existing reservation.

        :param claim: the requested reservation.
        :param ttl_s: seconds until the reservation expires.
        :raises DrainingError: the worker is draining.
        :raises StaleAttemptError: the attempt has ended or is superseded.
        :raises ClaimConflictError: the attempt was claimed with other content.
        :raises HomeError: the homes do not permit the claim.
        :raises BusyError: an accelerator is in use.
        """
        self._expire_reservations()
        existing = self._allocations.get(claim.fence)
        if existing is not None:
            return self._answer_repeated(existing, claim)
        if self.draining:
            raise errors.DrainingError
        self._check_fence(claim.fence)
        self._check_accelerators(claim)
        self._check_quarantine()
        self._check_homes(claim)
        victims = self._find_victims(claim)
        self._supersede(claim.fence)
        self._release_unarmed(victims)
        return self._grant(claim, ttl_s, victims)

    def arm(self, fence: claims.Fence) -> claims.Allocation:
        """Bind a reservation to its lead, after which it no longer expires.

        :param fence: job and attempt.
        :return: the allocation, whose victims may still hold accelerators.
        :raises DrainingError: the worker is draining and the attempt is not armed yet.
        :raises StaleAttemptError: the attempt has no allocation.
        """
        allocation = self.find(fence)
        if allocation.state is not claims.AllocationState.RESERVED:
            self.counts.repeated_messages += 1
            return allocation
        if self.draining:
            raise errors.DrainingError
        allocation.state = claims.AllocationState.ARMED
        return allocation

    def mark_running(self, fence: claims.Fence) -> None:
        """Record that the tasks of an armed allocation are started.

        :param fence: job and attempt.
        :raises StaleAttemptError: the attempt is not armed, or victims hold its accelerators.
        """
        allocation = self.find(fence)
        if allocation.state is claims.AllocationState.RESERVED or not allocation.ready:
            raise refusals.StaleAttemptError(f"{fence.job_id} is not armed")
        if allocation.state is claims.AllocationState.RUNNING:
            return
        allocation.state = claims.AllocationState.RUNNING
        allocation.started_s = self._clock.now_s()
        self.changes.notify()

    def release(self, fence: claims.Fence, *, done: bool = False) -> bool:
        """Free the accelerators of an attempt; later messages of the attempt are refused.

        For an armed allocation the caller has to ensure that no task of the attempt runs here.

        :param fence: job and attempt.
        :param done: whether the tasks were completed.
        :return: whether the attempt had an allocation.
        """
        self._ended_attempts.record_end(fence, self._clock.now_s(), done=done)
        allocation = self._allocations.pop(fence, None)
        if allocation is None:
            return False
        allocation.state = claims.AllocationState.RELEASED
        for number in allocation.claim.accelerators:
            self._free_accelerator(number, fence)
        for remaining_allocation in self._allocations.values():
            remaining_allocation.victims.discard(fence)
        self.changes.notify()
        return True

    def cancel_reservation(self, fence: claims.Fence) -> bool:
        """Free a reservation that is not armed; armed ones are freed through the lead.

        :param fence: job and attempt.
        :return: whether the attempt has no allocation any more.
        """
        self._expire_reservations()
        allocation = self._allocations.get(fence)
        if allocation is not None and allocation.state is not claims.AllocationState.RESERVED:
            self.counts.stale_messages += 1
            return False
        self.release(fence)
        return True

    def find(self, fence: claims.Fence) -> claims.Allocation:
        """Return the allocation of an attempt.

        :raises StaleAttemptError: the attempt has no allocation.
        """
        self._expire_reservations()
        allocation = self._allocations.get(fence)
        if allocation is None:
            self.counts.stale_messages += 1
            raise refusals.StaleAttemptError(f"no allocation for {fence.job_id}")
        return allocation

    def has_allocation(self, fence: claims.Fence) -> bool:
        """Return whether an attempt has an allocation."""
        self._expire_reservations()
        return fence in self._allocations

    def attempt_end(self, fence: claims.Fence) -> fencing.AttemptEnd | None:
        """Return how an attempt ended on this worker, or ``None`` if that is not recorded."""
        return self._ended_attempts.find(fence)

    def uses(self) -> tuple[workers.GangUse, ...]:
        """Return the accelerators of each attempt, for the worker's report."""
        self._expire_reservations()
        uses = []
        for fence in sorted(self._allocations):
            uses.append(self._make_gang_use(self._allocations[fence]))
        return tuple(uses)

    def _answer_repeated(
        self, existing: claims.Allocation, claim: claims.Claim
    ) -> claims.Reservation:
        if existing.claim != claim:
            raise refusals.ClaimConflictError(
                f"attempt {claim.fence.attempt} of {claim.fence.job_id} has a different claim"
            )
        self.counts.repeated_messages += 1
        return self._make_reservation(existing)

    def _check_fence(self, fence: claims.Fence) -> None:
        if self._ended_attempts.is_over(fence):
            self.counts.stale_messages += 1
            raise refusals.StaleAttemptError(f"attempt {fence.attempt} of {fence.job_id} has ended")
        older_allocation = self._find_older(fence)
        if (
            older_allocation is not None
            and older_allocation.state is not claims.AllocationState.RESERVED
        ):
            raise errors.BusyError(f"an older attempt of {fence.job_id} holds accelerators")

    def _check_accelerators(self, claim: claims.Claim) -> None:
        numbers = claim.accelerators
        if len(set(numbers)) != len(numbers) or not numbers:
            raise errors.InvalidRequestError(
                "the list of accelerators is empty or contains duplicates", field="tasks"
            )
        if numbers[0] < 0 or numbers[-1] >= self._capacity.accelerators:
            raise errors.InvalidRequestError("an accelerator number is out of range", field="tasks")

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

    def _find_victims(self, claim: claims.Claim) -> set[claims.Fence]:
        victims: set[claims.Fence] = set()
        for number in claim.accelerators:
            successor = self._successors.get(number)
            if successor is not None and not self._is_older(successor, claim.fence):
                raise errors.BusyError(f"accelerator {number} is reserved for a preempting gang")
            holder = self._holders.get(number)
            if holder is None or self._is_older(holder, claim.fence):
                continue
            if not self._may_preempt(claim, self._allocations[holder].claim):
                raise errors.BusyError(f"accelerator {number} is in use")
            victims.add(holder)
        return victims

    def _may_preempt(self, claim: claims.Claim, held_claim: claims.Claim) -> bool:
        return bool(claim.guarantee) and held_claim.stoppable and held_claim.team != claim.team

    def _find_older(self, fence: claims.Fence) -> claims.Allocation | None:
        for allocated_fence, allocation in self._allocations.items():
            if self._is_older(allocated_fence, fence):
                return allocation
        return None

    def _is_older(self, candidate: claims.Fence | None, fence: claims.Fence) -> bool:
        return candidate is not None and candidate.job_id == fence.job_id and candidate < fence

    def _supersede(self, fence: claims.Fence) -> None:
        older_allocation = self._find_older(fence)
        if older_allocation is not None:
            self.release(older_allocation.claim.fence)

    def _release_unarmed(self, victims: set[claims.Fence]) -> None:
        for victim in sorted(victims):
            if self._allocations[victim].state is claims.AllocationState.RESERVED:
                self.release(victim)
                victims.remove(victim)

    def _grant(
        self, claim: claims.Claim, ttl_s: float, victims: set[claims.Fence]
    ) -> claims.Reservation:
        allocation = claims.Allocation(claim, self._clock.now_s() + ttl_s, victims)
        self._allocations[claim.fence] = allocation
        for number in claim.accelerators:
            table = self._successors if number in self._holders else self._holders
            table[number] = claim.fence
        self.counts.reservations += 1
        self.counts.preemptions += bool(victims)
        self.changes.notify()
        return self._make_reservation(allocation)

    def _make_reservation(self, allocation: claims.Allocation) -> claims.Reservation:
        lapses_in_s = max(0.0, allocation.expires_s - self._clock.now_s())
        victims = tuple(sorted(allocation.victims))
        return claims.Reservation(allocation.claim.fence, allocation.ready, lapses_in_s, victims)

    def _free_accelerator(self, number: int, fence: claims.Fence) -> None:
        if self._successors.get(number) == fence:
            del self._successors[number]
            return
        del self._holders[number]
        successor = self._successors.pop(number, None)
        if successor is not None:
            self._holders[number] = successor

    def _expire_reservations(self) -> None:
        now_s = self._clock.now_s()
        for fence, allocation in list(self._allocations.items()):
            if (
                allocation.state is not claims.AllocationState.RESERVED
                or now_s < allocation.expires_s
            ):
                continue
            self.counts.expired += 1
            self.release(fence)

    def _make_gang_use(self, allocation: claims.Allocation) -> workers.GangUse:
        claim = allocation.claim
        elapsed_s = 0.0
        if allocation.state is claims.AllocationState.RUNNING:
            elapsed_s = self._clock.now_s() - allocation.started_s
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
