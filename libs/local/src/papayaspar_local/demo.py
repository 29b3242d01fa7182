"""The demo: the photo service's day in less than half a minute, with an account of it."""

import time

import anyio

from papayaspar_events import timeline
from papayaspar_local import accounts, callers, layouts, systems
from papayaspar_model import identifiers

URGENT_START_S = 7.3
BORROWERS = 11
BORROWER_START_S = 10.0
JOB_RUN_S = 600
DRAIN_S = 3.0
RULES_S = 14.0
LOST_NOTICE_S = 5.0
PROBES = 24
TIMELINE_EVENTS = 60
MORE_RULES = "team visas weight=1 # asked by the embassy liaison\n"


async def run() -> bool:
    """Run the demo and print its account and time line.

    :return: whether everything that it says held.
    """
    account = accounts.Account()
    print("papayaspar demo: 2 entries, 11 workers in 4 racks and 3 data centres\n", flush=True)
    async with (
        systems.running(layouts.PHOTO_SERVICE) as system,
        callers.Caller(system.entries[0].callers) as first,
        callers.Caller(system.entries[1].callers) as second,
    ):
        await _requests(account, first, second)
        await _print_once(account, system, first, second)
        await _refusals(account, first)
        await _guaranteed_gang(account, system, first)
        await _lost_worker(account, system, second)
        await _drained_worker(account, system, first)
        await _new_rules(account, system, second)
        await _show_timeline(system)
    count = len(account.findings)
    broke = sum(not finding.held for finding in account.findings)
    print(f"\n{count - broke} of {count} held")
    return account.held


async def _requests(
    account: accounts.Account, first: callers.Caller, second: callers.Caller
) -> None:
    for caller, urgency in ((first, "urgent"), (second, "normal"), (first, "batch")):
        reply = await caller.request("booths", "check", urgency)
        outcome = f"ran on {reply.worker} in {reply.duration_ms:.0f} ms"
        account.add(f"a check, {urgency}", outcome, reply.ok)


async def _print_once(
    account: accounts.Account,
    system: systems.LocalSystem,
    first: callers.Caller,
    second: callers.Caller,
) -> None:
    key = identifiers.new_id("print")
    replies = []
    for caller in (first, second):
        replies.append(await caller.request("booths", "print", "urgent", key, idempotent=False))
    runs = sum(worker.target.counts.by_key.get(key, 0) for worker in system.workers.values())
    workers = {reply.worker for reply in replies}
    held = runs == 1 and len(workers) == 1 and all(reply.ok for reply in replies)
    outcome = f"both answers from {', '.join(sorted(workers))}; the targets count {runs} run"
    account.add("a print, sent twice with one key through both entries", outcome, held)


async def _refusals(account: accounts.Account, first: callers.Caller) -> None:
    reply = await first.request("nobody", "check", "normal")
    held = reply.status == 403 and reply.ran == "no"
    account.add("a check of an unknown team", f"refused: {reply.code}, ran: {reply.ran}", held)
    order = callers.JobOrder("archive", 4, 8, "rack", JOB_RUN_S, "batch")
    code = await first.submit(order)
    held = code == "unplaceable"
    account.add("a gang of 4 whole workers in one rack of 3", f"refused: {code}", held)


async def _guaranteed_gang(
    account: accounts.Account, system: systems.LocalSystem, first: callers.Caller
) -> None:
    borrower = callers.JobOrder("archive", 1, 8, "any", JOB_RUN_S, "batch")
    jobs = [await first.submit(borrower) for _ in range(BORROWERS)]
    waits = [await first.wait_state(job, "running", BORROWER_START_S) for job in jobs]
    running = sum(wait is not None for wait in waits)
    outcome = f"{running} of {BORROWERS} run on accelerators that nobody else needs now"
    account.add("archive work fills the fleet, a worker each", outcome, running == BORROWERS)
    claim = callers.JobOrder("retouch", 3, 8, "rack", JOB_RUN_S, "urgent")
    job = await first.submit(claim)
    took_s = await first.wait_state(job, "running", URGENT_START_S)
    racks = _racks_running(system, job)
    shown = f"{took_s:.1f} s" if took_s is not None else "not in time"
    left = 0
    for other in jobs:
        left += await first.state(other) == "running"
    outcome = f"{shown}, in {', '.join(racks) or 'no rack'}; {left} of {BORROWERS} borrowers go on"
    held = took_s is not None and len(racks) == 1
    account.add("the guaranteed gang of 3 whole workers in one rack, urgent", outcome, held)
    for other in (*jobs, job):
        await first.cancel(other)


async def _lost_worker(
    account: accounts.Account, system: systems.LocalSystem, second: callers.Caller
) -> None:
    lost = system.workers["rack-d-w1"]
    lost.scope.cancel()
    started_s = time.monotonic()
    replies = [await second.request("portraits", "check", "normal") for _ in range(PROBES)]
    answered = sum(reply.ok for reply in replies)
    with anyio.move_on_after(LOST_NOTICE_S):
        await system.wait_workers(len(system.workers) - 1)
    took_s = time.monotonic() - started_s
    outcome = f"{answered} of {PROBES} checks answered; noticed and settled in {took_s:.1f} s"
    account.add("the agent of rack-d-w1 dies", outcome, answered == PROBES)


async def _drained_worker(
    account: accounts.Account, system: systems.LocalSystem, first: callers.Caller
) -> None:
    name = "rack-c-w1"
    leaving = system.workers[name]
    async with system.operators(system.entries[0]) as asked:
        await asked.drain(name)
    await anyio.sleep(DRAIN_S)
    before = sum(leaving.target.counts.by_request.values())
    replies = [await first.request("booths", "check", "normal") for _ in range(PROBES)]
    after = sum(leaving.target.counts.by_request.values())
    answered = sum(reply.ok for reply in replies)
    outcome = f"{after - before} of {PROBES} checks went there after {DRAIN_S:g} s"
    held = after == before and answered == PROBES
    account.add(f"{name} is drained", outcome, held)


async def _new_rules(
    account: accounts.Account, system: systems.LocalSystem, second: callers.Caller
) -> None:
    started_s = time.monotonic()
    revision = await system.publish(layouts.PHOTO_RULES + MORE_RULES)
    took_s = time.monotonic() - started_s
    reply = await second.request("visas", "check", "normal")
    outcome = f"revision {revision} in force in both entries after {took_s:.2f} s"
    account.add("rules with a new team", outcome, reply.ok and took_s < RULES_S)


async def _show_timeline(system: systems.LocalSystem) -> None:
    sources = []
    for entry in system.entries:
        async with system.operators(entry) as asked:
            sources.append(timeline.parse(await asked.event_lines()))
    events = timeline.merge(sources, timeline.Filter())
    print(f"\nthe newest {TIMELINE_EVENTS} of {len(events)} events of all processes:")
    for event in events[-TIMELINE_EVENTS:]:
        print(timeline.render(event))


def _racks_running(system: systems.LocalSystem, job_id: str) -> list[str]:
    racks = set()
    for worker in system.workers.values():
        uses = worker.agent.report().gangs
        if any(use.job_id == job_id for use in uses):
            racks.add(worker.place.rack)
    return sorted(racks)
