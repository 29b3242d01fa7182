"""Crowds outside the limits end no process: memory and descriptors stay within the machine's.

The programs run as processes on loopback addresses, with lowered limits in their settings. Each
crowd stays connected while an ordinary request is answered. Nothing is timed.
"""

import json
import socket

import crowds
import pytest
import systems

# Limit of the entry of the ``/v1`` API, as in its settings.
API_MEMORY_MB = 96
IDLE_COUNT = 450
# Limits on the messages of callers; the operators' configuration of the test sets none.
BODY_BYTES = 262_144
HEARTBEAT_BYTES = 4 * crowds.MEBIBYTE
API_BODY_BYTES = crowds.MEBIBYTE
API_BODY = json.dumps({"team": "booths", "kind": "check", "payload": {"n": 1}}).encode()


@pytest.fixture
def machines(tmp_path):
    """Return the running processes."""
    new_machines = crowds.Machines(tmp_path)
    try:
        new_machines.start()
        yield new_machines
    finally:
        new_machines.close()


@pytest.fixture
def crowd_on():
    """Return a function that makes a crowd on a target; it is closed after the test."""
    connected = []

    def make(target):
        connected.append(crowds.Crowd(target))
        return connected[-1]

    yield make
    for crowd in connected:
        crowd.close()


@pytest.fixture
def front(machines):
    """Return the listener for callers."""

    def path(number):
        return f"POST {systems.ROUTE_PREFIX}{0xC0000000 + number:016x}"

    return crowds.Target(
        machines.entry,
        machines.front,
        crowds.MEMORY_MB,
        path,
        crowds.JOB_BODY,
        BODY_BYTES,
        machines.submit,
    )


@pytest.fixture
def control(machines):
    """Return the agent's listener for its worker."""

    def path(number):
        return f"POST /api/instances/x-{number}/heartbeat"

    return crowds.Target(
        machines.agent,
        machines.control,
        crowds.MEMORY_MB,
        path,
        crowds.HEARTBEAT_BODY,
        HEARTBEAT_BYTES,
        machines.beat,
    )


@pytest.fixture
def api(system, monkeypatch):
    """Return the listener for callers of an entry of the ``/v1`` API."""
    monkeypatch.setenv("PAPAYASPAR_MEMORY_MB", str(API_MEMORY_MB))
    monkeypatch.setenv("PAPAYASPAR_FDS_MAX", str(crowds.FDS_MAX))
    system.start_log()
    entry = system.start_entry("entry-1")
    system.start_worker("worker-1")
    system.start_agent("worker-1")
    system.wait_workers(1)
    system.wait_until(lambda: system.publish().status_code == 200)
    system.wait_revision(1)
    system.wait_targets()
    host, _, port = entry.http.rpartition(":")

    def ask():
        response = system.request(entry)
        if not response.is_success:
            print(f"request: {response.status_code}, {response.text}")
        return response.status_code

    return crowds.Target(
        entry.process,
        (host, int(port)),
        API_MEMORY_MB,
        lambda number: "POST /v1/requests",
        API_BODY,
        API_BODY_BYTES,
        ask,
    )


@pytest.mark.parametrize("kind", crowds.CROWDS)
def test_entry_bears_a_crowd_of_callers(front, crowd_on, kind):
    crowd_on(front).send(kind)
    front.check()


@pytest.mark.parametrize("kind", crowds.CROWDS)
def test_agent_bears_a_crowd_on_its_listener(control, crowd_on, kind):
    crowd_on(control).send(kind)
    control.check()


@pytest.mark.parametrize("kind", crowds.CROWDS)
def test_api_bears_a_crowd_of_callers(api, crowd_on, kind):
    crowd_on(api).send(kind)
    api.check()


@pytest.mark.parametrize("listener", ["ready", "metrics"])
@pytest.mark.parametrize("kind", ["whole", "ahead"])
def test_entry_bears_a_crowd_on_its_other_listeners(front, machines, crowd_on, listener, kind):
    front.address = getattr(machines, listener)
    crowd_on(front).send(kind)
    front.check()
    assert machines.get(machines.ready, "/api/readyz") == 200
    assert machines.get(machines.metrics, "/metrics") == 200


def test_entry_bears_a_crowd_of_idle_callers(front, crowd_on):
    crowd_on(front).connect(IDLE_COUNT)
    front.check()


def test_api_bears_a_crowd_of_idle_callers(api, crowd_on):
    crowd_on(api).connect(IDLE_COUNT)
    api.check()


def receive_status(address, message):
    """Send a message and return the status of the answer."""
    with socket.create_connection(address, crowds.ANSWER_TIMEOUT_S) as connection:
        connection.sendall(message)
        return int(connection.recv(4096).split(b" ")[1])


@pytest.mark.parametrize("make_message", [crowds.with_length, crowds.with_large_chunks])
def test_request_of_the_largest_legal_size_is_served(front, make_message):
    assert receive_status(front.address, make_message(front, 1)) == 200


def test_request_in_chunks_of_one_byte_is_served(front):
    message = crowds.with_small_chunks(front, 1, count=BODY_BYTES)
    assert receive_status(front.address, message) == 200


def test_header_of_the_largest_legal_size_is_served(front):
    length = f"content-length: {len(crowds.JOB_BODY)}\r\n"
    blanks = crowds.HEADER_BYTES - len(front.head(1, f"{length}x-long: \r\n"))
    message = front.head(1, f"{length}x-long: {'a' * blanks}\r\n") + crowds.JOB_BODY
    assert receive_status(front.address, message) == 200


def test_heartbeat_of_the_largest_legal_size_is_served(control):
    assert receive_status(control.address, crowds.with_length(control, 1)) == 200
