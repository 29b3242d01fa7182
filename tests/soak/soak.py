"""A randomized soak test.

``python tests/soak/soak.py --seeds 1,2,3 [--entries N] [--agents N] [--length S]`` starts the real
programs as separate processes on loopback addresses, injects faults drawn from each seed, and
checks the invariants of the platform's specification from what callers and workers observe. The
logs of each seed stay in a folder of their own.
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
import shapes
import systems

# Submitted jobs per second.
JOBS_PER_S = 3.0
# Submitted gangs per second whose members fail.
FAILING_GANGS_PER_S = 0.2
# All accepted jobs must end within this time after the last fault: expiry of a lease (6 s),
# election of a lead (3 s), restart of the programs (3 s), and run time of the tasks (2 s per step).
SETTLE_TIMEOUT_S = 40.0


@attrs.frozen
class Verdict:
    """The result of one seed.

    :param violations: violated invariants, one line each.
    :param accepted: number of jobs that were accepted.
    :param refused: number of jobs whose every submission was refused.
    :param injected_faults: injected faults with their start times, in order.
    """

    violations: tuple
    accepted: int
    refused: int
    injected_faults: tuple


async def run_seed(seed, folder, entries=3, agents=4, length_s=20.0):
    """Run one seed and return its verdict.

    :param seed: seed of the faults and of the callers.
    :param folder: folder for settings and logs.
    :param length_s: time during which faults start and jobs are submitted, in seconds.
    """
    rng = random.Random(seed)
    plan = faults.draw(rng, entries, agents, length_s)
    system = systems.System(pathlib.Path(folder), entries, agents)
    job_callers = callers.Callers(system, random.Random(seed + 1), shapes.SoundJobs())
    # The generators are separate so that the seeds keep their faults and jobs.
    evacuation_rng = random.Random(f"evacuations {seed}")
    plan += faults.draw_evacuations(evacuation_rng, systems.DATA_CENTRES, length_s)
    gang_rng = random.Random(f"failing gangs {seed}")
    gang_callers = callers.Callers(system, gang_rng, shapes.FailingGangs())
    all_callers = (job_callers, gang_callers)
    try:
        async with anyio.create_task_group() as group:
            await system.start(group)
            async with anyio.create_task_group() as load:
                load.start_soon(job_callers.run, int(length_s * JOBS_PER_S), length_s)
                load.start_soon(gang_callers.run, int(length_s * FAILING_GANGS_PER_S), length_s)
                for at_s, fault in plan:
                    load.start_soon(_inject_at, at_s, fault, system)
            async with anyio.create_task_group() as polls:
                for each in all_callers:
                    polls.start_soon(each.wait_until_ended, SETTLE_TIMEOUT_S)
            group.cancel_scope.cancel()
    finally:
        system.close()
    outcomes = [job.outcome for each in all_callers for job in each.jobs]
    return Verdict(
        tuple(checks.violations(system, all_callers)),
        outcomes.count(callers.Outcome.ACCEPTED),
        outcomes.count(callers.Outcome.REFUSED),
        tuple(f"{at_s:.1f} {fault}" for at_s, fault in plan),
    )


async def _inject_at(at_s, fault, system):
    await anyio.sleep(at_s)
    await fault.inject(system)


def main():
    """Run the given seeds; exit with status 1 if any of them violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", default="1", help="comma-separated seeds, or a range such as 1-50"
    )
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--agents", type=int, default=4)
    parser.add_argument(
        "--length", type=float, default=20.0, help="duration of the faults, in seconds"
    )
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last) + 1) if last else map(int, arguments.seeds.split(","))
    failed_seeds = 0
    for seed in seeds:
        folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        verdict = anyio.run(
            run_seed, seed, folder, arguments.entries, arguments.agents, arguments.length
        )
        print(
            f"seed={seed} violations={len(verdict.violations)} accepted={verdict.accepted}"
            f" refused={verdict.refused} faults={len(verdict.injected_faults)} logs={folder}",
            flush=True,
        )
        failed_seeds += bool(verdict.violations)
        for line in (*verdict.violations, *(verdict.injected_faults if verdict.violations else ())):
            print(f"  {line}", flush=True)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
