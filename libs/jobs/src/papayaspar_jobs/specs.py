"""Job specifications: the steps of a job, and the tasks and resources of each step."""

import re
from collections.abc import Iterable

import attrs

from papayaspar_model import errors

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}\Z")
# Limits on the size of a job.
PAYLOAD_MAX_BYTES = 4000
STEPS_MAX = 256
# Maximum number of steps in a job's log summary, which bounds the length of log lines.
SUMMARY_STEPS_MAX = 4
# Maximum number of tasks in all steps of a job together; the largest gang at the scale that the
# system is designed for has 512 tasks.
TASKS_MAX = 10_000
# Maximum number of tasks in all occurrences of a job together.
SCHEDULED_TASKS_MAX = 100_000
# Largest number in a job: it fits into every message.
NUMBER_MAX = 2**53


class InvalidJobError(errors.InvalidRequestError):
    """A job's specification is not valid; ``field`` names the first invalid field."""

    code = "invalid_job"
    title = "The job is not valid"


@attrs.frozen
class Resources:
    """Resources that a task requires or a worker provides.

    :param cpu_millicores: CPU in thousandths of a core.
    :param memory_mb: memory in MB.
    :param accelerators: number of whole accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of both amounts, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return this amount multiplied by a count."""
        return Resources(
            self.cpu_millicores * count, self.memory_mb * count, self.accelerators * count
        )

    def dominant_share(self, total: "Resources") -> float:
        """Return the largest of the shares of CPU, memory and accelerators that this amount is.

        :param total: what it is a share of; a resource of which there is none is left out.
        """
        share = 0.0
        if total.cpu_millicores > 0:
            share = max(share, self.cpu_millicores / total.cpu_millicores)
        if total.memory_mb > 0:
            share = max(share, self.memory_mb / total.memory_mb)
        if total.accelerators > 0:
            share = max(share, self.accelerators / total.accelerators)
        return share

    def holds(self, other: "Resources") -> bool:
        """Return whether the other amount fits into this one."""
        return (
            other.cpu_millicores <= self.cpu_millicores
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


def _distinct(numbers: Iterable[int]) -> tuple[int, ...]:
    return tuple(dict.fromkeys(numbers))


@attrs.frozen
class Step:
    """A group of identical tasks within a job.

    :param task_count: number of tasks.
    :param room: resources that each task requires.
    :param estimate_ms: the caller's rough estimate of a task's duration, in milliseconds.
    :param after: numbers of the earlier steps that must be done before this one starts;
        repeated numbers are left out.
    :param is_checkpointed: whether a stopped task can resume from a checkpoint.
    :param is_gang: whether the tasks are scheduled as a gang, which runs all of them or none.
    :param is_same_rack: whether the tasks are much slower when they span several racks.
    :param required_label: label that a worker must have, or empty.
    :param data_rack: rack that holds the step's data, or empty; tasks are much slower on others.
    :param per_worker_max: maximum number of the step's tasks on one worker; 0 means no limit.
    :param is_speculative: whether several copies of a task may run at the same time.
    :param is_lasting: whether the tasks run until the job is cancelled.
    :param image: image that the tasks run; tasks of one image behave alike.
    :param latency_target_ms: bound on the tail latency of a lasting task, in milliseconds; 0 means
        no bound.
    :param is_filler: whether the tasks use only CPU time that other tasks leave idle.
    :param unavailable_max: number of lasting tasks that the scheduler may make unavailable at the
        same time, or ``None`` for no limit.
    """

    task_count: int
    room: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = attrs.field(default=(), converter=_distinct)
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
    def counted_resources(self) -> Resources:
        """Resources that a task occupies of a worker's capacity; a filler occupies no CPU."""
        if not self.is_filler:
            return self.room
        return attrs.evolve(self.room, cpu_millicores=0)

    @property
    def summary(self) -> str:
        """Short text for logs: task count, resources of a task, estimate, and constraints."""
        text = (
            f"{self.task_count}x{self.room.cpu_millicores}m/{self.room.memory_mb}MB"
            f"/{self.room.accelerators}a~{self.estimate_ms}ms"
        )
        flags = {
            "gang": self.is_gang,
            "rack": self.is_same_rack,
            "saves": self.is_checkpointed,
            "lasting": self.is_lasting,
            "filler": self.is_filler,
        }
        return "+".join([text, *(flag for flag, is_set in flags.items() if is_set)])


@attrs.frozen
class Schedule:
    """Schedule of a recurring job.

    :param times: number of occurrences.
    :param start_ms: due time of the first occurrence, in milliseconds since the Unix epoch.
    :param interval_ms: interval between occurrences, in milliseconds.
    """

    times: int
    start_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Return the due time of an occurrence, in milliseconds since the Unix epoch."""
        return self.start_ms + occurrence * self.interval_ms


@attrs.frozen
class JobSpec:
    """A job as submitted by a caller.

    :param job_id: id chosen by the caller, 16 hexadecimal digits.
    :param queue: name of the queue to which the job was submitted.
    :param team: name of the caller's team, or empty on a public queue.
    :param payload: opaque text that is passed to each task.
    :param steps: steps of the job.
    :param schedule: schedule of a recurring job, or ``None`` if the job runs once.
    """

    job_id: str
    queue: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Number of times that the job's steps run."""
        return self.schedule.times if self.schedule is not None else 1

    @property
    def first_step_resources(self) -> Resources:
        """Resources of all tasks of the first step together."""
        return self.steps[0].room.times(self.steps[0].task_count)

    @property
    def summary(self) -> str:
        """Short text for logs: summaries of the first steps."""
        return ",".join(step.summary for step in self.steps[:SUMMARY_STEPS_MAX])

    @property
    def critical_path_ms(self) -> int:
        """Estimated duration of the longest chain of dependent steps, in milliseconds."""
        finish_times_ms: list[int] = []
        for step in self.steps:
            start_ms = max((finish_times_ms[predecessor] for predecessor in step.after), default=0)
            finish_times_ms.append(start_ms + step.estimate_ms)
        return max(finish_times_ms, default=0)


def validate(spec: JobSpec) -> None:
    """Validate a job's specification.

    :raises InvalidJobError: when the job is not valid; names the first invalid field.
    """
    if not JOB_ID_PATTERN.match(spec.job_id):
        raise InvalidJobError("an id must have 16 hexadecimal digits", field="id")
    if len(spec.payload.encode()) > PAYLOAD_MAX_BYTES:
        raise InvalidJobError(
            f"a payload must not exceed {PAYLOAD_MAX_BYTES} bytes", field="payload"
        )
    if not 1 <= len(spec.steps) <= STEPS_MAX:
        raise InvalidJobError(f"a job must have 1 to {STEPS_MAX} steps", field="steps")
    if sum(step.task_count for step in spec.steps) > TASKS_MAX:
        raise InvalidJobError(f"a job must not exceed {TASKS_MAX} tasks", field="steps")
    for step_number, step in enumerate(spec.steps):
        _validate_step(step_number, step)
    task_count = sum(step.task_count for step in spec.steps)
    if spec.schedule is not None and spec.schedule.times * task_count > SCHEDULED_TASKS_MAX:
        raise InvalidJobError(
            f"a job must not exceed {SCHEDULED_TASKS_MAX} tasks in all occurrences",
            field="schedule",
        )
    if spec.schedule is not None:
        _validate_schedule(spec.schedule)


def _validate_schedule(schedule: Schedule) -> None:
    if max(abs(schedule.start_ms), schedule.interval_ms) > NUMBER_MAX:
        raise InvalidJobError("a number is too large", field="schedule")
    if schedule.times < 1 or schedule.interval_ms < 0:
        raise InvalidJobError(
            "a schedule must have at least one occurrence and no negative interval",
            field="schedule",
        )


def _validate_step(step_number: int, step: Step) -> None:
    path = f"steps.{step_number}"
    if step.task_count < 1:
        raise InvalidJobError("a step must have at least one task", field=f"{path}.count")
    if min(step.room.cpu_millicores, step.room.memory_mb, step.room.accelerators) < 0:
        raise InvalidJobError("a task's resources must not be negative", field=f"{path}.room")
    numbers = (
        step.room.cpu_millicores,
        step.room.memory_mb,
        step.room.accelerators,
        step.estimate_ms,
        step.per_worker_max,
        abs(step.latency_target_ms),
        abs(step.unavailable_max or 0),
    )
    if max(numbers) > NUMBER_MAX:
        raise InvalidJobError("a number is too large", field=path)
    if step.estimate_ms < 0 or step.per_worker_max < 0:
        raise InvalidJobError("a step must not have negative numbers", field=path)
    for predecessor in step.after:
        if not 0 <= predecessor < step_number:
            raise InvalidJobError("a step may only depend on earlier steps", field=f"{path}.after")
