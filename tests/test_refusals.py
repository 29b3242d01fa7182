"""What a refusal calls not run has no execution, and every answer goes to its own caller."""

import httpx

TINY_QUEUES = """\
team booths weight=4 # asked by the booths' manager
queue urgent-checks urgency=urgent depth=1 # asked by the test
queue checks urgency=normal depth=2 # asked by the test
queue batches urgency=batch depth=1 # asked by the test
"""
URGENCIES = ("urgent", "normal", "batch")


def orders(system, prefix, count, **fields):
    """Return keyed requests of all urgencies, in turn for each entry."""
    made = []
    for number in range(count):
        key = f"{prefix}-{number}"
        order = {"key": key, "urgency": URGENCIES[number % 3]} | fields
        order["payload"] = {"n": key} | fields.get("payload", {})
        made.append((system.entries[number % len(system.entries)], order))
    return made


def check_refusals(system, asked, responses):
    """Check every answer against the targets' counts; return how many were not run."""
    refused = 0
    for (_, fields), response in zip(asked, responses, strict=True):
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


def test_a_flood_beyond_tiny_queues_is_refused_and_not_run(small_system):
    small_system.wait_shards()
    small_system.publish(TINY_QUEUES)
    small_system.wait_revision(2)
    slow = {"service_ms": 400}
    for kind, idempotent in (("checks", True), ("prints", False)):
        asked = orders(small_system, kind, 120, idempotent=idempotent, payload=slow)
        assert check_refusals(small_system, asked, small_system.ask_all(asked)) > 0
    late = orders(small_system, "late", 90, idempotent=False, payload=slow, deadline_ms=300)
    check_refusals(small_system, late, small_system.ask_all(late))


def test_a_deadline_that_passes_in_the_queue_is_not_run(shared_system):
    slots = [(entry, {"payload": {"service_ms": 1500}}) for entry in shared_system.entries * 12]
    late = orders(shared_system, "queued", 24, deadline_ms=700)
    responses = shared_system.ask_all(slots + late)
    assert [response.status_code for response in responses[:24]] == [200] * 24
    assert check_refusals(shared_system, late, responses[24:]) > 0


def test_workers_that_all_drain_are_named_not_run(small_system):
    for name in small_system.workers:
        url = f"http://{small_system.entries[0].operators}/v1/workers/{name}/drain"
        assert small_system.client.post(url).status_code < 300
    asked = orders(small_system, "drained", 30, deadline_ms=1500)
    responses = small_system.ask_all(asked)
    assert check_refusals(small_system, asked, responses) == len(asked)


def test_every_caller_gets_its_own_answer_while_workers_cut_and_hang(small_system):
    small_system.fail_worker("worker-1", cut_body=True)
    small_system.fail_worker("worker-2", hang=True)
    asked = orders(small_system, "own", 200, payload={"photo": "x" * 5000}, deadline_ms=6000)
    responses = small_system.ask_all(asked)
    check_refusals(small_system, asked, responses)
    ids = [response.json().get("request_id") for response in responses]
    assert len(set(ids)) == len(ids)
    for response in responses:
        if response.status_code == 200:
            assert response.json()["worker"] == "worker-3"
