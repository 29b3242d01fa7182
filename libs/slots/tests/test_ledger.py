"""The ledger of one worker: slots, reservations, preemption and quarantine."""

import attrs
import pytest

from papayaspar_model import errors
from papayaspar_slots import claims, ledger, refusals


@pytest.fixture
def worker_ledger(make_ledger):
    return make_ledger()


def test_slots_are_acquired_up_to_the_limit_and_released(worker_ledger):
    worker_ledger.slots.acquire("req-1")
    with worker_ledger.slots.hold("req-2"), pytest.raises(errors.BusyError):
        worker_ledger.slots.acquire("req-3")
    with pytest.raises(refusals.SlotInUseError) as raised:
        worker_ledger.slots.acquire("req-1")
    assert raised.value.ran is errors.Ran.UNKNOWN
    assert [worker_ledger.slots.release("req-1"), worker_ledger.slots.release("req-1")] == [
        True,
        False,
    ]


def test_drain_refuses_new_work_and_reports_that_it_did_not_run(worker_ledger, make_claim):
    worker_ledger.reserve(make_claim("job-early"))
    worker_ledger.drain()
    for attempt in (
        lambda: worker_ledger.slots.acquire("req-1"),
        lambda: worker_ledger.reserve(make_claim("job-2", accelerators=(5,))),
        lambda: worker_ledger.arm(claims.Fence("job-early", 1)),
    ):
        with pytest.raises(errors.DrainingError) as raised:
            attempt()
        assert raised.value.ran is errors.Ran.NO


def test_a_reservation_expires_unless_armed(worker_ledger, make_claim, manual_clock):
    worker_ledger.reserve(make_claim("job-1", accelerators=(4,)), ttl_s=10.0)
    worker_ledger.reserve(make_claim("job-2", accelerators=(5,)), ttl_s=10.0)
    worker_ledger.arm(claims.Fence("job-2", 1))
    manual_clock.advance(10.0)
    assert [use.job_id for use in worker_ledger.uses()] == ["job-2"]
    assert worker_ledger.counts.expired == 1
    with pytest.raises(refusals.StaleAttemptError):
        worker_ledger.arm(claims.Fence("job-1", 1))


def test_repeated_and_late_messages_change_nothing(worker_ledger, make_claim, manual_clock):
    claim = make_claim(accelerators=(4, 5))
    worker_ledger.reserve(claim, ttl_s=10.0)
    manual_clock.advance(4.0)
    assert worker_ledger.reserve(claim, ttl_s=10.0).lapses_in_s == pytest.approx(6.0)
    with pytest.raises(refusals.ClaimConflictError):
        worker_ledger.reserve(attrs.evolve(claim, owner="entry-2"))
    worker_ledger.release(claim.fence)
    with pytest.raises(refusals.StaleAttemptError):
        worker_ledger.reserve(claim)
    assert (worker_ledger.counts.repeated_messages, worker_ledger.counts.stale_messages) == (1, 1)


def test_a_newer_attempt_supersedes_a_reserved_one_but_not_an_armed_one(worker_ledger, make_claim):
    worker_ledger.reserve(make_claim(attempt=1, accelerators=(4, 5)))
    assert worker_ledger.reserve(make_claim(attempt=2, accelerators=(5, 6))).ready
    with pytest.raises(refusals.StaleAttemptError):
        worker_ledger.arm(claims.Fence("job-1", 1))
    worker_ledger.arm(claims.Fence("job-1", 2))
    with pytest.raises(errors.BusyError):
        worker_ledger.reserve(make_claim(attempt=3, accelerators=(7,)))
    assert [use.attempt for use in worker_ledger.uses()] == [2]


def test_homes_refuse_unstoppable_gangs_of_other_teams(worker_ledger, make_claim):
    worker_ledger.reserve(make_claim("job-1", accelerators=(0,)))
    with pytest.raises(refusals.HomeError):
        worker_ledger.reserve(make_claim("job-2", accelerators=(1,), stoppable=False))
    worker_ledger.reserve(make_claim("job-3", accelerators=(1,), stoppable=False, team="anchor"))
    worker_ledger.reserve(make_claim("job-4", accelerators=(4,), stoppable=False))
    with pytest.raises(refusals.HomeError):
        worker_ledger.reserve(make_claim("job-5", accelerators=(5,), guarantee="anchor-4"))


def test_preemption_names_whole_gangs_and_is_ready_when_they_have_ended(
    worker_ledger, make_claim, anchor_claim
):
    preemptible_claims = [
        make_claim("job-a", accelerators=(2, 3, 4)),
        make_claim("job-b", accelerators=(5,)),
    ]
    for preemptible_claim in preemptible_claims:
        worker_ledger.reserve(preemptible_claim)
        worker_ledger.arm(preemptible_claim.fence)
        worker_ledger.mark_running(preemptible_claim.fence)
    reservation = worker_ledger.reserve(anchor_claim)
    assert (reservation.ready, reservation.victims) == (False, (preemptible_claims[0].fence,))
    worker_ledger.arm(anchor_claim.fence)
    with pytest.raises(refusals.StaleAttemptError):
        worker_ledger.mark_running(anchor_claim.fence)
    worker_ledger.release(preemptible_claims[0].fence)
    worker_ledger.mark_running(anchor_claim.fence)
    assert [use.job_id for use in worker_ledger.uses()] == ["job-anchor", "job-b"]


def test_only_one_of_two_preempting_claims_on_an_instance_is_granted(
    worker_ledger, make_claim, anchor_claim
):
    preemptible_claim = make_claim("job-a", accelerators=(0, 1, 2, 3))
    worker_ledger.reserve(preemptible_claim)
    worker_ledger.arm(preemptible_claim.fence)
    worker_ledger.reserve(anchor_claim)
    competing_claim = attrs.evolve(
        anchor_claim, fence=claims.Fence("job-rival", 1), owner="entry-2"
    )
    with pytest.raises(errors.BusyError):
        worker_ledger.reserve(competing_claim)
    worker_ledger.cancel_reservation(anchor_claim.fence)
    assert worker_ledger.reserve(competing_claim).victims == (preemptible_claim.fence,)


def test_preemption_releases_unarmed_reservations(worker_ledger, make_claim, anchor_claim):
    worker_ledger.reserve(make_claim("job-a", accelerators=(3,)))
    assert worker_ledger.reserve(anchor_claim).ready


def test_preemption_does_not_stop_gangs_of_the_claiming_team(
    worker_ledger, make_claim, anchor_claim
):
    worker_ledger.reserve(make_claim("job-own", accelerators=(0,), team="anchor"))
    with pytest.raises(errors.BusyError):
        worker_ledger.reserve(anchor_claim)


def test_accelerators_are_refused_while_the_previous_incarnation_may_hold_leases(
    make_ledger, make_claim, manual_clock
):
    worker_ledger = make_ledger(ledger.QUARANTINE_S)
    with pytest.raises(refusals.QuarantineError):
        worker_ledger.reserve(make_claim())
    manual_clock.advance(ledger.QUARANTINE_S)
    assert worker_ledger.reserve(make_claim()).ready


def test_an_older_revision_of_the_homes_is_ignored(worker_ledger, make_claim):
    assert not worker_ledger.set_homes((), 1)
    assert worker_ledger.set_homes((), 2)
    assert worker_ledger.reserve(make_claim(accelerators=(0,), stoppable=False)).ready
