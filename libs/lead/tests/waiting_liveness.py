"""How long a unit may wait beside sound workers with room for it, and beside work to preempt."""

import attrs

from papayaspar_jobs import tasks, units
from papayaspar_lead import planning_inputs
from papayaspar_runs import workers
from papayaspar_scheduling import health, ordering

from . import simulated_workers, waiting_checks, waiting_simulation

# Work that waited for longer beside room for twice its demand counts as lost (LOST), in seconds.
WAIT_MAX_S = 3.0
ROOM_MULTIPLE = 2
# Guaranteed urgent work starts within this time beside work that may be preempted, in seconds: the
# shorter `reclaim_ms` of docs/notes/waiting.md.
RECLAIM_MAX_S = 2.7
# A worker is sound once it has been well for the longest ejection and the longest time in which it
# fails a run, in seconds.
SOUND_AFTER_S = waiting_checks.EJECTION_MAX_S + 3.0


@attrs.define
class Room:
    """Accelerators on each worker that units may use, as far as those before them leave them."""

    free: dict[str, int]

    def slots(self, unit: units.Unit, nodes: list[str]) -> int:
        size = unit.step.counted_resources.accelerators
        return sum(max(0, self.free[node]) // size for node in nodes)

    def reserve(self, unit: units.Unit, nodes: list[str]) -> None:
        """Reserve the room of a unit on the first workers that have it, if they hold all of it."""
        if self.slots(unit, nodes) < len(unit.members):
            return
        size, missing_count = unit.step.counted_resources.accelerators, len(unit.members)
        for node in nodes:
            while missing_count and self.free[node] >= size:
                self.free[node] -= size
                missing_count -= 1


class WaitingCheck(waiting_checks.Check):
    """A unit starts within the stated times.

    It does beside sound workers that have room for twice its demand, after the demands of the units
    that come before it; and if it is guaranteed, where the work that may be preempted has its room.

    :param bad_workers: what the lead knows of the workers' health.
    """

    def __init__(self, bad_workers: waiting_checks.BadWorkersCheck) -> None:
        self._bad_workers = bad_workers
        self._beside_room_s: dict[tasks.TaskKey, float] = {}
        self._beside_victims_s: dict[tasks.TaskKey, float] = {}

    def note_lead(self) -> None:
        self._beside_room_s, self._beside_victims_s = {}, {}

    def after_plan(self) -> None:
        if not self.simulation.scheduler.is_lead_lease_valid():
            # U9: nothing starts in a long outage of the store.
            self.note_lead()
            return
        policy = ordering.ByNextValueLoss()
        inputs = planning_inputs.PlanningInputs(self.simulation.work)
        demands = inputs.demands(
            self.now_s, self.now_s * waiting_simulation.MILLISECONDS_PER_SECOND
        )
        demands.sort(key=lambda demand: policy.key(demand, self.now_s))
        room, reclaimable = Room(self._free()), Room(self._free(with_victims=True))
        beside_room, beside_victims = set(), set()
        for demand in demands:
            unit, nodes = demand.unit, self._usable_nodes(demand)
            if self._is_running(unit):
                continue
            if self._has_room(demand, nodes, room):
                beside_room.add(waiting_checks.key_of(unit))
            room.reserve(unit, nodes)
            if demand.rank is not ordering.Rank.GUARANTEED:
                continue
            if reclaimable.slots(unit, nodes) >= len(unit.members):
                beside_victims.add(waiting_checks.key_of(unit))
            reclaimable.reserve(unit, nodes)
        self._check(self._beside_room_s, beside_room, WAIT_MAX_S, "room")
        self._check(self._beside_victims_s, beside_victims, RECLAIM_MAX_S, "victims")

    def _check(
        self, since_s: dict[tasks.TaskKey, float], keys: set[tasks.TaskKey], max_s: float, what: str
    ) -> None:
        for key in set(since_s) - keys:
            del since_s[key]
        for key in sorted(keys):
            waited_s = self.now_s - since_s.setdefault(key, self.now_s)
            assert waited_s <= max_s, f"{key} waits {waited_s} s beside {what}"

    def _has_room(self, demand: ordering.Demand, nodes: list[str], room: Room) -> bool:
        """Return whether sound workers have room for twice a demand."""
        unclaimed = []
        for node in nodes:
            # C2: room that a unit before this one has claimed, unless this one ends in time.
            duration_s = demand.unit.step.estimate_ms / waiting_simulation.MILLISECONDS_PER_SECOND
            free = self.simulation.planner.free
            if free is not None and node in free and free.is_claimed(node):
                if free.available(node, duration_s) != free.free(node):
                    continue
            unclaimed.append(node)
        return room.slots(demand.unit, unclaimed) >= ROOM_MULTIPLE * len(demand.unit.members)

    def _free(self, with_victims: bool = False) -> dict[str, int]:
        """Return the free accelerators of each worker, after the runs that the lead may stop."""
        free = {}
        for node, worker in self.simulation.workers.items():
            accelerators = simulated_workers.CAPACITY.accelerators
            assigned = self.simulation.work.tasks_on_node(node)
            for task in assigned:
                if not (with_victims and self._is_reclaimable(task)):
                    accelerators -= task.step.counted_resources.accelerators
            keys = {(task.key, task.record.run) for task in assigned}
            for run_id, run in worker.runs.items():
                if run_id not in keys:
                    accelerators -= run.room.accelerators
            free[node] = accelerators
        return free

    def _is_reclaimable(self, task: units.Task) -> bool:
        """Return whether guaranteed work may have the room of an assigned task."""
        unit = task.unit
        if task.is_stopping:
            return True
        # F13: tasks that last are never preempted. U6: nor units that are being started.
        if unit.step.is_lasting or any(member.is_starting for member in unit.members):
            return False
        return not self._is_guaranteed(unit)

    def _is_guaranteed(self, unit: units.Unit) -> bool:
        inputs = planning_inputs.PlanningInputs(self.simulation.work)
        demand = inputs.restart_demand(
            unit, self.now_s, self.now_s * waiting_simulation.MILLISECONDS_PER_SECOND
        )
        return demand.rank is ordering.Rank.GUARANTEED

    def _is_running(self, unit: units.Unit) -> bool:
        """Return whether a worker has a run of a unit, so that no other may start (U4)."""
        keys = {member.key for member in unit.members}
        for worker in self.simulation.workers.values():
            if any(key in keys for key, _ in worker.runs):
                return True
        return False

    def _usable_nodes(self, demand: ordering.Demand) -> list[str]:
        return [node for node in self.simulation.workers if self._is_usable(demand.unit, node)]

    def _is_usable(self, unit: units.Unit, node: str) -> bool:
        """Return whether a worker is sound, and no open fault keeps a unit away from it."""
        worker, step = self.simulation.workers[node], unit.step
        if not self.simulation.is_open(node):
            return False
        if worker.incarnation is None or worker.condition is workers.Condition.DRAINING:
            return False
        if self.now_s - worker.ill_s < SOUND_AFTER_S:
            return False
        if step.required_label and step.required_label not in worker.labels:
            return False
        return self._is_free_of_faults(unit, node)

    def _is_free_of_faults(self, unit: units.Unit, node: str) -> bool:
        """Return whether no open fault of docs/notes/waiting.md bars a unit from a sound worker."""
        if node in self._bad_workers.ejected:
            # F1, F2: failures of the jobs' own fault eject a sound worker.
            return False
        paused_s = waiting_checks.paused_s(unit, self.now_s)
        if paused_s < waiting_checks.repeat_pause_s(unit, unit.next_run - 1):
            # S6, S8, S9: the pause of a unit that failed or was refused.
            if node in unit.failed_nodes or unit.failures > 0:
                return False
        # F4: failures of the jobs' own fault put a sound worker on trial again and again.
        return self._bad_workers.trials.get(node) is not health.Trial.CLOSED
