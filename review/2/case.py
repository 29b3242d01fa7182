"""The process that schedules is killed while recurring jobs for some days ahead are stored."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

# Six jobs, each once a minute with 9 tasks: the rate of batch-print on booth-cloud (0.0981 a
# second, 9 tasks). Each is handed in for five days ahead.
RECURRING_JOBS = 6
INTERVAL_MS = 60_000
TIMES = 5 * 24 * 60
TASKS = 9
# Plain jobs are handed in at this interval for this time after the kill, in seconds.
PLAIN_INTERVAL_S = 2.0
TRAFFIC_S = 30.0
# Bounds of the rule, in seconds.
FINISH_S = harness.BOUNDS["finish_s"]
IDLE_MAX_S = 3.0
SMALL_TASK = {"cpu": 500, "mem_mb": 64, "gpu": 1, "est_ms": 1000}


def last_conditional_writer(system):
    """Return the entry that the newest conditional write to the store names."""
    value, _ = system.store.partition("keyed.papayaspar", 0).newest["lead"]
    return next(entry for entry in system.entries if entry.name.encode() in value)


async def hand_in_recurring(system):
    """Hand in the recurring jobs; return whether all were accepted."""
    for _ in range(RECURRING_JOBS):
        values = {
            "spec": json.dumps({"work_s": 1.0}),
            "steps": [{"count": TASKS, **SMALL_TASK}],
            "times": TIMES,
            "start_ms": int(time.time() * 1000),
            "interval_ms": INTERVAL_MS,
        }
        status, _ = await system.request("POST", f"{random.getrandbits(64):016x}", values)
        if status != 200:
            return False
    return True


async def scenario(system):
    """Kill one process beside plain jobs, and look whether these run to their end."""
    if not await hand_in_recurring(system):
        return harness.NOT_RUN
    await asyncio.sleep(6.0)
    if len(system.fleet.ended) < RECURRING_JOBS * TASKS:
        # The first occurrences have not run, so there is nothing to compare with.
        return harness.NOT_RUN
    accepted = []
    for _ in range(3):
        steps = [{"count": 1, **SMALL_TASK}, {"count": 1, "after": [0], **SMALL_TASK}]
        job_id = await system.submit({"work_s": 3.0}, steps)
        if job_id is not None:
            accepted.append((job_id, f"{job_id}.0.1.0"))
    await asyncio.sleep(1.0)
    if harness.is_troubled():
        victim = last_conditional_writer(system)
        system.record.write(f"platform: SIGKILL to {victim.name}")
        victim.kill()
    traffic_end_s = system.record.now_s() + TRAFFIC_S
    while system.record.now_s() < traffic_end_s:
        steps = [{"count": 1, **SMALL_TASK}]
        job_id = await system.submit({"work_s": 1.0}, steps, attempts=1)
        if job_id is not None:
            accepted.append((job_id, f"{job_id}.0.0.0"))
        await asyncio.sleep(PLAIN_INTERVAL_S)
    await asyncio.sleep(FINISH_S)
    before = {begun[1] for begun in system.fleet.begun}
    await asyncio.sleep(IDLE_MAX_S)
    begun = {begun[1] for begun in system.fleet.begun}
    waiting = [job_id for job_id, last_task in accepted if last_task not in begun]
    is_idle = begun == before and not any(worker.runs for worker in system.fleet.workers)
    states = [await system.state(job_id) or "no answer" for job_id, _ in accepted[:3]]
    return system.judge(
        not (waiting and is_idle),
        f"{FINISH_S} s after the end of the traffic and {IDLE_MAX_S:.0f} s longer,"
        f" {len(waiting)} of {len(accepted)} accepted plain jobs wait for a task, {len(begun)}"
        f" tasks began in all, all {len(system.fleet.workers)} workers are"
        f" {'idle' if is_idle else 'not idle'}; the first jobs are shown as {states}",
    )


if __name__ == "__main__":
    harness.main(__file__, scenario)
