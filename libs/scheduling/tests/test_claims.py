"""Gangs of whole workers among many small tasks of lower rank.

The load is that of overnight batches beside gangs: as soon as a small task ends, the next one takes
its place, so that no worker ever becomes free as a whole.
"""

from papayaspar_scheduling import ordering

NORMAL, BULK = ordering.Rank.NORMAL, ordering.Rank.BULK
LATE_S = 1000.0


def _fill_with_bulk(cluster, make_step, estimate_ms):
    """Run seven of eight small tasks on each worker, each to end at another time."""
    for number in range(4 * 7):
        step = make_step(accelerators=1, estimate_ms=estimate_ms + 100 * number)
        cluster.add_running_unit(step, f"node-{number % 4}", rank=BULK)


def _bulk_nodes(plan):
    return [node for start in plan.starts for node in start.nodes if start.demand.rank is BULK]


def test_gang_claims_the_workers_that_it_can_use_first(cluster, make_step):
    _fill_with_bulk(cluster, make_step, 10_000)
    cluster.add_running_unit(make_step(accelerators=1, estimate_ms=60_000), "node-0", rank=BULK)
    gang = make_step(3, is_gang=True, estimate_ms=15_000)
    cluster.add_waiting_unit(gang, NORMAL, worthless_after_s=LATE_S)
    for _ in range(8):
        cluster.add_waiting_unit(make_step(accelerators=1, estimate_ms=15_000), BULK)
    assert _bulk_nodes(cluster.plan()) == []


def test_small_tasks_use_workers_that_are_not_claimed(cluster, make_step):
    _fill_with_bulk(cluster, make_step, 10_000)
    gang = make_step(2, is_gang=True, estimate_ms=15_000)
    cluster.add_waiting_unit(gang, NORMAL, worthless_after_s=LATE_S)
    for _ in range(8):
        cluster.add_waiting_unit(make_step(accelerators=1, estimate_ms=15_000), BULK)
    assert len(set(_bulk_nodes(cluster.plan()))) == 2


def test_small_tasks_that_end_before_the_claim_begins_are_started(cluster, make_step):
    _fill_with_bulk(cluster, make_step, 10_000)
    gang = make_step(4, is_gang=True, estimate_ms=15_000)
    cluster.add_waiting_unit(gang, NORMAL, worthless_after_s=LATE_S)
    for _ in range(4):
        cluster.add_waiting_unit(make_step(accelerators=1, estimate_ms=2_000), BULK)
    assert len(_bulk_nodes(cluster.plan())) == 4


def test_gang_that_would_be_worthless_by_then_claims_nothing(cluster, make_step):
    _fill_with_bulk(cluster, make_step, 10_000)
    gang = make_step(2, is_gang=True, estimate_ms=15_000)
    cluster.add_waiting_unit(gang, NORMAL, objective_s=101.0, worthless_after_s=1.0)
    for _ in range(4):
        cluster.add_waiting_unit(make_step(accelerators=1, estimate_ms=15_000), BULK)
    assert len(_bulk_nodes(cluster.plan())) == 4


def test_nothing_is_claimed_while_most_accelerators_are_free(cluster, make_step):
    for number in range(4):
        step = make_step(accelerators=1, estimate_ms=60_000)
        cluster.add_running_unit(step, f"node-{number}", rank=BULK)
    gang = make_step(4, is_gang=True, estimate_ms=15_000)
    cluster.add_waiting_unit(gang, NORMAL, worthless_after_s=LATE_S)
    for _ in range(8):
        cluster.add_waiting_unit(make_step(accelerators=1, estimate_ms=90_000), BULK)
    assert len(_bulk_nodes(cluster.plan())) == 8


# Guards against a gang that waits for as long as small tasks of lower rank keep coming: gangs of
# whole workers waited 20 to 33 s while such tasks held most of the accelerators.
def test_gang_starts_once_the_small_tasks_that_run_when_it_comes_have_ended(cluster, make_step):
    run_time_s, now_s = 12.0, 100.0
    ends = []
    for number in range(4 * 8):
        step = make_step(accelerators=1, estimate_ms=12_000)
        unit = cluster.add_running_unit(step, f"node-{number % 4}", rank=BULK, elapsed_s=0.0)
        unit.members[0].started_s = now_s - run_time_s * number / 32
        ends.append((unit.members[0].started_s + run_time_s, unit))
    gang = cluster.add_waiting_unit(
        make_step(2, is_gang=True, estimate_ms=15_000), NORMAL, worthless_after_s=LATE_S
    )
    while now_s < 100.0 + run_time_s + 0.5:
        now_s += 0.25
        for end in [end for end in ends if end[0] <= now_s]:
            ends.remove(end)
            cluster.end_unit(end[1])
            cluster.add_waiting_unit(make_step(accelerators=1, estimate_ms=12_000), BULK)
        for start in cluster.plan(now_s).starts:
            if start.demand.unit is gang:
                return
            cluster.start_unit(start, now_s)
            ends.append((now_s + run_time_s, start.demand.unit))
    raise AssertionError("the gang did not start")
