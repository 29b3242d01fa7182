"""Counts on the ``/v1`` path over processes: lost streams, killed agents and killed entries."""

import concurrent.futures
import re

import anyio.from_thread
import proxies
import pytest

from papayaspar_entry import gang_runs
from papayaspar_membership import ejection

NAMES = ("worker-1", "worker-2", "worker-3")
# Enough failures to eject a worker if each one counted.
IN_FLIGHT = ejection.EjectionLimits().consecutive_failures + 3
# Longer than the kill or reset of a stream takes, and than a silent stream stays open.
SERVICE_MS = 2500
SILENT_SERVICE_MS = 5000
JOB_TIMEOUT_S = 45.0
GANG = {
    "team": "batch",
    "kind": "retouch",
    "tasks": 3,
    "accelerators_per_task": 8,
    "adjacency": "rack",
    "run_time_s": 60,
    # A failed run may be repeated.
    "checkpoint": True,
    "idempotent": True,
}


def start_agent(system, name, proxy):
    """Start an agent that connects to the entry through the proxy."""
    host, port = proxy.listen
    system.start_agent(name, "rack-1", "--entries", f"{host}:{port}")


def events(system, kind, subject):
    """Return the lines of one kind of event that name a subject, of all entries, also killed ones.

    :param subject: a pair of the line, such as ``job=job-1``.
    """
    pattern = re.compile(rf" event={kind} .*\b{re.escape(subject)}(\s|$)")
    entries = [program for program in system.programs if program.streams]
    return [line for entry in entries for line in entry.lines() if pattern.search(line)]


def use_only(system, name):
    """Kill the agents of all other workers, so that all requests go to one worker."""
    for other in NAMES:
        if other != name:
            system.agents[other].kill()
    system.wait_workers(1)


@pytest.fixture
def proxied_system(system, free_tcp_port):
    """Return a system whose agents reach its entry through a proxy, the proxy and its switch."""
    host = "127.0.0.1"
    port = free_tcp_port
    system.start_log()
    entry = system.start_entry("entry-1", "--advertise", f"{host}:{port}")
    proxy = proxies.Proxy((host, port), (host, int(entry.streams.rpartition(":")[2])))
    with anyio.from_thread.start_blocking_portal() as portal:
        running = portal.start_task_soon(proxy.run)
        for name in NAMES:
            system.start_worker(name)
            start_agent(system, name, proxy)
        system.wait_workers(len(NAMES))
        system.wait_until(lambda: system.publish().status_code == 200)
        system.wait_revision(1)
        system.wait_targets()
        yield system, proxy, lambda state: portal.call(proxy.switch, state)
        running.cancel()


# Guards against the ejection of a sound worker for one event: its agent is killed and restarted
# with the same name, or its connection is reset or goes silent, beside running requests, twice.
@pytest.mark.parametrize(
    ("loss", "service_ms"),
    [("kill", SERVICE_MS), ("reset", SERVICE_MS), ("silent", SILENT_SERVICE_MS)],
)
def test_a_lost_agent_stream_does_not_eject_its_worker(proxied_system, loss, service_ms):
    system, proxy, switch = proxied_system
    entry = system.entries[0]
    use_only(system, "worker-1")
    fields = {"payload": {"service_ms": service_ms}, "deadline_ms": 20_000}
    for _ in range(2):
        with concurrent.futures.ThreadPoolExecutor(IN_FLIGHT) as pool:
            futures = [pool.submit(system.request, entry, **fields) for _ in range(IN_FLIGHT)]
            system.wait_until(lambda: system.counts("worker-1")["running"] >= IN_FLIGHT)
            if loss == "kill":
                system.agents["worker-1"].kill()
            else:
                switch(proxies.LinkState[loss.upper()])
            problems = [future.result().json() for future in futures]
        assert {problem["ran"] for problem in problems} == {"unknown"}
        switch(proxies.LinkState.OPEN)
        if loss == "kill":
            start_agent(system, "worker-1", proxy)
        system.wait_workers(1)
        system.wait_until(lambda: system.counts("worker-1")["running"] == 0)
        assert system.request(entry).json()["worker"] == "worker-1"
    assert not events(system, "worker_ejected", "worker=worker-1")


# Guards against a job that gets three more failed runs from each entry that takes it over: both
# entries are killed in its third run and restarted with the same names.
def test_failed_runs_of_a_job_count_over_killed_entries(small_system):
    for name in small_system.workers:
        small_system.set_worker_faults(name, fail=True)
    killed = tuple(small_system.entries)
    url = f"http://{killed[0].http}/v1/jobs"
    responses = []

    def is_accepted():
        responses.append(small_system.client.post(url, json=GANG))
        return responses[-1].status_code == 202

    small_system.wait_until(is_accepted)
    job_id = responses[-1].json()["job_id"]

    def attempts():
        lines = events(small_system, "job_started", f"job={job_id}")
        return {re.search(r" attempt=(\d+)", line).group(1) for line in lines}

    small_system.wait_until(lambda: len(attempts()) >= gang_runs.FAILURES_MAX)
    for entry in killed:
        entry.kill()
        small_system.entries.remove(entry)
    for entry in killed:
        small_system.start_entry(entry.name, replaced_entry=entry, wait=False)

    def have_all_ended():
        states = [
            small_system.get(f"http://{entry.http}/v1/jobs/{job_id}").json().get("state")
            for entry in small_system.entries
        ]
        return set(states) == {"failed"}

    small_system.wait_until(have_all_ended, JOB_TIMEOUT_S)
    # A run whose end no entry has read is not counted; that is at most the third one.
    assert gang_runs.FAILURES_MAX <= len(attempts()) <= gang_runs.FAILURES_MAX + 1
