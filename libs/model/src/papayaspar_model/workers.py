"""Workers: machines with slots and accelerators, each of which runs one agent and one target."""

import attrs


@attrs.frozen
class WorkerIdentity:
    """Identity of a worker and of its agent's current incarnation.

    :param worker: name of the worker.
    :param incarnation: number that increases each time the agent restarts, and distinguishes
        incarnations at the same address.
    :param rack: rack of the worker.
    :param data_centre: data centre of the rack.
    :param region: region of the data centre.
    """

    worker: str
    incarnation: int
    rack: str
    data_centre: str
    region: str


@attrs.frozen
class Capacity:
    """Capacity of one worker.

    :param slots: number of requests that the target serves concurrently.
    :param connections: number of connections that the target accepts.
    :param accelerators: number of accelerators, which are numbered from 0.
    :param memory_bytes: memory for tasks, in bytes.
    """

    slots: int = 8
    connections: int = 64
    accelerators: int = 8
    memory_bytes: int = 256 * 1024**3


@attrs.frozen
class GangUse:
    """Accelerators that one gang holds on one worker, as reported by the worker's agent.

    :param job_id: id of the job.
    :param attempt: number of the job's attempt, from 1.
    :param team: name of the job's team.
    :param accelerators: numbers of the accelerators held.
    :param stoppable: whether the gang may be preempted.
    :param checkpoint: whether the gang can save a checkpoint before it stops.
    :param elapsed_s: time that the gang has run on the worker, in seconds.
    :param remaining_s: declared remaining time, in seconds; only a hint.
    :param lead_worker: worker whose agent coordinates the gang.
    """

    job_id: str
    attempt: int
    team: str
    accelerators: tuple[int, ...]
    stoppable: bool
    checkpoint: bool
    elapsed_s: float
    remaining_s: float
    lead_worker: str = ""


@attrs.frozen
class WorkerReport:
    """State of a worker, reported by its agent; the report with the highest sequence applies.

    :param identity: worker and incarnation of its agent.
    :param capacity: capacity of the worker.
    :param sequence: number that increases with each report of one incarnation.
    :param busy_slots: number of requests in progress.
    :param draining: whether the worker rejects new work.
    :param gangs: gangs that hold accelerators of the worker.
    :param agent_address: ``ip:port`` on which the agent listens for its peers.
    """

    identity: WorkerIdentity
    capacity: Capacity
    sequence: int
    busy_slots: int
    draining: bool
    gangs: tuple[GangUse, ...] = ()
    agent_address: str = ""

    @property
    def free_accelerators(self) -> tuple[int, ...]:
        """Numbers of the accelerators that no gang holds."""
        held = {number for gang in self.gangs for number in gang.accelerators}
        return tuple(number for number in range(self.capacity.accelerators) if number not in held)


@attrs.frozen
class AcceleratorRange:
    """Accelerators of one worker, by number.

    :param worker: name of the worker.
    :param accelerators: numbers of the accelerators.
    """

    worker: str
    accelerators: tuple[int, ...]


@attrs.frozen
class Placement:
    """Assignment of accelerators to the tasks of a gang.

    :param tasks: accelerators of each task; element ``i`` belongs to task ``i``.
    :param guarantee: name of the guarantee whose home is used, or empty.
    :param instance: number of that guarantee's instance, from 0.
    """

    tasks: tuple[AcceleratorRange, ...]
    guarantee: str = ""
    instance: int = 0
