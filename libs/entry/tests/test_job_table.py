"""Tests of the table of jobs and its records."""

import pytest

from papayaspar_entry import job_table, records
from papayaspar_model import work

JOB = work.Job(
    "job-1", "booths", "print", work.Urgency.URGENT, work.Shape(2, 4), 60.0, False, False
)


@pytest.fixture
def table():
    created = job_table.JobTable()
    created.apply(records.JobAccepted(JOB, 5.0), 0)
    return created


@pytest.mark.parametrize(
    "record",
    [
        records.JobAccepted(JOB, 5.0, "claim-1"),
        records.JobClaimed("job-1", "claim-1"),
        records.JobAccepted(JOB, 5.0, "claim-1", (3, 7)),
        records.JobCancelled("job-1"),
        records.RunFailed("job-1", 7),
        records.JobEnded("job-1", work.JobState.DONE, 7),
        records.HomesPacked(2, 1, 3, (), ("models/0",)),
    ],
)
def test_encoded_records_decode_to_equal_records(record):
    assert records.decode(records.encode(record)) == record


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b"\xff", b'{"ended": 3}'])
def test_invalid_data_is_rejected(data):
    with pytest.raises(records.InvalidRecordError):
        records.decode(data)


def test_first_claim_on_the_log_wins(table):
    table.apply(records.JobClaimed("job-1", "claim-a"), 1)
    table.apply(records.JobClaimed("job-1", "claim-b"), 2)
    assert table.get("job-1").claim_id == "claim-a"


def test_repeated_acceptance_carries_the_claim_to_a_later_reader(table):
    new_table = job_table.JobTable()
    new_table.apply(records.JobAccepted(JOB, 5.0, "claim-a"), 9)
    new_table.apply(records.JobClaimed("job-1", "claim-b"), 10)
    assert new_table.get("job-1").claim_id == "claim-a"


def test_later_results_of_a_job_are_ignored(table):
    table.apply(records.JobEnded("job-1", work.JobState.DONE), 1)
    table.apply(records.JobEnded("job-1", work.JobState.FAILED), 2)
    assert table.get("job-1").ended.state is work.JobState.DONE
    assert table.open_jobs() == ()


def test_a_failed_run_counts_once_however_often_it_is_recorded(table):
    for offset, attempt in enumerate((7, 7, 9, 7), start=1):
        table.apply(records.RunFailed("job-1", attempt), offset)
    table.apply(records.JobAccepted(JOB, 5.0, "", (7, 8)), 5)
    assert table.get("job-1").failed_attempts == {7, 8, 9}


def test_repeated_acceptance_carries_the_failed_runs_to_a_later_reader(table):
    new_table = job_table.JobTable()
    new_table.apply(records.JobAccepted(JOB, 5.0, "", (7, 8)), 9)
    new_table.apply(records.RunFailed("job-1", 8), 10)
    assert new_table.get("job-1").failed_attempts == {7, 8}
