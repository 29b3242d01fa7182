"""The demo runs an example workload in under 30 seconds and checks the results."""

import time

import anyio

from papayaspar_events import timeline
from papayaspar_local import callers, layouts, reports, systems
from papayaspar_model import identifiers

# Bound for the start of an urgent gang within its guarantee.
URGENT_START_TIMEOUT_S = 7.3
BORROWER_COUNT = 11
BORROWER_START_TIMEOUT_S = 10.0
JOB_RUN_TIME_S = 600
DRAIN_WAIT_S = 3.0
RULES_TIMEOUT_S = 14.0
LOSS_DETECTION_TIMEOUT_S = 5.0
PROBE_COUNT = 24
TIMELINE_EVENTS = 60
ADDED_RULES = "team visas weight=1 # asked by the embassy liaison\n"


async def run() -> bool:
    """Run the demo and print its report and the event timeline.

    :return: whether all checks passed.
    """
    report = reports.Report()
    print("papayaspar demo: 2 entries, 11 workers in 4 racks and 3 data centres\n", flush=True)
    async with (
        systems.running(layouts.PHOTO_SERVICE) as system,
        callers.Caller(system.entries[0].callers) as first_caller,
        callers.Caller(system.entries[1].callers) as second_caller,
    ):
        await _check_requests(report, first_caller, second_caller)
        await _check_deduplication(report, system, first_caller, second_caller)
        await _check_rejections(report, first_caller)
        await _check_guarantee(report, system, first_caller)
        await _check_lost_worker(report, system, second_caller)
        await _check_draining(report, system, first_caller)
        await _check_new_rules(report, system, second_caller)
        await _print_timeline(system)
    count = len(report.results)
    failed = sum(not result.passed for result in report.results)
    print(f"\n{count - failed} of {count} held")
    return report.passed


async def _check_requests(
    report: reports.Report, first_caller: callers.Caller, second_caller: callers.Caller
) -> None:
    for caller, urgency in (
        (first_caller, "urgent"),
        (second_caller, "normal"),
        (first_caller, "batch"),
    ):
        reply = await caller.request("booths", "check", urgency)
        outcome = f"ran on {reply.worker} in {reply.duration_ms:.0f} ms"
        report.add(f"a check, {urgency}", outcome, reply.ok)


async def _check_deduplication(
    report: reports.Report,
    system: systems.LocalSystem,
    first_caller: callers.Caller,
    second_caller: callers.Caller,
) -> None:
    key = identifiers.new_id("print")
    replies = []
    for caller in (first_caller, second_caller):
        replies.append(await caller.request("booths", "print", "urgent", key, idempotent=False))
    runs = sum(worker.target.counts.by_key.get(key, 0) for worker in system.workers.values())
    workers = {reply.worker for reply in replies}
    passed = runs == 1 and len(workers) == 1 and all(reply.ok for reply in replies)
    outcome = f"both responses from {', '.join(sorted(workers))}; the targets count {runs} run"
    report.add("a print, sent twice with one key through both entries", outcome, passed)


async def _check_rejections(report: reports.Report, first_caller: callers.Caller) -> None:
    reply = await first_caller.request("nobody", "check", "normal")
    passed = reply.status == 403 and reply.ran == "no"
    report.add("a check of an unknown team", f"refused: {reply.code}, ran: {reply.ran}", passed)
    order = callers.JobOrder("archive", 4, 8, "rack", JOB_RUN_TIME_S, "batch")
    code = await first_caller.submit(order)
    passed = code == "unplaceable"
    report.add("a gang of 4 whole workers in one rack of 3", f"refused: {code}", passed)


