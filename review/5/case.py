"""Two members of a gang fail in one run, on one worker that fails all that it starts."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

ATTEMPTS = 2
# Length of the worker's disruption (site file: srv_grey, errors, share 0.085, x 1.0, 6.5 s).
GREY_S = 6.5
# A member on the disrupted worker fails this long after the gang has begun, in seconds.
FAILS_AFTER_S = 0.025


async def scenario(system):
    """Hand in a gang of two tasks that fit on one worker, and disrupt that worker for a while."""
    job_id = f"{0xC0FFEE:016x}"
    grey = {}

    def end_kind(worker):
        def decide(run):
            if not harness.is_troubled() or not run.task.startswith(job_id):
                return None
            grey.setdefault(worker.name, system.record.now_s())
            if next(iter(grey)) != worker.name:
                return None
            if system.record.now_s() - grey[worker.name] > GREY_S:
                return None
            return "failed" if worked_s(run) >= FAILS_AFTER_S else None

        return decide

    def worked_s(run):
        return harness.time.monotonic() - run.work_began_s

    for worker in system.fleet.workers:
        worker.end_kind = end_kind(worker)
    system.publish(attempts=ATTEMPTS)
    await asyncio.sleep(2.5)
    steps = [
        {"count": 2, "cpu": 8000, "mem_mb": 4096, "gpu": 4, "est_ms": 2000, "gang": True},
    ]
    if await system.submit({"work_s": 2.0, "gang": 2}, steps, job_id=job_id) is None:
        return harness.NOT_RUN
    state = await system.wait_state(job_id, ("succeeded", "failed", "canceled"), 40.0)
    ends = [end for end in system.fleet.ended if end[1].startswith(job_id)]
    failed_runs = {end[2] for end in ends if end[3] == "failed"}
    if harness.is_troubled() and len([end for end in ends if end[3] == "failed"]) < 2:
        # Both members were not on the disrupted worker.
        return harness.NOT_RUN
    is_held = state != "failed" or len(failed_runs) >= ATTEMPTS
    return system.judge(
        is_held,
        f"attempts={ATTEMPTS}, runs of the gang that failed={sorted(failed_runs)},"
        f" runs={sorted({end[2] for end in ends})}, job shown as {state!r}",
    )


if __name__ == "__main__":
    harness.main(__file__, scenario, agents=11)
