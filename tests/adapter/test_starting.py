"""How a program starts: its address is taken before the rest of it is loaded."""

import socket
import subprocess
import sys

import pytest

from papayaspar_adapter import early, settings_file

HEAVY = ("anyio", "attrs", "httpx", "hypercorn", "cattrs", "loguru")


@pytest.fixture
def free_address():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        host, port = taken.getsockname()
    return f"{host}:{port}"


@pytest.fixture
def settings_path(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    return path


def _run(*arguments, **options):
    return subprocess.run([sys.executable, *arguments], capture_output=True, text=True, **options)


def test_callers_can_connect_before_the_program_is_loaded(settings_path, free_address):
    """Seen on booth-cloud trouble-3: a print was lost to entries that were still loading."""
    settings_path.write_text(f'[listen]\nfront = "{free_address}"\n')
    bound = early.listen(settings_file.CALLERS)
    host, port = free_address.split(":")
    with socket.create_connection((host, int(port)), timeout=1.0), bound[free_address]:
        pass


def test_nothing_heavy_is_loaded_before_the_address_is_taken():
    script = (
        "import sys; from papayaspar_adapter import early;"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    assert _run("-c", script).stdout.strip() == "[]"


@pytest.mark.parametrize(
    "text", ["not toml", "", "[listen]\nfront = 3\n", '[listen]\nfront = "192.0.2.1:80"\n']
)
def test_address_that_can_not_be_had_is_left_to_the_program(settings_path, text):
    settings_path.write_text(text)
    assert early.listen(settings_file.CALLERS) == {}


def test_program_without_settings_says_so():
    ended = _run("-m", "papayaspar_adapter", "entry", env={})
    assert ended.returncode == 2
    assert settings_file.PATH_VARIABLE in ended.stderr


def test_unknown_program_is_refused():
    ended = _run("-m", "papayaspar_adapter", "clerk")
    assert ended.returncode == 2
    assert "entry, agent" in ended.stderr
