"""Clients of the store and the worker against a server with scripted answers."""

import base64
import functools
import json
import struct
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import pytest

from papayaspar_adapter import store_client, worker_client
from papayaspar_jobs import tasks
from papayaspar_model import errors
from papayaspar_runs import workers
from papayaspar_serving import applications, listeners
from papayaspar_store import failures, stores

pytestmark = pytest.mark.anyio

PARTITION = stores.Partition("keyed.topic", 1)
TASK = tasks.TaskKey("0123456789abcdef", 0, 1, 17)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class ScriptedServer(applications.Application):
    """Answers requests with queued answers and keeps the requests."""

    def __init__(self) -> None:
        self.answers: list[applications.Answer] = []
        self.requests: list[applications.Request] = []

    def queue_answer(self, status: int, body: bytes | dict[str, object] = b"") -> None:
        """Queue the answer to the next request."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.answers.append(applications.Answer(status, data))

    async def answer(self, request: applications.Request) -> applications.Answer:
        self.requests.append(request)
        return self.answers.pop(0)


@pytest.fixture
async def server() -> AsyncIterator[tuple[ScriptedServer, str]]:
    """Return a server and its address."""
    app = ScriptedServer()
    bound = listeners.bind("127.0.0.1", 0)
    host, port = bound.getsockname()
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        serve = functools.partial(listeners.serve, app, bound, stop.wait, grace_s=0.1)
        group.start_soon(serve)
        yield app, f"{host}:{port}"
        stop.set()


@pytest.fixture
async def store(server) -> AsyncIterator[store_client.HttpStore]:
    """Return a client of the scripted store."""
    client = store_client.HttpStore(server[1])
    yield client
    await client.close()


@pytest.fixture
async def worker(server) -> worker_client.HttpWorker:
    """Return a client of the scripted worker."""
    return worker_client.HttpWorker(server[1])


async def test_append_encodes_key_and_value(server, store):
    server[0].queue_answer(200, {"offset": 840, "end": 842})
    assert await store.append(PARTITION, (stores.KeyedRecord("ab", b"xyz"),)) == 840
    assert server[0].requests[0].body == struct.pack(">I", 6) + b"\x02abxyz"


async def test_read_numbers_records_from_the_offset(server, store):
    data = struct.pack(">QQ", 842, 3) + struct.pack(">I", 4) + b"\x01kvv"
    server[0].queue_answer(200, data + struct.pack(">I", 2) + b"\x01k")
    page = await store.read(PARTITION, 840, 0.0)
    assert (page.end, page.first) == (842, 3)
    assert page.records == (
        stores.KeyedRecord("k", b"vv", 840),
        stores.KeyedRecord("k", b"", 841),
    )


async def test_truncated_page_is_rejected(server, store):
    server[0].queue_answer(200, struct.pack(">QQ", 842, 3) + struct.pack(">I", 40) + b"\x01k")
    with pytest.raises(failures.StoreUnavailableError):
        await store.read(PARTITION, 840, 0.0)


async def test_snapshot_continues_after_the_last_key(server, store):
    item = {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 4}
    server[0].queue_answer(200, {"items": [item], "has_more": True, "end": 6})
    server[0].queue_answer(200, {"items": [dict(item, key="l")], "has_more": False, "end": 9})
    snapshot = await store.read_snapshot(PARTITION)
    assert snapshot.end == 6
    assert [record.key for record in snapshot.records] == ["k", "l"]


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (409, {"reason": "fenced"}, failures.FencedError),
        (409, {"reason": "seq", "expected": 5}, failures.SequenceError),
        (412, {"end": 9}, failures.PositionError),
        (503, {}, failures.StoreUnavailableError),
        (429, {}, failures.StoreUnavailableError),
    ],
)
async def test_rejected_appends_raise_specific_errors(server, store, status, body, error):
    server[0].queue_answer(status, body)
    with pytest.raises(error):
        await store.append(PARTITION, (stores.KeyedRecord("k", b"v"),))


async def test_trimmed_read_reports_the_first_kept_offset(server, store):
    server[0].queue_answer(410, {"first": 7})
    with pytest.raises(failures.TrimmedError) as caught:
        await store.read(PARTITION, 1, 0.0)
    assert caught.value.first == 7


async def test_unreachable_store_did_not_execute_the_append():
    client = store_client.HttpStore("127.0.0.1:9")
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await client.append(PARTITION, (stores.KeyedRecord("k", b"v"),))
    assert caught.value.ran is errors.Ran.NO


async def test_status_contains_runs_and_results(server, worker):
    body = {
        "clock_ms": 482113,
        "born": 99,
        "running": [[str(TASK), 2, "00ab", 41, 7.5]],
        "ended": [[58, str(TASK), 1, "done", ""]],
    }
    server[0].queue_answer(200, body)
    status = await worker.poll(7, 57, 486000, 0, "i-1")
    assert status.running == (workers.RunStatus(TASK, 2, "00ab", 41.0, 7.5),)
    assert status.ended == (workers.RunResult(58, TASK, 1, tasks.EndKind.DONE),)
    request = server[0].requests[0]
    assert json.loads(request.body) == {"fence": 7, "seen_upto": 57, "expiry_ms": 486000}
    assert request.headers["x-target-instance"] == "i-1"


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (409, {"reason": "fence"}, "TOKEN"),
        (409, {"reason": "old"}, "OLD_RUN"),
        (409, {"reason": "late"}, "LATE"),
        (409, {"reason": "room"}, "ROOM"),
        (421, {}, "INCARNATION"),
        (503, {}, "UNHEALTHY"),
        (400, {}, "INVALID"),
    ],
)
async def test_rejected_orders_have_reasons(server, worker, status, body, reason):
    server[0].queue_answer(status, body)
    order = workers.StartOrder(TASK, 2, "text", "", 486000, 7, "i-1")
    with pytest.raises(workers.OrderRefusedError) as caught:
        await worker.start(order)
    assert caught.value.reason is workers.RefusalReason[reason]


@pytest.mark.parametrize("body", [b"not json", b'{"clock_ms": 1, "ended": [[1, "x", 1, "done"]]}'])
async def test_invalid_status_counts_as_no_answer(server, worker, body):
    server[0].queue_answer(200, body)
    with pytest.raises(workers.WorkerError) as caught:
        await worker.poll(7, 0, None, 0, "")
    assert caught.value.ran is errors.Ran.UNKNOWN


# Guards against a missing entry that is read as knowledge: without "running" the lead took all runs
# of the worker for lost, and without "born" the worker for another incarnation (issue 32).
@pytest.mark.parametrize("name", ["clock_ms", "born", "running", "ended"])
@pytest.mark.parametrize("change", ["missing", "null"])
async def test_status_without_a_field_counts_as_no_answer(server, worker, name, change):
    body = {"clock_ms": 482113, "born": 99, "running": [[str(TASK), 2, "", 41, 0]], "ended": []}
    if change == "missing":
        del body[name]
    else:
        body[name] = None
    server[0].queue_answer(200, body)
    with pytest.raises(workers.WorkerError) as caught:
        await worker.poll(7, 0, None, 0, "")
    assert caught.value.ran is errors.Ran.UNKNOWN


async def _serve_trickling(stream):
    """Send an answer a byte at a time, for longer than any call may take."""
    async with stream:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
        for _ in range(100):
            await stream.send(b" ")
            await anyio.sleep(0.1)


@pytest.fixture
async def trickling_worker() -> AsyncIterator[worker_client.HttpWorker]:
    """Return a client of a worker whose answers take 10 s to arrive, a byte at a time."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, _serve_trickling)
        client = worker_client.HttpWorker(f"{host}:{port}")
        yield client
        await client.close()
        group.cancel_scope.cancel()


