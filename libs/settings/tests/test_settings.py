"""Tests of settings, their precedence and faults, and of exit codes."""

import attrs
import cappa
import pytest

from papayaspar_model import errors
from papayaspar_settings import exits, fields, kinds, loading, programs, tables


@attrs.frozen(kw_only=True)
class SampleSettings(fields.Settings):
    """Settings of a sample program."""

    worker: str = fields.required(kinds.Name(), "name of the worker")
    listen: str = fields.default(
        kinds.Address(listening=True), "127.0.0.1:0", "address to listen on"
    )
    entries: tuple[str, ...] = fields.default(
        kinds.Addresses(allow_empty=True), "", "addresses of the entries"
    )
    timeout_s: float = fields.default(kinds.Seconds(minimum=0.1), "5", "timeout")
    slots: int = fields.default(kinds.Integer(minimum=1, maximum=64), "8", "concurrent requests")
    key: str | None = fields.optional(kinds.Text(), "private key")

    def faults(self) -> tuple[fields.Fault, ...]:
        """Reject a key without entries, which has no effect."""
        if self.key is None or self.entries:
            return ()
        return (fields.Fault("key", "inconsistent", "needs --entries"),)


@cappa.command(name="greet", help="Greet a person.")
@attrs.frozen
class Greet(programs.Action[SampleSettings]):
    """Greets."""

    person: str

    async def run(self, settings: SampleSettings) -> exits.ExitCode:
        """Print a greeting."""
        print(f"{settings.worker} greets {self.person}")
        return exits.ExitCode.OK


@cappa.command(name="fail", help="Fail because a service is unavailable.")
@attrs.frozen
class Fail(programs.Action[SampleSettings]):
    """Fails."""

    async def run(self, settings: SampleSettings) -> exits.ExitCode:
        """Raise an exception group, as a task group does."""
        raise ExceptionGroup("tasks", [errors.UnavailableError("no listener")])


@pytest.fixture
def program() -> programs.Program[SampleSettings]:
    return programs.Program("sample", "A sample.", SampleSettings, (Greet, Fail))


def test_flag_overrides_variable_and_variable_overrides_default():
    environment = {"PAPAYASPAR_WORKER": "w2", "PAPAYASPAR_SLOTS": "4", "PAPAYASPAR_TIMEOUT_S": ""}
    settings = loading.load(SampleSettings, {"worker": "w1"}, environment)
    assert (settings.worker, settings.slots, settings.timeout_s) == ("w1", 4, 5.0)
    assert settings.entries == ()


def test_all_faults_are_reported_together():
    flags = {"listen": "localhost:1", "timeout_s": "0", "slots": "65", "entries": "10.0.0.1:0"}
    with pytest.raises(loading.InvalidSettingsError) as caught:
        loading.load(SampleSettings, flags, {})
    codes = {fault.name: fault.code for fault in caught.value.faults}
    assert codes == {
        "worker": "missing",
        "listen": "invalid",
        "entries": "invalid",
        "timeout_s": "invalid",
        "slots": "invalid",
    }
    assert "--timeout-s (PAPAYASPAR_TIMEOUT_S)" in caught.value.detail


def test_contradictory_settings_are_rejected():
    with pytest.raises(loading.InvalidSettingsError, match="needs --entries"):
        loading.load(SampleSettings, {"worker": "w1", "key": "k"}, {})


@pytest.mark.parametrize(
    ("text", "canonical"),
    [("127.0.0.1:80", "127.0.0.1:80"), ("[::1]:080", "[::1]:80"), (" 10.1.2.3:1 ", "10.1.2.3:1")],
)
def test_address_is_canonical(text, canonical):
    assert kinds.Address().parse(text) == canonical


@pytest.mark.parametrize(
    "text",
    ["", "host:1", "1.2.3.4", "1.2.3.4:x", "1.2.3.4:65536", "::1:80", "[1.2.3.4]:1", "1.1:²"],
)
def test_host_name_or_malformed_address_is_rejected(text):
    with pytest.raises(kinds.InvalidValueError):
        kinds.Address().parse(text)


@pytest.mark.parametrize(
    ("kind", "text"),
    [
        (kinds.Seconds(), "nan"),
        (kinds.Integer(), "1.5"),
        (kinds.Boolean(), "maybe"),
        (kinds.File(), "/nowhere\0"),
        (kinds.Choice(exits.ExitCode), "x"),
        (kinds.Addresses(), "1.1.1.1:1,1.1.1.1:1"),
    ],
)
def test_value_of_the_wrong_kind_is_rejected(kind, text):
    with pytest.raises(kinds.InvalidValueError):
        kind.parse(text)


def test_program_runs_its_action(program, capsys):
    assert programs.execute(program, ["greet", "ann", "--worker", "w1"], {}) == 0
    assert capsys.readouterr().out == "w1 greets ann\n"


def test_program_prints_all_faults_and_exits_with_usage_code(program, capsys):
    assert programs.execute(program, ["greet", "ann", "--slots", "x"], {}) == exits.ExitCode.USAGE
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_error_in_a_task_group_determines_the_exit_code(program):
    code = programs.execute(program, ["fail"], {"PAPAYASPAR_WORKER": "w1"})
    assert code == exits.ExitCode.UNAVAILABLE


@pytest.mark.parametrize(("argv", "code"), [(["--help"], 0), (["--version"], 0), (["nope"], 2)])
def test_help_version_and_invalid_usage_exit_the_process(program, argv, code, capsys):
    with pytest.raises(SystemExit) as caught:
        programs.execute(program, argv, {})
    assert caught.value.code == code


def test_help_shows_flag_variable_default_and_exit_codes(program, capsys):
    with pytest.raises(SystemExit):
        programs.execute(program, ["--help"], {})
    help_text = " ".join(capsys.readouterr().out.split())
    for text in ("--timeout-s", "PAPAYASPAR_TIMEOUT_S; 5", "Exit codes: 0"):
        assert text in help_text


def test_table_has_a_row_for_each_setting():
    rows = tables.describe(SampleSettings)
    assert [row.default for row in rows] == ["required", "127.0.0.1:0", "none", "5", "8", "none"]
    assert tables.markdown(SampleSettings).count("\n") == len(rows) + 2
