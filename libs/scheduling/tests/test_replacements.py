"""Placement while the workers of a pool are replaced one after the other (rolling release)."""

from papayaspar_scheduling import ordering

NORMAL, BULK = ordering.Rank.NORMAL, ordering.Rank.BULK


def _replace(cluster, *nodes):
    for worker in cluster.workers:
        worker.is_replacement = worker.node in nodes


def _nodes(plan):
    return {node for start in plan.starts for node in start.nodes}


def test_unsaved_gang_runs_on_new_workers(cluster, make_step):
    _replace(cluster, "node-1", "node-3")
    cluster.add_waiting_unit(make_step(2, is_gang=True), NORMAL)
    assert _nodes(cluster.plan()) == {"node-1", "node-3"}


def test_checkpointed_tasks_leave_new_workers_free(cluster, make_step):
    _replace(cluster, "node-0", "node-1")
    for _ in range(16):
        cluster.add_waiting_unit(make_step(1, 1, is_checkpointed=True), BULK)
    assert _nodes(cluster.plan()) == {"node-2", "node-3"}


def test_unsaved_gang_uses_other_workers_when_new_ones_are_full(cluster, make_step):
    _replace(cluster, "node-1")
    cluster.add_running_unit(make_step(), "node-1", rank=BULK)
    cluster.add_waiting_unit(make_step(1, is_gang=True), NORMAL)
    assert _nodes(cluster.plan()) == {"node-0"}


def test_new_workers_are_not_preferred_to_workers_in_use_when_nothing_leaves(cluster, make_step):
    cluster.add_running_unit(make_step(1, 4), "node-2", rank=NORMAL)
    cluster.add_waiting_unit(make_step(1, 4), NORMAL)
    assert _nodes(cluster.plan()) == {"node-2"}
