"""Retry decisions: ``ran`` and ``idempotent`` decide whether a request may be sent again."""

import pytest

from papayaspar_dispatch import attempts
from papayaspar_model import errors

Ran = errors.Ran


@pytest.fixture
def new_attempts():
    def make(idempotent):
        return attempts.Attempts(idempotent, deadline_s=10.0)

    return make


@pytest.mark.parametrize(
    ("idempotent", "ran", "may_send"),
    [
        (True, Ran.NO, True),
        (True, Ran.UNKNOWN, True),
        (False, Ran.NO, True),
        (False, Ran.UNKNOWN, False),
        (False, Ran.YES, False),
    ],
)
def test_ran_and_idempotent_decide_whether_to_retry(new_attempts, idempotent, ran, may_send):
    request_attempts = new_attempts(idempotent)
    request_attempts.fail(request_attempts.begin("w1", 0.0), ran)
    assert request_attempts.may_send(1.0) is may_send
    assert request_attempts.excluded == {"w1"}
    assert request_attempts.ran is ran


def test_an_attempt_in_progress_counts_as_possibly_run(new_attempts):
    request_attempts = new_attempts(False)
    request_attempts.begin("w1", 0.0)
    with pytest.raises(errors.OutcomeUnknownError):
        request_attempts.begin("w2", 0.0)


def test_one_attempt_of_unknown_outcome_prevents_a_retry(new_attempts):
    request_attempts = new_attempts(False)
    request_attempts.fail(request_attempts.begin("w1", 0.0), Ran.NO)
    request_attempts.fail(request_attempts.begin("w2", 0.0), Ran.UNKNOWN)
    assert not request_attempts.may_send(0.0)


def test_no_attempt_after_the_deadline_or_beyond_the_maximum(new_attempts):
    request_attempts = new_attempts(True)
    assert request_attempts.remaining_ms(7.5) == 2500
    with pytest.raises(errors.DeadlineError) as caught:
        request_attempts.begin("w1", 10.0)
    assert caught.value.ran is Ran.NO
    for number in range(attempts.ATTEMPTS_MAX):
        request_attempts.fail(request_attempts.begin(f"w{number}", 0.0), Ran.NO)
    with pytest.raises(errors.UnavailableError):
        request_attempts.begin("w9", 0.0)
