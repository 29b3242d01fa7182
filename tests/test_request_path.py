"""Requests end to end across processes, and refusal of malformed requests."""

import socket

import httpx
import pytest


def test_large_request_is_answered_through_every_entry(shared_system):
    for number, entry in enumerate(shared_system.entries):
        response = shared_system.request(entry, payload={"photo": "x" * 50_000, "n": number})
        assert response.status_code == 200, response.text
        assert response.json()["result"]["payload"]["n"] == number


def test_malformed_requests_are_refused_and_not_run(shared_system):
    entry = shared_system.entries[0]
    cases = [
        ({"urgency": "soon"}, "urgency"),
        ({"deadline_ms": 0}, "deadline_ms"),
        ({"deadline_ms": "fast"}, "deadline_ms"),
        ({"idempotent": "yes"}, "idempotent"),
        ({"colour": "red"}, "colour"),
        ({"team": 7}, "team"),
    ]
    for fields, field in cases:
        response = shared_system.request(entry, key=f"bad-{field}", **fields)
        problem = response.json()
        assert response.status_code == 400
        assert (problem["field"], problem["ran"]) == (field, "no")
        assert shared_system.executions(f"bad-{field}") == 0


@pytest.mark.parametrize("body", [b"{", b"[]", b"\xff", b'{"team": NaN}', b"[" * 100_000])
def test_bodies_other_than_json_objects_are_refused(shared_system, body):
    url = f"http://{shared_system.entries[0].http}/v1/requests"
    response = httpx.post(url, content=body, trust_env=False)
    assert (response.status_code, response.json()["field"]) == (400, "body")


def test_an_oversized_body_is_refused(shared_system):
    response = shared_system.request(shared_system.entries[0], payload="x" * 2_000_000)
    assert (response.status_code, response.json()["code"]) == (413, "body_too_large")


def test_call_whose_body_is_cut_changes_nothing(shared_system):
    """Guard against a call that runs before it is complete: its refusal says that it has not."""
    entry = shared_system.entries[0]
    host, _, port = entry.operators.rpartition(":")
    head = "POST /v1/workers/worker-1/drain HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n"
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(head.encode() + b"12345")
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            pass
    rows = shared_system.get(f"http://{entry.operators}/v1/status").json()["workers"]
    assert {row["state"] for row in rows} == {"up"}
    shared_system.wait_workers(3)
