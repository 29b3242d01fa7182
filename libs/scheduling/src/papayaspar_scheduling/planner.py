"""One planning: from what waits and what runs to starts and stops."""

import attrs

from papayaspar_scheduling import clearing, fleet, ordering, placement, preemption

# A unit takes racks that make it slow once it has waited so many times its own estimate.
FAR_AFTER_ESTIMATES = 1.0
MILLISECONDS_PER_SECOND = 1000.0


@attrs.frozen(eq=False)
class Start:
    """A unit to start.

    :param demand: what waited.
    :param nodes: machine of each member, in order.
    """

    demand: ordering.Demand
    nodes: tuple[str, ...]


@attrs.frozen(eq=False)
class Plan:
    """What to do now.

    :param starts: units to start.
    :param stops: units to stop, each with the demand that needs its room.
    :param moves: units to stop since there is room for them on workers that stay.
    """

    starts: tuple[Start, ...]
    stops: tuple[tuple[preemption.Victim, ordering.Demand], ...]
    moves: tuple[ordering.Demand, ...] = ()


class Planner:
    """Plans with exchangeable policies.

    :param order: who is served first.
    :param places: where tasks go.
    :param preempts: what is stopped for urgent work.
    """

    def __init__(
        self,
        order: ordering.Ordering | None = None,
        places: placement.PlacementPolicy | None = None,
        preempts: preemption.PreemptionPolicy | None = None,
    ) -> None:
        self._order = order or ordering.ByNextLoss()
        self._places = places or placement.PackedPlacement()
        self._preempts = preempts or preemption.CheapestUnits()
        self._clearings = clearing.Clearings()
        self._is_settling = False

    def plan(
        self,
        demands: list[ordering.Demand],
        free: fleet.FreeRoom,
        freeing: fleet.FreeRoom,
        victims: list[preemption.Victim],
        now_s: float,
        is_settling: bool = False,
        leaving: list[ordering.Demand] | None = None,
    ) -> Plan:
        """Plan once.

        :param demands: what waits.
        :param free: room that is left now; changed by the planning.
        :param freeing: the same with what is being stopped given back; changed too.
        :param victims: running units, for preemption.
        :param now_s: the lead's clock.
        :param is_settling: whether workers are expected back in a moment; until then no unit takes
            racks that make it slow only because the others can't be seen.
        :param leaving: running units that are lost with a worker that leaves, as they would wait.
        """
        self._is_settling = is_settling
        starts: list[Start] = []
        stops: list[tuple[preemption.Victim, ordering.Demand]] = []
        left = list(victims)
        unplaceable, unplaceable_later = _Unplaceable(), _Unplaceable()
        self._clearings.prune(now_s)
        moves: list[ordering.Demand] = []
        running = frozenset(leaving or ())
        wanted = [*demands, *running]
        for demand in sorted(wanted, key=lambda each: self._order.key(each, now_s)):
            nodes = self._choose(demand, free, freeing, unplaceable)
            if nodes is not None:
                _take(demand, nodes, free)
                _take(demand, nodes, freeing)
                if demand in running:
                    moves.append(demand)
                else:
                    starts.append(Start(demand, nodes))
                continue
            if demand in running:
                continue
            # Room that is being cleared is awaited though its worker is silent for a moment.
            reserved = self._clearings.nodes(demand, now_s)
            if reserved is None:
                reserved = self._choose(demand, freeing, freeing, unplaceable_later)
            if reserved is None:
                chosen = self._preempt(demand, freeing, left, now_s)
                for victim in chosen:
                    left.remove(victim)
                    stops.append((victim, demand))
                    _give_back(victim, freeing)
                    unplaceable_later.clear()
                reserved = (
                    self._choose(demand, freeing, freeing, unplaceable_later) if chosen else None
                )
                if reserved is not None:
                    self._clearings.begin(demand, reserved, chosen, now_s)
            if reserved is not None:
                _take(demand, reserved, free)
                _take(demand, reserved, freeing)
        return Plan(tuple(starts), tuple(stops), tuple(moves))

    def _choose(
        self,
        demand: ordering.Demand,
        free: fleet.FreeRoom,
        whole: fleet.FreeRoom,
        unplaceable: "_Unplaceable",
    ) -> tuple[str, ...] | None:
        if unplaceable.is_known(demand):
            return None
        for reach in self._reaches(demand, whole):
            nodes = self._places.choose(demand, free, reach)
            if nodes is not None:
                return nodes
        unplaceable.note(demand)
        return None

    def _preempt(
        self,
        demand: ordering.Demand,
        freeing: fleet.FreeRoom,
        victims: list[preemption.Victim],
        now_s: float,
    ) -> tuple[preemption.Victim, ...]:
        if demand.rank > ordering.Rank.URGENT:
            return ()
        allowed = [victim for victim in victims if victim.rank > demand.rank]
        best: tuple[preemption.Victim, ...] | None = None
        best_cost = 0.0
        reaches = [placement.Reach()]
        if not self._is_settling:
            reaches.append(placement.Reach(is_far_allowed=True))
        for reach in reaches:
            for group in placement.groups(demand, freeing, reach):
                chosen = self._preempts.choose(demand, group, freeing, allowed)
                if chosen is None:
                    continue
                cost = sum(victim.cost_core_s for victim in chosen)
                if not preemption.is_worth(demand, cost, now_s):
                    continue
                if best is None or cost < best_cost:
                    best, best_cost = chosen, cost
            if best is not None:
                return best
        return ()

    def _reaches(self, demand: ordering.Demand, whole: fleet.FreeRoom) -> list[placement.Reach]:
        """Return how far a demand may be put, nearest first."""
        near = placement.Reach()
        step = demand.unit.step
        reaches = [near]
        has_waited_long = _has_waited_long(demand)
        if step.data_rack or step.is_same_rack:
            fits = any(
                placement.can_hold_when_empty(demand, group)
                for group in placement.groups(demand, whole, near)
            )
            if has_waited_long or not (fits or self._is_settling):
                reaches.append(placement.Reach(is_far_allowed=True))
        if has_waited_long:
            reaches.append(placement.Reach(is_far_allowed=True, is_untrusted_allowed=True))
        return reaches


