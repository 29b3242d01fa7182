"""Placement policy that preserves free capacity for the largest guaranteed shapes."""

import heapq

import attrs

from papayaspar_model import work, workers
from papayaspar_placement import (
    assignments,
    completions,
    consolidation,
    entitlements,
    fleet,
    inventory,
    placement_costs,
    policies,
)

MAX_SHAPES_PRESERVED = 3
MAX_TIED_OPTIONS = 48
MAX_CACHED_OPTIONS = 16  # per rack


@attrs.frozen
class _Option:
    """Workers of one rack that can run a whole gang, and the cost of that placement."""

    order: placement_costs.FillOrder
    rack: inventory.RackView

    def workers(self) -> list[inventory.WorkerView]:
        """Return the workers in the order in which they are filled."""
        in_name_order = tuple(self.rack.workers.values())
        return [in_name_order[index] for index in self.order.indices]


@attrs.frozen
class _CacheKey:
    """Properties of a job that determine its options in a rack.

    :param shape: shape of the job.
    :param stoppable: whether the job may be preempted.
    :param checkpoint: whether it can checkpoint.
    :param team: its team if the team has homes in the rack, else empty.
    """

    shape: work.Shape
    stoppable: bool
    checkpoint: bool
    team: str


@attrs.define
class _CacheEntry:
    """Cached lowest-cost options of one version of a rack, by job properties."""

    rack: inventory.RackView
    version: int
    options: dict[_CacheKey, list[_Option]] = attrs.field(factory=dict)


