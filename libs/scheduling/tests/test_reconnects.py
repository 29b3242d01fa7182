"""Planning after a power loss of all VMs, while their workers reconnect one by one."""

from papayaspar_scheduling import ordering

URGENT, NORMAL = ordering.Rank.URGENT, ordering.Rank.NORMAL


def _connect(bench, *nodes):
    for worker in bench.workers:
        worker.is_open = worker.node in nodes


def test_same_rack_gang_waits_until_the_workers_of_a_rack_are_connected(bench, make_step):
    """A check ran three times as long on two racks because it did not wait another 60 ms.

    Seen on kowhai-spar fresh-28a6.
    """
    gang = bench.wait(make_step(2, is_gang=True, is_same_rack=True), URGENT)
    _connect(bench, "node-0", "node-2")
    assert bench.plan(100.0, is_reconnect_pending=True).starts == ()
    _connect(bench, "node-0", "node-2", "node-3")
    (start,) = bench.plan(100.1, is_reconnect_pending=True).starts
    assert start.demand.unit is gang
    assert set(start.nodes) == {"node-2", "node-3"}


def test_task_waits_until_the_rack_of_its_data_is_connected(bench, make_step):
    bench.wait(make_step(data_rack="r1-1"), NORMAL)
    _connect(bench, "node-0", "node-1")
    assert bench.plan(100.0, is_reconnect_pending=True).starts == ()


def test_same_rack_gang_starts_on_two_racks_when_no_reconnect_is_pending(bench, make_step):
    bench.wait(make_step(2, is_gang=True, is_same_rack=True), URGENT)
    _connect(bench, "node-0", "node-2")
    (start,) = bench.plan(100.0).starts
    assert set(start.nodes) == {"node-0", "node-2"}


def test_nothing_is_preempted_on_two_racks_while_reconnects_are_pending(bench, make_step):
    for node in ("node-0", "node-2"):
        bench.run(make_step(estimate_ms=20_000, is_checkpointed=True), node, rank=NORMAL)
    bench.wait(make_step(2, is_gang=True, is_same_rack=True), URGENT)
    _connect(bench, "node-0", "node-2")
    assert bench.plan(100.0, is_reconnect_pending=True).stops == ()
    assert len(bench.plan(100.1).stops) == 2


def test_work_for_any_rack_starts_at_once(bench, make_step):
    bench.wait(make_step(), NORMAL)
    _connect(bench, "node-0")
    assert len(bench.plan(100.0, is_reconnect_pending=True).starts) == 1
