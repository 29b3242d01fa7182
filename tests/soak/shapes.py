"""Shapes of the jobs that the callers of the soak test submit."""

import abc

STEP = {"cpu": 4000, "mem_mb": 1000, "est_ms": 1500}
# Scripts of failing gangs, and the states in which the gangs end if they have three attempts. The
# members fail at once, or one after another while the lead may change.
FAILING_SCRIPTS = (
    ("fail-runs:1", "succeeded"),
    ("fail-runs:1 gap-s:0.7", "succeeded"),
    ("fail-runs:1,2 gap-s:0.1", "succeeded"),
    ("fail-runs:all", "failed"),
)


class JobShape(abc.ABC):
    """How jobs look, and how they end."""

    @abc.abstractmethod
    def body(self, job_id, draw):
        """Return the body of a job's submission.

        :param draw: random number from 0 to 1.
        """

    @abc.abstractmethod
    def final_state(self, draw):
        """Return the state in which a job ends unless it is cancelled.

        :param draw: random number from 0 to 1.
        """


class SoundJobs(JobShape):
    """Single tasks and gangs of two, of one step or two, that do not fail."""

    def body(self, job_id, draw):
        """Return the body of a job's submission."""
        is_gang = draw > 0.7
        step = STEP | {"count": 2 if is_gang else 1, "gpu": 2}
        steps = [step | {"gang": is_gang}]
        if draw < 0.3:
            steps.append(step | {"after": [0]})
        return {"spec": job_id, "steps": steps}

    def final_state(self, draw):
        """Return ``succeeded``."""
        return "succeeded"


class FailingGangs(JobShape):
    """Gangs on two or more workers, of which all members fail in some runs or in each."""

    def body(self, job_id, draw):
        """Return the body of a job's submission."""
        script, _ = self._script(draw)
        return {"spec": script, "steps": [STEP | {"count": 3, "gpu": 3, "gang": True}]}

    def final_state(self, draw):
        """Return the state after the runs that the script lists."""
        _, state = self._script(draw)
        return state

    def _script(self, draw):
        return FAILING_SCRIPTS[int(draw * len(FAILING_SCRIPTS))]
