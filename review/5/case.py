"""A start order gets no answer, its job is cancelled, and the order is sent again seconds later."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

AGENTS = 10
# Label of the rack of the last worker, which no other worker of this deployment has.
LABEL = "r1-4"
# Length of the worker's disruption (site file: srv_grey, share 0.1, x 1.0, for 5.5 s): it answers
# no call and carries none out.
GREY_S = 4.5
CANCEL_S = harness.BOUNDS["cancel_ms"] / 1000.0


async def scenario(system):
    """Hand in a job, cancel it, and look when its task begins."""
    worker = system.fleet.workers[-1]
    grey_from_s = system.record.now_s()

    def fault(path, values):
        remaining_s = grey_from_s + GREY_S - system.record.now_s()
        if remaining_s > 0:
            system.record.write(f"{worker.name}: no answer to {path} {values.get('task', '')}")
            raise harness.Unanswered(remaining_s)

    if harness.is_troubled():
        worker.fault = fault
    steps = [{"count": 1, "cpu": 8000, "mem_mb": 4096, "gpu": 4, "est_ms": 5000, "requires": LABEL}]
    job_id = await system.submit({"work_s": 5.0}, steps)
    if job_id is None:
        return harness.NOT_RUN
    await asyncio.sleep(0.3)
    status, _ = await system.request("DELETE", job_id)
    if status not in (200, 410):
        return harness.NOT_RUN
    acknowledged_s = system.record.now_s()
    await asyncio.sleep(10.0)
    begun_s = [begun[0] - acknowledged_s for begun in system.fleet.begun if job_id in begun[1]]
    return system.judge(
        all(after_s <= CANCEL_S for after_s in begun_s),
        f"starts after the acknowledgement of the cancel, in s: {[round(s, 2) for s in begun_s]}",
    )


if __name__ == "__main__":
    harness.main(__file__, scenario, agents=AGENTS)
