"""Tests of the view of the fleet and of entitlements."""

from papayaspar_model import work
from papayaspar_placement import entitlements, homes


def test_older_reports_are_ignored(view_of, report_of, use_of):
    view = view_of("r0")
    assert view.observe(report_of("r0-w0", 5, gangs=[use_of("j", (0, 1))]), 10.0)
    assert not view.observe(report_of("r0-w0", 4), 11.0)
    assert view.team_accelerators("blue") == 2
    assert view.gang("j").started_s == 5.0
    assert view.observe(report_of("r0-w0", 1, incarnation=2), 12.0)
    assert view.team_accelerators("blue") == 0


def test_gang_is_merged_from_the_reports_of_its_workers(view_of, report_of, use_of):
    view = view_of("r0")
    view.observe(report_of("r0-w0", 2, gangs=[use_of("j", (0,))]), 1.0)
    view.observe(report_of("r0-w1", 2, gangs=[use_of("j", (3, 4))]), 1.0)
    assert view.gang("j").accelerators == 3
    view.remove_worker("r0-w1")
    assert view.gang("j").accelerators == 1


def test_assumed_gang_counts_until_reported_or_released(
    view_of, report_of, use_of, job_of, start_job
):
    view = view_of("r0")
    start_job(view, job_of("j"), ("r0-w0", (7,)))
    view.observe(report_of("r0-w0", 2), 1.0)
    assert 7 not in view.worker("r0-w0").free
    view.observe(report_of("r0-w0", 3, gangs=[use_of("j", (7,))]), 2.0)
    view.observe(report_of("r0-w0", 4), 3.0)
    assert 7 in view.worker("r0-w0").free
    start_job(view, job_of("k"), ("r0-w0", (7,)))
    view.release("k")
    assert view.team_accelerators("blue") == 0


def test_report_of_an_earlier_attempt_does_not_confirm_a_start(
    view_of, report_of, use_of, job_of, start_job
):
    view = view_of("r0")
    view.observe(report_of("r0-w0", 2, gangs=[use_of("j", (0,), attempt=4)]), 1.0)
    start_job(view, job_of("j"), ("r0-w0", (7,)), ("r0-w1", (7,)))
    view.observe(report_of("r0-w0", 3, gangs=[use_of("j", (0,), attempt=4)]), 2.0)
    view.observe(report_of("r0-w1", 2, gangs=[use_of("j", (1,), attempt=3)]), 2.0)
    assert view.is_assumed("j")
    assert 7 not in view.worker("r0-w0").free
    assert 7 not in view.worker("r0-w1").free
    for worker in ("r0-w0", "r0-w1"):
        view.observe(report_of(worker, 4, gangs=[use_of("j", (7,), attempt=5)]), 3.0)
    assert not view.is_assumed("j")
    assert view.team_accelerators("blue") == 2


# Guards against accelerators that count as free while a gang starts on them: a worker whose stream
# was slow reports an earlier attempt, which the others have already ended.
def test_late_report_of_an_attempt_that_has_ended_does_not_confirm_a_start(
    view_of, report_of, use_of, job_of, start_job
):
    view = view_of("r0")
    view.observe(report_of("r0-w0", 2, gangs=[use_of("j", (0,), attempt=4)]), 1.0)
    view.observe(report_of("r0-w0", 3), 1.5)
    start_job(view, job_of("j"), ("r0-w0", (7,)), ("r0-w1", (7,)))
    view.expect_attempt("j", 5)
    view.observe(report_of("r0-w1", 2, gangs=[use_of("j", (1,), attempt=4)]), 2.0)
    assert 7 not in view.worker("r0-w1").free
    for worker in ("r0-w0", "r0-w1"):
        view.observe(report_of(worker, 4, gangs=[use_of("j", (7,), attempt=5)]), 3.0)
    assert not view.is_assumed("j")


def test_repeated_reports_of_a_gang_count_once(view_of, report_of, use_of):
    view = view_of("r0")
    for sequence in range(2, 6):
        for worker in ("r0-w0", "r0-w1"):
            view.observe(report_of(worker, sequence, gangs=[use_of("j", (0, 1))]), sequence)
            view.observe(report_of(worker, sequence, gangs=[use_of("j", (0, 1))]), sequence)
    assert view.team_accelerators("blue") == 4
    assert len(list(view.gangs())) == 1


def test_ejected_and_draining_workers_have_no_free_accelerators(view_of, report_of):
    view = view_of("r0")
    view.set_ejected({"r0-w0"})
    view.observe(report_of("r0-w1", 2, draining=True), 1.0)
    assert [rack.free for rack in view.racks()] == [8]
    view.set_ejected(())
    assert [rack.free for rack in view.racks()] == [16]


def test_guaranteed_and_borrowed_gangs_follow_from_current_use(
    view_of, rack_of, guarantee_of, job_of, start_job
):
    packing = homes.pack((guarantee_of("blue", 1, 8, count=2),), (rack_of("r0"),))
    view = view_of("r0", homes=packing.homes)
    wide = job_of("guaranteed", accelerators=8)
    for number in range(2):
        assert view.is_guaranteed(wide)
        start_job(
            view, job_of(f"j{number}", accelerators=8), ("r0-w2" if number else "r0-w0", range(8))
        )
    assert not view.is_guaranteed(wide)
    start_job(view, job_of("j2", accelerators=8), ("r0-w1", range(8)))
    entitlement = view.entitlement("blue")
    assert len(entitlement.guaranteed) == 2
    assert len(entitlement.borrowed) == 1
    view.release("j0")
    assert len(view.entitlement("blue").guaranteed) == 2
    assert not view.is_guaranteed(wide)


def test_small_gangs_share_an_instance(guarantee_of, rack_of, job_of, view_of, start_job):
    packing = homes.pack((guarantee_of("blue", 2, 4),), (rack_of("r0"),))
    view = view_of("r0", homes=packing.homes)
    start_job(view, job_of("j"), ("r0-w0", (0,)))
    (unused,) = view.entitlement("blue").unused_instances
    assert unused.accelerators == 7
    assert unused.fits(work.Shape(1, 4))
    assert not unused.fits(work.Shape(2, 4))
    assert view.entitlement("blue").on_own_homes == {entitlements.GangName("j", 0)}
