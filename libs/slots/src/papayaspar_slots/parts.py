"""One member's part of a gang, and the calls to the runtime for its tasks."""

import anyio
import attrs

from papayaspar_model import errors
from papayaspar_slots import claims, messages, runners, timings

# Share of its accelerators' time that a task keeps after its last checkpoint is saved.
THROTTLED_SHARE_RATIO = 0.1


@attrs.define
class Part:
    """The tasks of one gang on this worker; times are readings of the machine's clock.

    :param allocation: the allocated accelerators.
    :param lead_worker: worker whose agent leads the gang.
    :param echo_s: ``issued_s`` of the lead's last message after which every task was confirmed to
        be in the state that the phase requires; renewals echo it as proof of liveness.
    :param expires_s: expiry of the part's lease.
    :param runtime_lease_until_s: latest lease expiry that the runtime may have received.
    :param phase: state of the part.
    :param sequence: sequence number of the newest renewal.
    :param done: numbers of the completed tasks.
    :param is_force_stopped: whether this agent stops the preempted part without an order of its
        lead.
    :param preempted: whether the part is being preempted.
    :param is_saving: whether saving a checkpoint has begun.
    :param wake: wake-up signal: the next renewal is sent immediately.
    """

    allocation: claims.Allocation
    lead_worker: str
    echo_s: float
    expires_s: float
    runtime_lease_until_s: float = 0.0
    phase: messages.Phase = messages.Phase.BOUND
    sequence: int = 0
    done: set[int] = attrs.field(factory=set)
    is_force_stopped: bool = False
    preempted: bool = False
    is_saving: bool = False
    wake: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def fence(self) -> claims.Fence:
        """Job and attempt."""
        return self.allocation.claim.fence

    @property
    def open_tasks(self) -> list[int]:
        """Numbers of the tasks that are not completed."""
        tasks = [share.task for share in self.allocation.claim.tasks]
        return [task for task in tasks if task not in self.done]

    def set_phase(self, phase: messages.Phase) -> None:
        """Change the phase and send it to the lead immediately.

        :param phase: the new phase; a failed part stays failed.
        """
        if self.phase is messages.Phase.FAILED:
            return
        self.phase = phase
        self.wake.set()

    def next_renewal(self, worker: str) -> messages.Renew:
        """Return the next renewal to send.

        :param worker: name of the member.
        """
        self.sequence += 1
        self.wake = anyio.Event()
        return messages.Renew(self.fence, worker, self.sequence, self.phase, self.echo_s)


class PartRunner:
    """Calls the runtime for the tasks of parts, each call with a timeout.

    :param runner: client of the worker's runtime.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(self, runner: runners.TaskRunner, times: timings.Timings) -> None:
        self._runner = runner
        self._times = times

    async def prepare(self, part: Part) -> bool:
        """Prepare every task of a part and return whether all are prepared."""
        claim = part.allocation.claim
        for share in claim.tasks:
            order = runners.TaskOrder(claim.fence, share, claim.team, claim.run_time_s)
            try:
                with anyio.fail_after(self._times.runtime_timeout_s):
                    await self._runner.prepare(order)
            except (TimeoutError, errors.PapayasparError):
                return False
        return True

    async def start(self, part: Part, expires_s: float) -> bool:
        """Start every task of a part and return whether all were started.

        :param part: an armed part.
        :param expires_s: expiry of its lease.
        """
        part.runtime_lease_until_s = max(part.runtime_lease_until_s, expires_s)
        for task in part.open_tasks:
            try:
                with anyio.fail_after(self._times.runtime_timeout_s):
                    await self._runner.start(part.fence, task, expires_s)
            except (TimeoutError, errors.PapayasparError):
                return False
        return True

    async def renew(self, part: Part, expires_s: float) -> bool:
        """Extend the lease of every task and return whether all are running or completed.

        :param part: a running part; completed tasks are recorded, and a failed task makes it fail.
        :param expires_s: new expiry of its lease.
        """
        part.runtime_lease_until_s = max(part.runtime_lease_until_s, expires_s)
        confirmed = True
        for task in part.open_tasks:
            try:
                with anyio.fail_after(self._times.runtime_timeout_s):
                    state = await self._runner.renew(part.fence, task, expires_s)
            except (TimeoutError, errors.PapayasparError):
                confirmed = False
                continue
            if state is runners.TaskState.DONE:
                part.done.add(task)
            elif state is not runners.TaskState.RUNNING:
                part.set_phase(messages.Phase.FAILED)
                return False
        return confirmed

    async def save(self, part: Part) -> None:
        """Save a checkpoint of every task, then throttle it, as its further work will be lost."""
        for task in part.open_tasks:
            try:
                await self._runner.checkpoint(part.fence, task)
                await self._runner.throttle(part.fence, task, THROTTLED_SHARE_RATIO)
            except errors.PapayasparError:
                # The task's previous checkpoint is used; the other tasks are still saved.
                continue

    async def stop(self, part: Part) -> bool:
        """Stop every task that is not completed and return whether none can run any more."""
        stopped = True
        for task in part.open_tasks:
            try:
                with anyio.fail_after(self._times.runtime_timeout_s):
                    await self._runner.stop(part.fence, task)
            except (TimeoutError, errors.PapayasparError):
                stopped = False
        return stopped
