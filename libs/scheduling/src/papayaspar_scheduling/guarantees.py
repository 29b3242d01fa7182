"""Selection of the urgent jobs that a team's guarantee covers."""

from collections.abc import Iterable, Mapping

from papayaspar_jobs import progress


def covered_jobs(
    urgent: Iterable[progress.JobProgress], guaranteed_accelerators: Mapping[str, int]
) -> frozenset[str]:
    """Return the ids of the jobs that fit into their team's guarantee, oldest jobs first.

    A job counts with the accelerators of its tasks that are not done, so that what its other tasks
    had belongs to the next job of the team.

    :param urgent: urgent jobs that have not ended.
    :param guaranteed_accelerators: number of guaranteed accelerators by team.
    """
    used: dict[str, int] = {}
    covered: set[str] = set()
    for job in sorted(urgent, key=lambda job: (job.accepted_job.accepted_ms, job.spec.job_id)):
        team = job.spec.team
        total = used.get(team, 0) + job.needed_accelerators
        if total > guaranteed_accelerators.get(team, 0):
            continue
        used[team] = total
        covered.add(job.spec.job_id)
    return frozenset(covered)
