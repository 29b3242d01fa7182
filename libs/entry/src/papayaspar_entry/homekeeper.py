"""Homes of guarantees: packed by one entry, published on the log, the same for every process."""

import anyio

from papayaspar_entry import entry_links, records, rulebook
from papayaspar_events import journal, lines
from papayaspar_model import errors, rulesets
from papayaspar_placement import fleet, homes
from papayaspar_platform import followers, logs

PACK_INTERVAL_S = 1.0
STEADY_S = 2.0
REPEAT_INTERVAL_S = 300.0


class Homekeeper:
    """Follows the homes on the log, and packs them anew when rules or racks change.

    :param log: the platform's log.
    :param book: the rules of this entry.
    :param view: the fleet as this entry sees it.
    :param links: streams to the other entries; the first live one packs.
    :param record: the process's journal.
    """

    def __init__(
        self,
        log: logs.Log,
        book: rulebook.Rulebook,
        view: fleet.FleetView,
        links: entry_links.EntryLinks,
        record: journal.Journal,
    ) -> None:
        self._log = log
        self._book = book
        self._view = view
        self._links = links
        self._journal = record
        self._packed = records.HomesPacked(0, 0, 0, ())
        self._considered: tuple[int, tuple[rulesets.RackInventory, ...], int] | None = None

    @property
    def packed(self) -> records.HomesPacked:
        """The newest homes."""
        return self._packed

    async def follow(self) -> None:
        """Read the log for as long as the entry lives; runs in a task of its own."""
        follower = followers.Follower(self._log, records.HOMES_STREAM)
        while True:
            batch = await follower.next_batch()
            for item in batch.records:
                self._offer(item.data)

    async def pack(self) -> None:
        """Publish new homes when they are due; runs in a task of its own."""
        racks_before: tuple[rulesets.RackInventory, ...] = ()
        steady_since_s = anyio.current_time()
        published_s = steady_since_s
        while True:
            await anyio.sleep(PACK_INTERVAL_S)
            now_s = anyio.current_time()
            racks = self._view.known_racks()
            if racks != racks_before:
                racks_before = racks
                steady_since_s = now_s
            # A fleet that is still coming up would be packed again and again.
            if now_s - steady_since_s < STEADY_S or not self._links.is_first:
                continue
            due = self._due()
            if due is None and now_s - published_s > REPEAT_INTERVAL_S:
                due = self._repetition()
            if due is None:
                continue
            published_s = now_s
            await self._publish(due)

    def check(self, rules: rulesets.RuleSet) -> None:
        """Refuse guarantees that can't be packed together into the known racks.

        :raises RulesError: naming the guarantees that clash.
        """
        racks = self._view.known_racks()
        if racks:
            homes.check(rules.guarantees, racks)

    def _due(self) -> records.HomesPacked | None:
        rules = self._book.rules
        racks = self._view.packable_racks()
        wanted = (rules.revision, racks, self._packed.revision)
        if wanted == self._considered:
            return None
        self._considered = wanted
        packing = homes.pack(rules.guarantees, racks, self._packed.homes)
        short = tuple(f"{name.guarantee}/{name.instance}" for name in packing.unplaced)
        if (packing.homes, short) == (self._packed.homes, self._packed.short):
            return None
        revision = self._packed.revision
        return records.HomesPacked(revision + 1, revision, rules.revision, packing.homes, short)

    def _repetition(self) -> records.HomesPacked | None:
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

    async def _publish(self, due: records.HomesPacked) -> None:
        try:
            await self._log.append(records.HOMES_STREAM, (records.encode(due),))
        except errors.LogUnavailableError:
            # The homes stand as they are while the log is away.
            self._considered = None

    def _offer(self, data: bytes) -> None:
        try:
            record = records.decode(data)
        except records.InvalidRecordError:
            # Every reader passes the same bytes over, so all have the same homes.
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
        self._book.changes.changed()
