"""Preemption and placement when urgent gangs arrive at a fleet full of long work."""

from papayaspar_jobs import tasks
from papayaspar_scheduling import evictions, ordering

NORMAL, BULK = ordering.Rank.NORMAL, ordering.Rank.BULK
URGENT, GUARANTEED = ordering.Rank.URGENT, ordering.Rank.GUARANTEED


def _fill(cluster, make_step, rank, elapsed_s, **changes):
    return [
        cluster.add_running_unit(
            make_step(estimate_ms=20_000, **changes),
            f"node-{number}",
            rank=rank,
            elapsed_s=elapsed_s,
        )
        for number in range(4)
    ]


def test_guaranteed_gang_preempts_whole_workers_at_any_cost(cluster, make_step):
    _fill(cluster, make_step, NORMAL, 15.0)
    cluster.add_waiting_unit(make_step(2, is_gang=True, is_same_rack=True), GUARANTEED)
    plan = cluster.plan()
    nodes = {victim.unit.members[0].record.node for victim, _ in plan.stops}
    assert nodes in ({"node-0", "node-1"}, {"node-2", "node-3"})


def test_urgent_work_beyond_the_guarantee_preempts_no_work_with_a_large_loss(cluster, make_step):
    """2,800 core-seconds were lost for one job beyond a guarantee.

    Seen on the simulated day booth-cloud scale-2.
    """
    _fill(cluster, make_step, NORMAL, 15.0)
    cluster.add_waiting_unit(make_step(1, is_gang=True), URGENT)
    assert cluster.plan().stops == ()


def test_urgent_work_beyond_the_guarantee_stops_checkpointed_work(cluster, make_step):
    _fill(cluster, make_step, BULK, 15.0, is_checkpointed=True)
    cluster.add_waiting_unit(make_step(1, is_gang=True), URGENT)
    assert len(cluster.plan().stops) == 1


def test_unit_with_the_lowest_cost_is_preempted(cluster, make_step):
    for number, elapsed_s in enumerate((15.0, 9.0, 1.0, 12.0)):
        cluster.add_running_unit(
            make_step(estimate_ms=20_000), f"node-{number}", rank=NORMAL, elapsed_s=elapsed_s
        )
    cluster.add_waiting_unit(make_step(1, is_gang=True), GUARANTEED)
    nodes = [victim.unit.members[0].record.node for victim, _ in cluster.plan().stops]
    assert nodes == ["node-2"]


def test_no_more_work_is_preempted_while_stopping_work_frees_capacity(cluster, make_step):
    units = _fill(cluster, make_step, NORMAL, 15.0)
    units[1].members[0].is_stopping = True
    cluster.add_waiting_unit(make_step(1, is_gang=True), GUARANTEED)
    plan = cluster.plan()
    assert plan.stops == ()
    assert plan.starts == ()


def test_reserved_capacity_is_not_assigned_to_work_of_lower_rank(cluster, make_step):
    units = _fill(cluster, make_step, NORMAL, 15.0)
    units[1].members[0].is_stopping = True
    cluster.add_waiting_unit(make_step(1, is_gang=True), GUARANTEED)
    cluster.add_waiting_unit(make_step(1, 1), BULK)
    assert cluster.plan().starts == ()


def test_guaranteed_work_never_preempts_guaranteed_work(cluster, make_step):
    _fill(cluster, make_step, GUARANTEED, 1.0)
    cluster.add_waiting_unit(make_step(1, is_gang=True), GUARANTEED)
    assert cluster.plan().stops == ()


def test_small_tasks_leave_whole_workers_free(cluster, make_step):
    cluster.add_running_unit(make_step(1, 1), "node-2", rank=BULK)
    for _ in range(3):
        cluster.add_waiting_unit(make_step(1, 1), BULK)
    nodes = {node for start in cluster.plan().starts for node in start.nodes}
    assert nodes == {"node-2"}


def test_eviction_in_progress_is_kept_while_its_worker_does_not_answer(cluster, make_step):
    """Each unanswered poll of a worker preempted other units for the same gang.

    Seen on the simulated day kowhai-spar scale-2, during a burst of checks while a twentieth of the
    orders got no answer: 24 tasks were stopped for one gang of three, eight after each unanswered
    poll.
    """
    _fill(cluster, make_step, BULK, 5.0, is_checkpointed=True)
    cluster.add_waiting_unit(make_step(1, is_gang=True), URGENT)
    first = cluster.plan()
    (victim, _) = first.stops[0]
    node = victim.unit.members[0].record.node
    next(worker for worker in cluster.workers if worker.node == node).is_open = False
    assert cluster.plan(100.3).stops == ()
    assert len(cluster.plan(100.0 + evictions.STOP_TIMEOUT_S).stops) == 1


def test_reserved_capacity_is_not_assigned_to_the_preempted_work(cluster, make_step):
    units = _fill(cluster, make_step, BULK, 5.0, is_checkpointed=True)
    cluster.add_waiting_unit(make_step(2, is_gang=True), URGENT)
    stopped = [victim for victim, _ in cluster.plan().stops]
    assert len(stopped) == 2
    ended_victim = stopped[0]
    cluster.stopping.remove(ended_victim)
    ended_victim.unit.members[0].record = tasks.TaskRecord()
    ended_victim.unit.members[0].is_stopping = False
    cluster.add_waiting_unit(units[0].step, BULK)
    assert cluster.plan(100.3).starts == ()


def test_late_urgent_work_stops_no_unsaved_work(cluster, make_step):
    """The backlog after a power loss of all VMs stopped 20 tasks.

    Seen on the simulated day kowhai-spar scale-2.
    """
    _fill(cluster, make_step, BULK, 2.0)
    cluster.add_waiting_unit(make_step(1, is_gang=True), URGENT, objective_s=103.0)
    assert cluster.plan().stops == ()


