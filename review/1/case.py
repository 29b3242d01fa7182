"""More than 500 tasks end on one worker while the store is down."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

# Label of the rack of the last of four workers, which no other worker has.
LABEL = "r1-2"
# Seven jobs of 90 tasks, a tenth of a core each: 63 of the worker's 64 cores.
JOBS, JOB_TASKS = 7, 90
JOB_INTERVAL_S = 2.5
TASKS = JOBS * JOB_TASKS
CPU_MILLICORES = 100
ESTIMATE_MS = 60_000
# All tasks end within this time, in seconds.
ENDS_SPAN_S = 3.0
# Length of the outage (site file: platform_down, busy, for 4.2 s).
DOWN_S = 4.2
START_TIMEOUT_S = 50.0


async def scenario(system):
    """Run many small tasks on one worker, and let the store be down as they end."""
    step = {"count": JOB_TASKS, "cpu": CPU_MILLICORES, "mem_mb": 64, "est_ms": ESTIMATE_MS}
    job_ids = []
    for _ in range(JOBS):
        spec = {"work_s": ESTIMATE_MS / 1000.0}
        job_ids.append(await system.submit(spec, [{**step, "requires": LABEL}]))
        await asyncio.sleep(JOB_INTERVAL_S)
    if None in job_ids:
        return harness.NOT_RUN
    worker = system.fleet.workers[-1]
    deadline_s = system.record.now_s() + START_TIMEOUT_S
    while len(worker.runs) < TASKS:
        if system.record.now_s() > deadline_s:
            system.record.write(f"not run: {len(worker.runs)} of {TASKS} tasks began in time")
            return harness.NOT_RUN
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    ends_from_s = system.record.now_s() + 0.2

    def end_kind(run):
        share = int(run.task.rpartition(".")[2]) / JOB_TASKS
        return "done" if system.record.now_s() > ends_from_s + share * ENDS_SPAN_S else None

    worker.end_kind = end_kind
    if harness.is_troubled():
        system.record.write("platform: the store is down, and answers 503")
        system.store.is_down = True
    await asyncio.sleep(DOWN_S)
    system.store.is_down = False
    system.record.write("platform: the store is up")
    for job_id in job_ids:
        await system.wait_state(job_id, ("succeeded", "failed"), 8.0)
    await asyncio.sleep(2.0)
    done_s = {}
    for at_s, task, number, how, _ in system.fleet.ended:
        if how == "done" and (task, number, how) in system.fleet.noted:
            done_s.setdefault(task, (at_s, number))
    again = [
        (task, number, done_s[task])
        for at_s, task, number, _ in system.fleet.begun
        if task in done_s and at_s > done_s[task][0]
    ]
    for task, number, (at_s, done_number) in again[:5]:
        system.record.write(
            f"{task}: run {done_number} ended done at {at_s:.3f} and was taken note of, but run"
            f" {number} began later"
        )
    begun = [begun for begun in system.fleet.begun if begun[1][:16] in job_ids]
    return system.judge(
        not again,
        f"{len(begun)} starts of {TASKS} tasks, {len(again)} of them after a run of the task had"
        " ended done, which was taken note of",
    )


if __name__ == "__main__":
    harness.main(__file__, scenario)
