"""Answers to jobs that are refused at once: their status promises that the job never runs."""

import json

import pytest

from papayaspar_adapter import http_api
from papayaspar_events import journal, metrics
from papayaspar_intake import access, admission
from papayaspar_jobs import configurations
from papayaspar_model import causality, clock
from papayaspar_serving import applications

QUEUE = configurations.Queue("queue", "host", "/queue/", "pool", 3000, is_public=True)
JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "gpu": 99}]}


class Configuration(access.ConfigurationSource):
    """A configuration with one public queue."""

    def current(self):
        return configurations.Configuration(1, (QUEUE,), ())

    def age_s(self):
        return 0.0

    async def wait_connected(self):
        return


class RefusingJobs:
    """A job service that refuses each job with an error."""

    def __init__(self, error):
        self.error = error

    async def submit(self, spec, authorization, timeout_s):
        raise self.error


class Status(http_api.EntryStatus):
    """An entry that is ready."""

    def is_ready(self):
        return True

    def is_stopping(self):
        return False


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def answer():
    """Return a function that answers a submission, refused with an error."""
    clock_source = clock.ManualClock(100.0)
    events = journal.Journal("entry", "dc", causality.HybridClock(clock_source), metrics.Metrics())

    async def submit(error):
        app = http_api.JobsApp(
            access.Authorizer(Configuration(), 5.0),
            RefusingJobs(error),
            Status(),
            clock_source,
            events,
        )
        request = applications.Request(
            "POST", "/queue/0123456789abcdef", {"host": "host"}, json.dumps(JOB).encode()
        )
        answered = await app.answer(request)
        return answered, dict(answered.headers), events.metrics.exposition().decode()

    return submit


NO_WORKER = admission.NoWorkerError("no worker has 99 accelerators", field="steps.0.room")


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("error", "status", "retry_after"),
    [
        (NO_WORKER, 503, None),
        (admission.NoRoomError("room in 60 s", retry_after_s=12.4), 429, "12"),
        (admission.NoRoomError("room in 60 s", retry_after_s=0.2), 429, "1"),
        (admission.NoRoomError("room in 60 s"), 429, None),
    ],
)
async def test_refused_job_is_told_why_and_when_to_return(answer, error, status, retry_after):
    answered, headers, counters = await answer(error)
    assert answered.status == status
    assert headers.get("retry-after") == retry_after
    body = json.loads(answered.body)
    assert (body["error"], body["field"]) == (error.code, error.field)
    assert f'papayaspar_events_total{{code="{error.code}",event="call_refused"}} 1.0' in counters