async def _check_guarantee(
    report: reports.Report, system: systems.LocalSystem, first_caller: callers.Caller
) -> None:
    borrower = callers.JobOrder("archive", 1, 8, "any", JOB_RUN_TIME_S, "batch")
    borrower_jobs = [await first_caller.submit(borrower) for _ in range(BORROWER_COUNT)]
    waits = [
        await first_caller.wait_for_state(job, "running", BORROWER_START_TIMEOUT_S)
        for job in borrower_jobs
    ]
    running = sum(wait is not None for wait in waits)
    outcome = f"{running} of {BORROWER_COUNT} run on accelerators that no other team needs now"
    report.add("archive jobs fill the fleet, one worker each", outcome, running == BORROWER_COUNT)
    guaranteed = callers.JobOrder("retouch", 3, 8, "rack", JOB_RUN_TIME_S, "urgent")
    job = await first_caller.submit(guaranteed)
    elapsed_s = await first_caller.wait_for_state(job, "running", URGENT_START_TIMEOUT_S)
    racks = _find_racks(system, job)
    duration = f"{elapsed_s:.1f} s" if elapsed_s is not None else "not in time"
    still_running = 0
    for borrower_job in borrower_jobs:
        still_running += await first_caller.state(borrower_job) == "running"
    outcome = (
        f"{duration}, in {', '.join(racks) or 'no rack'}; "
        f"{still_running} of {BORROWER_COUNT} borrowers keep running"
    )
    passed = elapsed_s is not None and len(racks) == 1
    report.add("the guaranteed gang of 3 whole workers in one rack, urgent", outcome, passed)
    for submitted_job in (*borrower_jobs, job):
        await first_caller.cancel(submitted_job)


async def _check_lost_worker(
    report: reports.Report, system: systems.LocalSystem, second_caller: callers.Caller
) -> None:
    failed_worker = system.workers["rack-d-w1"]
    failed_worker.scope.cancel()
    started_s = time.monotonic()
    replies = [
        await second_caller.request("portraits", "check", "normal") for _ in range(PROBE_COUNT)
    ]
    succeeded_count = sum(reply.ok for reply in replies)
    with anyio.move_on_after(LOSS_DETECTION_TIMEOUT_S):
        await system.wait_for_workers(len(system.workers) - 1)
    elapsed_s = time.monotonic() - started_s
    outcome = (
        f"{succeeded_count} of {PROBE_COUNT} checks succeeded; loss detected in {elapsed_s:.1f} s"
    )
    report.add("the agent of rack-d-w1 fails", outcome, succeeded_count == PROBE_COUNT)


async def _check_draining(
    report: reports.Report, system: systems.LocalSystem, first_caller: callers.Caller
) -> None:
    name = "rack-c-w1"
    draining = system.workers[name]
    async with system.operators(system.entries[0]) as operator:
        await operator.drain(name)
    await anyio.sleep(DRAIN_WAIT_S)
    count_before = sum(draining.target.counts.by_request.values())
    replies = [await first_caller.request("booths", "check", "normal") for _ in range(PROBE_COUNT)]
    count_after = sum(draining.target.counts.by_request.values())
    succeeded_count = sum(reply.ok for reply in replies)
    outcome = (
        f"{count_after - count_before} of {PROBE_COUNT} checks ran on it after {DRAIN_WAIT_S:g} s"
    )
    passed = count_after == count_before and succeeded_count == PROBE_COUNT
    report.add(f"{name} is drained", outcome, passed)


async def _check_new_rules(
    report: reports.Report, system: systems.LocalSystem, second_caller: callers.Caller
) -> None:
    started_s = time.monotonic()
    revision = await system.publish(layouts.PHOTO_RULES + ADDED_RULES)
    elapsed_s = time.monotonic() - started_s
    reply = await second_caller.request("visas", "check", "normal")
    outcome = f"revision {revision} in force in both entries after {elapsed_s:.2f} s"
    report.add("rules with a new team", outcome, reply.ok and elapsed_s < RULES_TIMEOUT_S)


async def _print_timeline(system: systems.LocalSystem) -> None:
    sources = []
    for entry in system.entries:
        async with system.operators(entry) as operator:
            sources.append(timeline.parse(await operator.event_lines()))
    events = timeline.merge(sources, timeline.Filter())
    print(f"\nthe latest {TIMELINE_EVENTS} of {len(events)} events of all processes:")
    for event in events[-TIMELINE_EVENTS:]:
        print(timeline.render(event))


def _find_racks(system: systems.LocalSystem, job_id: str) -> list[str]:
    racks = set()
    for worker in system.workers.values():
        uses = worker.agent.report().gangs
        if any(use.job_id == job_id for use in uses):
            racks.add(worker.place.rack)
    return sorted(racks)
