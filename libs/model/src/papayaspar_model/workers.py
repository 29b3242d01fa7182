"""Workers: machines with slots and accelerators, each with one agent beside its target."""

import attrs


@attrs.frozen
class WorkerIdentity:
    """Which worker, and which life of its agent.

    :param worker: name of the worker.
    :param incarnation: grows each time the agent starts anew; two lives at one
        address are two members.
    :param rack: rack the worker stands in.
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
    """What one worker can hold.

    :param slots: requests its target serves at once.
    :param connections: connections its target accepts.
    :param accelerators: number of accelerators, numbered from 0.
    :param memory_bytes: memory for tasks.
    """

    slots: int = 8
    connections: int = 64
    accelerators: int = 8
    memory_bytes: int = 256 * 1024**3


@attrs.frozen
class GangUse:
    """Accelerators that one gang holds on one worker, as its agent reports them.

    :param job_id: the job.
    :param attempt: run of the job, from 1.
    :param team: whose work it is.
    :param accelerators: numbers of the accelerators held.
    :param stoppable: whether a reclaim may stop the gang.
    :param checkpoint: whether it can save its work before it stops.
    :param elapsed_s: seconds it has run here.
    :param remaining_s: declared seconds left, a hint.
    :param lead_worker: worker whose agent leads the gang.
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
    """What an agent says of its worker; the newest sequence number wins.

    :param identity: worker and incarnation.
    :param capacity: what it can hold.
    :param sequence: grows with each report of one incarnation.
    :param busy_slots: requests in progress.
    :param draining: whether it refuses new work.
    :param gangs: gangs on its accelerators.
    :param agent_address: ``ip:port`` where the agent listens for its peers.
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
        """Numbers of the accelerators no gang holds."""
        held = {number for gang in self.gangs for number in gang.accelerators}
        return tuple(number for number in range(self.capacity.accelerators) if number not in held)


@attrs.frozen
class AcceleratorRange:
    """Accelerators of one worker, by number.

    :param worker: name of the worker.
    :param accelerators: their numbers.
    """

    worker: str
    accelerators: tuple[int, ...]


@attrs.frozen
class Placement:
    """Where each task of a gang stands; entry ``i`` is task ``i``.

    :param tasks: one range of accelerators a task.
    :param guarantee: name of the guarantee whose home this is, or empty.
    :param instance: which instance of that guarantee, from 0.
    """

    tasks: tuple[AcceleratorRange, ...]
    guarantee: str = ""
    instance: int = 0
