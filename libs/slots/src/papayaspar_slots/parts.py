"""One member's part of a gang, and the calls of the runtime for its tasks."""

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_slots import claims, messages, runners, terms

SAVED_SHARE_RATIO = 0.1


@attrs.define
class Part:
    """The tasks of one gang on this worker; times are readings of the machine's clock.

    :param holding: the accelerators held.
    :param lead_worker: worker whose agent leads the gang.
    :param echo_s: reading of the lead's clock in the last message after which every task was
        seen to stand as the phase says.
    :param until_s: when the part is given up unless the lead answers.
    :param leased_until_s: latest end of a lease that the runtime may know.
    :param phase: where the part stands.
    :param sequence: of the newest renewal.
    :param done: tasks that are done.
    :param evicted: whether a reclaim stops the part without its lead.
    :param reclaimed: whether a reclaim wants its accelerators.
    :param saving: whether the part was told to save its work.
    :param wake: set when the lead is to be asked at once.
    """

    holding: claims.Holding
    lead_worker: str
    echo_s: float
    until_s: float
    leased_until_s: float = 0.0
    phase: messages.Phase = messages.Phase.BOUND
    sequence: int = 0
    done: set[int] = attrs.field(factory=set)
    evicted: bool = False
    reclaimed: bool = False
    saving: bool = False
    wake: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def fence(self) -> claims.Fence:
        """Job and attempt."""
        return self.holding.claim.fence

    @property
    def open_tasks(self) -> list[int]:
        """Numbers of the tasks that are not done."""
        tasks = [share.task for share in self.holding.claim.tasks]
        return [task for task in tasks if task not in self.done]

    def move(self, phase: messages.Phase) -> None:
        """Change the phase and have the lead told at once.

        :param phase: the new phase; a part that failed stays so.
        """
        if self.phase is messages.Phase.FAILED:
            return
        self.phase = phase
        self.wake.set()

    def next_renew(self, worker: str) -> messages.Renew:
        """Return the next renewal to send.

        :param worker: the member's own name.
        """
        self.sequence += 1
        self.wake = anyio.Event()
        return messages.Renew(self.fence, worker, self.sequence, self.phase, self.echo_s)


class PartRunner:
    """Calls the runtime for the tasks of parts, each call bounded in time.

    :param runner: the worker's runtime.
    :param times: times of the protocol.
    """

    def __init__(self, runner: runners.TaskRunner, times: terms.Terms) -> None:
        self._runner = runner
        self._times = times

    async def prepare(self, part: Part) -> bool:
        """Prepare every task of a part; return whether all are prepared."""
        claim = part.holding.claim
        for share in claim.tasks:
            order = runners.TaskOrder(claim.fence, share, claim.team, claim.run_time_s)
            try:
                with anyio.fail_after(self._times.runtime_s):
                    await self._runner.prepare(order)
            except (TimeoutError, errors.PapayasparError):
                return False
        return True

    async def start(self, part: Part, until_s: float) -> bool:
        """Start every task of a part; return whether all were started.

        :param part: an armed part.
        :param until_s: end of its lease.
        """
        part.leased_until_s = max(part.leased_until_s, until_s)
        for task in part.open_tasks:
            try:
                with anyio.fail_after(self._times.runtime_s):
                    await self._runner.start(part.fence, task, until_s)
            except (TimeoutError, errors.PapayasparError):
                return False
        return True

    async def renew(self, part: Part, until_s: float) -> bool:
        """Move the end of the lease of every task; return whether all run or are done.

        :param part: a running part; its done tasks are noted, and a failed one fails it.
        :param until_s: new end of its lease.
        """
        part.leased_until_s = max(part.leased_until_s, until_s)
        confirmed = True
        for task in part.open_tasks:
            try:
                with anyio.fail_after(self._times.runtime_s):
                    state = await self._runner.renew(part.fence, task, until_s)
            except (TimeoutError, errors.PapayasparError):
                confirmed = False
                continue
            if state is runners.TaskState.DONE:
                part.done.add(task)
            elif state is not runners.TaskState.RUNNING:
                part.move(messages.Phase.FAILED)
                return False
        return confirmed

    async def save(self, part: Part) -> None:
        """Checkpoint every task, then throttle it, as its further work will be lost."""
        for task in part.open_tasks:
            try:
                await self._runner.checkpoint(part.fence, task)
                await self._runner.throttle(part.fence, task, SAVED_SHARE_RATIO)
            except errors.PapayasparError:
                # An older checkpoint is used then; the other tasks are saved all the same.
                continue

    async def stop(self, part: Part) -> bool:
        """Stop every task that is not done; return whether none can run any more."""
        stopped = True
        for task in part.open_tasks:
            try:
                with anyio.fail_after(self._times.runtime_s):
                    await self._runner.stop(part.fence, task)
            except (TimeoutError, errors.PapayasparError):
                stopped = False
        return stopped
