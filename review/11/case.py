"""One job that asks for more accelerators than there are ends every lead, one after another."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig3  # noqa: E402

# The largest whole number that JSON keeps exactly, as a consumer sends it for "all there are".
ALL_ACCELERATORS = 2**53 - 1
ORDINARY = {"count": 2, "cpu": 7500, "mem_mb": 22000, "gpu": 1, "est_ms": 1000}
DAY_MS = 86_400_000
OWN_ENDS_MAX, MACHINES_MIN = 3, 2
WATCH_S = 40


async def case(folder, record, has_trouble):
    """Return whether processes of two machines ended by themselves three times each."""
    system = rig3.System(folder, record, entries=3, workers=4)
    async with rig3.running(system):
        before = [f"a{number:015x}" for number in range(3)]
        for job_id in before:
            await system.submit(job_id, {"spec": "check", "steps": [ORDINARY]})
        await asyncio.sleep(4.0)
        gpu = ALL_ACCELERATORS if has_trouble else 1
        long = {**ORDINARY, "count": 8, "gpu": gpu, "est_ms": DAY_MS}
        await system.submit("b000000000000000", {"spec": "day", "steps": [long]})
        after = [f"c{number:015x}" for number in range(8)]
        accepted = []
        for job_id in after:
            await asyncio.sleep(WATCH_S / len(after) / 2)
            if await system.submit(job_id, {"spec": "check", "steps": [ORDINARY]}) == 200:
                accepted.append(job_id)
        await asyncio.sleep(WATCH_S / 2)
        for job_id in [*before, *accepted]:
            record.add(f"at the end {job_id}: {await system.state(job_id)}")
        unstarted = [job_id for job_id in accepted if not system.starts(job_id)]
        record.add(f"accepted after the long job: {len(accepted)}, of which {len(unstarted)}")
        record.add("were never started beside idle workers")
        ended = [entry for entry in system.entries if len(entry.own_ends) >= OWN_ENDS_MAX]
        for entry in system.entries:
            record.add(f"{entry.name} ended by itself {len(entry.own_ends)} times")
            for line in entry.log().splitlines():
                if "OverflowError" in line:
                    record.add(f"{entry.name} logged {line.strip(' |')}")
                    break
        return len(ended) >= MACHINES_MIN


rig3.main(FOLDER, case)
