"""Odd entries of another writer among the records that a lead reads."""

import msgpack
import pytest

from papayaspar_jobs import registries
from papayaspar_standin import keyed_stores
from papayaspar_store import records, stores

pytestmark = pytest.mark.anyio

ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:",
    "127.0.0.1",
    "",
    "a" * 70 + ".example:80",
    "nul\x00:80",
    "[::1:80",
)
ODD_TASK_RECORDS = {
    "task/": b"\x80",
    "task/x.y.z": b"\x80",
    f"task/{'0' * 16}.0.0.{'9' * 5000}": b"\x80",
    f"task/{'0' * 15}1.0.0.0": b"\x91" * 100_000 + b"\xc0",
    f"task/{'0' * 15}1.0.0.1": msgpack.packb({"run": 2**64 - 1}),
    f"task/{'0' * 15}1.0.0.2": msgpack.packb({"failures": float("nan")}),
}


def _append(cluster, partition, *new_records):
    cluster.log.append(keyed_stores.Append(partition, new_records, None, None))


async def _check_that_a_job_is_served(cluster, spec):
    cluster.submit(spec)
    await cluster.wait_until(
        lambda: cluster.phase(spec.job_id) is registries.JobPhase.SUCCEEDED, timeout_s=15.0
    )


# Guards against a lead that ends at an agent's entry with a port out of range, as does each entry
# that takes over from it.
@pytest.mark.parametrize("is_lead_running", [False, True], ids=["before", "while-leading"])
async def test_lead_serves_beside_agents_with_odd_addresses(
    start_cluster, make_job, is_lead_running
):
    async with start_cluster() as cluster:
        await cluster.add_agent("node-1")
        await cluster.add_entry("entry-1")
        if is_lead_running:
            await _check_that_a_job_is_served(cluster, make_job(1))
        for number, address in enumerate(ODD_ADDRESSES):
            cluster.register(f"odd-{number}", address)
        await _check_that_a_job_is_served(cluster, make_job(2))
        await cluster.sleep(1.0)
        assert cluster.lead() == "entry-1"


async def test_lead_restores_the_tasks_beside_odd_records(start_cluster, make_job):
    async with start_cluster() as cluster:
        for key, value in ODD_TASK_RECORDS.items():
            _append(cluster, records.TASKS_PARTITION, stores.KeyedRecord(key, value))
        await cluster.add_agent("node-1")
        await cluster.add_entry("entry-1")
        await _check_that_a_job_is_served(cluster, make_job(1))


@pytest.mark.parametrize("epoch", [2**64 - 1, -1, float("inf")])
async def test_lead_is_elected_after_an_odd_record_of_a_lead(start_cluster, make_job, epoch):
    async with start_cluster() as cluster:
        value = msgpack.packb({"epoch": epoch, "node": "odd", "incarnation": "odd"})
        _append(cluster, records.SHARED_PARTITION, stores.KeyedRecord(records.LEAD_KEY, value))
        await cluster.add_agent("node-1")
        await cluster.add_entry("entry-1")
        await _check_that_a_job_is_served(cluster, make_job(1))
