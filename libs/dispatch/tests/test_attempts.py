"""Retries follow from ``ran`` and ``idempotent``; a request answers once."""

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
def test_a_retry_follows_from_ran_and_idempotent(new_attempts, idempotent, ran, may_send):
    made = new_attempts(idempotent)
    made.fail(made.begin("w1", 0.0), ran)
    assert made.may_send(1.0) is may_send
    assert made.excluded == {"w1"}
    assert made.ran is ran


def test_an_attempt_under_way_may_have_run(new_attempts):
    made = new_attempts(False)
    made.begin("w1", 0.0)
    with pytest.raises(errors.OutcomeUnknownError):
        made.begin("w2", 0.0)


def test_one_doubtful_attempt_is_enough(new_attempts):
    made = new_attempts(False)
    made.fail(made.begin("w1", 0.0), Ran.NO)
    made.fail(made.begin("w2", 0.0), Ran.UNKNOWN)
    assert not made.may_send(0.0)


def test_no_attempt_after_the_deadline_or_beyond_the_most(new_attempts):
    made = new_attempts(True)
    assert made.remaining_ms(7.5) == 2500
    with pytest.raises(errors.DeadlineError) as caught:
        made.begin("w1", 10.0)
    assert caught.value.ran is Ran.NO
    for number in range(attempts.ATTEMPTS_MAX):
        made.fail(made.begin(f"w{number}", 0.0), Ran.NO)
    with pytest.raises(errors.UnavailableError):
        made.begin("w9", 0.0)
