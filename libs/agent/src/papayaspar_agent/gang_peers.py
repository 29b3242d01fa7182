"""Gang messages over streams, and the task runner on the platform's worker runtime."""

from papayaspar_agent import agent_links, gang_service
from papayaspar_model import errors
from papayaspar_platform import runtimes
from papayaspar_slots import calls, claims, messages, peers, runners, timings
from papayaspar_wire import messages as wire_messages


class StreamGangPeers(peers.GangPeers):
    """Sends gang messages to other agents over streams, and to this agent directly.

    :param worker: name of this agent's worker.
    :param links: streams to other agents.
    :param times: timeouts and intervals of the gang protocol.
    """

    def __init__(self, worker: str, links: agent_links.AgentLinks, times: timings.Timings) -> None:
        self._worker = worker
        self._links = links
        self._times = times
        self.service: gang_service.GangService | None = None

    async def arm(self, worker: str, arm: messages.Arm) -> None:
        """Bind a member's reservation to its lead."""
        wire_messages.expect(await self._call(worker, arm), calls.Accepted)

    async def renew(self, worker: str, renew: messages.Renew) -> messages.Grant:
        """Request a run lease from the lead."""
        return wire_messages.expect(await self._call(worker, renew), messages.Grant)

    async def preempt(self, worker: str, give_way: messages.GiveWay) -> None:
        """Request the lead of a gang to preempt it."""
        wire_messages.expect(await self._call(worker, give_way), calls.Accepted)

    async def _call(self, worker: str, message: object) -> object:
        if worker == self._worker and self.service is not None:
            return await self.service.answer(message)
        return await self._links.call(worker, message, self._times.answer_timeout_s)


class PlatformTaskRunner(runners.TaskRunner):
    """Runs tasks of gangs in the platform's worker runtime.

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
        """Run a prepared task until its lease expires."""
        await self._runtime.start(task_id(fence, task), lease_until_s)

    async def renew(
        self, fence: claims.Fence, task: int, lease_until_s: float
    ) -> runners.TaskState:
        """Extend the lease of a running task and return the state of the task."""
        status = await self._runtime.renew(task_id(fence, task), lease_until_s)
        return runners.TaskState(status.state.value)

    async def throttle(self, fence: claims.Fence, task: int, share_ratio: float) -> None:
        """Limit a task to a share of its accelerators' time."""
        await self._runtime.throttle(task_id(fence, task), share_ratio)

    async def checkpoint(self, fence: claims.Fence, task: int) -> None:
        """Save a checkpoint of a task."""
        await self._runtime.checkpoint(task_id(fence, task))

    async def stop(self, fence: claims.Fence, task: int) -> None:
        """Stop a task."""
        await self._runtime.stop(task_id(fence, task))


class NoRuntime(runtimes.Runtime):
    """Runtime of a worker that has none: calls to run a task fail, and no task runs."""

    async def prepare(self, spec: runtimes.TaskSpec) -> None:
        """Raise an error, as the worker has no runtime."""
        raise errors.TargetError("the worker has no runtime")

    async def start(self, task_id: str, lease_until_s: float) -> None:
        """Raise an error, as the worker has no runtime."""
        raise errors.TargetError("the worker has no runtime")

    async def renew(self, task_id: str, lease_until_s: float) -> runtimes.TaskStatus:
        """Raise an error, as the worker has no runtime."""
        raise errors.TargetError("the worker has no runtime")

    async def throttle(self, task_id: str, share_ratio: float) -> None:
        """Raise an error, as the worker has no runtime."""
        raise errors.TargetError("the worker has no runtime")

    async def checkpoint(self, task_id: str) -> float:
        """Raise an error, as the worker has no runtime."""
        raise errors.TargetError("the worker has no runtime")

    async def stop(self, task_id: str) -> None:
        """Do nothing, as no task runs."""

    async def status(self, task_id: str) -> runtimes.TaskStatus:
        """Return the status of a stopped task."""
        return runtimes.TaskStatus(task_id, runtimes.TaskState.STOPPED, 0.0, 0.0)


def task_id(fence: claims.Fence, task: int) -> str:
    """Return the identifier of a task in the runtime."""
    return f"{fence.job_id}:{fence.attempt}:{task}"