# Guards against a worker that counts as answering, and as renewed, while its answer never ends: the
# timeout held for each part of the answer, not for the call (issue 32).
async def test_answer_that_trickles_in_counts_as_no_answer(trickling_worker):
    with anyio.fail_after(3.0), pytest.raises(workers.WorkerError) as caught:
        await trickling_worker.poll(7, 0, None, 0, "")
    assert caught.value.ran is errors.Ran.UNKNOWN


# Guards against a reader that never finishes loading a partition because of one odd item.
@pytest.mark.parametrize(
    "odd_item",
    [
        3,
        {},
        {"key": 3, "value": "", "offset": 1},
        {"key": "odd", "value": "é", "offset": 1},
        {"key": "odd", "value": "a", "offset": 1},
        {"key": "odd", "value": "", "offset": 10**40},
        {"key": "odd", "value": "", "offset": [[]]},
        {"key": "odd", "offset": 1},
        {"key": "odd", "value": None, "offset": 1},
        {"key": "odd", "value": "", "offset": 1},
    ],
)
async def test_snapshot_leaves_out_an_odd_item(server, store, odd_item):
    item = {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 4}
    page = {"items": [item, odd_item], "has_more": False, "end": 6}
    server[0].queue_answer(200, page)
    snapshot = await store.read_snapshot(PARTITION)
    assert [record.key for record in snapshot.records if record.key] == ["k"]


