"""Fixtures: a job service on an in-memory store."""

from collections.abc import AsyncIterator

import anyio
import attrs
import pytest

from papayaspar_events import journal, metrics
from papayaspar_intake import access, job_service
from papayaspar_jobs import configurations, specs
from papayaspar_model import causality, clock
from papayaspar_standin import keyed_stores
from papayaspar_store import following, records, views

QUEUE = configurations.Queue("checks", "host", "/checks/", "pool", 3000)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@attrs.define
class ServiceUnderTest:
    """A job service and its dependencies."""

    log: keyed_stores.KeyedLog
    store: keyed_stores.MemoryStore
    view: views.SharedView
    follower: following.Follower
    jobs: job_service.JobService
    authorization: access.Authorization

    def is_stored(self, key: str) -> bool:
        """Return whether the store has a record with a key."""
        return key in self.log.partition(records.SHARED_PARTITION).newest


@pytest.fixture
async def service() -> AsyncIterator[ServiceUnderTest]:
    """Return a job service whose view follows the store."""
    clock_source = clock.BootClock()
    events = journal.Journal("entry", "dc", causality.HybridClock(clock_source), metrics.Metrics())
    log = keyed_stores.KeyedLog()
    store = keyed_stores.MemoryStore(log)
    view = views.SharedView(clock_source)
    follower = following.Follower(store, records.SHARED_PARTITION, view, clock_source, events, 0.2)
    jobs = job_service.JobService("entry", store, view, follower, clock_source, events)
    async with anyio.create_task_group() as group:
        group.start_soon(follower.run)
        while not follower.is_loaded:
            await anyio.sleep(0.01)
        authorization = access.Authorization(QUEUE, "team")
        yield ServiceUnderTest(log, store, view, follower, jobs, authorization)
        group.cancel_scope.cancel()


@pytest.fixture
def spec() -> specs.JobSpec:
    """Return a small job."""
    return specs.JobSpec("0123456789abcdef", "checks", "team", "", (specs.Step(1),))
