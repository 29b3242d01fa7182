"""Planning after a power loss of all VMs, while their workers reconnect one by one."""

from papayaspar_scheduling import ordering

URGENT, NORMAL = ordering.Rank.URGENT, ordering.Rank.NORMAL


def _connect(cluster, *nodes):
    for worker in cluster.workers:
        worker.is_open = worker.node in nodes


def test_same_rack_gang_waits_until_the_workers_of_a_rack_are_connected(cluster, make_step):
    """A check on two racks took three times as long because it was not delayed by another 60 ms.

    Seen on the simulated day kowhai-spar fresh-28a6.
    """
    gang = cluster.add_waiting_unit(make_step(2, is_gang=True, is_same_rack=True), URGENT)
    _connect(cluster, "node-0", "node-2")
    assert cluster.plan(100.0, is_reconnect_expected=True).starts == ()
    _connect(cluster, "node-0", "node-2", "node-3")
    (start,) = cluster.plan(100.1, is_reconnect_expected=True).starts
    assert start.demand.unit is gang
    assert set(start.nodes) == {"node-2", "node-3"}


def test_task_waits_until_the_rack_of_its_data_is_connected(cluster, make_step):
    cluster.add_waiting_unit(make_step(data_rack="r1-1"), NORMAL)
    _connect(cluster, "node-0", "node-1")
    assert cluster.plan(100.0, is_reconnect_expected=True).starts == ()


def test_same_rack_gang_starts_on_two_racks_when_no_reconnect_is_expected(cluster, make_step):
    cluster.add_waiting_unit(make_step(2, is_gang=True, is_same_rack=True), URGENT)
    _connect(cluster, "node-0", "node-2")
    (start,) = cluster.plan(100.0).starts
    assert set(start.nodes) == {"node-0", "node-2"}


def test_no_unit_is_preempted_on_two_racks_while_a_reconnect_is_expected(cluster, make_step):
    for node in ("node-0", "node-2"):
        cluster.add_running_unit(
            make_step(estimate_ms=20_000, is_checkpointed=True), node, rank=NORMAL
        )
    cluster.add_waiting_unit(make_step(2, is_gang=True, is_same_rack=True), URGENT)
    _connect(cluster, "node-0", "node-2")
    assert cluster.plan(100.0, is_reconnect_expected=True).stops == ()
    assert len(cluster.plan(100.1).stops) == 2


def test_work_for_any_rack_starts_at_once(cluster, make_step):
    cluster.add_waiting_unit(make_step(), NORMAL)
    _connect(cluster, "node-0")
    assert len(cluster.plan(100.0, is_reconnect_expected=True).starts) == 1