# Guards against the deletion of a key that a damaged record seems to name.
@pytest.mark.parametrize("content", [b"", b"\x09evacuate", b"\xffevacuate/dc-a"])
async def test_record_whose_key_is_cut_off_names_no_key(server, store, content):
    record = struct.pack(">I", len(content)) + content
    server[0].queue_answer(200, struct.pack(">QQ", 5, 0) + record)
    page = await store.read(PARTITION, 4, 0.0)
    assert page.records == (stores.KeyedRecord("", b"", 4),)


@pytest.mark.parametrize(("count", "has_more_ends"), [(499, False), (500, True)])
async def test_full_list_of_results_may_not_be_all(server, worker, count, has_more_ends):
    """A worker lists 500 results at a time; a run beyond them must not be taken for lost."""
    ended = [
        [number, f"{TASK.job_id}.0.0.{number}", 1, "done", ""] for number in range(1, count + 1)
    ]
    server[0].queue_answer(200, {"clock_ms": 1, "born": 99, "running": [], "ended": ended})
    status = await worker.poll(7, 0, None, 0, "w-1")
    assert len(status.ended) == count
    assert status.has_more_ends is has_more_ends


@pytest.mark.parametrize("status", [400, 403, 413])
async def test_append_that_can_never_succeed_is_told_from_an_outage(server, store, status):
    server[0].queue_answer(status)
    with pytest.raises(failures.AppendRefusedError):
        await store.append(PARTITION, (stores.KeyedRecord("k", b"v"),))


@pytest.mark.parametrize("status", [429, 500, 503, 507])
async def test_append_that_may_succeed_later_counts_as_an_outage(server, store, status):
    server[0].queue_answer(status)
    with pytest.raises(failures.StoreUnavailableError):
        await store.append(PARTITION, (stores.KeyedRecord("k", b"v"),))


# Guards against an append that counts as refused for good, after which its record is left out and
# what it says is lost, on an answer that says nothing about it.
@pytest.mark.parametrize("status", [302, 401, 404, 408, 410, 421, 425, 500, 502, 504])
async def test_append_with_an_unclear_answer_may_have_been_executed(server, store, status):
    server[0].queue_answer(status)
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await store.append(PARTITION, (stores.KeyedRecord("k", b"v"),))
    assert caught.value.ran is errors.Ran.UNKNOWN


@pytest.mark.parametrize("status", [429, 503, 507])
async def test_append_that_the_store_rejects_was_not_executed(server, store, status):
    server[0].queue_answer(status)
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await store.append(PARTITION, (stores.KeyedRecord("k", b"v"),))
    assert caught.value.ran is errors.Ran.NO


# Guards against 400, which callers take for a refusal, after an append that was executed.
@pytest.mark.parametrize(
    ("status", "body"),
    [
        (200, b"not json"),
        (200, {"offset": "x"}),
        (200, {"offset": 10**40}),
        (409, b"[]"),
        (409, {"reason": "seq", "expected": 10**40}),
        (412, {}),
    ],
)
async def test_append_with_an_unreadable_answer_may_have_been_executed(server, store, status, body):
    server[0].queue_answer(status, body)
    with pytest.raises(failures.StoreUnavailableError) as caught:
        await store.append(PARTITION, (stores.KeyedRecord("k", b"v"),))
    assert caught.value.ran is errors.Ran.UNKNOWN


async def test_trimmed_read_with_an_unreadable_answer_is_repeated(server, store):
    server[0].queue_answer(410, {"first": "x"})
    with pytest.raises(failures.StoreUnavailableError):
        await store.read(PARTITION, 1, 0.0)


# Guards against a list that ends early and counts as complete: a task without its record starts
# anew, and a job without its record does not exist.
@pytest.mark.parametrize(
    "page",
    [
        {"items": [], "has_more": True, "end": 6},
        {"has_more": True, "end": 6},
        {"items": [3, {}], "has_more": True, "end": 6},
        {"items": {}, "has_more": False, "end": 6},
        {"items": [], "has_more": 1, "end": 6},
        b"not json",
    ],
    ids=["empty", "missing", "keyless", "no-list", "odd-has-more", "no-json"],
)
async def test_list_that_ends_early_is_no_snapshot(server, store, page):
    item = {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 4}
    server[0].queue_answer(200, {"items": [item], "has_more": True, "end": 6})
    server[0].queue_answer(200, page)
    with pytest.raises(failures.StoreUnavailableError):
        await store.read_snapshot(PARTITION)


# Guards against keys that are missed since the list does not continue after the last key.
async def test_list_that_repeats_its_pages_is_no_snapshot(server, store):
    item = {"key": "k", "value": base64.b64encode(b"v").decode(), "offset": 4}
    for _ in range(2):
        server[0].queue_answer(200, {"items": [item], "has_more": True, "end": 6})
    with pytest.raises(failures.StoreUnavailableError):
        await store.read_snapshot(PARTITION)
