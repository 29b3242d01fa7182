"""Program startup: the listener is opened before the rest of the program is loaded."""

import socket
import subprocess
import sys

import pytest

from papayaspar_adapter import early_listener, settings_file

DEPENDENCIES = ("anyio", "attrs", "httpx", "hypercorn", "cattrs", "loguru")


@pytest.fixture
def free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
    return f"{host}:{port}"


@pytest.fixture
def settings_path(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    return path


def _run(*arguments, **options):
    return subprocess.run([sys.executable, *arguments], capture_output=True, text=True, **options)


def test_callers_can_connect_before_the_program_is_loaded(settings_path, free_address):
    """Guard against refused connections while all entries restart.

    On the simulated day booth-cloud trouble-3, a job was lost because the entries were still
    loading.
    """
    settings_path.write_text(f'[listen]\nfront = "{free_address}"\n')
    bound = early_listener.listen(settings_file.CALLERS)
    host, port = free_address.split(":")
    with socket.create_connection((host, int(port)), timeout=1.0), bound[free_address]:
        pass


def test_no_dependency_is_loaded_before_the_listener_is_open():
    script = (
        "import sys; from papayaspar_adapter import early_listener;"
        f"print([name for name in {DEPENDENCIES!r} if name in sys.modules])"
    )
    assert _run("-c", script).stdout.strip() == "[]"


@pytest.mark.parametrize(
    "text", ["not toml", "", "[listen]\nfront = 3\n", '[listen]\nfront = "192.0.2.1:80"\n']
)
def test_unavailable_address_is_left_to_the_program(settings_path, text):
    settings_path.write_text(text)
    assert early_listener.listen(settings_file.CALLERS) == {}


def test_program_without_settings_reports_the_variable():
    completed = _run("-m", "papayaspar_adapter", "entry", env={})
    assert completed.returncode == 2
    assert settings_file.PATH_VARIABLE in completed.stderr


def test_unknown_program_is_rejected():
    completed = _run("-m", "papayaspar_adapter", "clerk")
    assert completed.returncode == 2
    assert "entry, agent" in completed.stderr


def test_unknown_argument_is_rejected():
    completed = _run("-m", "papayaspar_adapter", "entry", "--unknown")
    assert completed.returncode == 2
    assert "--unknown" in completed.stderr


def test_run_times_option_is_checked(settings_path):
    settings_path.write_text(
        'node = "edge-1"\nip = "127.0.0.1"\ninternal_ports = [7000, 7015]\n'
        '[platform]\naddr = "127.0.0.1:2"\n'
    )
    completed = _run("-m", "papayaspar_adapter", "entry", "--run-times=guessed")
    assert completed.returncode != 0
    assert settings_file.RUN_TIMES_VARIABLE in completed.stderr + completed.stdout
