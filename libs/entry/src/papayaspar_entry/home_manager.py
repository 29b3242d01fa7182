"""Homes of guarantees: packed by one entry, and published on the log for every process."""

import anyio

from papayaspar_entry import entry_links, records, rules_manager
from papayaspar_events import journal, lines
from papayaspar_model import errors, rulesets
from papayaspar_placement import fleet, homes
from papayaspar_platform import followers, logs

PACK_INTERVAL_S = 1.0
STABLE_AFTER_S = 2.0
REPEAT_INTERVAL_S = 300.0


class HomeManager:
    """Follows the homes on the log, and packs them again when rules or racks change.

    A home is the set of accelerators reserved for one instance of a guarantee.

    :param log: client of the platform's log.
    :param rules: manager of the rules in force.
    :param view: this entry's view of the fleet.
    :param links: streams to the other entries; the entry with the first live address packs.
    :param event_journal: journal of this process's events.
    """

    def __init__(
        self,
        log: logs.Log,
        rules: rules_manager.RulesManager,
        view: fleet.FleetView,
        links: entry_links.EntryLinks,
        event_journal: journal.Journal,
    ) -> None:
        self._log = log
        self._rules = rules
        self._view = view
        self._links = links
        self._journal = event_journal
        self._packed = records.HomesPacked(0, 0, 0, ())
        self._packed_inputs: tuple[int, tuple[rulesets.RackInventory, ...], int] | None = None

    @property
    def packed(self) -> records.HomesPacked:
        """The newest homes on the log."""
        return self._packed

    async def follow(self) -> None:
        """Read the log until cancelled; run this in a separate task."""
        follower = followers.Follower(self._log, records.HOMES_STREAM)
        while True:
            batch = await follower.next_batch()
            for record in batch.records:
                self._apply(record.data)

    async def pack(self) -> None:
        """Publish new homes when rules or racks change; run this in a separate task."""
        previous_racks: tuple[rulesets.RackInventory, ...] = ()
        stable_since_s = anyio.current_time()
        published_s = stable_since_s
        while True:
            await anyio.sleep(PACK_INTERVAL_S)
            now_s = anyio.current_time()
            racks = self._view.known_racks()
            if racks != previous_racks:
                previous_racks = racks
                stable_since_s = now_s
            # While workers are still joining, each change of the racks would cause another packing.
            if now_s - stable_since_s < STABLE_AFTER_S or not self._links.is_proposer:
                continue
            update = self._next_packing()
            if update is None and now_s - published_s > REPEAT_INTERVAL_S:
                update = self._repeat_current()
            if update is None:
                continue
            published_s = now_s
            await self._publish(update)

    def check(self, rules: rulesets.RuleSet) -> None:
        """Reject guarantees that can't be packed together into the known racks.

        :raises RulesError: if guarantees conflict; the error names them.
        """
        racks = self._view.known_racks()
        if racks:
            homes.check(rules.guarantees, racks)

    def _next_packing(self) -> records.HomesPacked | None:
        rules = self._rules.current
        racks = self._view.packable_racks()
        inputs = (rules.revision, racks, self._packed.revision)
        if inputs == self._packed_inputs:
            return None
        self._packed_inputs = inputs
        packing = homes.pack(rules.guarantees, racks, self._packed.homes)
        short = tuple(f"{name.guarantee}/{name.instance}" for name in packing.unplaced)
        if (packing.homes, short) == (self._packed.homes, self._packed.short):
            return None
        revision = self._packed.revision
        return records.HomesPacked(revision + 1, revision, rules.revision, packing.homes, short)

    def _repeat_current(self) -> records.HomesPacked | None:
        packed = self._packed
        if packed.revision == 0:
            return None
        return records.HomesPacked(
            packed.revision,
            packed.parent,
            packed.rules_revision,
            packed.homes,
            packed.short,
            repeated=True,
        )

    async def _publish(self, update: records.HomesPacked) -> None:
        try:
            await self._log.append(records.HOMES_STREAM, (records.encode(update),))
        except errors.LogUnavailableError:
            # The current homes stay in force while the log is unavailable; retry later.
            self._packed_inputs = None

    def _apply(self, data: bytes) -> None:
        try:
            record = records.decode(data)
        except records.InvalidRecordError:
            # Every reader ignores the same records, so all have the same homes.
            return
        if not isinstance(record, records.HomesPacked):
            return
        is_child = record.parent == self._packed.revision
        if record.revision <= self._packed.revision or not (is_child or record.repeated):
            return
        self._packed = record
        self._view.set_homes(record.homes)
        detail = f"revision {record.revision}, {len(record.homes)} homes"
        self._journal.record(lines.EventKind.HOMES_IN_FORCE, detail=detail)
        for name in record.short:
            self._journal.record(lines.EventKind.GUARANTEE_SHORT, detail=name)
        self._journal.metrics.set_state("short_guarantees", len(record.short))
        self._rules.changes.notify()
