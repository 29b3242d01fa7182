"""Tests of the operator's client and command with a fake entry."""

import functools

import httpx
import pytest
import trio
import trio.testing

from papayaspar_control import answers, client, failures, publishing
from papayaspar_ctl_main import main
from papayaspar_model import errors
from papayaspar_rules import faults, records
from papayaspar_settings import exits, programs

TEXT = "team a weight=1 # asked by A\n"
OTHER_RECORD = records.RevisionRecord(1, 0, "other", "bob", TEXT, 0.0)


@pytest.fixture
def publish(connect):
    """Return a function that publishes under virtual time."""

    async def publish_rules(text: str) -> answers.Published:
        async with connect() as entry:
            return await publishing.publish(entry, text, 0, "ann", "mine")

    def run(text: str = TEXT) -> answers.Published:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(functools.partial(publish_rules, text), clock=clock)

    return run


@pytest.fixture
def ctl(connect, capsys):
    """Return a function that runs the command and returns its exit code and output."""

    def run(*argv: str) -> tuple[int, str]:
        code = programs.execute(main.PROGRAM, argv, {"PAPAYASPAR_AUTHOR": "ann"})
        return code, capsys.readouterr().out

    return run


@pytest.fixture
def rules_file(tmp_path):
    path = tmp_path / "a.rules"
    path.write_text(TEXT)
    return path


def test_publish_with_a_lost_response_is_found_in_the_history(publish, fake_entry):
    fake_entry.lost_responses = {0}
    assert publish() == answers.Published(1, "mine")
    assert fake_entry.requests == ["POST /v1/rules", "GET /v1/rules/history"]


def test_publish_with_a_lost_request_is_sent_again_with_its_id(publish, fake_entry):
    fake_entry.lost_requests = {0, 1}
    assert publish() == answers.Published(1, "mine")
    assert fake_entry.chain.next_offset == 1


def test_conflict_after_lost_responses_is_resolved_by_the_history(publish, fake_entry):
    fake_entry.lost_responses = {0, 1}
    assert publish() == answers.Published(1, "mine")
    assert fake_entry.requests[2:] == ["POST /v1/rules", "GET /v1/rules/history"]


@pytest.mark.parametrize("lost_responses", [set(), {0}])
def test_publish_after_another_revision_raises_a_conflict(publish, fake_entry, lost_responses):
    fake_entry.append(OTHER_RECORD)
    fake_entry.lost_responses = lost_responses
    with pytest.raises(errors.RevisionConflictError):
        publish()


def test_publish_with_an_unknown_outcome_raises_an_error(publish, fake_entry):
    fake_entry.lost_responses = set(range(100))
    with pytest.raises(errors.OutcomeUnknownError, match="mine"):
        publish()


def test_rejected_rules_are_reported_with_their_faults(publish):
    with pytest.raises(faults.InvalidRulesError) as caught:
        publish("team a weight=x # asked by A")
    assert [(fault.line, fault.column) for fault in caught.value.faults] == [(1, 15)]


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (httpx.Response(200, content=b"garbage"), failures.BrokenAnswerError),
        (httpx.Response(200, json={"revision": "x"}), failures.BrokenAnswerError),
        (httpx.Response(502, content=b"[]"), failures.BrokenAnswerError),
        (httpx.Response(503, json={"code": "draining", "ran": "no"}), errors.UnavailableError),
        (httpx.Response(404, json={"code": "not_found"}), failures.RefusedError),
    ],
)
def test_unexpected_response_raises_a_typed_error(response, expected):
    async def fetch_rules() -> None:
        transport = httpx.MockTransport(lambda _: response)
        async with client.Client("http://127.0.0.1:1", 1.0, transport) as entry:
            await entry.rules()

    with pytest.raises(expected):
        trio.run(fetch_rules)


def test_rules_commands_check_diff_publish_and_show_a_file(ctl, rules_file):
    path = str(rules_file)
    assert ctl("rules", "check", path) == (0, f"{path}: 1 rules, no faults\n")
    assert ctl("rules", "diff", path) == (0, f"+ {TEXT}")
    code, out = ctl("rules", "publish", path)
    assert (code, out.split(" (")[0]) == (0, "revision 1 is accepted")
    code, out = ctl("rules", "show")
    assert (code, out.splitlines()[1] + "\n") == (0, TEXT)
    assert ctl("rules", "diff", path) == (0, "")
    code, out = ctl("rules", "history")
    assert out.splitlines()[1].split()[:4] == ["1", "0", "1970-01-01T00:00:00Z", "ann"]


def test_publish_with_an_outdated_parent_fails(ctl, rules_file, fake_entry):
    fake_entry.append(OTHER_RECORD)
    assert ctl("rules", "publish", str(rules_file), "--parent", "0") == (1, "")


def test_invalid_or_missing_file_fails_before_any_request(ctl, tmp_path, fake_entry):
    path = tmp_path / "bad.rules"
    path.write_bytes(b"\xff")
    for argument in (str(path), str(tmp_path / "none")):
        assert ctl("rules", "publish", argument) == (exits.ExitCode.FAILED, "")
    assert fake_entry.requests == []


def test_status_shows_workers_and_short_guarantees(ctl):
    code, out = ctl("status")
    lines = out.splitlines()
    assert (code, lines[2].split()) == (0, ["w1", "r1", "d1", "up", "1/8", "6/8"])
    assert lines[3] == "short: guarantee g, instance 1"


@pytest.mark.parametrize("command", ["drain", "retire"])
def test_drain_and_retire_fail_for_an_unknown_worker(ctl, command):
    assert ctl(command, "w1")[0] == exits.ExitCode.OK
    assert ctl(command, "w2")[0] == exits.ExitCode.FAILED


@pytest.mark.parametrize("command", ["show", "cancel"])
def test_job_is_printed_field_by_field(ctl, command):
    assert ctl("job", command, "a/b?") == (1, "")
    assert ctl("job", command, "j1") == (0, 'job_id: "j1"\ntasks: 2\n')


def test_unreachable_entry_exits_with_the_unavailable_code(capsys):
    argv = ["status", "--entry", "127.0.0.1:1", "--timeout-s", "1"]
    assert programs.execute(main.PROGRAM, argv, {}) == exits.ExitCode.UNAVAILABLE
    assert "unreachable" in capsys.readouterr().err
