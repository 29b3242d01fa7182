"""Tests of the ledger of one worker."""

import attrs
import pytest

from papayaspar_model import errors
from papayaspar_slots import claims, ledger, refusals


@pytest.fixture
def book(make_ledger):
    return make_ledger()


def test_slots_are_taken_up_to_the_limit_and_given_back(book):
    book.slots.take("req-1")
    with book.slots.hold("req-2"), pytest.raises(errors.BusyError):
        book.slots.take("req-3")
    with pytest.raises(refusals.SlotInUseError) as repeated:
        book.slots.take("req-1")
    assert repeated.value.ran is errors.Ran.UNKNOWN
    assert [book.slots.release("req-1"), book.slots.release("req-1")] == [True, False]


def test_drain_refuses_all_new_work_and_says_it_did_not_run(book, make_claim):
    book.reserve(make_claim("job-early"))
    book.drain()
    for attempt in (
        lambda: book.slots.take("req-1"),
        lambda: book.reserve(make_claim("job-2", accelerators=(5,))),
        lambda: book.arm(claims.Fence("job-early", 1)),
    ):
        with pytest.raises(errors.DrainingError) as refused:
            attempt()
        assert refused.value.ran is errors.Ran.NO


def test_a_reservation_lapses_unless_armed(book, make_claim, manual_clock):
    book.reserve(make_claim("job-1", accelerators=(4,)), ttl_s=10.0)
    book.reserve(make_claim("job-2", accelerators=(5,)), ttl_s=10.0)
    book.arm(claims.Fence("job-2", 1))
    manual_clock.advance(10.0)
    assert [use.job_id for use in book.uses()] == ["job-2"]
    assert book.counts.lapses == 1
    with pytest.raises(refusals.StaleAttemptError):
        book.arm(claims.Fence("job-1", 1))


def test_repeated_and_late_messages_change_nothing(book, make_claim, manual_clock):
    claim = make_claim(accelerators=(4, 5))
    book.reserve(claim, ttl_s=10.0)
    manual_clock.advance(4.0)
    assert book.reserve(claim, ttl_s=10.0).lapses_in_s == pytest.approx(6.0)
    with pytest.raises(refusals.ClaimConflictError):
        book.reserve(attrs.evolve(claim, owner="entry-2"))
    book.release(claim.fence)
    with pytest.raises(refusals.StaleAttemptError):
        book.reserve(claim)
    assert (book.counts.repeated_messages, book.counts.late_messages) == (1, 1)


def test_a_newer_attempt_supersedes_a_reserved_one_but_not_an_armed_one(book, make_claim):
    book.reserve(make_claim(attempt=1, accelerators=(4, 5)))
    assert book.reserve(make_claim(attempt=2, accelerators=(5, 6))).ready
    with pytest.raises(refusals.StaleAttemptError):
        book.arm(claims.Fence("job-1", 1))
    book.arm(claims.Fence("job-1", 2))
    with pytest.raises(errors.BusyError):
        book.reserve(make_claim(attempt=3, accelerators=(7,)))
    assert [use.attempt for use in book.uses()] == [2]


def test_homes_refuse_work_of_others_that_cannot_be_stopped(book, make_claim):
    book.reserve(make_claim("job-1", accelerators=(0,)))
    with pytest.raises(refusals.HomeError):
        book.reserve(make_claim("job-2", accelerators=(1,), stoppable=False))
    book.reserve(make_claim("job-3", accelerators=(1,), stoppable=False, team="anchor"))
    book.reserve(make_claim("job-4", accelerators=(4,), stoppable=False))
    with pytest.raises(refusals.HomeError):
        book.reserve(make_claim("job-5", accelerators=(5,), guarantee="anchor-4"))


def test_reclaim_names_whole_gangs_and_is_ready_when_they_are_gone(book, make_claim, anchor_claim):
    guests = [make_claim("job-a", accelerators=(2, 3, 4)), make_claim("job-b", accelerators=(5,))]
    for guest in guests:
        book.reserve(guest)
        book.arm(guest.fence)
        book.run(guest.fence)
    reclaim = book.reserve(anchor_claim)
    assert (reclaim.ready, reclaim.victims) == (False, (guests[0].fence,))
    book.arm(anchor_claim.fence)
    with pytest.raises(refusals.StaleAttemptError):
        book.run(anchor_claim.fence)
    book.release(guests[0].fence)
    book.run(anchor_claim.fence)
    assert [use.job_id for use in book.uses()] == ["job-anchor", "job-b"]


def test_one_of_two_reclaimers_of_an_instance_is_granted(book, make_claim, anchor_claim):
    guest = make_claim("job-a", accelerators=(0, 1, 2, 3))
    book.reserve(guest)
    book.arm(guest.fence)
    book.reserve(anchor_claim)
    rival = attrs.evolve(anchor_claim, fence=claims.Fence("job-rival", 1), owner="entry-2")
    with pytest.raises(errors.BusyError):
        book.reserve(rival)
    book.cancel_reservation(anchor_claim.fence)
    assert book.reserve(rival).victims == (guest.fence,)


def test_reclaim_drops_reservations_that_nobody_armed(book, make_claim, anchor_claim):
    book.reserve(make_claim("job-a", accelerators=(3,)))
    assert book.reserve(anchor_claim).ready


def test_reclaim_never_takes_unstoppable_work_or_its_own_team(book, make_claim, anchor_claim):
    book.reserve(make_claim("job-own", accelerators=(0,), team="anchor"))
    with pytest.raises(errors.BusyError):
        book.reserve(anchor_claim)


def test_accelerators_are_refused_while_a_previous_life_may_hold_leases(
    make_ledger, make_claim, manual_clock
):
    book = make_ledger(ledger.PREVIOUS_LIFE_S)
    with pytest.raises(refusals.QuarantineError):
        book.reserve(make_claim())
    manual_clock.advance(ledger.PREVIOUS_LIFE_S)
    assert book.reserve(make_claim()).ready


def test_homes_never_go_back(book, make_claim):
    assert not book.set_homes((), 1)
    assert book.set_homes((), 2)
    assert book.reserve(make_claim(accelerators=(0,), stoppable=False)).ready