class ShapeKeeping(policies.PlacementPolicy):
    """Prefers a single rack, preserves the largest guaranteed shapes and uses avoided workers last.

    Among placements that preserve the same shapes, it chooses the one that least delays the time
    at which its workers become empty.

    :param estimator: estimates how long running gangs take.
    :param consolidator: proposes moves that empty workers; ``None`` disables moves.
    """

    name = "shape_keeping"

    def __init__(
        self,
        estimator: completions.CompletionEstimator,
        consolidator: consolidation.Consolidator | None = None,
    ) -> None:
        self._estimator = estimator
        self._consolidator = consolidator
        self._shapes: tuple[work.Shape, ...] = ()
        self._cache: dict[str, _CacheEntry] = {}

    def place(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Choose a home of the team, else one rack, one data centre or several data centres."""
        placement = self._place_on_home(job, view)
        if placement is not None:
            return placement
        ranges = self._place_in_rack(job, view)
        if ranges is None and job.shape.adjacency is work.Adjacency.ANY:
            ranges = self._place_across_racks(job, view)
        return assignments.build_placement(ranges, job, view)

    def moves(self, view: fleet.FleetView) -> tuple[consolidation.Move, ...]:
        """Return moves that empty a worker.

        :param view: the view of the fleet.
        """
        return () if self._consolidator is None else self._consolidator.propose(view)

    def _place_on_home(self, job: work.Job, view: fleet.FleetView) -> workers.Placement | None:
        """Return a placement on a free home of exactly the job's size, if the team has one."""
        if not view.is_guaranteed(job):
            return None
        for unused in view.entitlement(job.team).unused_instances:
            total = sum(len(task_range.accelerators) for task_range in unused.home.tasks)
            if total != job.shape.accelerators or not unused.fits(job.shape):
                continue
            if _is_home_free(unused, view):
                ranges = assign_in_instance(unused, job.shape)
                return workers.Placement(ranges, unused.home.guarantee, unused.home.instance)
        return None

    def _place_in_rack(self, job: work.Job, view: fleet.FleetView) -> assignments.TaskRanges | None:
        self._set_shapes(view.guaranteed_shapes()[:MAX_SHAPES_PRESERVED])
        need = job.shape.accelerators
        size = job.shape.accelerators_per_task
        best: list[_Option] = []
        for rack in view.racks():
            if rack.free < need or rack.most_free < size:
                continue
            options = self._lowest_cost_options(rack, job)
            if not options or (best and options[0].order.rank > best[0].order.rank):
                continue
            if best and options[0].order.rank < best[0].order.rank:
                best = []
            best.extend(options)
        if not best:
            return None
        if len(best) == 1:
            return assignments.assign_in_order(best[0].workers(), job)
        run_time_s = self._estimator.run_times.estimate_s(job)

        def preference(option: _Option) -> tuple[float, int, str, str]:
            delay_s = self._delay_s(option, run_time_s, view)
            first = option.workers()[0]
            return (delay_s, option.rack.free, option.rack.name, first.name)

        tightest = heapq.nsmallest(
            MAX_TIED_OPTIONS, best, key=lambda option: (option.rack.free, option.rack.name)
        )
        return assignments.assign_in_order(min(tightest, key=preference).workers(), job)

    def _set_shapes(self, shapes: tuple[work.Shape, ...]) -> None:
        if shapes != self._shapes:
            self._shapes = shapes
            self._cache = {}

    def _lowest_cost_options(self, rack: inventory.RackView, job: work.Job) -> list[_Option]:
        """Return the lowest-cost options of a rack; they are cached until the rack changes."""
        cached = self._cache.get(rack.name)
        if cached is None or cached.rack is not rack or cached.version != rack.version:
            cached = _CacheEntry(rack, rack.version)
            self._cache[rack.name] = cached
        team = job.team if job.team in rack.teams_with_homes else ""
        cache_key = _CacheKey(job.shape, job.stoppable, job.checkpoint, team)
        options = cached.options.get(cache_key)
        if options is not None:
            return options
        worker_keys = tuple(_worker_key(worker, team) for worker in rack.workers.values())
        gang_key = placement_costs.GangCostKey(
            job.shape.tasks, job.shape.accelerators_per_task, job.stoppable, job.checkpoint
        )
        orders = placement_costs.lowest_cost_orders(worker_keys, gang_key, self._shapes)
        options = [_Option(order, rack) for order in orders]
        if len(cached.options) == MAX_CACHED_OPTIONS:
            cached.options.clear()
        cached.options[cache_key] = options
        return options

    def _delay_s(self, option: _Option, run_time_s: float, view: fleet.FleetView) -> float:
        """Return the total delay, over an option's workers, until they become empty."""
        delay_s = 0.0
        for worker in option.workers():
            remaining_s = self._estimator.worker_remaining_s(worker, view)
            delay_s += max(0.0, run_time_s - remaining_s)
        return delay_s

    def _place_across_racks(
        self, job: work.Job, view: fleet.FleetView
    ) -> assignments.TaskRanges | None:
        racks: dict[str, list[inventory.RackView]] = {}
        task_counts: dict[str, int] = {}
        for rack in view.racks():
            task_count = assignments.task_capacity(rack, job)
            if not task_count:
                continue
            racks.setdefault(rack.data_centre, []).append(rack)
            task_counts[rack.data_centre] = task_counts.get(rack.data_centre, 0) + task_count
        if sum(task_counts.values()) < job.shape.tasks:
            return None
        sufficient = [
            (count, name) for name, count in task_counts.items() if count >= job.shape.tasks
        ]
        data_centre_names = (
            [min(sufficient)[1]]
            if sufficient
            else sorted(task_counts, key=lambda name: -task_counts[name])
        )
        order: list[inventory.WorkerView] = []
        for data_centre_name in data_centre_names:
            for rack in sorted(
                racks[data_centre_name], key=lambda candidate: (-candidate.free, candidate.name)
            ):
                order.extend(sorted(rack.workers.values(), key=_tightest_first))
        return assignments.assign_in_order(order, job)


def assign_in_instance(
    unused: entitlements.UnusedInstance, shape: work.Shape
) -> assignments.TaskRanges:
    """Assign accelerators to a shape in the unused part of an instance.

    :param unused: an unused part in which the shape fits.
    :param shape: the shape.
    :return: one range per task.
    """
    ranges: list[workers.AcceleratorRange] = []
    size = shape.accelerators_per_task
    for task_range in unused.tasks:
        for start in range(0, len(task_range.accelerators) - size + 1, size):
            if len(ranges) == shape.tasks:
                return tuple(ranges)
            chosen = task_range.accelerators[start : start + size]
            ranges.append(workers.AcceleratorRange(task_range.worker, chosen))
    return tuple(ranges)


def _is_home_free(unused: entitlements.UnusedInstance, view: fleet.FleetView) -> bool:
    for task_range in unused.home.tasks:
        worker = view.worker(task_range.worker)
        if worker is None or worker.is_avoided or view.is_excluded(worker):
            return False
        if not set(task_range.accelerators).issubset(worker.free):
            return False
    return True


def _worker_key(worker: inventory.WorkerView, team: str) -> placement_costs.WorkerCostKey:
    return placement_costs.WorkerCostKey(
        free=len(worker.free),
        unreserved=len(worker.unreserved),
        own_reserved=len(worker.reserved_for(team)) if team else 0,
        movable=worker.movable,
        is_pinned=worker.is_pinned,
        is_avoided=worker.is_avoided,
    )


def _tightest_first(worker: inventory.WorkerView) -> tuple[bool, bool, int, str]:
    return (worker.is_avoided, not worker.is_pinned, len(worker.free), worker.name)
