"""Fixtures: a job service on an in-memory store."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc
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
    scope: anyio.CancelScope

    def is_stored(self, key: str) -> bool:
        """Return whether the store has a record with a key."""
        return key in self.log.partition(records.SHARED_PARTITION).newest


@pytest.fixture
async def make_service() -> AsyncIterator[Callable[..., Awaitable[ServiceUnderTest]]]:
    """Return a function that makes the job service of an entry, whose view follows the store.

    The entry is killed by cancelling its scope, which ends its follower.
    """

    async def make(
        name: str = "entry", log: keyed_stores.KeyedLog | None = None
    ) -> ServiceUnderTest:
        clock_source = clock.BootClock()
        events = journal.Journal(name, "dc", causality.HybridClock(clock_source), metrics.Metrics())
        if log is None:
            log = keyed_stores.KeyedLog()
        store = keyed_stores.MemoryStore(log)
        view = views.SharedView(clock_source)
        follower = following.Follower(
            store, records.SHARED_PARTITION, view, clock_source, events, 0.2
        )
        jobs = job_service.JobService(name, store, view, follower, clock_source, events)
        scope = await group.start(_follow, follower)
        while not follower.is_loaded:
            await anyio.sleep(0.01)
        authorization = access.Authorization(QUEUE, "team")
        return ServiceUnderTest(log, store, view, follower, jobs, authorization, scope)

    async with anyio.create_task_group() as group:
        yield make
        group.cancel_scope.cancel()


async def _follow(
    follower: following.Follower, *, task_status: anyio.abc.TaskStatus[anyio.CancelScope]
) -> None:
    with anyio.CancelScope() as scope:
        task_status.started(scope)
        await follower.run()


@pytest.fixture
async def service(make_service: Callable[..., Awaitable[ServiceUnderTest]]) -> ServiceUnderTest:
    """Return a job service whose view follows the store."""
    return await make_service()


@pytest.fixture
def spec() -> specs.JobSpec:
    """Return a small job."""
    return specs.JobSpec("0123456789abcdef", "checks", "team", "", (specs.Step(1),))
