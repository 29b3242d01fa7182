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
# One job in 21 of those seconds can never be done: below the site file's share of 0.05 for 3 s.
CROWD, CROWD_S = 20, 3.0
LATER_JOBS, WATCH_S = 5, 26.0


async def _submit_at(system, at_s, job_id, spec, step):
    await asyncio.sleep(at_s)
    return await system.submit(job_id, {"spec": spec, "steps": [step]})


async def case(folder, record, has_trouble):
    """Return whether processes of two machines ended by themselves three times each."""
    system = rig3.System(folder, record, entries=3, workers=4)
    async with rig3.running(system):
        gpu = ALL_ACCELERATORS if has_trouble else 1
        long = {**ORDINARY, "count": 8, "gpu": gpu, "est_ms": DAY_MS}
        crowd = [f"a{number:015x}" for number in range(CROWD)]
        sent = [
            _submit_at(system, number * CROWD_S / CROWD, job_id, "check", ORDINARY)
            for number, job_id in enumerate(crowd)
        ]
        sent.append(_submit_at(system, CROWD_S / 2, "b000000000000000", "day", long))
        *answers, long_answer = await asyncio.gather(*sent)
        record.add(f"the long job was answered {long_answer}")
        accepted = [job_id for job_id, status in zip(crowd, answers, strict=True) if status == 200]
        for number in range(LATER_JOBS):
            job_id = f"c{number:015x}"
            if await _submit_at(system, WATCH_S / LATER_JOBS / 2, job_id, "check", ORDINARY) == 200:
                accepted.append(job_id)
        await asyncio.sleep(WATCH_S / 2)
        unstarted = [job_id for job_id in accepted if not system.starts(job_id)]
        record.add(f"{len(accepted)} ordinary jobs accepted, of which {len(unstarted)} never began")
        record.add(f"an entry shows the last as {await system.state(accepted[-1])}")
        ended = [entry for entry in system.entries if len(entry.own_ends) >= OWN_ENDS_MAX]
        for entry in system.entries:
            record.add(f"{entry.name} ended by itself {len(entry.own_ends)} times")
            for line in entry.log().splitlines():
                if "OverflowError" in line:
                    record.add(f"{entry.name} logged {line.strip(' |')}")
                    break
        return len(ended) >= MACHINES_MIN


rig3.main(FOLDER, case)
