"""A request refused as not run never ran, and every answer goes to its own caller."""

import httpx

TINY_QUEUE_RULES = """\
team booths weight=4 # asked by the booths' manager
queue urgent-checks urgency=urgent depth=1 # asked by the test
queue checks urgency=normal depth=2 # asked by the test
queue batches urgency=batch depth=1 # asked by the test
"""
URGENCIES = ("urgent", "normal", "batch")


def make_requests(system, prefix, count, **fields):
    """Return requests with different keys, with urgencies and entries in turn."""
    requests = []
    for number in range(count):
        key = f"{prefix}-{number}"
        request = {"key": key, "urgency": URGENCIES[number % 3]} | fields
        request["payload"] = {"n": key} | fields.get("payload", {})
        requests.append((system.entries[number % len(system.entries)], request))
    return requests


def check_refusals(system, requests, responses):
    """Check every answer against the targets' counts; return how many say that nothing ran."""
    refused = 0
    for (_, fields), response in zip(requests, responses, strict=True):
        assert isinstance(response, httpx.Response), response
        executions = system.executions(fields["key"])
        if response.status_code == 200:
            assert executions >= 1
            assert response.json()["result"]["payload"]["n"] == fields["key"]
            continue
        assert response.headers["content-type"] == "application/problem+json"
        assert response.headers["papayaspar-ran"] == response.json()["ran"]
        if response.json()["ran"] != "no":
            continue
        refused += 1
        assert executions == 0, response.text
    return refused


def test_requests_beyond_full_queues_are_refused_and_not_run(small_system):
    small_system.wait_shards()
    small_system.publish(TINY_QUEUE_RULES)
    small_system.wait_revision(2)
    slow = {"service_ms": 400}
    for kind, idempotent in (("checks", True), ("prints", False)):
        requests = make_requests(small_system, kind, 120, idempotent=idempotent, payload=slow)
        assert check_refusals(small_system, requests, small_system.request_all(requests)) > 0
    late = make_requests(small_system, "late", 90, idempotent=False, payload=slow, deadline_ms=300)
    check_refusals(small_system, late, small_system.request_all(late))


def test_request_whose_deadline_passes_in_the_queue_is_not_run(shared_system):
    occupying = [(entry, {"payload": {"service_ms": 1500}}) for entry in shared_system.entries * 12]
    late = make_requests(shared_system, "queued", 24, deadline_ms=700)
    responses = shared_system.request_all(occupying + late)
    assert [response.status_code for response in responses[:24]] == [200] * 24
    assert check_refusals(shared_system, late, responses[24:]) > 0


def test_requests_are_refused_as_not_run_when_all_workers_drain(small_system):
    for name in small_system.workers:
        url = f"http://{small_system.entries[0].operators}/v1/workers/{name}/drain"
        assert small_system.client.post(url).status_code < 300
    requests = make_requests(small_system, "drained", 30, deadline_ms=1500)
    responses = small_system.request_all(requests)
    assert check_refusals(small_system, requests, responses) == len(requests)


def test_callers_get_their_own_answers_while_workers_truncate_answers_and_hang(small_system):
    small_system.set_worker_faults("worker-1", cut_body=True)
    small_system.set_worker_faults("worker-2", hang=True)
    requests = make_requests(
        small_system, "own", 200, payload={"photo": "x" * 5000}, deadline_ms=6000
    )
    responses = small_system.request_all(requests)
    check_refusals(small_system, requests, responses)
    ids = [response.json().get("request_id") for response in responses]
    assert len(set(ids)) == len(ids)
    for response in responses:
        if response.status_code == 200:
            assert response.json()["worker"] == "worker-3"
