"""What gangs need of other agents and of the runtime, over this daemon's streams and clients."""

from papayaspar_agent import agent_links, gang_service
from papayaspar_model import errors
from papayaspar_platform import runtimes
from papayaspar_slots import calls, claims, messages, peers, runners, terms
from papayaspar_wire import messages as wire_messages


class StreamGangPeers(peers.GangPeers):
    """Gang messages to other agents over streams, and to this one without.

    :param worker: the worker of this agent.
    :param links: streams to other agents.
    :param times: times of the gang protocol.
    """

    def __init__(self, worker: str, links: agent_links.AgentLinks, times: terms.Terms) -> None:
        self._worker = worker
        self._links = links
        self._times = times
        self.service: gang_service.GangService | None = None

    async def arm(self, worker: str, arm: messages.Arm) -> None:
        """Bind a member's reservation to its lead."""
        wire_messages.expect(await self._call(worker, arm), calls.Accepted)

    async def renew(self, worker: str, renew: messages.Renew) -> messages.Grant:
        """Ask the lead for a go-lease."""
        return wire_messages.expect(await self._call(worker, renew), messages.Grant)

    async def give_way(self, worker: str, give_way: messages.GiveWay) -> None:
        """Ask the lead of a gang to leave its accelerators."""
        wire_messages.expect(await self._call(worker, give_way), calls.Accepted)

    async def _call(self, worker: str, message: object) -> object:
        if worker == self._worker and self.service is not None:
            return await self.service.answer(message)
        return await self._links.call(worker, message, self._times.answer_s)


class PlatformTaskRunner(runners.TaskRunner):
    """Tasks of gangs in the platform's worker runtime.

    :param runtime: client of the runtime.
    """

    def __init__(self, runtime: runtimes.Runtime) -> None:
        self._runtime = runtime

    async def prepare(self, order: runners.TaskOrder) -> None:
        """Load a task without running it."""
        spec = runtimes.TaskSpec(
            task_id=task_id(order.fence, order.share.task),
            job_id=order.fence.job_id,
            attempt=order.fence.attempt,
            task=order.share.task,
            team=order.team,
            accelerators=order.share.accelerators,
            run_time_s=order.run_time_s,
        )
        await self._runtime.prepare(spec)

    async def start(self, fence: claims.Fence, task: int, lease_until_s: float) -> None:
        """Run a prepared task until its lease ends."""
        await self._runtime.start(task_id(fence, task), lease_until_s)

    async def renew(
        self, fence: claims.Fence, task: int, lease_until_s: float
    ) -> runners.TaskState:
        """Move the end of a running task's lease."""
        status = await self._runtime.renew(task_id(fence, task), lease_until_s)
        return runners.TaskState(status.state.value)

    async def throttle(self, fence: claims.Fence, task: int, share_ratio: float) -> None:
        """Limit a task to a share of its accelerators' time."""
        await self._runtime.throttle(task_id(fence, task), share_ratio)

    async def checkpoint(self, fence: claims.Fence, task: int) -> None:
        """Save a task's work."""
        await self._runtime.checkpoint(task_id(fence, task))

    async def stop(self, fence: claims.Fence, task: int) -> None:
        """Stop a task."""
        await self._runtime.stop(task_id(fence, task))


class NoRuntime(runtimes.Runtime):
    """Stands where a worker has no runtime: every call fails, and nothing runs."""

    async def prepare(self, spec: runtimes.TaskSpec) -> None:
        """Refuse."""
        raise errors.TargetError("the worker has no runtime")

    async def start(self, task_id: str, lease_until_s: float) -> None:
        """Refuse."""
        raise errors.TargetError("the worker has no runtime")

    async def renew(self, task_id: str, lease_until_s: float) -> runtimes.TaskStatus:
        """Refuse."""
        raise errors.TargetError("the worker has no runtime")

    async def throttle(self, task_id: str, share_ratio: float) -> None:
        """Refuse."""
        raise errors.TargetError("the worker has no runtime")

    async def checkpoint(self, task_id: str) -> float:
        """Refuse."""
        raise errors.TargetError("the worker has no runtime")

    async def stop(self, task_id: str) -> None:
        """Do nothing; nothing runs."""

    async def status(self, task_id: str) -> runtimes.TaskStatus:
        """Return that it is stopped."""
        return runtimes.TaskStatus(task_id, runtimes.TaskState.STOPPED, 0.0, 0.0)


def task_id(fence: claims.Fence, task: int) -> str:
    """Return the runtime's name for a task."""
    return f"{fence.job_id}:{fence.attempt}:{task}"
