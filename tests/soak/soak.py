"""A randomized soak: ``python tests/soak/soak.py --seeds 1,2,3 [--machines N] [--length S]``.

It starts the real programs as separate processes on loopback addresses, draws faults from the seed
and checks the promises of the platform's pages from what callers and workers see. Logs stay in a
folder a seed.
"""

import argparse
import pathlib
import random
import sys
import tempfile

import anyio
import attrs
import callers
import checks
import faults
import systems

# Jobs handed in a second.
JOBS_PER_S = 3.0
# After the last fault all accepted jobs must have ended within this time, in seconds: a lease
# (6 s), a change of the lead (3 s), the restart of programs (3 s) and the work itself (2 s a step).
SETTLE_S = 40.0


@attrs.frozen
class Verdict:
    """What a seed showed.

    :param violations: broken promises, a line each.
    :param accepted: jobs that were accepted.
    :param refused: jobs that were only ever refused.
    :param played: faults in their order.
    """

    violations: tuple
    accepted: int
    refused: int
    played: tuple


async def play(seed, folder, entries=3, agents=4, length_s=20.0):
    """Run one seed and return its verdict.

    :param seed: source of all chance.
    :param folder: where logs go.
    :param length_s: how long faults begin, in seconds.
    """
    chance = random.Random(seed)
    plan = faults.draw(chance, entries, agents, length_s)
    system = systems.System(pathlib.Path(folder), entries, agents)
    called = callers.Callers(system, random.Random(seed + 1))
    try:
        async with anyio.create_task_group() as group:
            await system.start(group)
            async with anyio.create_task_group() as day:
                day.start_soon(called.run, int(length_s * JOBS_PER_S), length_s)
                for at_s, fault in plan:
                    day.start_soon(_play_at, at_s, fault, system)
            await called.await_ends(SETTLE_S)
            group.cancel_scope.cancel()
    finally:
        system.close()
    outcomes = [job.outcome for job in called.jobs]
    return Verdict(
        tuple(checks.violations(system, called)),
        outcomes.count(callers.Outcome.ACCEPTED),
        outcomes.count(callers.Outcome.REFUSED),
        tuple(f"{at_s:.1f} {fault}" for at_s, fault in plan),
    )


async def _play_at(at_s, fault, system):
    await anyio.sleep(at_s)
    await fault.play(system)


def main():
    """Run the seeds that are asked for; exit 1 if one broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="seeds, or a range such as 1-50")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument("--length", type=float, default=20.0, help="seconds of faults")
    asked = parser.parse_args()
    first, _, last = asked.seeds.partition("-")
    seeds = range(int(first), int(last) + 1) if last else map(int, asked.seeds.split(","))
    broken = 0
    for seed in seeds:
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        verdict = anyio.run(play, seed, folder, asked.entries, asked.agents, asked.length)
        print(
            f"seed={seed} violations={len(verdict.violations)} accepted={verdict.accepted}"
            f" refused={verdict.refused} faults={len(verdict.played)} logs={folder}",
            flush=True,
        )
        broken += bool(verdict.violations)
        for line in (*verdict.violations, *(verdict.played if verdict.violations else ())):
            print(f"  {line}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
