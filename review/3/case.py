"""A recurring job is cancelled; when its records are deleted, nothing is started any more."""

import asyncio
import json
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

# Shorter than the 120 s of the known deployments, since a script may run for 120 s only: after
# this time the records of an ended job are deleted.
STATUS_S = 40
# Once a minute for a week, with the 9 tasks of batch-print on booth-cloud.
TIMES = 7 * 24 * 60
INTERVAL_MS = 60_000
TASKS = 9
SMALL_TASK = {"cpu": 500, "mem_mb": 64, "gpu": 1, "est_ms": 1000}
TRAFFIC_S = 20.0
FINISH_S = harness.BOUNDS["finish_s"]
IDLE_MAX_S = 3.0


async def scenario(system):
    """Hand in a recurring job, cancel it, and look whether plain jobs run some time later."""
    recurring_id = f"{random.getrandbits(64):016x}"
    values = {
        "spec": json.dumps({"work_s": 1.0}),
        "steps": [{"count": TASKS, **SMALL_TASK}],
        "times": TIMES,
        "start_ms": int(time.time() * 1000),
        "interval_ms": INTERVAL_MS,
    }
    status, _ = await system.request("POST", recurring_id, values)
    if status != 200:
        return harness.NOT_RUN
    await asyncio.sleep(4.0)
    if len(system.fleet.ended) < TASKS:
        return harness.NOT_RUN
    if harness.is_troubled():
        status, _ = await system.request("DELETE", recurring_id)
        if status != 200:
            return harness.NOT_RUN
    await asyncio.sleep(STATUS_S + 2.0)
    accepted = []
    traffic_end_s = system.record.now_s() + TRAFFIC_S
    while system.record.now_s() < traffic_end_s:
        job_id = await system.submit({"work_s": 1.0}, [{"count": 1, **SMALL_TASK}], attempts=1)
        if job_id is not None:
            accepted.append(job_id)
        await asyncio.sleep(2.0)
    if not accepted:
        return harness.NOT_RUN
    await asyncio.sleep(FINISH_S + IDLE_MAX_S)
    begun = {begun[1] for begun in system.fleet.begun}
    waiting = [job_id for job_id in accepted if f"{job_id}.0.0.0" not in begun]
    states = [await system.state(job_id) or "no answer" for job_id in accepted[:3]]
    return system.judge(
        not waiting,
        f"{FINISH_S} s after the end of the traffic and {IDLE_MAX_S:.0f} s longer,"
        f" {len(waiting)} of {len(accepted)} accepted plain jobs have never begun; all"
        f" {len(system.fleet.workers)} workers have room; the first jobs are shown as {states}",
    )


if __name__ == "__main__":
    harness.main(__file__, scenario, bounds={"status_s": STATUS_S})
