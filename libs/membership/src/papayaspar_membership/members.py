"""Table of the workers known to an entry, built from reports of their agents."""

import enum
import random

import anyio
import attrs

from papayaspar_model import errors, workers


class StaleMemberError(errors.PapayasparError):
    """A newer incarnation of the worker is already known."""

    code = "stale_member"
    status = 409
    title = "A newer incarnation of the worker is known"


class Change(enum.Enum):
    """Change of the table by a report.

    A report adds a worker, replaces an older incarnation, reconnects a disconnected worker, updates
    a connected one, or is stale and ignored.
    """

    JOINED = "joined"
    REPLACED = "replaced"
    RETURNED = "returned"
    UPDATED = "updated"
    STALE = "stale"


@attrs.define
class Member:
    """State of one worker as seen by this entry.

    :param report: newest report.
    :param is_connected: whether a stream to its agent is open.
    :param disconnected_at_s: time in seconds at which the last stream closed, or ``None`` while
        connected.
    :param assigned_slots: number of requests in flight from this entry.
    """

    report: workers.WorkerReport
    is_connected: bool = True
    disconnected_at_s: float | None = None
    assigned_slots: int = 0

    @property
    def name(self) -> str:
        """Name of the worker."""
        return self.report.identity.worker

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to it."""
        return self.is_connected and not self.report.draining

    @property
    def free_slots(self) -> int:
        """Number of free slots, estimated from the report and this entry's requests."""
        busy = max(self.report.busy_slots, self.assigned_slots)
        return max(0, self.report.capacity.slots - busy)


class MemberTable:
    """Workers by name; reports of older incarnations or sequence numbers are ignored."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._ordered: tuple[Member, ...] = ()
        self._changed = anyio.Event()

    def __len__(self) -> int:
        return len(self._members)

    def all(self) -> tuple[Member, ...]:
        """Return all members in order of names, including disconnected ones."""
        return self._ordered

    def sample(self, count: int) -> tuple[Member, ...]:
        """Return a random sample of distinct members, in time proportional to its size.

        :param count: size of the sample; all members are returned if there are fewer.
        """
        return tuple(random.sample(self._ordered, min(count, len(self._ordered))))

    def has_usable(self) -> bool:
        """Return whether any member is usable."""
        return any(member.is_usable for member in self._ordered)

    def get(self, worker: str) -> Member | None:
        """Return the member of a worker, or ``None``."""
        return self._members.get(worker)

    def observe(self, report: workers.WorkerReport) -> Change:
        """Apply a report of an agent.

        :param report: the report.
        :return: the change of the table; a stale report changes nothing.
        """
        name = report.identity.worker
        member = self._members.get(name)
        if member is None:
            self._members[name] = Member(report)
            self._update_order()
            return Change.JOINED
        current_incarnation = member.report.identity.incarnation
        if report.identity.incarnation < current_incarnation:
            return Change.STALE
        if report.identity.incarnation > current_incarnation:
            self._members[name] = Member(report)
            self._update_order()
            return Change.REPLACED
        if report.sequence < member.report.sequence:
            return Change.STALE
        member.report = report
        change = Change.UPDATED if member.is_connected else Change.RETURNED
        member.is_connected = True
        member.disconnected_at_s = None
        self._notify()
        return change

    def mark_disconnected(self, identity: workers.WorkerIdentity, now_s: float) -> bool:
        """Mark a member as disconnected because the last stream to its agent closed.

        :param identity: identity of the worker, with the incarnation of the agent.
        :param now_s: current time of the entry in seconds.
        :return: whether that incarnation is the current one.
        """
        member = self._members.get(identity.worker)
        if member is None or member.report.identity.incarnation != identity.incarnation:
            return False
        member.is_connected = False
        member.disconnected_at_s = now_s
        self._notify()
        return True

    def remove(self, worker: str) -> None:
        """Remove a worker."""
        self._members.pop(worker, None)
        self._update_order()

    def total_slots(self) -> int:
        """Return the total number of slots of usable members."""
        return sum(
            member.report.capacity.slots for member in self._members.values() if member.is_usable
        )

    def open_slots(self) -> int:
        """Return the number of slots that this entry holds or could use now."""
        usable = (member for member in self._members.values() if member.is_usable)
        return sum(member.free_slots + member.assigned_slots for member in usable)

    async def wait_for_change(self) -> None:
        """Wait until any member changes."""
        await self._changed.wait()

    def notify_slots_changed(self) -> None:
        """Wake waiting tasks after this entry used or freed a slot."""
        self._notify()

    def _update_order(self) -> None:
        self._ordered = tuple(self._members[name] for name in sorted(self._members))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