class _Unplaceable:
    """The kinds of units for which room that only shrinks holds no place any more.

    A thousand tasks of a flood wait for the same room: one try tells for all of them.
    """

    def __init__(self) -> None:
        self._kinds: set[tuple[object, ...]] = set()

    def is_known(self, demand: ordering.Demand) -> bool:
        """Return whether a unit of the same kind found no place."""
        return bool(self._kinds) and _kind(demand) in self._kinds

    def note(self, demand: ordering.Demand) -> None:
        """Note that a unit found no place."""
        self._kinds.add(_kind(demand))

    def clear(self) -> None:
        """Forget all: room was given back."""
        self._kinds.clear()


def _kind(demand: ordering.Demand) -> tuple[object, ...]:
    """Return all of a unit that its placement depends on."""
    step = demand.unit.step
    limited = fleet.step_name(demand.unit.members[0].key) if step.per_worker_max else ""
    return (
        step.counted_room,
        step.required_label,
        step.data_rack,
        step.is_same_rack,
        len(demand.unit.members),
        demand.unit.failed_nodes,
        _has_waited_long(demand),
        limited,
    )


def _has_waited_long(demand: ordering.Demand) -> bool:
    estimate_s = demand.unit.step.estimate_ms / MILLISECONDS_PER_SECOND
    return demand.waited_s >= FAR_AFTER_ESTIMATES * estimate_s


def _take(demand: ordering.Demand, nodes: tuple[str, ...], free: fleet.FreeRoom) -> None:
    for task, node in zip(demand.unit.members, nodes, strict=True):
        free.take(node, task.step.counted_room, fleet.step_name(task.key))


def _give_back(victim: preemption.Victim, free: fleet.FreeRoom) -> None:
    for task in victim.unit.members:
        if task.is_assigned:
            free.give_back(task.record.node, task.step.counted_room, fleet.step_name(task.key))
