"""The table of workers an entry knows, built from what their agents report."""

import enum
import random

import anyio
import attrs

from papayaspar_model import errors, workers


class StaleMemberError(errors.PapayasparError):
    """A newer life of the same worker is known already."""

    code = "stale_member"
    status = 409
    title = "A newer incarnation of the worker is known"


class Change(enum.Enum):
    """What a report meant for the table."""

    JOINED = "joined"
    REPLACED = "replaced"
    RETURNED = "returned"
    UPDATED = "updated"
    STALE = "stale"


@attrs.define
class Member:
    """One worker as this entry sees it.

    :param report: newest report.
    :param is_connected: whether a stream to its agent is open.
    :param lost_at_s: when the last stream ended, or ``None`` while connected.
    :param assigned_slots: requests this entry has sent there that are not answered yet.
    """

    report: workers.WorkerReport
    is_connected: bool = True
    lost_at_s: float | None = None
    assigned_slots: int = 0

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.report.identity.worker

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent there."""
        return self.is_connected and not self.report.draining

    @property
    def free_slots(self) -> int:
        """Slots that are free as far as this entry can tell."""
        busy = max(self.report.busy_slots, self.assigned_slots)
        return max(0, self.report.capacity.slots - busy)


class MemberTable:
    """Workers by name; the newest incarnation and sequence number win."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._ordered: tuple[Member, ...] = ()
        self._changed = anyio.Event()

    def __len__(self) -> int:
        return len(self._members)

    def all(self) -> tuple[Member, ...]:
        """Return every member, lost ones too, by name."""
        return self._ordered

    def sample(self, count: int) -> tuple[Member, ...]:
        """Return some members by chance, each at most once, at a cost that is theirs alone.

        :param count: how many; fewer if there are not as many.
        """
        return tuple(random.sample(self._ordered, min(count, len(self._ordered))))

    def has_usable(self) -> bool:
        """Return whether new work may be sent to any member."""
        return any(member.is_usable for member in self._ordered)

    def get(self, worker: str) -> Member | None:
        """Return a member by the name of its worker."""
        return self._members.get(worker)

    def observe(self, report: workers.WorkerReport) -> Change:
        """Take a report.

        :param report: what an agent said.
        :return: what it changed; a stale report changes nothing.
        """
        name = report.identity.worker
        member = self._members.get(name)
        if member is None:
            self._members[name] = Member(report)
            self._reorder()
            return Change.JOINED
        known = member.report.identity.incarnation
        if report.identity.incarnation < known:
            return Change.STALE
        if report.identity.incarnation > known:
            self._members[name] = Member(report)
            self._reorder()
            return Change.REPLACED
        if report.sequence < member.report.sequence:
            return Change.STALE
        member.report = report
        change = Change.UPDATED if member.is_connected else Change.RETURNED
        member.is_connected = True
        member.lost_at_s = None
        self._wake()
        return change

    def lose(self, identity: workers.WorkerIdentity, now_s: float) -> bool:
        """Note that the last stream to an agent ended.

        :param identity: the life of the agent the stream belonged to.
        :param now_s: the entry's clock.
        :return: whether that life was the one known.
        """
        member = self._members.get(identity.worker)
        if member is None or member.report.identity.incarnation != identity.incarnation:
            return False
        member.is_connected = False
        member.lost_at_s = now_s
        self._wake()
        return True

    def forget(self, worker: str) -> None:
        """Drop a worker that will not come back."""
        self._members.pop(worker, None)
        self._reorder()

    def total_slots(self) -> int:
        """Return the slots of every usable member."""
        return sum(m.report.capacity.slots for m in self._members.values() if m.is_usable)

    def open_slots(self) -> int:
        """Return the slots this entry holds or could take now."""
        usable = (member for member in self._members.values() if member.is_usable)
        return sum(member.free_slots + member.assigned_slots for member in usable)

    async def wait_changed(self) -> None:
        """Wait until any member changes."""
        await self._changed.wait()

    def notice_slots(self) -> None:
        """Wake waiters after this entry took or freed a slot."""
        self._wake()

    def _reorder(self) -> None:
        self._ordered = tuple(self._members[name] for name in sorted(self._members))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
