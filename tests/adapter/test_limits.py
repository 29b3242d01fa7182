"""Limits from the settings file and from the operators' configuration."""

import json

import pytest

from papayaspar_adapter import fields, operators, settings
from papayaspar_model import errors
from papayaspar_serving import limits

SETTINGS = """\
node = "entry-1"
ip = "127.0.0.1"
internal_ports = [7000, 7010]
[platform]
addr = "127.0.0.1:8200"
[limits]
"""


@pytest.fixture
def load(tmp_path):
    """Return a function that loads settings with the given limits."""

    def load_limits(text):
        path = tmp_path / "local.toml"
        path.write_text(SETTINGS + text)
        return settings.load(str(path))

    return load_limits


def test_limits_of_the_machine_are_read(load):
    loaded = load("memory_mb = 300\nmax_fds = 4100\n")
    assert (loaded.memory_mb, loaded.fds_max) == (300, 4100)


def test_limits_have_defaults(load):
    loaded = load("")
    assert loaded.memory_mb == settings.DEFAULT_MEMORY_MB
    assert loaded.fds_max == settings.DEFAULT_FDS_MAX


@pytest.mark.parametrize(
    "text", ["memory_mb = 0", "memory_mb = -1", 'memory_mb = "x"', "max_fds = 10", "max_fds = 1.5"]
)
def test_invalid_limit_of_the_machine_names_its_field(load, text):
    with pytest.raises(errors.SettingsError, match=text.partition(" ")[0]):
        load(text)


@pytest.mark.parametrize(
    "name", ["max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"]
)
@pytest.mark.parametrize("value", [0, -1, "x", True])
def test_invalid_limit_of_the_configuration_names_its_field(name, value):
    with pytest.raises(fields.MessageError) as raised:
        operators.parse(json.dumps({"version": 1, "limits": {name: value}}).encode())
    assert raised.value.field == name


@pytest.mark.parametrize(("memory_mb", "fds_max"), [(64, 256), (160, 4100), (552, 8192)])
def test_largest_legal_request_fits_into_the_budget_of_each_machine(memory_mb, fds_max):
    machine = limits.ListenerLimits.of_machine(memory_mb, fds_max)
    largest_bytes = (
        limits.DEFAULT_REQUESTS.body_max_bytes + limits.DEFAULT_REQUESTS.header_max_bytes
    )
    assert machine.requests_max_bytes * 3 / 4 > largest_bytes
    assert machine.connections_max >= limits.CONNECTIONS_MIN
