"""Tests of the platform's HTTP clients against served stand-ins, with injected faults."""

import time

import anyio
import httpx
import pytest

from papayaspar_model import errors
from papayaspar_platform import http_logs, http_runtimes, runtimes
from papayaspar_standin import faults

UNUSED_ADDRESS = "127.0.0.1:9"
SPEC = runtimes.TaskSpec("job-1.1.0", "job-1", 1, 0, "retouch", (0, 1), 60.0)


def test_records_are_read_at_their_offsets(serve):
    async def scenario():
        async with serve() as standins:
            assert await standins.log_client.append("rules", (b"a", b"\xff")) == 0
            assert await standins.log_client.append("rules", (b"c",)) == 2
            page = await standins.log_client.read("rules", 1)
            assert [(record.offset, record.data) for record in page.records] == [
                (1, b"\xff"),
                (2, b"c"),
            ]
            standins.log.trim("rules", 2)
            page = await standins.log_client.read("rules", 0)
            assert (page.first_offset, page.next_offset, len(page.records)) == (2, 3, 1)

    anyio.run(scenario)


def test_a_read_waits_for_a_record(serve):
    async def scenario():
        async with serve() as standins, anyio.create_task_group() as group:
            group.start_soon(standins.log.append, "rules", (b"late",))
            page = await standins.log_client.read("rules", 0, wait_s=5.0)
            assert [record.data for record in page.records] == [b"late"]

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("log_faults", "ran", "stored_count"),
    [
        (faults.LogFaults(down=True), errors.Ran.NO, 0),
        (faults.LogFaults(answer_lost=True), errors.Ran.UNKNOWN, 1),
        (faults.LogFaults(slow_s=0.6), errors.Ran.UNKNOWN, 1),
    ],
)
def test_a_failed_append_reports_whether_it_took_effect(serve, log_faults, ran, stored_count):
    async def scenario():
        async with serve() as standins:
            standins.log.faults = log_faults
            with pytest.raises(errors.LogUnavailableError) as caught:
                await standins.log_client.append("rules", (b"a",))
            assert caught.value.ran is ran
            standins.log.faults = faults.LogFaults()
            page = await standins.log_client.read("rules", 0, wait_s=1.0 if stored_count else 0.0)
            assert len(page.records) == stored_count

    anyio.run(scenario)


def test_a_refused_connection_reports_that_the_call_had_no_effect():
    async def scenario():
        with pytest.raises(errors.LogUnavailableError) as log_error:
            await http_logs.HttpLog(UNUSED_ADDRESS).append("rules", (b"a",))
        with pytest.raises(errors.TargetError) as runtime_error:
            await http_runtimes.HttpRuntime(UNUSED_ADDRESS).prepare(SPEC)
        assert log_error.value.ran is errors.Ran.NO
        assert runtime_error.value.ran is errors.Ran.NO

    anyio.run(scenario)


def test_appends_above_the_rate_limit_are_rejected_without_effect(serve):
    async def scenario():
        async with serve(appends_per_s=1.0) as standins:
            await standins.log_client.append("rules", (b"a",))
            with pytest.raises(errors.LogUnavailableError) as caught:
                await standins.log_client.append("rules", (b"b",))
            assert caught.value.ran is errors.Ran.NO
            assert len((await standins.log_client.read("rules", 0)).records) == 1

    anyio.run(scenario)


def test_a_task_runs_under_its_lease_over_http(serve):
    async def scenario():
        async with serve() as standins:
            client = standins.runtime_client
            now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
            with pytest.raises(errors.TargetError) as caught:
                await client.start(SPEC.task_id, now_s + 30.0)
            assert caught.value.ran is errors.Ran.NO
            await client.prepare(SPEC)
            await client.start(SPEC.task_id, now_s + 30.0)
            status = await client.renew(SPEC.task_id, now_s + 60.0)
            assert status.state is runtimes.TaskState.RUNNING
            await client.throttle(SPEC.task_id, 0.5)
            assert await client.checkpoint(SPEC.task_id) >= 0.0
            await client.stop(SPEC.task_id)
            assert (await client.status(SPEC.task_id)).state is runtimes.TaskState.STOPPED

    anyio.run(scenario)


def test_the_target_echoes_requests_and_counts_executions(serve):
    async def scenario():
        async with serve() as standins:
            headers = {"Papayaspar-Request-Id": "req-1", "Idempotency-Key": "print-1"}
            body = b'{"service_ms": 1, "page": 2}'
            response = await standins.caller.post("/run", content=body, headers=headers)
            assert response.json() == {
                "request_id": "req-1",
                "payload": {"service_ms": 1, "page": 2},
            }
            await standins.caller.post("/faults", json={"fail": True})
            response = await standins.caller.post("/run", content=body, headers=headers)
            assert response.status_code == 502
            counts = (await standins.caller.get("/counts")).json()
            assert counts["by_request"] == {"req-1": 2}
            assert counts["by_key"] == {"print-1": 2}
            assert counts["finished"] == 1

    anyio.run(scenario)


def test_a_truncated_body_is_an_error_for_the_reader(serve):
    async def scenario():
        async with serve() as standins:
            await standins.caller.post("/faults", json={"cut_body": True})
            with pytest.raises(httpx.RemoteProtocolError):
                await standins.caller.post("/run", content=b"{}")

    anyio.run(scenario)
