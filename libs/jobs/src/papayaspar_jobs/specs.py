"""What a caller asks for: a job of steps, each with tasks that need room on workers."""

import re

import attrs

from papayaspar_model import errors

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
# Limits of a job's size; the largest gang of the target size is 512 tasks.
PAYLOAD_MAX_BYTES = 4000
STEPS_MAX = 256
# Log lines name at most this many steps of a job, so that their volume is bounded.
SUMMARY_STEPS_MAX = 4
TASKS_MAX = 10_000


class InvalidJobError(errors.InvalidRequestError):
    """A job's description breaks a rule; ``field`` names the place."""

    code = "invalid_job"
    title = "The job is not valid"


@attrs.frozen
class Room:
    """What a task takes of a worker, or a worker has.

    :param cpu_millicores: thousandths of a core.
    :param memory_mb: memory in MB.
    :param accelerators: whole accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Room") -> "Room":
        """Return the sum of both."""
        return Room(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Room") -> "Room":
        """Return what is left of this without the other; may be negative."""
        return Room(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Room":
        """Return this, a number of times."""
        return Room(self.cpu_millicores * count, self.memory_mb * count, self.accelerators * count)

    def holds(self, other: "Room") -> bool:
        """Return whether the other fits into this."""
        return (
            other.cpu_millicores <= self.cpu_millicores
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


@attrs.frozen
class Step:
    """Tasks of one kind.

    :param task_count: number of tasks.
    :param room: what each task takes.
    :param estimate_ms: the caller's rough estimate of a task's duration.
    :param after: numbers of earlier steps that must be done first.
    :param is_checkpointed: whether a stopped task can go on where it was.
    :param is_gang: whether the tasks run only together.
    :param is_same_rack: whether the tasks are much slower on more than one rack.
    :param required_label: label a worker must have, or empty.
    :param data_rack: rack of the step's data, or empty; much slower elsewhere.
    :param per_worker_max: most tasks of the step on one worker; 0 is no limit.
    :param is_speculative: whether copies of a task may run side by side.
    :param is_lasting: whether tasks run until the job is cancelled.
    :param image: what the tasks run; tasks of one image behave alike.
    :param latency_target_ms: bound on a lasting task's tail latency; 0 is none.
    :param is_filler: whether the tasks take only cpu that others leave unused.
    :param unavailable_max: lasting tasks the system may make unavailable at once, or ``None``.
    """

    task_count: int
    room: Room = Room()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointed: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    per_worker_max: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    latency_target_ms: int = 0
    is_filler: bool = False
    unavailable_max: int | None = None

    @property
    def counted_room(self) -> Room:
        """What a task counts against a worker's capacity; a filler's cpu is not counted."""
        if not self.is_filler:
            return self.room
        return attrs.evolve(self.room, cpu_millicores=0)

    @property
    def summary(self) -> str:
        """Short text for logs: count, room of a task, estimate, and what binds its tasks."""
        text = (
            f"{self.task_count}x{self.room.cpu_millicores}m/{self.room.memory_mb}MB"
            f"/{self.room.accelerators}a~{self.estimate_ms}ms"
        )
        marks = {
            "gang": self.is_gang,
            "rack": self.is_same_rack,
            "saves": self.is_checkpointed,
            "lasting": self.is_lasting,
            "filler": self.is_filler,
        }
        return "+".join([text, *(mark for mark, is_set in marks.items() if is_set)])


@attrs.frozen
class Schedule:
    """When the occurrences of a job are due.

    :param times: number of occurrences.
    :param start_ms: when the first is due, in milliseconds since the Unix epoch.
    :param interval_ms: time between two.
    """

    times: int
    start_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since the Unix epoch."""
        return self.start_ms + occurrence * self.interval_ms


@attrs.frozen
class JobSpec:
    """A job as it was asked for.

    :param job_id: 16 hexadecimal digits chosen by the caller.
    :param queue: name of the queue it came through.
    :param team: team it belongs to, or empty on a public queue.
    :param payload: opaque text handed to each task.
    :param steps: its steps.
    :param schedule: when it recurs, or ``None`` if it runs once.
    """

    job_id: str
    queue: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """How often its steps run."""
        return self.schedule.times if self.schedule is not None else 1

    @property
    def first_room(self) -> Room:
        """Room of all tasks of the first step together."""
        return self.steps[0].room.times(self.steps[0].task_count)

    @property
    def summary(self) -> str:
        """Short text for logs: its first steps."""
        return ",".join(step.summary for step in self.steps[:SUMMARY_STEPS_MAX])

    @property
    def critical_path_ms(self) -> int:
        """Length of the longest chain of estimates, in milliseconds."""
        ends: list[int] = []
        for step in self.steps:
            begin = max((ends[number] for number in step.after), default=0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0)


def check(spec: JobSpec) -> None:
    """Check a job before it is accepted.

    :raises InvalidJobError: naming the first field at fault.
    """
    if not JOB_ID_PATTERN.match(spec.job_id):
        raise InvalidJobError("an id has 16 hexadecimal digits", field="id")
    if len(spec.payload.encode()) > PAYLOAD_MAX_BYTES:
        raise InvalidJobError(f"a payload has at most {PAYLOAD_MAX_BYTES} bytes", field="payload")
    if not 1 <= len(spec.steps) <= STEPS_MAX:
        raise InvalidJobError(f"a job has 1 to {STEPS_MAX} steps", field="steps")
    if sum(step.task_count for step in spec.steps) > TASKS_MAX:
        raise InvalidJobError(f"a job has at most {TASKS_MAX} tasks", field="steps")
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    if spec.schedule is not None and (spec.schedule.times < 1 or spec.schedule.interval_ms < 0):
        raise InvalidJobError("a schedule needs times over 0 and an interval", field="schedule")


def _check_step(number: int, step: Step) -> None:
    place = f"steps.{number}"
    if step.task_count < 1:
        raise InvalidJobError("a step has at least one task", field=f"{place}.count")
    if min(step.room.cpu_millicores, step.room.memory_mb, step.room.accelerators) < 0:
        raise InvalidJobError("a task's room is not negative", field=f"{place}.room")
    for earlier in step.after:
        if not 0 <= earlier < number:
            raise InvalidJobError("a step follows earlier steps only", field=f"{place}.after")