def test_urgent_work_about_to_become_worthless_preempts(cluster, make_step):
    _fill(cluster, make_step, BULK, 2.0)
    cluster.add_waiting_unit(
        make_step(1, is_gang=True), URGENT, objective_s=103.0, worthless_after_s=4.0
    )
    assert len(cluster.plan().stops) == 1


def test_worthless_urgent_work_preempts_nothing(cluster, make_step):
    _fill(cluster, make_step, BULK, 2.0)
    cluster.add_waiting_unit(
        make_step(1, is_gang=True), URGENT, objective_s=90.0, worthless_after_s=10.0
    )
    assert cluster.plan().stops == ()


def test_urgent_work_avoids_a_slow_worker(cluster, make_step):
    """Guards placement while a fifth of the workers are slow by a factor of six (srv_slow)."""
    cluster.workers[0].slowness = 6.5
    cluster.add_waiting_unit(make_step(3, 8, is_gang=True), URGENT)
    (start,) = cluster.plan().starts
    assert "node-0" not in start.nodes


def test_late_urgent_work_stops_checkpointed_work(cluster, make_step):
    _fill(cluster, make_step, BULK, 15.0, is_checkpointed=True)
    cluster.add_waiting_unit(make_step(1, is_gang=True), URGENT, objective_s=103.0)
    assert len(cluster.plan().stops) == 1


# Guards against preempting units for a gang that is then not placed: their capacity went to other
# units, and the gang preempted again in each round, 393 units in 5 s (issue 17).
def test_nothing_is_preempted_on_racks_that_the_gang_may_not_use(cluster, make_step):
    for node, elapsed_s in (("node-0", 20.0), ("node-1", 0.1), ("node-2", 20.0), ("node-3", 0.1)):
        cluster.add_running_unit(
            make_step(estimate_ms=60_000), node, rank=ordering.Rank.NORMAL, elapsed_s=elapsed_s
        )
    gang = make_step(2, is_gang=True, is_same_rack=True, estimate_ms=5_000)
    cluster.add_waiting_unit(gang, ordering.Rank.URGENT)
    assert cluster.plan().stops == ()


def test_room_of_an_eviction_is_kept_from_evictions_that_began_later(cluster, make_step):
    """A gang lost the free worker that it waited on, and stopped other work a second time.

    A later eviction, for work with the earlier latest start, took the free worker before its own
    victims had ended, which were stopped for nothing.
    """
    for number in range(1, 4):
        cluster.add_running_unit(make_step(estimate_ms=20_000), f"node-{number}", rank=BULK)
    gang = cluster.add_waiting_unit(make_step(2, is_gang=True), GUARANTEED, objective_s=130.0)
    first = cluster.plan()
    assert [demand.unit for _, demand in first.stops] == [gang]
    cluster.add_waiting_unit(make_step(estimate_ms=1000), GUARANTEED, objective_s=102.0)
    assert len(cluster.plan(100.1).stops) == 1
    third = cluster.plan(100.2)
    assert third.starts == ()
    assert third.stops == ()


def test_no_more_work_is_stopped_while_a_worker_still_lists_the_stopped_run(cluster, make_step):
    """Units were stopped on a second worker in the moment at which the first one was free.

    The end of a run is known before its worker's list is read without it; until then the run uses
    capacity.
    """
    _fill(cluster, make_step, BULK, 5.0)
    urgent = cluster.add_waiting_unit(make_step(), GUARANTEED)
    ((victim, _),) = cluster.plan().stops
    (task,) = victim.unit.members
    node = task.record.node
    task.record, task.is_stopping = tasks.TaskRecord(tasks.TaskPhase.WAITING, 1, node), False
    assert cluster.plan(100.4).stops == ()
    cluster.stopping.remove(victim)
    (start,) = cluster.plan(100.5).starts
    assert (start.demand.unit, start.nodes) == (urgent, (node,))


def test_failed_stop_ends_the_reservation_of_its_room(cluster, make_step):
    _fill(cluster, make_step, BULK, 5.0)
    cluster.add_waiting_unit(make_step(), GUARANTEED)
    ((victim, _),) = cluster.plan().stops
    victim.unit.members[0].is_stopping = False
    cluster.stopping.remove(victim)
    cluster.running.append(victim)
    assert len(cluster.plan(100.4).stops) == 1


def test_reservation_ends_with_the_start_of_its_unit(cluster, make_step):
    """A unit that started and failed at once may run elsewhere, and reserves nothing."""
    _fill(cluster, make_step, BULK, 5.0)
    cluster.add_waiting_unit(make_step(), GUARANTEED)
    ((victim, _),) = cluster.plan().stops
    (node,) = victim.nodes
    cluster.stopping.remove(victim)
    victim.unit.members[0].record = tasks.TaskRecord()
    (start,) = cluster.plan(100.4).starts
    start.demand.unit.members[0].failed_nodes.add(node)
    assert len(cluster.plan(100.6).stops) == 1


def test_room_that_a_higher_rank_takes_is_made_up_for_at_once(cluster, make_step):
    """An urgent gang noticed only at the end of all its stops that it no longer had room.

    A small guaranteed unit had taken part of the room that was being freed. The gang waited for
    0.8 s before others were stopped for it.
    """
    _fill(cluster, make_step, BULK, 5.0, is_checkpointed=True)
    gang = cluster.add_waiting_unit(make_step(2, is_gang=True), URGENT)
    assert len(cluster.plan().stops) == 2
    cluster.add_waiting_unit(make_step(1, 1), GUARANTEED)
    assert [demand.unit for _, demand in cluster.plan(100.1).stops] == [gang]
    assert cluster.plan(100.2).stops == ()
