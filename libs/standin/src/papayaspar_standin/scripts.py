"""Scripted runs, given in the spec text of a job.

A script is a list of words such as ``fail-runs:1,2 after-s:0.8 gap-s:0.5 failing-members:1``, or
``full-s:1 ends-s:6 slow-members:1``:

- ``fail-runs`` lists the numbers of the runs that end early, or ``all``;
- ``after-s`` is the time from the start of such a run until its first member ends;
- ``gap-s`` is the time between the ends of members with consecutive indexes;
- ``failing-members`` is the number of members, from index 0, that end ``failed``; the others end
  ``broken``. All members fail by default;
- ``full-s`` is the time from the start of a run until it shows 100 percent, and ``ends-s`` the time
  until it ends, which it does successfully;
- ``slow-members`` is the number of members, from index 0, that show 100 percent only at the end.
"""

import attrs

from papayaspar_jobs import tasks

FIRST_WORDS = ("fail-runs:", "full-s:")
ALL_RUNS = "all"
# Default time from the start of a run until its first member ends, in seconds.
AFTER_S = 0.5


@attrs.frozen
class RunScript:
    """How and when the runs of a job's tasks end, and what they show until then.

    :param runs: numbers of the runs that end early.
    :param is_for_all_runs: whether every run ends early.
    :param after_s: time from the start of a run until its first member ends, in seconds.
    :param gap_s: time between the ends of members with consecutive indexes, in seconds.
    :param failing_members: number of members that fail, or ``None`` for all.
    :param full_s: time until a run shows 100 percent, in seconds, or ``None`` for its end.
    :param ends_s: time until a run ends that does not end early, in seconds, or ``None`` for the
        worker's run time.
    :param slow_members: number of members that show 100 percent only at the end.
    """

    runs: frozenset[int] = frozenset()
    is_for_all_runs: bool = False
    after_s: float = AFTER_S
    gap_s: float = 0.0
    failing_members: int | None = None
    full_s: float | None = None
    ends_s: float | None = None
    slow_members: int = 0

    def covers(self, run: int) -> bool:
        """Return whether a run ends early."""
        return self.is_for_all_runs or run in self.runs

    def run_time_s(self, task: tasks.TaskKey) -> float:
        """Return the time from the start of a task's run until it ends early, in seconds."""
        return self.after_s + task.index * self.gap_s

    def full_time_s(self, task: tasks.TaskKey, run_time_s: float) -> float:
        """Return the time from the start of a task's run until it shows 100 percent, in seconds.

        :param task: the task.
        :param run_time_s: time until the run ends, in seconds.
        """
        if self.full_s is None or task.index < self.slow_members:
            return run_time_s
        return self.full_s

    def end_kind(self, task: tasks.TaskKey) -> tasks.EndKind:
        """Return how a run of a task ends early."""
        if self.failing_members is None or task.index < self.failing_members:
            return tasks.EndKind.FAILED
        return tasks.EndKind.BROKEN


def parse(spec: str) -> RunScript:
    """Return the script in a spec text; other texts have an empty one.

    :param spec: spec text of a job.
    :raises ValueError: when a word of a script is not a valid one.
    """
    if not spec.startswith(FIRST_WORDS):
        return RunScript()
    words = dict(word.split(":", 1) for word in spec.split())
    runs = words.get("fail-runs", "")
    is_for_all_runs = runs == ALL_RUNS
    failing_members = words.get("failing-members")
    return RunScript(
        frozenset() if is_for_all_runs else frozenset(map(int, filter(None, runs.split(",")))),
        is_for_all_runs,
        float(words.get("after-s", AFTER_S)),
        float(words.get("gap-s", 0.0)),
        int(failing_members) if failing_members is not None else None,
        float(words["full-s"]) if "full-s" in words else None,
        float(words["ends-s"]) if "ends-s" in words else None,
        int(words.get("slow-members", 0)),
    )
