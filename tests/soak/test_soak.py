"""Short seeded runs of the soak; `docs/PROOFS.md` lists the longer ones made by hand."""

import signal

import anyio
import pytest
import soak
import systems

# Each seed that ever broke a promise stays here, with a line on its cause.
REGRESSIONS = (
    # A start whose lead went away while the agent sought its outcome took room for good.
    10,
    # A listener's descriptor had two owners; the second closed a caller's connection at SIGTERM.
    22,
    # An agent ordered a run again in the next life of a worker that kept its id, while the lead had
    # given the task to another worker: the task ran on two at once.
    31,
)
FRESH = (1,)


@pytest.mark.parametrize("seed", FRESH + REGRESSIONS)
def test_promises_hold_under_faults(seed, tmp_path):
    verdict = anyio.run(soak.play, seed, tmp_path)
    assert verdict.violations == ()
    assert verdict.accepted > 0


def test_programs_end_cleanly_when_told_to(tmp_path):
    """Found by reading the logs of inc-22d6: each entry ended with a traceback at SIGTERM."""
    anyio.run(_end_programs, tmp_path)
    for log in tmp_path.glob("entry-*.log"):
        assert "Traceback" not in log.read_text()
        assert "process_stopped" in log.read_text()


async def _end_programs(folder):
    system = systems.System(folder, 2, 1)
    try:
        async with anyio.create_task_group() as group:
            await system.start(group)
            programs = [machine.process for machine in system.machines]
            for machine in system.machines:
                machine.send(signal.SIGTERM)
            with anyio.fail_after(systems.GRACE_S):
                while any(program.poll() is None for program in programs):
                    await anyio.sleep(0.1)
            group.cancel_scope.cancel()
    finally:
        system.close()
